//! Evaluation of a run.

use super::*;

impl Fleet<'_> {
    pub(super) fn count(&mut self, add: impl FnOnce(&mut Counts)) {
        if self.now_ms >= COUNTING_STARTS_MS {
            add(&mut self.counts);
        }
    }

    pub(super) fn propagation(&self, change: usize) -> Propagation {
        let steady = (0..self.fronts.len()).filter(|front| !self.affected.contains(front));
        let known = steady.map(|front| self.known_at_ms[front][change]);
        let mut times: Vec<u64> = known.clone().flatten().collect();
        times.sort_unstable();
        let since = |at: Option<&u64>| at.map_or(0, |at_ms| at_ms - self.appended_at_ms[change]);
        Propagation {
            p50_ms: since(times.get(times.len() / 2)),
            last_ms: since(times.last()),
            missing: known.filter(Option::is_none).count() as u64,
        }
    }

    /// Time until a lost front was replaced; the time since its loss if no running front acts in
    /// its place at the end, not even the lost one.
    fn gap_ms(
        &self,
        lost: Option<(usize, u64)>,
        replaced_after_ms: u64,
        acts: impl Fn(&Front) -> bool,
    ) -> u64 {
        match lost {
            Some((_, at_ms)) if self.find_running(acts).is_none() => self.now_ms - at_ms,
            _ => replaced_after_ms,
        }
    }

    pub(super) fn report(self) -> Report {
        let seconds = (self.settings.day_ms - COUNTING_STARTS_MS) as f64 / 1e3;
        let per_s = |count: u64| count as f64 / seconds;
        let (impact, first) = (&self.fault_impact, self.first_partition());
        let holder_gap_ms = self.gap_ms(impact.holder, impact.holder_gap_ms, |front| {
            front.lease.fence(self.now_ms).is_some()
        });
        let owner_gap_ms = self.gap_ms(impact.owner, impact.owner_gap_ms, |front| {
            front.owns(first, self.now_ms)
        });
        let counts = &self.counts;
        let reads: u64 = counts.served.iter().chain(&counts.refused).sum();
        let reads = reads + counts.owner_reads;
        let appends: u64 = counts.appends.iter().sum();
        let refused: u64 = counts.refused.iter().sum();
        let accepted_ms = self
            .find_running(|front| front.owns(self.first_partition(), self.now_ms))
            .and_then(|owner| self.known_at_ms[owner][ACCEPTED])
            .map_or(0, |at_ms| at_ms - self.appended_at_ms[ACCEPTED]);
        Report {
            fronts: self.fronts.len(),
            topics: std::array::from_fn(|topic| crate::TopicReport {
                reads_per_s: per_s(counts.served[topic]),
                refused_per_s: per_s(counts.refused[topic]),
                bytes_per_s: per_s(counts.bytes[topic]),
                appends_per_s: per_s(counts.appends[topic]),
            }),
            group_per_s: per_s(counts.group),
            calls_per_s: per_s(reads + appends) + per_s(counts.group) / 10.0,
            refused_hundredths: refused as f64 * 100.0 / reads.max(1) as f64,
            configuration: self.propagation(CONFIGURATION),
            draining: self.propagation(DRAINING),
            accepted_ms,
            holder_gap_ms,
            owner_gap_ms,
            takes: counts.takes,
            double_orders: counts.double_orders,
        }
    }
}
