//! The group of fronts, and the lease.

use super::*;

impl Fleet<'_> {
    pub(super) fn join(&mut self, front: usize) {
        let settling = self.now_ms < self.settling_until_ms[front];
        let mut interval_ms = join_interval_ms(settling);
        match self.takes_part(front) {
            true => self.join_group(front),
            false => interval_ms = STANDBY_MS,
        }
        self.at_front(front, interval_ms, Event::Join);
    }

    /// Whether a front is a member now; one that stands by asks who owns partitions.
    pub(super) fn takes_part(&mut self, front: usize) -> bool {
        let (now_ms, large) = (self.now_ms, self.settings.large());
        if self.fronts[front].standby.is_none() {
            return true;
        }
        self.count(|counts| counts.owner_reads += 1);
        let heard = !self.fronts[front].turned_away && self.store.take_read(now_ms);
        let larger_owns = self.store.group.is_owned_below(large, now_ms);
        let Some(standby) = &mut self.fronts[front].standby else {
            return true;
        };
        if heard {
            standby.observe_owners(larger_owns, now_ms);
        }
        let takes_part = standby.should_join(now_ms);
        if !takes_part && self.fronts[front].owns_any() {
            self.fronts[front].ownership.step_down();
            self.store.group.leave(front);
        }
        takes_part
    }

    pub(super) fn join_group(&mut self, front: usize) {
        self.count(|counts| counts.group += 1);
        let now_ms = self.now_ms;
        if self.fronts[front].turned_away || !self.store.take_group_call(now_ms) {
            return;
        }
        let until_ms = now_ms + ONE_WAY_MS + ownership::MEMBER_TTL_MS;
        let (generation, partitions) = self.store.group.join(front, until_ms, now_ms);
        self.at_front(
            front,
            2 * ONE_WAY_MS,
            Event::Joined {
                sent_ms: now_ms,
                generation,
                partitions,
            },
        );
    }

    pub(super) fn joined(
        &mut self,
        front: usize,
        sent_ms: u64,
        generation: u64,
        partitions: Vec<u32>,
    ) {
        let ownership = &mut self.fronts[front].ownership;
        let changed = ownership.record_join(sent_ms, generation, partitions);
        if changed && !ownership.partitions().is_empty() {
            self.settling_until_ms[front] = self.now_ms + REBALANCE_MS;
        }
        self.note_demand(front);
        if changed {
            self.read_at_once(front);
        }
        self.note_owner(front);
    }

    pub(super) fn lead(&mut self, front: usize) {
        let now_ms = self.now_ms;
        let owners_first = self.settings.owners_first;
        let state = &mut self.fronts[front];
        let owns = state.owns_any() || !owners_first;
        let fresh = state
            .index_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < INDEX_AGE_MS_MAX);
        let record = match fresh && is_candidate(&state.lease, owns, state.started_ms, now_ms) {
            true => {
                let held = state.lease.is_held_here();
                state.lease.next_record(0, held, now_ms)
            }
            false => None,
        };
        let turned_away = state.turned_away;
        if let Some(record) = record {
            self.count(|counts| {
                counts.takes += u64::from(matches!(record, LeaseRecord::Acquire { .. }));
            });
            if !turned_away {
                self.append(INDEX, SMALL_BYTES, Body::Lease(record));
            }
        }
        self.note_orderer(front);
    }

    pub(super) fn note_orderer(&mut self, front: usize) {
        let now_ms = self.now_ms;
        if self.fronts[front].lease.fence(now_ms).is_none() {
            self.orderers.remove(&front);
            return;
        }
        self.orderers.insert(front);
        let others = self.orderers.iter().filter(|other| **other != front);
        let both = others.filter(|other| self.fronts[**other].lease.fence(now_ms).is_some());
        let both = both.count() as u64;
        self.counts.double_orders += both;
        if let Some((lost, at_ms)) = self.losses.holder
            && lost != front
        {
            self.losses.holder_gap_ms = now_ms - at_ms;
            self.losses.holder = None;
        }
    }

    pub(super) fn first_partition(&self) -> u32 {
        self.settings.partitions - 1
    }

    pub(super) fn note_owner(&mut self, front: usize) {
        if let Some((lost, at_ms)) = self.losses.owner
            && lost != front
            && self.fronts[front].owns(self.first_partition(), self.now_ms)
        {
            self.losses.owner_gap_ms = self.now_ms - at_ms;
            self.losses.owner = None;
        }
    }
}
