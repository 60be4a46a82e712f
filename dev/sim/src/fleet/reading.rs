//! Reads of the fronts, and what is appended.

use super::*;

impl Fleet<'_> {
    /// Schedules the next read; whichever of several comes first voids the others.
    pub(super) fn read_after(&mut self, front: usize, topic: usize, after_ms: u64) {
        let read = self.fronts[front].followers[topic].read;
        self.at_front(front, after_ms, Event::ReadDue { topic, read });
    }

    pub(super) fn read(&mut self, front: usize, topic: usize, read: u64) {
        let follower = &mut self.fronts[front].followers[topic];
        if follower.read != read || !std::mem::take(&mut follower.pauses) {
            return;
        }
        follower.read += 1;
        let turned_away = self.fronts[front].turned_away;
        if turned_away || !self.store.take_read(self.now_ms) {
            self.count(|counts| counts.refused[topic] += 1);
            let next = self.fronts[front].followers[topic].next;
            let end = ReadOutcome::Throttled;
            self.at_front(front, 2 * ONE_WAY_MS, Event::Answered { topic, end, next });
            return;
        }
        self.count(|counts| counts.served[topic] += 1);
        if self.fronts[front].followers[topic].next < self.store.logs[topic].end() {
            self.answer(front, topic, 2 * ONE_WAY_MS);
            return;
        }
        let urgency = self.fronts[front].demand.urgency();
        let follower = &mut self.fronts[front].followers[topic];
        follower.waits = true;
        let (read, wait_ms) = (follower.read, follower.pacer.wait_ms(urgency));
        self.waiting[topic].push((front, read));
        self.at_front(front, ONE_WAY_MS + wait_ms, Event::WaitOver { topic, read });
    }

    /// Answers a read with what is there.
    pub(super) fn answer(&mut self, front: usize, topic: usize, after_ms: u64) {
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
        self.at_front(front, after_ms, Event::Answered { topic, end, next });
    }

    pub(super) fn answered(&mut self, front: usize, topic: usize, end: ReadOutcome, next: usize) {
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
                Body::Marked(mark) => {
                    self.known_ms[front][*mark].get_or_insert(now_ms);
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
            self.lead(front);
        }
        self.note_demand(front);
        let draw = self.draws.next();
        let state = &mut self.fronts[front];
        let urgency = state.demand.urgency();
        let follower = &mut state.followers[topic];
        let interval_ms = follower.pacer.interval_ms(end, urgency, draw);
        follower.pauses = true;
        self.read_after(front, topic, interval_ms);
    }

    /// Reads at once where the urgency rose within an interval.
    pub(super) fn note_demand(&mut self, front: usize) {
        let state = &self.fronts[front];
        let before = state.demand.urgency();
        state.note_demand(self.settings.shards, self.settings.partitions, self.now_ms);
        if state.demand.urgency() > before {
            self.read_at_once(front);
        }
    }

    pub(super) fn read_at_once(&mut self, front: usize) {
        for topic in 0..TOPICS.len() {
            if self.fronts[front].followers[topic].pauses {
                self.read_after(front, topic, 0);
            }
        }
    }

    pub(super) fn append(&mut self, topic: usize, bytes: u64, body: Body) {
        let done_ms = self.store.logs[topic].schedule(self.now_ms + ONE_WAY_MS);
        let record = Record { bytes, body };
        self.schedule(done_ms - self.now_ms, Happening::Appended { topic, record });
    }

    pub(super) fn appended(&mut self, topic: usize, record: Record) {
        if let Body::Marked(mark) = record.body {
            self.appended_ms[mark] = self.now_ms;
        }
        self.count(|counts| counts.appends[topic] += 1);
        self.store.logs[topic].push(record);
        for (front, read) in std::mem::take(&mut self.waiting[topic]) {
            let follower = &mut self.fronts[front].followers[topic];
            if follower.waits && follower.read == read {
                follower.waits = false;
                self.answer(front, topic, ONE_WAY_MS);
            }
        }
    }
}
