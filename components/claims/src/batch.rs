//! Queue of the records of one shard that are to be appended to the log, several per append.
//!
//! Only one append is in flight at a time. If its answer is lost, the same records are sent again;
//! readers count a claim once. A claim that has been queued for longer than its holder waits is
//! dropped: if it were appended after an outage, it would win although no holder runs it, and the
//! caller, who was told "not run", would get "unknown" for its repeat.

use std::collections::VecDeque;

use derive::value;
use quick_error::quick_error;

use crate::{ClaimSettings, Line, Record, RecordError};

quick_error! {
    /// The queue is full; the submission is refused as not run.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BatchFull {
        /// Number of records that are queued already.
        Queued(records: usize) {
            display("the queue is full: {} records wait to be appended to the log", records)
        }
    }
}

#[value]
struct QueuedRecord {
    record: Record,
    queued_ms: u64,
    bytes: usize,
}

/// Records that are queued for the next appends to one shard.
#[derive(Clone, Debug)]
pub struct Batch {
    settings: ClaimSettings,
    queue: VecDeque<QueuedRecord>,
    /// Number of records at the front of `queue` that the append in flight contains.
    in_flight: usize,
    /// Time at which the next append is due without the burst allowance.
    next_paced_ms: u64,
}

impl Batch {
    /// Creates an empty queue.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            in_flight: 0,
            next_paced_ms: 0,
        }
    }

    /// Queues a record. Fails if [`ClaimSettings::waiting_max`] records are queued already.
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

    /// When to call [`Batch::flush`] next; `None` if the queue is empty or an append is in flight.
    pub fn next_flush_ms(&self) -> Option<u64> {
        (self.in_flight == 0 && !self.queue.is_empty()).then(|| self.due_ms())
    }

    /// Returns the text of the next append if one is due. After a pause, the first `flush_burst`
    /// appends are due at once; under load there is one append per `flush_every_ms`.
    ///
    /// A call's claim and the record of its end follow each other in one shard within milliseconds.
    /// With strictly one append per interval, the end would wait for the interval that the claim
    /// started, and a caller that repeats the call right after its answer would be told that the
    /// call may still be running.
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
        let records = records.map(|queued| queued.record.clone()).collect();
        let text = Line::new(records).to_json()?;
        self.in_flight = count;
        self.next_paced_ms = self.next_paced_ms.max(now_ms) + self.settings.flush_every_ms;
        Ok(Some(text))
    }

    /// Removes the records of the append in flight after it succeeded.
    pub fn confirm_append(&mut self) {
        self.queue.drain(..self.in_flight);
        self.in_flight = 0;
    }

    /// Keeps the records of the append in flight for the next one, after it failed or its answer
    /// was lost.
    pub fn retry_append(&mut self) {
        self.in_flight = 0;
    }

    /// Number of records that are queued or in flight.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no record is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn due_ms(&self) -> u64 {
        let burst = self.settings.flush_burst.saturating_sub(1);
        self.next_paced_ms
            .saturating_sub(burst * self.settings.flush_every_ms)
    }

    fn drop_expired_claims(&mut self, now_ms: u64) {
        let wait_ms_max = self.settings.start_within_ms;
        self.queue.retain(|queued| {
            let is_expired = now_ms.saturating_sub(queued.queued_ms) > wait_ms_max;
            !(is_expired && matches!(queued.record, Record::Claim(_)))
        });
    }

    fn next_batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |queued: &&QueuedRecord| {
            bytes += queued.bytes;
            bytes <= self.settings.batch_bytes_max
        };
        let first_records = self.queue.iter().take(self.settings.batch_records_max);
        let count = first_records.take_while(fits).count();
        count.max(usize::from(!self.queue.is_empty()))
    }
}

/// Approximate size of the record in the log, for the limit on the size of an append.
fn estimated_bytes(record: &Record) -> usize {
    const FIXED_BYTES: usize = 200;
    let Record::Done {
        outcome:
            crate::Outcome::Answered {
                answer: Some(answer),
                ..
            },
        ..
    } = record
    else {
        return FIXED_BYTES;
    };
    let body_bytes = match &answer.body {
        crate::Body::Text(text) | crate::Body::Hex(text) => text.len(),
    };
    let headers = answer.headers.iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.len() + value.len() + 6)
        .sum();
    FIXED_BYTES + header_bytes + body_bytes
}
