//! State shared by the agent's tasks. No access blocks: snapshots are replaced atomically as a
//! whole, and counters are atomics.

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

/// Limits of one agent.
#[derive(Clone, Debug)]
pub struct AgentLimits {
    /// Calls in progress at the same time; further calls are refused as not run.
    pub calls_max: usize,
    /// Longest time to connect to the endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Deadline of a health check, a read of the engine's state or a cancellation, in milliseconds.
    pub engine_deadline_ms: u64,
    /// Largest answer accepted from the endpoint, in bytes.
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

pub struct Agent {
    pub identity: Arc<Identity>,
    /// Pool, kind and permitted customers of the endpoint beside this agent.
    pub hosting_rules: HostingRules,
    pub engine_names: EngineNames,
    pub limits: AgentLimits,
    /// Detects that the process was suspended, so that old calls are not taken for fresh ones.
    pub pulse: PauseDetector,
    /// Progress of leaving: refuses new calls and waits for the running ones.
    pub drain: Drain,
    /// Active configuration of all customers.
    pub feed: ConfigFeed,
    /// HTTP client that carries calls to the endpoint.
    pub endpoint: Endpoint,
    /// Client of the engine's control interface; unused beside a plain service.
    pub engine: Engine,
    /// Result of the latest health check of the endpoint.
    pub health: Health,
    pub metrics: Metrics,
    hosting: ArcSwap<Hosting>,
}

impl Agent {
    /// Creates an agent that hosts nothing until [`Agent::update_hosting`] is called.
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

    /// Whether the agent accepts calls: it isn't leaving, and the endpoint is up.
    pub fn is_ready(&self) -> bool {
        self.drain.is_ready() && self.health.snapshot().up
    }

    /// Services that the endpoint hosts now.
    pub fn hosting(&self) -> Arc<Hosting> {
        self.hosting.load_full()
    }

    /// Recomputes the hosted services from the active configuration.
    pub fn update_hosting(&self) {
        let hosting = Hosting::from_view(&self.feed.view(), &self.hosting_rules);
        log_rejected(&self.hosting(), &hosting);
        self.hosting.store(Arc::new(hosting));
    }
}

/// Logs each rejected service once, when it is first seen.
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
