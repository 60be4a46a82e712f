//! Followers of the platform's store: the operator's records, the replicas' records and the
//! index.
//!
//! [`pacing`] sets the read intervals. A front that acts on the records, or whose client waits
//! for one, reads them as they are written. All other fronts poll at longer intervals and read
//! the accumulated records, which keeps the load on the store low.

mod copy;
mod index;
mod keyed;
mod operator;
mod replicas;

use std::time::Duration;

use bytes::Bytes;
use pacing::{Pacer, ReadOutcome, TopicPace};
use platform::store::{NewestPage, StoreError};
use reach::{ReadTimeout, read_timeout};
use telemetry::Label;

pub use self::copy::{Lookup, SentRead, TopicCopy};
pub use self::index::{find_in_index, follow_index};
pub use operator::follow_operator;
pub use replicas::follow_replicas;

use crate::state::Front;
use crate::storage::ReadRequest;

/// Added to the wait time of a long poll to get its timeout, in milliseconds; allows for a slow
/// store.
const READ_SLACK_MS: u64 = 900;
/// Timeout for reading a page of the newest records of all keys, in milliseconds.
const NEWEST_TIMEOUT_MS: u64 = 1_350;
/// Size limit of one read in kibibytes. A larger limit means fewer calls after a start, but a
/// higher memory peak.
const READ_KB_MAX: u32 = 64;

/// Result of a read.
pub enum Batch {
    /// Records from offset `from` on; `current` if they reach the end of the log. The reader
    /// applies them and then calls [`TopicCopy::record_current`].
    Records {
        read: SentRead,
        from: u64,
        records: Vec<Bytes>,
        current: bool,
    },
    /// The store no longer has the records; the next read starts at the oldest remaining one.
    Trimmed,
    /// Nothing was read; the next read starts at the same offset.
    Failed,
}

/// Reads one partition of a topic in order.
pub struct Follower<'a> {
    front: &'a Front,
    copy: &'a TopicCopy,
    topic: &'static str,
    partition: u32,
    next: u64,
    pacer: Pacer,
    last_outcome: ReadOutcome,
}

impl<'a> Follower<'a> {
    /// Starts at offset 0, with the first read made without a pause.
    pub fn new(
        front: &'a Front,
        copy: &'a TopicCopy,
        topic: &'static str,
        partition: u32,
        pace: TopicPace,
    ) -> Self {
        Self {
            front,
            copy,
            topic,
            partition,
            next: 0,
            pacer: Pacer::new(pace),
            last_outcome: ReadOutcome::MoreAvailable,
        }
    }

    /// Reads the next records, once the interval since the last read is over.
    pub async fn read(&mut self) -> Batch {
        self.pause().await;
        let wait_ms = match self.last_outcome {
            // More records are known to exist, or this is the first read, which must not wait:
            // a front that starts needs the answer that the log is empty.
            ReadOutcome::MoreAvailable => 0,
            _ if self.copy.is_wanted() => 0,
            _ => self.pacer.wait_ms(self.front.demand.urgency()),
        };
        let ReadTimeout { wait_ms, timeout } =
            read_timeout(self.pacer.consecutive_failures(), wait_ms, READ_SLACK_MS);
        let from = ReadRequest {
            topic: self.topic,
            partition: self.partition,
            offset: self.next,
            max_kb: READ_KB_MAX,
            wait_ms,
        };
        let read = self.copy.begin_read();
        match self.front.storage.read(from, timeout).await {
            Ok(page) => {
                let from = self.next;
                self.next += page.records.len() as u64;
                let current = self.next >= page.end;
                self.record_outcome(match (current, page.records.is_empty()) {
                    (false, _) => ReadOutcome::MoreAvailable,
                    (true, false) => ReadOutcome::Records,
                    (true, true) => ReadOutcome::Empty,
                });
                Batch::Records {
                    read,
                    from,
                    records: page.records,
                    current,
                }
            }
            Err(StoreError::Gone(first)) => {
                log::info!(event = "history-gone", topic = self.topic, next = self.next, first; "");
                self.next = first;
                self.record_outcome(ReadOutcome::MoreAvailable);
                Batch::Trimmed
            }
            Err(error) => {
                self.record_failure(&error);
                Batch::Failed
            }
        }
    }

    /// Reads the newest record of each key of a keyed topic and passes the pages to `on_page`; the
    /// next [`Follower::read`] continues behind them. `None` if the read failed, possibly after some
    /// pages.
    pub async fn read_newest(&mut self, on_page: impl FnMut(NewestPage)) -> Option<SentRead> {
        self.pause().await;
        let timeout = Duration::from_millis(NEWEST_TIMEOUT_MS);
        let read = self.copy.begin_read();
        let storage = &self.front.storage;
        match storage.read_newest(self.topic, timeout, on_page).await {
            Ok(end) => {
                self.next = end;
                self.record_outcome(ReadOutcome::MoreAvailable);
                Some(read)
            }
            Err(error) => {
                self.record_failure(&error);
                None
            }
        }
    }

    /// Waits for the read interval; ends early when demand rises, a read barrier waits or the store
    /// is back.
    async fn pause(&self) {
        let demand = &self.front.demand;
        let raised = demand.raised();
        let interval_ms =
            self.pacer
                .interval_ms(self.last_outcome, demand.urgency(), rand::random());
        if interval_ms == 0 && self.last_outcome == ReadOutcome::Empty && self.copy.is_wanted() {
            // The last read may not have waited either.
            self.copy.wait_until_wanted().await;
        } else if interval_ms > 0 {
            tokio::select! {
                () = self.front.storage.pause(interval_ms) => {}
                () = raised => {}
                () = self.copy.wait_until_wanted() => {}
            }
        }
    }

    fn record_outcome(&mut self, end: ReadOutcome) {
        if self.pacer.consecutive_failures() > 0
            && !matches!(end, ReadOutcome::Throttled | ReadOutcome::Failed)
        {
            log::info!(event = "store-regained", topic = self.topic, next = self.next; "");
        }
        match end {
            ReadOutcome::Throttled | ReadOutcome::Failed => self.copy.record_failure(),
            ReadOutcome::MoreAvailable => self.copy.record_progress(),
            // Recorded once the records are applied.
            ReadOutcome::Records | ReadOutcome::Empty => {}
        }
        self.last_outcome = end;
        self.pacer.record_outcome(end);
    }

    /// Counts a failed read; of consecutive failures only the first is logged.
    fn record_failure(&mut self, error: &StoreError) {
        self.front
            .metrics
            .count("front_store_reads_failed_total", Label::default(), 1);
        if self.pacer.consecutive_failures() == 0 {
            log::warn!(event = "store-read-failed", topic = self.topic, error:% = error; "");
        }
        self.record_outcome(match error {
            StoreError::Throttled(_) => ReadOutcome::Throttled,
            _ => ReadOutcome::Failed,
        });
    }
}
