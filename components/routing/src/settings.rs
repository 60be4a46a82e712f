//! Settings of the choice of replicas.

use derive::key;

/// Load-balancing policy: how replicas are sampled and compared.
#[key]
pub enum Policy {
    /// One replica, drawn uniformly at random; a baseline for comparisons.
    Random,
    /// The replica with the least outstanding work of this entry, out of all replicas.
    LeastOutstanding,
    /// Of a few random replicas, the one with the least outstanding work of this entry.
    TwoChoices,
    /// Of a few random replicas, the one with the least outstanding work of this entry and, by the
    /// corrected load reports, of the other entries.
    TwoChoicesReport,
    /// Of a few random replicas, the one whose scarcer resource, compute or KV memory, is used
    /// least. Based on the idea of USHER (Shubha, Shen and Iyer, OSDI 2024) that work with
    /// different resource needs should share an accelerator; docs/measurements/routing-limits.md
    /// has the comparison with the other policies. Calls without tokens are routed as by
    /// [`Policy::TwoChoicesReport`].
    ComputeMemory,
}

impl Policy {
    /// All policies, the baseline first.
    pub const ALL: [Policy; 5] = [
        Policy::Random,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::TwoChoicesReport,
        Policy::ComputeMemory,
    ];

    /// Name of the policy in command line flags and benchmark output.
    pub fn as_str(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoChoices => "two-choices",
            Policy::TwoChoicesReport => "two-choices-report",
            Policy::ComputeMemory => "compute-memory",
        }
    }

    /// Parses the name of a policy; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Policy> {
        Policy::ALL
            .into_iter()
            .find(|policy| policy.as_str() == text)
    }
}

/// Settings of routing. Penalties and bonuses are in units of load: one unit is one outstanding
/// call without tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Load-balancing policy.
    pub policy: Policy,
    /// Number of candidates that are sampled from the entry's own failure domain.
    pub draws_same_domain: usize,
    /// Number of candidates that are sampled from all failure domains.
    pub draws_all: usize,
    /// Number of tokens that count as much as one call.
    pub tokens_per_load: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_tokens: u32,
    /// Number of prompt tokens in an engine's queue at which its compute counts as fully used.
    pub prompt_tokens_busy: u32,
    /// Age up to which a load report counts almost in full, in milliseconds.
    pub report_fresh_ms: u64,
    /// Age at which a load report counts for half of this entry's share of the traffic, in
    /// milliseconds.
    pub report_half_life_ms: u64,
    /// Penalty of a replica in another failure domain of the same region.
    pub domain_penalty: f64,
    /// Penalty of a replica in another region.
    pub region_penalty: f64,
    /// Bonus of a replica for each block of the prompt that it caches.
    pub block_bonus: f64,
    /// Maximum bonus of a replica for cached blocks.
    pub bonus_max: f64,
    /// Time over which the load of a new replica grows to its full share, in milliseconds.
    pub slow_start_ms: u64,
    /// Number of consecutive failures after which a replica is ejected.
    pub eject_after: u32,
    /// Duration of the first ejection, in milliseconds; doubled after each failed probe.
    pub eject_ms: u64,
    /// Maximum duration of an ejection, in milliseconds.
    pub eject_max_ms: u64,
    /// Maximum share of a service's replicas that may be ejected at a time, in thousandths.
    pub eject_share_permille: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::ComputeMemory,
            draws_same_domain: 2,
            draws_all: 2,
            tokens_per_load: 1_000,
            kv_tokens: 40_000,
            prompt_tokens_busy: 8_000,
            report_fresh_ms: 100,
            report_half_life_ms: 500,
            domain_penalty: 1.0,
            region_penalty: 8.0,
            block_bonus: 0.25,
            bonus_max: 4.0,
            slow_start_ms: 10_000,
            eject_after: 3,
            eject_ms: 2_000,
            eject_max_ms: 60_000,
            eject_share_permille: 500,
        }
    }
}
