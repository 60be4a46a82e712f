//! One partition of the store's log.

use lease::LeaseRecord;

/// What a record means to the simulation.
#[derive(Clone, Debug)]
pub enum Body {
    /// Something of a replica.
    Replica,
    /// A change whose way to all fronts is timed.
    Marked(usize),
    /// Something of a step.
    Step,
    /// About the lease.
    Lease(LeaseRecord),
}

/// A record.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its length.
    pub bytes: u64,
    /// What it means.
    pub body: Body,
}

/// One partition.
#[derive(Debug, Default)]
pub struct Log {
    records: Vec<Record>,
    /// When the partition has finished the appends that it was given.
    free_ms: u64,
}

/// Time that the partition takes for one append.
const APPEND_MS: u64 = 1;

impl Log {
    /// When an append that arrives now is done; appends are made one after the other.
    pub fn schedule(&mut self, now_ms: u64) -> u64 {
        self.free_ms = self.free_ms.max(now_ms) + APPEND_MS;
        self.free_ms
    }

    /// Adds a record at the end.
    pub fn push(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Offset behind the last record.
    pub fn end(&self) -> usize {
        self.records.len()
    }

    /// Records from an offset on, of this length together at most, but one at least.
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
