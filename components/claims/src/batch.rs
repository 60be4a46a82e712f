//! Records of one shard on their way into the log, several an append.
//!
//! One append is on its way at a time. When its answer is lost it is sent again as it
//! is; readers count a claim once. A claim that has waited longer than its holder waits
//! is dropped: appended after an outage it would win with nobody to run it, and the
//! caller, who was told "not run", would get "unknown" for its repeat.

use std::collections::VecDeque;

use derive::value;
use quick_error::quick_error;

use crate::{ClaimSettings, Line, Record, RecordError};

quick_error! {
    /// No more records can wait; the submission is refused as not run.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BatchFull {
        /// This many wait already.
        Queued(records: usize) {
            display("{} records wait for the log already", records)
        }
    }
}

#[value]
struct QueuedRecord {
    record: Record,
    queued_ms: u64,
    bytes: usize,
}

/// Records that wait for one shard's next append.
#[derive(Clone, Debug)]
pub struct Batch {
    settings: ClaimSettings,
    queue: VecDeque<QueuedRecord>,
    /// How many of the first are on their way.
    in_flight: usize,
    /// When the next append would be due if none might come early.
    next_paced_ms: u64,
}

impl Batch {
    /// Nothing waits.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            in_flight: 0,
            next_paced_ms: 0,
        }
    }

    /// Puts a record into the queue.
    pub fn push(&mut self, record: Record, now_ms: u64) -> Result<(), BatchFull> {
        if self.queue.len() >= self.settings.waiting_max {
            return Err(BatchFull::Queued(self.queue.len()));
        }
        let bytes = estimated_bytes(&record);
        self.queue.push_back(QueuedRecord {
            record,
            queued_ms: now_ms,
            bytes,
        });
        Ok(())
    }

    /// When [`Batch::flush`] is to be asked next; `None` when nothing waits or an append
    /// is on its way.
    pub fn next_flush_ms(&self) -> Option<u64> {
        (self.in_flight == 0 && !self.queue.is_empty()).then(|| self.due_ms())
    }

    /// The text of the next append, when it is due. The first `flush_burst` after a pause
    /// go at once; under load there is one append each `flush_every_ms`.
    ///
    /// A call's claim and its end are two records of one shard within milliseconds. With
    /// one append each interval the end waits out the interval that the claim began, and
    /// a repeat that comes right after the answer is told that the call may be running.
    pub fn flush(&mut self, now_ms: u64) -> Result<Option<String>, RecordError> {
        if self.in_flight > 0 || now_ms < self.due_ms() {
            return Ok(None);
        }
        self.drop_expired_claims(now_ms);
        let count = self.next_batch_len();
        if count == 0 {
            return Ok(None);
        }
        let records = self.queue.iter().take(count);
        let records = records.map(|waiting| waiting.record.clone()).collect();
        let text = Line::new(records).to_json()?;
        self.in_flight = count;
        self.next_paced_ms = self.next_paced_ms.max(now_ms) + self.settings.flush_every_ms;
        Ok(Some(text))
    }

    /// The append worked.
    pub fn confirm_append(&mut self) {
        self.queue.drain(..self.in_flight);
        self.in_flight = 0;
    }

    /// The append failed, or its answer was lost: the same records go again.
    pub fn retry_append(&mut self) {
        self.in_flight = 0;
    }

    /// Records that wait or are on their way.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn due_ms(&self) -> u64 {
        let early = self.settings.flush_burst.saturating_sub(1);
        self.next_paced_ms
            .saturating_sub(early * self.settings.flush_every_ms)
    }

    fn drop_expired_claims(&mut self, now_ms: u64) {
        let longest_ms = self.settings.start_within_ms;
        self.queue.retain(|waiting| {
            let late = now_ms.saturating_sub(waiting.queued_ms) > longest_ms;
            !(late && matches!(waiting.record, Record::Claim(_)))
        });
    }

    fn next_batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |waiting: &&QueuedRecord| {
            bytes += waiting.bytes;
            bytes <= self.settings.batch_bytes_max
        };
        let few = self.queue.iter().take(self.settings.batch_records_max);
        let count = few.take_while(fits).count();
        count.max(usize::from(!self.queue.is_empty()))
    }
}

/// Size in the log, near enough for a limit.
fn estimated_bytes(record: &Record) -> usize {
    const PLAIN_BYTES: usize = 200;
    let Record::Done {
        outcome:
            crate::Outcome::Answered {
                answer: Some(answer),
                ..
            },
        ..
    } = record
    else {
        return PLAIN_BYTES;
    };
    let body_bytes = match &answer.body {
        crate::Body::Text(text) | crate::Body::Hex(text) => text.len(),
    };
    let headers = answer.headers.iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.len() + value.len() + 6)
        .sum();
    PLAIN_BYTES + header_bytes + body_bytes
}
