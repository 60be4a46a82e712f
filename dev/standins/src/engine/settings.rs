//! Settings of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use derive::{key, value};
use types::WeightVersion;

const PERMILLE: u32 = 1_000;

/// Whether an engine looks at the fencing number of an order.
#[key]
pub enum Fencing {
    /// Refuses an order with a number below the last one.
    Checked,
    /// Takes every order.
    Ignored,
}

/// How long an engine's work takes, before the time scale.
#[value]
pub struct Speeds {
    /// Part of a step that does not depend on the batch.
    pub step_us: u64,
    /// Part of a step for each sequence in the batch.
    pub sequence_us: u64,
    /// Part of a step for each prompt token read in it.
    pub prompt_token_us: u64,
    /// Loading a version.
    pub load_ms: u64,
    /// Switching to a loaded version.
    pub switch_ms: u64,
    /// Factor on all of these, in thousandths; 0 makes every step immediate.
    pub scale_permille: u32,
}

impl Speeds {
    /// The time on this engine's scale.
    pub fn scaled(&self, time: Duration) -> Duration {
        time * self.scale_permille / PERMILLE
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
    /// Where it listens.
    pub listen: SocketAddr,
    /// Models and the versions that they start on.
    pub models: Vec<(String, WeightVersion)>,
    /// Whether it looks at fencing numbers.
    pub fencing: Fencing,
    /// Weight store that loads come from; without one they always succeed.
    pub store: Option<SocketAddr>,
    /// How long its work takes.
    pub speeds: Speeds,
    /// Sequences in a batch.
    pub batch_max: usize,
    /// Blocks of KV cache memory.
    pub kv_blocks: usize,
    /// Versions of a model in memory.
    pub loaded_max: usize,
    /// Shortest natural completion.
    pub tokens_min: u32,
    /// Longest natural completion, stragglers apart.
    pub tokens_max: u32,
    /// Share of completions that are four times as long.
    pub stragglers_permille: u64,
    /// Age of the load report.
    pub report_lag_ms: u64,
    /// Age of the newest cache event given.
    pub cache_event_lag_ms: u64,
    /// Share of cache events that are lost.
    pub cache_event_gaps_permille: u64,
    /// Time from a crash to the next life.
    pub restart_ms: u64,
}

impl EngineSettings {
    /// An engine at `listen` with one model on version 0.0, in real time.
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
