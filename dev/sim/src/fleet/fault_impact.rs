//! Start and end of faults.

use super::*;

impl Fleet<'_> {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.settings.faults[number];
        let now_ms = self.now_ms;
        let first = self.first_partition();
        let holder = self.find_running(|front| front.lease.fence(now_ms).is_some());
        let owner = self.find_running(|front| front.owns(first, now_ms));
        self.fault_impact.holder = holder.map(|front| (front, now_ms));
        self.fault_impact.owner = owner.map(|front| (front, now_ms));
        let mut affected: BTreeSet<usize> = holder.into_iter().chain(owner).collect();
        for front in 0..self.fronts.len() {
            if self.rng.below(100) < fault.share_percent {
                affected.insert(front);
            }
        }
        if fault.share_percent < 100 && affected.len() == self.fronts.len() {
            let is_lost = |front: &usize| holder == Some(*front) || owner == Some(*front);
            let others: Vec<usize> = affected.iter().copied().filter(|f| !is_lost(f)).collect();
            let drawn = self.rng.below(others.len() as u64) as usize;
            if let Some(spared) = others.get(drawn) {
                affected.remove(spared);
            }
        }
        for front in &affected {
            let state = &mut self.fronts[*front];
            match fault.kind {
                FaultKind::Killed | FaultKind::Frozen => state.is_running = false,
                FaultKind::Refused => state.is_refused = true,
            }
        }
        self.affected.extend(&affected);
        self.affected_by[number] = affected.into_iter().collect();
    }

    pub(super) fn find_running(&self, predicate: impl Fn(&Front) -> bool) -> Option<usize> {
        self.fronts
            .iter()
            .position(|front| front.is_running && predicate(front))
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let Fault { kind, .. } = self.settings.faults[number];
        for front in std::mem::take(&mut self.affected_by[number]) {
            match kind {
                FaultKind::Refused => self.fronts[front].is_refused = false,
                FaultKind::Killed => {
                    let incarnation = self.fronts[front].incarnation + 1;
                    self.fronts[front] = Front::new(front, self.settings, incarnation, self.now_ms);
                    let after_ms = self.rng.below(START_WINDOW_MS);
                    self.start_front(front, after_ms);
                }
                FaultKind::Frozen => {
                    let state = &mut self.fronts[front];
                    state.is_running = true;
                    // The events scheduled before the fault fell due while the front was paused.
                    state.incarnation += 1;
                    for follower in &mut state.followers {
                        follower.is_waiting = false;
                    }
                    self.start_front(front, 0);
                }
            }
        }
    }
}
