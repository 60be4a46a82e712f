//! Settings of membership and values derived from them.

use derive::value;

/// Settings of [`crate::Members`]. With the defaults, each node of a site with 390 entries and 600
/// replicas stays within 16 KB/s.
#[value]
#[derive(Copy)]
pub struct MemberSettings {
    /// Number of replicas per service that one entry sends calls to.
    pub subset_size: usize,
    /// Minimum interval between two probes of a replica in a subset, in milliseconds.
    pub probe_interval_ms: u64,
    /// Timeout for the answer to a probe, in milliseconds; the probe is then sent again.
    pub probe_timeout_ms: u64,
    /// Consecutive missed answers after which a member is suspected.
    pub misses_to_suspect: u32,
    /// Consecutive missed answers after which a member counts as down.
    pub misses_to_down: u32,
    /// Maximum probes per second to watched members; if there are more members than this, each one
    /// is probed less often.
    pub probes_per_s: u64,
    /// Maximum probes per second to all other members.
    pub sweeps_per_s: u64,
    /// Maximum first probes per second to members that have never answered.
    pub discoveries_per_s: u64,
    /// Consecutive reads of the VM list without a VM after which it is removed, unless it answers.
    pub absent_reads_max: u32,
    /// Maximum lag of the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// How long an incarnation that left is remembered, in milliseconds.
    pub leaving_retention_ms: u64,
    /// Endpoints that stop answering within this window count as lost at the same time, in
    /// milliseconds.
    pub isolation_window_ms: u64,
    /// Minimum number of watched members for which a simultaneous loss is attributed to this
    /// process's own network.
    pub isolation_members_min: usize,
    /// Maximum number of members.
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
    /// Interval between two probes of a member when `watched` members are watched, in milliseconds.
    pub fn probe_period_ms(&self, watched: usize) -> u64 {
        let spread_ms = watched as u64 * 1_000 / self.probes_per_s.max(1);
        spread_ms.max(self.probe_interval_ms)
    }

    /// Interval between two probes of a member that is not watched, in milliseconds.
    pub fn sweep_period_ms(&self, others: usize) -> u64 {
        let spread_ms = others as u64 * 1_000 / self.sweeps_per_s.max(1);
        spread_ms.max(10 * self.probe_interval_ms)
    }

    /// Maximum time from the failure of a watched member until it counts as down, in milliseconds,
    /// provided that the caller asks for due probes on time.
    pub fn detection_ms(&self, watched: usize) -> u64 {
        self.probe_period_ms(watched) + u64::from(self.misses_to_down) * self.probe_timeout_ms
    }
}
