//! What can be set about routing.

use derive::key;

/// How replicas are compared.
#[key]
pub enum Policy {
    /// One uniform draw: the naive baseline.
    Random,
    /// The least outstanding work of this entry, over all replicas.
    LeastOutstanding,
    /// A few draws, compared by the outstanding work of this entry.
    TwoChoices,
    /// A few draws, compared by own outstanding work and the corrected load report.
    TwoChoicesReport,
    /// A few draws, compared by the scarcer of compute and KV memory, after the idea of
    /// USHER (Shubha, Shen and Iyer, OSDI 2024) that unlike work should share an
    /// accelerator. Adopted on docs/measurements/routing-limits.md; where a call has no
    /// tokens it is [`Policy::TwoChoicesReport`].
    ComputeMemory,
}

impl Policy {
    /// Every policy, the baseline first.
    pub const ALL: [Policy; 5] = [
        Policy::Random,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::TwoChoicesReport,
        Policy::ComputeMemory,
    ];

    /// The policy as it stands in a flag and a table of figures.
    pub fn as_str(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoChoices => "two-choices",
            Policy::TwoChoicesReport => "two-choices-report",
            Policy::ComputeMemory => "compute-memory",
        }
    }

    /// The policy with this word, if there is one.
    pub fn parse(text: &str) -> Option<Policy> {
        Policy::ALL
            .into_iter()
            .find(|policy| policy.as_str() == text)
    }
}

/// Settings of routing. Penalties and bonuses are in units of load: one unit is one
/// outstanding call with no tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How replicas are compared.
    pub policy: Policy,
    /// Replicas that are drawn at random from the entry's own failure domain.
    pub draws_same_domain: usize,
    /// Replicas that are drawn at random from all failure domains.
    pub draws_all: usize,
    /// Tokens that weigh as much as one call.
    pub tokens_per_load: u32,
    /// Tokens that an engine's KV cache holds.
    pub kv_tokens: u32,
    /// Prompt tokens in an engine's queue that count as fully busy compute.
    pub prompt_tokens_busy: u32,
    /// Age up to which a report counts nearly in full, in milliseconds.
    pub report_fresh_ms: u64,
    /// Age at which an older report counts for half of this entry's share of the traffic,
    /// in milliseconds.
    pub report_half_life_ms: u64,
    /// Load that another failure domain of the same region costs.
    pub domain_penalty: f64,
    /// Load that another region costs.
    pub region_penalty: f64,
    /// Load that one cached prompt block saves.
    pub block_bonus: f64,
    /// Highest sum of the prefix bonus, in load.
    pub bonus_max: f64,
    /// Time over which a new replica comes up to its full share, in milliseconds.
    pub slow_start_ms: u64,
    /// Consecutive faults after which a replica is ejected.
    pub eject_after: u32,
    /// Time of the first ejection, in milliseconds; doubled by each failed probe.
    pub eject_ms: u64,
    /// Longest ejection, in milliseconds.
    pub eject_max_ms: u64,
    /// Highest share of a service's replicas that may be ejected, in thousandths.
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
