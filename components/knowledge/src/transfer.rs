//! The reads and writes of a shard's record at its owner.

use derive::key;

use crate::WriteSchedule;

/// Distinguishes the transfers of one process.
#[key]
pub struct TransferNumber(pub u64);

#[derive(Debug, PartialEq, Eq)]
enum Transfer {
    /// The knowledge of the owner before is being read. Nothing is written until then: an empty
    /// record would replace it for all other fronts.
    Reading(TransferNumber),
    /// A record can be written.
    Idle,
    /// A record is being written.
    Writing(TransferNumber),
}

/// Transfers of a shard that this process owns, at most one at a time. A shard that was lost and
/// taken again gets a new value, which ignores the ends of transfers of the former one.
#[derive(Debug)]
pub struct ShardTransfers {
    transfer: Transfer,
    schedule: WriteSchedule,
}

impl ShardTransfers {
    /// Starts with the read of the knowledge of the owner before.
    pub fn reading(number: TransferNumber) -> Self {
        Self {
            transfer: Transfer::Reading(number),
            schedule: WriteSchedule::default(),
        }
    }

    /// Notes that the knowledge has changed.
    pub fn mark_changed(&mut self) {
        self.schedule.mark_changed();
    }

    /// Begins a write if one is due now; false if none is.
    pub fn begin_write(&mut self, number: TransferNumber, now_ms: u64) -> bool {
        let begins = self.transfer == Transfer::Idle && self.schedule.take_due(now_ms);
        if begins {
            self.transfer = Transfer::Writing(number);
        }
        begins
    }

    /// Notes the end of a read. Returns whether it is the one in progress, so that what it brought
    /// counts.
    pub fn finish_read(&mut self, number: TransferNumber) -> bool {
        let is_current = self.transfer == Transfer::Reading(number);
        if is_current {
            self.transfer = Transfer::Idle;
        }
        is_current
    }

    /// Notes the end of a write. Knowledge that was not written counts as changed.
    pub fn finish_write(&mut self, number: TransferNumber, is_written: bool) {
        if self.transfer != Transfer::Writing(number) {
            return;
        }
        self.transfer = Transfer::Idle;
        if !is_written {
            self.schedule.mark_changed();
        }
    }
}
