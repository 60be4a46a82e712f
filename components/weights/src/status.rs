//! Status of the reconciliation of one model at one engine.

use derive::value;
use types::WeightVersion;

/// Engine state and target, for the status page and for peers.
#[value]
pub struct Status {
    /// Version that the engine served when its state was last read.
    pub serving: Option<WeightVersion>,
    /// Version that the engine should serve.
    pub wanted: Option<WeightVersion>,
    /// Age of the engine state, in milliseconds; `None` if the state was never read.
    pub read_age_ms: Option<u64>,
    /// Version that the engine should have in memory for the next switch.
    pub load: Option<WeightVersion>,
    /// Whether the version in `load` is in the engine's memory.
    pub loaded: bool,
    /// Number of versions by which `serving` is behind `wanted`; `None` if their epochs differ or
    /// one of them is unknown.
    pub versions_behind: Option<u64>,
    /// Whether the served version exceeds the staleness bound of samples.
    pub too_old: bool,
    /// Whether the engine has seen a newer version than this agent, so that the agent must ask
    /// its peers for the current target.
    pub target_outdated: bool,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Whether an order is in flight.
    pub order_in_flight: bool,
}
