//! A log of the store with a single partition.

use lease::LeaseRecord;

/// The part of a record that matters to the simulation.
#[derive(Clone, Debug)]
pub enum Body {
    /// Any record about a replica; only its length matters.
    Replica,
    /// Change whose propagation to all fronts is timed; the index into `TIMED_CHANGES_AT_MS`.
    Timed(usize),
    /// Any record about a step or a version; only its length matters.
    Step,
    /// Record about the lease that decides which front gives orders.
    Lease(LeaseRecord),
}

/// A record of the log.
#[derive(Clone, Debug)]
pub struct Record {
    /// Length of the encoded record.
    pub bytes: u64,
    pub body: Body,
}

/// The records, and the time until which earlier appends keep the partition busy.
#[derive(Debug, Default)]
pub struct Log {
    records: Vec<Record>,
    /// Time at which all scheduled appends are done.
    idle_from_ms: u64,
}

/// Duration of one append.
const APPEND_MS: u64 = 1;

impl Log {
    /// Returns when an append that arrives now is done. Appends run one after the other.
    pub fn schedule(&mut self, now_ms: u64) -> u64 {
        self.idle_from_ms = self.idle_from_ms.max(now_ms) + APPEND_MS;
        self.idle_from_ms
    }

    /// Adds a record at the end.
    pub fn push(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Offset after the last record.
    pub fn end(&self) -> usize {
        self.records.len()
    }

    /// Returns records from offset `from`, at most `bytes_max` bytes in total but at least one
    /// record if there is one.
    pub fn page(&self, from: usize, bytes_max: u64) -> &[Record] {
        let rest = &self.records[from.min(self.records.len())..];
        let mut bytes = 0;
        let fits = rest.iter().take_while(|record| {
            let fits = bytes == 0 || bytes + record.bytes <= bytes_max;
            bytes += record.bytes;
            fits
        });
        let count = fits.count();
        &rest[..count]
    }
}
