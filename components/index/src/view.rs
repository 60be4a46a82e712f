//! What the index says, as far as it was read.

use bytes::Bytes;
use lease::Lease;
use steps::Ledger;

use crate::record::{IndexError, LogRecord, decode};

/// Steps and the lease.
pub struct Index {
    /// Steps and results.
    pub ledger: Ledger,
    /// The lease on orders.
    pub lease: Lease,
    /// Since when the log was read without a gap, in milliseconds; 0 while it was read from
    /// its first record on.
    pub read_since_ms: u64,
}

impl Index {
    /// Nothing was read.
    pub fn new(lease: Lease) -> Self {
        Self {
            ledger: Ledger::default(),
            lease,
            read_since_ms: 0,
        }
    }

    /// Takes records in from an offset on, and tells `odd` of those that are none; gives the
    /// offset behind them.
    pub fn apply(
        &mut self,
        from: u64,
        records: &[Bytes],
        now_ms: u64,
        mut odd: impl FnMut(u64, IndexError),
    ) -> u64 {
        for (offset, record) in (from..).zip(records) {
            match decode(record) {
                Ok(LogRecord::Step(record)) => {
                    self.ledger.apply(offset, record, now_ms);
                }
                Ok(LogRecord::Lease(record)) => self.lease.apply(offset, &record, now_ms),
                Err(error) => odd(offset, error),
            }
        }
        from + records.len() as u64
    }

    /// Records before those that will be read next are gone: who holds the lease is unknown,
    /// and steps may be missing.
    pub fn mark_gap(&mut self, now_ms: u64) {
        self.lease.reset();
        self.read_since_ms = now_ms;
    }
}
