//! The store: three logs, a group, and a limit on calls that all fronts share.

use crate::group::Group;
use crate::log::Log;

/// Topics that every front follows.
pub const TOPICS: [&str; 3] = ["index", "operator", "replicas"];
/// Topic of steps, their items and the lease, as an index into [`TOPICS`].
pub const INDEX: usize = 0;
/// Topic of configurations and weight versions.
pub const OPERATOR: usize = 1;
/// Topic of the replicas' records.
pub const REPLICAS: usize = 2;

/// Length of the intervals in which calls are counted against the limit.
const BUDGET_INTERVAL_MS: u64 = 100;
/// Cost of a group call in tenths of a read.
const GROUP_CALL_TENTHS: u64 = 1;

/// State of the store.
#[derive(Debug)]
pub struct Store {
    /// Indexed by topic.
    pub logs: [Log; TOPICS.len()],
    /// The group that distributes partitions among the fronts.
    pub group: Group,
    budget_tenths: u64,
    remaining_tenths: u64,
    interval: u64,
}

impl Store {
    pub fn new(partitions: u32, reads_per_s: u64) -> Self {
        let budget_tenths = reads_per_s * BUDGET_INTERVAL_MS / 100;
        Self {
            logs: Default::default(),
            group: Group::new(partitions),
            budget_tenths,
            remaining_tenths: budget_tenths,
            interval: 0,
        }
    }

    /// Counts a read against the limit of the interval; false if the limit is reached.
    pub fn try_read(&mut self, now_ms: u64) -> bool {
        self.take(10, now_ms)
    }

    /// Counts a group call against the limit of the interval; false if the limit is reached.
    pub fn try_group_call(&mut self, now_ms: u64) -> bool {
        self.take(GROUP_CALL_TENTHS, now_ms)
    }

    fn take(&mut self, tenths: u64, now_ms: u64) -> bool {
        let interval = now_ms / BUDGET_INTERVAL_MS;
        if interval != self.interval {
            self.interval = interval;
            self.remaining_tenths = self.budget_tenths;
        }
        let fits = self.remaining_tenths >= tenths;
        if fits {
            self.remaining_tenths -= tenths;
        }
        fits
    }
}
