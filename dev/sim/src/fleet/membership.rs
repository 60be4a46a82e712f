//! Group membership of the fronts, and the lease.

use super::*;

impl Fleet<'_> {
    pub(super) fn join(&mut self, front: usize) {
        let is_rebalancing = self.now_ms < self.rebalancing_until_ms[front];
        let mut interval_ms = join_interval_ms(is_rebalancing);
        match self.should_be_member(front) {
            true => self.join_group(front),
            false => interval_ms = STANDBY_INTERVAL_MS,
        }
        self.schedule_at_front(front, interval_ms, FrontEvent::Join);
    }

    /// Whether a front should be a member of the group now. A small front reads who owns partitions
    /// to decide, and leaves the group when a larger front owns one.
    pub(super) fn should_be_member(&mut self, front: usize) -> bool {
        let (now_ms, large) = (self.now_ms, self.settings.large_count());
        if self.fronts[front].standby.is_none() {
            return true;
        }
        self.count(|counts| counts.owner_reads += 1);
        let is_answered = !self.fronts[front].is_refused && self.store.try_read(now_ms);
        let larger_owns = self.store.group.is_owned_below(large, now_ms);
        let Some(standby) = &mut self.fronts[front].standby else {
            return true;
        };
        if is_answered {
            standby.observe_owners(larger_owns, now_ms);
        }
        let should_be_member = standby.should_join(now_ms);
        if !should_be_member && self.fronts[front].owns_any() {
            self.fronts[front].ownership.step_down();
            self.store.group.leave(front);
        }
        should_be_member
    }

    pub(super) fn join_group(&mut self, front: usize) {
        self.count(|counts| counts.group += 1);
        let now_ms = self.now_ms;
        if self.fronts[front].is_refused || !self.store.try_group_call(now_ms) {
            return;
        }
        let until_ms = now_ms + ONE_WAY_MS + ownership::MEMBER_TTL_MS;
        let (generation, partitions) = self.store.group.join(front, until_ms, now_ms);
        self.schedule_at_front(
            front,
            2 * ONE_WAY_MS,
            FrontEvent::JoinAnswered {
                sent_ms: now_ms,
                generation,
                partitions,
            },
        );
    }

    pub(super) fn handle_joined(
        &mut self,
        front: usize,
        sent_ms: u64,
        generation: u64,
        partitions: Vec<u32>,
    ) {
        let ownership = &mut self.fronts[front].ownership;
        let joined = ownership.record_join(sent_ms, generation, partitions, 0);
        let changed = joined.is_new_generation;
        if changed && !ownership.partitions().is_empty() {
            self.rebalancing_until_ms[front] = self.now_ms + REBALANCE_MS;
        }
        self.update_demand(front);
        if changed {
            self.read_immediately(front);
        }
        self.record_new_owner(front);
    }

    pub(super) fn check_lease(&mut self, front: usize) {
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
        let is_refused = state.is_refused;
        if let Some(record) = record {
            self.count(|counts| {
                counts.takes += u64::from(matches!(record, LeaseRecord::Acquire { .. }));
            });
            if !is_refused {
                self.append(INDEX, SMALL_RECORD_BYTES, Body::Lease(record));
            }
        }
        self.update_lease_holders(front);
    }

    pub(super) fn update_lease_holders(&mut self, front: usize) {
        let now_ms = self.now_ms;
        if self.fronts[front].lease.fence(now_ms).is_none() {
            self.lease_holders.remove(&front);
            return;
        }
        self.lease_holders.insert(front);
        let others = self.lease_holders.iter().filter(|other| **other != front);
        let overlapping = others.filter(|other| self.fronts[**other].lease.fence(now_ms).is_some());
        let overlapping = overlapping.count() as u64;
        self.counts.double_orders += overlapping;
        if let Some((lost_front, at_ms)) = self.fault_impact.holder
            && lost_front != front
        {
            self.fault_impact.holder_gap_ms = now_ms - at_ms;
            self.fault_impact.holder = None;
        }
    }

    pub(super) fn first_partition(&self) -> u32 {
        self.settings.partitions - 1
    }

    pub(super) fn record_new_owner(&mut self, front: usize) {
        if let Some((lost_front, at_ms)) = self.fault_impact.owner
            && lost_front != front
            && self.fronts[front].owns(self.first_partition(), self.now_ms)
        {
            self.fault_impact.owner_gap_ms = self.now_ms - at_ms;
            self.fault_impact.owner = None;
        }
    }
}
