//! State that the records of the index topic define, up to the last record that was read.

use bytes::Bytes;
use knowledge::ShardRecords;
use lease::Lease;
use quarantine::CrashReport;
use steps::Ledger;

use crate::record::{IndexError, LogRecord, decode};

/// Steps, the lease and the records of shards, as derived from the index topic.
pub struct Index {
    /// Steps and their results.
    pub ledger: Ledger,
    /// Lease on giving orders.
    pub lease: Lease,
    /// Newest records of the owners of shards.
    pub shards: ShardRecords,
    /// Reports that were read since [`Index::take_crash_reports`] was last called.
    crash_reports: Vec<CrashReport>,
    /// Time since which the topic has been read without a gap, in milliseconds; 0 if it was read
    /// from its first record.
    pub read_since_ms: u64,
}

impl Index {
    /// Creates the state before any record is read.
    pub fn new(lease: Lease) -> Self {
        Self {
            ledger: Ledger::default(),
            lease,
            shards: ShardRecords::default(),
            crash_reports: Vec::new(),
            read_since_ms: 0,
        }
    }

    /// Applies consecutive records, the first of which has the offset `from`. Calls `on_malformed`
    /// for each record that can't be decoded, and returns the offset after the last record.
    pub fn apply(
        &mut self,
        from: u64,
        records: &[Bytes],
        now_ms: u64,
        mut on_malformed: impl FnMut(u64, IndexError),
    ) -> u64 {
        for (offset, record) in (from..).zip(records) {
            match decode(record) {
                Ok(LogRecord::Step(record)) => {
                    self.ledger.apply(offset, record, now_ms);
                }
                Ok(LogRecord::Lease(record)) => self.lease.apply(offset, &record, now_ms),
                Ok(LogRecord::Shard(record)) => self.shards.apply(record, now_ms),
                Ok(LogRecord::Crash(report)) => self.crash_reports.push(report),
                Err(error) => on_malformed(offset, error),
            }
        }
        from + records.len() as u64
    }

    /// Returns the reports of crashes that were read since the last call of this method, in the
    /// order of the topic.
    pub fn take_crash_reports(&mut self) -> Vec<CrashReport> {
        std::mem::take(&mut self.crash_reports)
    }

    /// Notes a gap: the store trimmed records before this process read them. The holder of the
    /// lease is unknown until its next record, steps may be missing, and the locations in the records
    /// of shards may be outdated.
    pub fn mark_gap(&mut self, now_ms: u64) {
        self.lease.reset();
        self.shards.clear();
        self.read_since_ms = now_ms;
    }
}
