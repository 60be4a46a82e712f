//! Orders from an agent to its engine, and their outcomes.

use std::collections::BTreeSet;

use derive::{key, value};
use types::WeightVersion;

/// State of one model, as read from the engine.
#[value]
pub struct EngineState {
    /// Number of the engine's incarnation; changes when the engine restarts after a crash.
    pub life: u64,
    /// Version that the engine serves; `None` if it serves none.
    pub version: Option<WeightVersion>,
    /// Versions in the engine's memory.
    pub loaded: BTreeSet<WeightVersion>,
}

impl EngineState {
    /// Whether the engine can serve the version without loading it first.
    pub fn holds(&self, version: WeightVersion) -> bool {
        self.version == Some(version) || self.loaded.contains(&version)
    }
}

/// Number of an order, unique since the agent's process started.
#[key]
pub struct OrderId(pub u64);

/// Operation that an order requests from the engine.
#[key]
pub enum OrderKind {
    /// Cancel the calls that an earlier process of the agent left at the engine, as far as they
    /// can be identified. The first order after the agent's start.
    CancelEarlier,
    /// Read the engine's state of the model.
    Read,
    /// Fetch a version into memory. The engine continues to serve its current version.
    Load(WeightVersion),
    /// Switch to a version that is in memory.
    Switch(WeightVersion),
}

impl OrderKind {
    /// Whether the order changes the versions in the engine.
    pub fn is_change(self) -> bool {
        matches!(self, OrderKind::Load(_) | OrderKind::Switch(_))
    }
}

/// One order to the engine.
#[key]
pub struct Order {
    /// Number by which the driver reports the outcome.
    pub id: OrderId,
    /// Requested operation.
    pub kind: OrderKind,
    /// Fencing token sent with a change.
    pub fence: u64,
    /// After this time the driver must not send the order, and reports
    /// [`OrderOutcome::Unknown`]. A process that was frozen between the decision and the send
    /// would otherwise act on an outdated engine state.
    pub send_before_ms: u64,
}

/// Outcome of an order, as far as the agent knows.
#[value]
pub enum OrderOutcome {
    /// The engine reported success.
    Done,
    /// Result of [`OrderKind::Read`].
    State(EngineState),
    /// The engine refused the order, because it has seen a higher fencing token.
    OldFence,
    /// The weight store is at its rate limit.
    StoreBusy {
        /// Time to wait before the next attempt, if the store stated one.
        retry_after_ms: Option<u64>,
    },
    /// The engine reported a failure.
    Failed,
    /// The engine did not respond, or the order was not sent.
    Unknown,
}
