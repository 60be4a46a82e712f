//! The store: three logs, a group, and a budget of calls that all fronts share.

use crate::group::Group;
use crate::log::Log;

/// Topics that every front follows.
pub const TOPICS: [&str; 3] = ["index", "operator", "replicas"];
/// Index of each topic.
pub const INDEX: usize = 0;
/// Operator's records.
pub const OPERATOR: usize = 1;
/// Replicas' records.
pub const REPLICAS: usize = 2;

/// Interval in which the budget is counted.
const BUDGET_MS: u64 = 100;
/// Calls to the group count as so many tenths of a call.
const GROUP_TENTHS: u64 = 1;

/// The store.
#[derive(Debug)]
pub struct Store {
    /// One log a topic.
    pub logs: [Log; TOPICS.len()],
    /// The group of fronts.
    pub group: Group,
    tenths_max: u64,
    tenths_left: u64,
    interval: u64,
}

impl Store {
    /// An empty store.
    pub fn new(partitions: u32, reads_per_s: u64) -> Self {
        let tenths_max = reads_per_s * BUDGET_MS / 100;
        Self {
            logs: Default::default(),
            group: Group::new(partitions),
            tenths_max,
            tenths_left: tenths_max,
            interval: 0,
        }
    }

    /// Whether the budget has a read left; takes it.
    pub fn take_read(&mut self, now_ms: u64) -> bool {
        self.take(10, now_ms)
    }

    /// Whether the budget has a call to the group left; takes it.
    pub fn take_group_call(&mut self, now_ms: u64) -> bool {
        self.take(GROUP_TENTHS, now_ms)
    }

    fn take(&mut self, tenths: u64, now_ms: u64) -> bool {
        let interval = now_ms / BUDGET_MS;
        if interval != self.interval {
            self.interval = interval;
            self.tenths_left = self.tenths_max;
        }
        let fits = self.tenths_left >= tenths;
        if fits {
            self.tenths_left -= tenths;
        }
        fits
    }
}
