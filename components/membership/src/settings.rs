//! Settings of the view and what follows from them.

use derive::value;

/// Settings of [`crate::Members`]; the defaults keep 390 entries and 600 replicas within
/// 16 KB/s a node.
#[value]
#[derive(Copy)]
pub struct MemberSettings {
    /// Replicas of each service that one entry talks to.
    pub subset_size: usize,
    /// Shortest time between two probes of a replica in a subset, in milliseconds.
    pub probe_interval_ms: u64,
    /// How long an answer may take, in milliseconds; after it the probe is sent again.
    pub probe_timeout_ms: u64,
    /// Missed answers in a row until a member is suspected.
    pub misses_to_suspect: u32,
    /// Missed answers in a row until a member counts as down.
    pub misses_to_down: u32,
    /// Probes of the subsets' members, all together; with more members than this each
    /// is probed less often.
    pub probes_per_s: u64,
    /// Probes of all other members, all together.
    pub sweeps_per_s: u64,
    /// First probes of members that were never heard.
    pub discoveries_per_s: u64,
    /// Reads of the VM list without a VM until it is dropped, unless it answers.
    pub absent_reads_max: u32,
    /// How far the VM list may lag, in milliseconds.
    pub list_lag_ms: u64,
    /// How long a life that left is remembered, in milliseconds.
    pub leaving_retention_ms: u64,
    /// Losses within this time of each other count as one, in milliseconds.
    pub isolation_window_ms: u64,
    /// Fewest watched members among which a loss can be a fault of one's own.
    pub isolation_members_min: usize,
    /// Most members kept.
    pub members_max: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            subset_size: 24,
            probe_interval_ms: 1_000,
            probe_timeout_ms: 400,
            misses_to_suspect: 2,
            misses_to_down: 5,
            probes_per_s: 24,
            sweeps_per_s: 8,
            discoveries_per_s: 200,
            absent_reads_max: 3,
            list_lag_ms: 30_000,
            leaving_retention_ms: 600_000,
            isolation_window_ms: 15_000,
            isolation_members_min: 3,
            members_max: 4_096,
        }
    }
}

impl MemberSettings {
    /// Time between two probes of one member when `watched` are in some subset.
    pub fn probe_period_ms(&self, watched: usize) -> u64 {
        let spread_ms = watched as u64 * 1_000 / self.probes_per_s.max(1);
        spread_ms.max(self.probe_interval_ms)
    }

    /// Time between two probes of one member outside every subset.
    pub fn sweep_period_ms(&self, others: usize) -> u64 {
        let spread_ms = others as u64 * 1_000 / self.sweeps_per_s.max(1);
        spread_ms.max(10 * self.probe_interval_ms)
    }

    /// Longest time from the death of a watched member until it counts as down, when the
    /// driver asks for probes on time.
    pub fn detection_ms(&self, watched: usize) -> u64 {
        self.probe_period_ms(watched) + u64::from(self.misses_to_down) * self.probe_timeout_ms
    }
}
