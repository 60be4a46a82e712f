//! State that the agent's tasks share. Nothing here waits: snapshots are swapped whole
//! and counts are atomics.

use std::sync::Arc;

use arc_swap::ArcSwap;
use config::Kind;
use leaving::{Drain, DrainSettings};
use node::{ConfigFeed, Identity, Pulse};
use platform::{ClientSettings, Endpoint, EndpointSettings, Engine};
use settings::{AgentSettings, EndpointKind};
use telemetry::Metrics;
use types::PoolName;

use crate::health::Health;
use crate::hosting::Hosting;

/// Bounds of what one agent takes on.
#[derive(Clone, Debug)]
pub struct AgentLimits {
    /// Calls in progress at a time.
    pub calls_max: usize,
    /// Longest time to connect to the endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Deadline of a read or cancellation at the engine, in milliseconds.
    pub engine_deadline_ms: u64,
    /// Largest answer of an endpoint, in bytes.
    pub answer_bytes_max: usize,
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            calls_max: 512,
            connect_timeout_ms: 500,
            engine_deadline_ms: 1_000,
            answer_bytes_max: 32 << 20,
        }
    }
}

/// One agent.
pub struct Agent {
    /// Who it is.
    pub identity: Arc<Identity>,
    /// Kind of the endpoint beside it.
    pub kind: Kind,
    /// Pool of that endpoint.
    pub pool: PoolName,
    /// Bounds.
    pub limits: AgentLimits,
    /// Heartbeat of the process.
    pub pulse: Pulse,
    /// How far it is on its way out.
    pub drain: Drain,
    /// Configuration in force.
    pub feed: ConfigFeed,
    /// Calls of the endpoint.
    pub endpoint: Endpoint,
    /// Control interface of a model engine.
    pub engine: Engine,
    /// What is known of the endpoint.
    pub health: Health,
    /// Metrics.
    pub metrics: Metrics,
    hosting: ArcSwap<Hosting>,
}

impl Agent {
    /// An agent that hosts nothing yet.
    pub fn new(
        settings: &AgentSettings,
        limits: AgentLimits,
        identity: Arc<Identity>,
        feed: ConfigFeed,
        metrics: Metrics,
    ) -> Agent {
        let endpoint_settings = EndpointSettings {
            connect_timeout_ms: limits.connect_timeout_ms,
            body_bytes_max: limits.answer_bytes_max,
            ..EndpointSettings::default()
        };
        let engine_settings = ClientSettings {
            connect_timeout_ms: limits.connect_timeout_ms,
            deadline_ms: limits.engine_deadline_ms,
            ..ClientSettings::default()
        };
        let drain_settings = DrainSettings {
            settle_ms: settings.common.settle_ms,
            finish_ms_max: settings.common.drain_ms,
            ..DrainSettings::AGENT
        };
        Agent {
            identity,
            kind: kind_of(settings.endpoint_kind),
            pool: settings.pool.clone(),
            limits,
            pulse: Pulse::start(),
            drain: Drain::new(drain_settings),
            feed,
            endpoint: Endpoint::new(settings.endpoint, endpoint_settings),
            engine: Engine::new(settings.endpoint, &engine_settings),
            health: Health::new(),
            metrics,
            hosting: ArcSwap::default(),
        }
    }

    /// Whether work may be sent here: not leaving, and the endpoint answers.
    pub fn is_ready(&self) -> bool {
        self.drain.is_ready() && self.health.look().up
    }

    /// Services that are hosted here now.
    pub fn hosting(&self) -> Arc<Hosting> {
        self.hosting.load_full()
    }

    /// Works the hosted services out anew from the configuration in force.
    pub fn place(&self) {
        let hosting = Hosting::of(&self.feed.view(), &self.pool, self.kind);
        self.hosting.store(Arc::new(hosting));
    }
}

fn kind_of(kind: EndpointKind) -> Kind {
    match kind {
        EndpointKind::Model => Kind::Model,
        EndpointKind::Plain => Kind::Plain,
    }
}
