//! Settings of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use derive::{key, value};
use types::WeightVersion;

const PERMILLE: u32 = 1_000;

/// Whether an engine checks the fencing tokens of orders.
#[key]
pub enum Fencing {
    /// Refuses an order whose token is lower than that of an earlier order for the same model.
    Checked,
    /// Accepts every order.
    Ignored,
}

/// Durations of an engine's work before scaling.
#[value]
pub struct Speeds {
    /// Fixed part of a step.
    pub step_us: u64,
    /// Additional part of a step per sequence in the batch.
    pub sequence_us: u64,
    /// Additional part of a step per prompt token that was not cached.
    pub prompt_token_us: u64,
    /// Time to load a version.
    pub load_ms: u64,
    /// Time to switch to a loaded version.
    pub switch_ms: u64,
    /// Factor on all durations, in thousandths; with 0 all work takes no time.
    pub scale_permille: u32,
}

impl Speeds {
    /// Multiplies a duration by the scale.
    pub fn scaled(&self, duration: Duration) -> Duration {
        duration * self.scale_permille / PERMILLE
    }
}

impl Default for Speeds {
    fn default() -> Self {
        Self {
            step_us: 6_000,
            sequence_us: 150,
            prompt_token_us: 20,
            load_ms: 400,
            switch_ms: 50,
            scale_permille: PERMILLE,
        }
    }
}

/// Settings of an engine.
#[value]
pub struct EngineSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Models, each with the version that it serves at the start of a life.
    pub models: Vec<(String, WeightVersion)>,
    /// Whether fencing tokens of orders are checked.
    pub fencing: Fencing,
    /// Weight store from which versions are loaded; without a store every load succeeds.
    pub store: Option<SocketAddr>,
    /// Durations of steps, loads and switches.
    pub speeds: Speeds,
    /// Most sequences in a batch.
    pub batch_max: usize,
    /// Blocks of KV cache memory.
    pub kv_blocks: usize,
    /// Most versions of a model that are loaded at a time.
    pub loaded_max: usize,
    /// Fewest tokens of a completion that `max_tokens` does not limit.
    pub tokens_min: u32,
    /// Most tokens of a completion that `max_tokens` does not limit, except for stragglers.
    pub tokens_max: u32,
    /// Share of stragglers, which are four times as long as other completions.
    pub stragglers_permille: u64,
    /// Age of the load that is reported.
    pub report_lag_ms: u64,
    /// Time until a cache event becomes visible.
    pub cache_event_lag_ms: u64,
    /// Share of cache events that are lost.
    pub cache_event_gaps_permille: u64,
    /// Time from a crash by [`FaultKind::CrashOn`](crate::FaultKind::CrashOn) to the next life.
    pub restart_ms: u64,
}

impl EngineSettings {
    /// An engine with one model on version 0.0, at unscaled speed.
    pub fn new(listen: SocketAddr, model: impl Into<String>) -> EngineSettings {
        EngineSettings {
            listen,
            models: vec![(model.into(), WeightVersion::default())],
            fencing: Fencing::Checked,
            store: None,
            speeds: Speeds::default(),
            batch_max: 32,
            kv_blocks: 4_096,
            loaded_max: 2,
            tokens_min: 8,
            tokens_max: 48,
            stragglers_permille: 30,
            report_lag_ms: 200,
            cache_event_lag_ms: 200,
            cache_event_gaps_permille: 20,
            restart_ms: 300,
        }
    }
}
