//! Losses of a part of the fleet.

use super::*;

impl Fleet<'_> {
    pub(super) fn fault_begins(&mut self, number: usize) {
        let fault = self.settings.faults[number];
        let now_ms = self.now_ms;
        let first = self.first_partition();
        let holder = self.find(|front| front.lease.fence(now_ms).is_some());
        let owner = self.find(|front| front.owns(first, now_ms));
        self.losses.holder = holder.map(|front| (front, now_ms));
        self.losses.owner = owner.map(|front| (front, now_ms));
        let mut met: BTreeSet<usize> = holder.into_iter().chain(owner).collect();
        for front in 0..self.fronts.len() {
            if self.draws.below(100) < fault.share_hundredths {
                met.insert(front);
            }
        }
        for front in &met {
            let state = &mut self.fronts[*front];
            match fault.kind {
                FaultKind::Killed | FaultKind::Frozen => state.runs = false,
                FaultKind::TurnedAway => state.turned_away = true,
            }
        }
        self.met.extend(&met);
        self.met_by[number] = met.into_iter().collect();
    }

    pub(super) fn find(&self, holds: impl Fn(&Front) -> bool) -> Option<usize> {
        self.fronts
            .iter()
            .position(|front| front.runs && holds(front))
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let Fault { kind, .. } = self.settings.faults[number];
        for front in std::mem::take(&mut self.met_by[number]) {
            match kind {
                FaultKind::TurnedAway => self.fronts[front].turned_away = false,
                FaultKind::Killed => {
                    let incarnation = self.fronts[front].incarnation + 1;
                    self.fronts[front] = Front::new(front, self.settings, incarnation, self.now_ms);
                    let after_ms = self.draws.below(START_MS);
                    self.start_front(front, after_ms);
                }
                FaultKind::Frozen => {
                    let state = &mut self.fronts[front];
                    state.runs = true;
                    // What was scheduled for it fell into the fault.
                    state.incarnation += 1;
                    for follower in &mut state.followers {
                        follower.waits = false;
                    }
                    self.start_front(front, 0);
                }
            }
        }
    }
}
