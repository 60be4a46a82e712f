//! How far an agent has brought its engine.

use derive::value;
use types::WeightVersion;

/// State of the engine for people and peers.
#[value]
pub struct Status {
    /// Version that was last read from the engine.
    pub serving: Option<WeightVersion>,
    /// Version that is wanted.
    pub wanted: Option<WeightVersion>,
    /// How long ago the state was read.
    pub read_age_ms: Option<u64>,
    /// Version to have in memory.
    pub load: Option<WeightVersion>,
    /// That version is in memory.
    pub loaded: bool,
    /// Versions between serving and wanted; `None` across epochs or when unknown.
    pub versions_behind: Option<u64>,
    /// The engine's version is too old for samples.
    pub too_old: bool,
    /// The engine knows something newer than this agent: ask the peers.
    pub target_outdated: bool,
    /// Failures in a row.
    pub failures: u32,
    /// Whether an order is in flight.
    pub order_in_flight: bool,
}
