//! Following the platform's store: the operator's and replicas' records, and the index.
//!
//! Reads are paced by [`pacing`]: a front that acts on records, or whose client waits for one,
//! reads them as they are written; all others take what has gathered.

mod index;
mod keyed;
mod operator;
mod replicas;

use std::time::Duration;

use bytes::Bytes;
use pacing::{Pacer, ReadEnd, TopicPace};
use platform::store::StoreError;
use reach::{ReadTimeout, read_timeout};
use telemetry::Label;

pub use self::index::{index, wait_until_index_current};
pub use operator::operator;
pub use replicas::replicas;

use crate::state::Front;
use crate::storage::ReadRequest;

/// Time for a read beyond its wait; covers a store that is slow.
const READ_SLACK_MS: u64 = 900;
/// Time for the newest records of all keys.
const NEWEST_MS: u64 = 1_350;
/// Most kibibytes of one read: peak memory against calls after a start.
const READ_KB: u32 = 64;

/// What a read brought.
pub enum Batch {
    /// Records from this offset on; `current` if they reach the end of the log.
    Records {
        from: u64,
        records: Vec<Bytes>,
        current: bool,
    },
    /// The records are gone; reading goes on at the first that is left.
    Trimmed,
    /// Nothing, as the read failed.
    Failed,
}

/// Follows one partition of a topic.
pub struct Follower<'a> {
    front: &'a Front,
    topic: &'static str,
    partition: u32,
    next: u64,
    pacer: Pacer,
    end: ReadEnd,
}

impl<'a> Follower<'a> {
    /// Follows from the first record on; the first read is made at once.
    pub fn new(front: &'a Front, topic: &'static str, partition: u32, pace: TopicPace) -> Self {
        Self {
            front,
            topic,
            partition,
            next: 0,
            pacer: Pacer::new(pace),
            end: ReadEnd::Behind,
        }
    }

    /// Reads on when the interval behind the last read is over.
    pub async fn read(&mut self) -> Batch {
        self.pause().await;
        let wait_ms = match self.end {
            // What is there is not waited for; nor is the proof of a front that starts that
            // nothing is.
            ReadEnd::Behind => 0,
            _ => self.pacer.wait_ms(self.front.demand.urgency()),
        };
        let ReadTimeout { wait_ms, within } =
            read_timeout(self.pacer.failed(), wait_ms, READ_SLACK_MS);
        let from = ReadRequest {
            topic: self.topic,
            partition: self.partition,
            offset: self.next,
            max_kb: READ_KB,
            wait_ms,
        };
        match self.front.storage.read(from, within).await {
            Ok(page) => {
                let from = self.next;
                self.next += page.records.len() as u64;
                let current = self.next >= page.end;
                self.ended(match (current, page.records.is_empty()) {
                    (false, _) => ReadEnd::Behind,
                    (true, false) => ReadEnd::Records,
                    (true, true) => ReadEnd::Nothing,
                });
                Batch::Records {
                    from,
                    records: page.records,
                    current,
                }
            }
            Err(StoreError::Gone(first)) => {
                log::info!(event = "history-gone", topic = self.topic, next = self.next, first; "");
                self.next = first;
                self.ended(ReadEnd::Behind);
                Batch::Trimmed
            }
            Err(error) => {
                self.failed(&error);
                Batch::Failed
            }
        }
    }

    /// The newest record of each key of a keyed topic; reading goes on behind them. None if the
    /// read failed.
    pub async fn newest(&mut self) -> Option<Vec<platform::store::KeyedRecord>> {
        self.pause().await;
        let within = Duration::from_millis(NEWEST_MS);
        match self.front.storage.newest(self.topic, within).await {
            Ok((records, end)) => {
                self.next = end;
                self.ended(ReadEnd::Behind);
                Some(records)
            }
            Err(error) => {
                self.failed(&error);
                None
            }
        }
    }

    async fn pause(&self) {
        let demand = &self.front.demand;
        let raised = demand.raised();
        let interval_ms = self
            .pacer
            .interval_ms(self.end, demand.urgency(), rand::random());
        if interval_ms > 0 {
            tokio::select! {
                () = self.front.storage.pause(interval_ms) => {}
                () = raised => {}
            }
        }
    }

    fn ended(&mut self, end: ReadEnd) {
        if self.pacer.failed() > 0 && !matches!(end, ReadEnd::Throttled | ReadEnd::Failed) {
            log::info!(event = "store-regained", topic = self.topic, next = self.next; "");
        }
        self.end = end;
        self.pacer.ended(end);
    }

    /// One line for each row of failed reads.
    fn failed(&mut self, error: &StoreError) {
        self.front
            .metrics
            .count("front_store_reads_failed_total", Label::default(), 1);
        if self.pacer.failed() == 0 {
            log::warn!(event = "store-read-failed", topic = self.topic, error:% = error; "");
        }
        self.ended(match error {
            StoreError::Throttled(_) => ReadEnd::Throttled,
            _ => ReadEnd::Failed,
        });
    }
}
