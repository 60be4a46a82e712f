//! Reads of the fronts and appends to the logs.

use super::*;

impl Fleet<'_> {
    /// Schedules the next read. Of several scheduled reads the earliest starts and the others are
    /// ignored.
    pub(super) fn schedule_read(&mut self, front: usize, topic: usize, after_ms: u64) {
        let read = self.fronts[front].followers[topic].read;
        self.schedule_at_front(front, after_ms, FrontEvent::ReadDue { topic, read });
    }

    pub(super) fn start_read(&mut self, front: usize, topic: usize, read: u64) {
        let follower = &mut self.fronts[front].followers[topic];
        if follower.read != read || !std::mem::take(&mut follower.is_pausing) {
            return;
        }
        follower.read += 1;
        let is_refused = self.fronts[front].is_refused;
        if is_refused || !self.store.try_read(self.now_ms) {
            self.count(|counts| counts.refused[topic] += 1);
            let next = self.fronts[front].followers[topic].next;
            let end = ReadOutcome::Throttled;
            self.schedule_at_front(
                front,
                2 * ONE_WAY_MS,
                FrontEvent::ReadAnswered { topic, end, next },
            );
            return;
        }
        self.count(|counts| counts.served[topic] += 1);
        if self.fronts[front].followers[topic].next < self.store.logs[topic].end() {
            self.send_records(front, topic, 2 * ONE_WAY_MS);
            return;
        }
        let urgency = self.fronts[front].demand.urgency();
        let follower = &mut self.fronts[front].followers[topic];
        follower.is_waiting = true;
        let (read, wait_ms) = (follower.read, follower.pacer.wait_ms(urgency));
        self.waiting[topic].push((front, read));
        self.schedule_at_front(
            front,
            ONE_WAY_MS + wait_ms,
            FrontEvent::WaitTimedOut { topic, read },
        );
    }

    /// Answers a read with the records that the log has from the follower's offset on.
    pub(super) fn send_records(&mut self, front: usize, topic: usize, after_ms: u64) {
        let from = self.fronts[front].followers[topic].next;
        let log = &self.store.logs[topic];
        let page = log.page(from, PAGE_BYTES);
        let bytes: u64 = page.iter().map(|record| record.bytes).sum();
        let next = from + page.len();
        let end = match next < log.end() {
            true => ReadOutcome::MoreAvailable,
            false => ReadOutcome::Records,
        };
        self.count(|counts| counts.bytes[topic] += bytes);
        self.schedule_at_front(
            front,
            after_ms,
            FrontEvent::ReadAnswered { topic, end, next },
        );
    }

    pub(super) fn handle_answer(
        &mut self,
        front: usize,
        topic: usize,
        end: ReadOutcome,
        next: usize,
    ) {
        let (now_ms, from) = (self.now_ms, self.fronts[front].followers[topic].next);
        for offset in from..next {
            let record = &self.store.logs[topic].page(offset, 0)[0];
            match &record.body {
                Body::Lease(record) => {
                    let record = record.clone();
                    self.fronts[front]
                        .lease
                        .apply(offset as u64, &record, now_ms);
                }
                Body::Timed(change) => {
                    self.known_at_ms[front][*change].get_or_insert(now_ms);
                }
                Body::Replica | Body::Step => {}
            }
        }
        let state = &mut self.fronts[front];
        state.followers[topic].next = next;
        if topic == INDEX && matches!(end, ReadOutcome::Records | ReadOutcome::Empty) {
            state.index_current_ms = now_ms;
        }
        state.followers[topic].pacer.record_outcome(end);
        if topic == INDEX && next > from {
            self.check_lease(front);
        }
        self.update_demand(front);
        let draw = self.rng.next();
        let state = &mut self.fronts[front];
        let urgency = state.demand.urgency();
        let follower = &mut state.followers[topic];
        let interval_ms = follower.pacer.interval_ms(end, urgency, draw);
        follower.is_pausing = true;
        self.schedule_read(front, topic, interval_ms);
    }

    /// Updates a front's urgency, and starts reads at once if the urgency rose during an interval.
    pub(super) fn update_demand(&mut self, front: usize) {
        let state = &self.fronts[front];
        let before = state.demand.urgency();
        state.update_demand(self.settings.shards, self.settings.partitions, self.now_ms);
        if state.demand.urgency() > before {
            self.read_immediately(front);
        }
    }

    pub(super) fn read_immediately(&mut self, front: usize) {
        for topic in 0..TOPICS.len() {
            if self.fronts[front].followers[topic].is_pausing {
                self.schedule_read(front, topic, 0);
            }
        }
    }

    pub(super) fn append(&mut self, topic: usize, bytes: u64, body: Body) {
        let done_ms = self.store.logs[topic].schedule(self.now_ms + ONE_WAY_MS);
        let record = Record { bytes, body };
        self.schedule(done_ms - self.now_ms, SimEvent::Appended { topic, record });
    }

    pub(super) fn handle_append(&mut self, topic: usize, record: Record) {
        if let Body::Timed(change) = record.body {
            self.appended_at_ms[change] = self.now_ms;
        }
        self.count(|counts| counts.appends[topic] += 1);
        self.store.logs[topic].push(record);
        for (front, read) in std::mem::take(&mut self.waiting[topic]) {
            let follower = &mut self.fronts[front].followers[topic];
            if follower.is_waiting && follower.read == read {
                follower.is_waiting = false;
                self.send_records(front, topic, ONE_WAY_MS);
            }
        }
    }
}
