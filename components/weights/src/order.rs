//! Orders from an agent to its engine, and what comes back.

use std::collections::BTreeSet;

use derive::{key, value};
use types::WeightVersion;

/// What the engine says of one model.
#[value]
pub struct EngineState {
    /// Which life of the engine; another one after a crash.
    pub life: u64,
    /// Version that it serves.
    pub version: Option<WeightVersion>,
    /// Versions in its memory.
    pub loaded: BTreeSet<WeightVersion>,
}

impl EngineState {
    /// Whether the version needs no load before it can serve.
    pub fn holds(&self, version: WeightVersion) -> bool {
        self.version == Some(version) || self.loaded.contains(&version)
    }
}

/// Number of an order of this agent.
#[key]
pub struct OrderId(pub u64);

/// What to do at the engine.
#[key]
pub enum OrderKind {
    /// Cancel every earlier call that can be named; the first order of an agent's life.
    CancelEarlier,
    /// Read the state.
    Read,
    /// Fetch a version into memory; the engine keeps serving.
    Load(WeightVersion),
    /// Serve a loaded version.
    Switch(WeightVersion),
}

impl OrderKind {
    /// Whether the order changes anything at the engine.
    pub fn is_change(self) -> bool {
        matches!(self, OrderKind::Load(_) | OrderKind::Switch(_))
    }
}

/// One order to the engine.
#[key]
pub struct Order {
    /// Number, to come back with its end.
    pub id: OrderId,
    /// What to do.
    pub kind: OrderKind,
    /// Fencing number that goes with a change.
    pub fence: u64,
    /// The driver drops the order unsent after this time and reports [`OrderOutcome::Unknown`]:
    /// a process frozen between the decision and the send would act on an old belief.
    pub send_before_ms: u64,
}

/// How an order ended, as far as the agent can tell.
#[value]
pub enum OrderOutcome {
    /// The engine said that it is done.
    Done,
    /// The state, for [`OrderKind::Read`].
    State(EngineState),
    /// The engine has seen a higher fencing number.
    OldFence,
    /// The weight store has no room now; come back after the stated time, if any.
    StoreBusy {
        /// From the store's answer.
        retry_after_ms: Option<u64>,
    },
    /// The engine said that it failed.
    Failed,
    /// No answer, or not sent.
    Unknown,
}
