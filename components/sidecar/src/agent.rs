//! State that the agent's tasks share. Nothing here waits: snapshots are swapped whole
//! and counts are atomics.

use std::sync::Arc;

use crate::engine_names::EngineNames;
use crate::health::Health;
use crate::hosting::{Hosting, HostingRules};
use adapters::{ClientSettings, Endpoint, EndpointSettings, Engine};
use arc_swap::ArcSwap;
use config::{Service, ServiceKind};
use leaving::{Drain, DrainSettings};
use node::{ConfigFeed, Identity, PauseDetector};
use settings::{AgentSettings, EndpointKind};
use telemetry::Metrics;

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
    /// What the settings say of the endpoint beside it.
    pub hosting_rules: HostingRules,
    /// Names of models towards the engine.
    pub engine_names: EngineNames,
    /// Bounds.
    pub limits: AgentLimits,
    /// Heartbeat of the process.
    pub pulse: PauseDetector,
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
            hosting_rules: HostingRules {
                pool: settings.pool.clone(),
                kind: service_kind_of(settings.endpoint_kind),
                customers: settings.customers.clone(),
            },
            engine_names: EngineNames::for_customers(&settings.customers),
            limits,
            pulse: PauseDetector::start(),
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
        self.drain.is_ready() && self.health.snapshot().up
    }

    /// Services that are hosted here now.
    pub fn hosting(&self) -> Arc<Hosting> {
        self.hosting.load_full()
    }

    /// Works the hosted services out anew from the configuration in force.
    pub fn update_hosting(&self) {
        let hosting = Hosting::from_view(&self.feed.view(), &self.hosting_rules);
        log_rejected(&self.hosting(), &hosting);
        self.hosting.store(Arc::new(hosting));
    }
}

/// Logs each service that is left out once, when it is first seen.
fn log_rejected(before: &Hosting, now: &Hosting) {
    let known = |service: &Service| {
        let mut rejected = before.rejected().iter();
        rejected.any(|known| (&known.owner, &known.name) == (&service.owner, &service.name))
    };
    for service in now.rejected().iter().filter(|service| !known(service)) {
        log::warn!(
            event = "service-left-out", customer:% = service.owner, service:% = service.name,
            pool:% = service.pool; ""
        );
    }
}

fn service_kind_of(kind: EndpointKind) -> ServiceKind {
    match kind {
        EndpointKind::Model => ServiceKind::Model,
        EndpointKind::Plain => ServiceKind::Plain,
    }
}
