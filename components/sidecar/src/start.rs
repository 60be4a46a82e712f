//! Assembles an agent from its settings and runs it until it has left.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use adapters::{ClientSettings, LogClient, VmList};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use link::{LinkSettings, Links, Udp};
use node::admin::{self, AdminHooks};
use node::{
    ConfigFeed, DrainSignal, FeedSettings, Gossip, GossipHooks, GossipSettings, Identity,
    NodeError, Sockets, leave,
};
use protocol::{GossipMessage, ProcessRole};
use settings::{AgentSettings, Fencing};
use telemetry::{Label, Metrics, MetricsSettings};
use weights::ReconcileSettings;

use crate::agent::{Agent, AgentLimits};
use crate::health_check::HealthChecker;
use crate::weights_task::{Weights, WeightsSettings};
use crate::{calls, status};

/// Prefix of the names of an agent's metrics.
const METRICS_PREFIX: &str = "hornbeamrock.agent";

/// Timings and limits that have no flag; tests shorten them.
#[derive(Clone, Debug, Default)]
pub struct Tuning {
    /// Limits of calls and exchanges with the endpoint.
    pub limits: AgentLimits,
    /// Reading of the configuration from the log and from peers.
    pub feed: FeedSettings,
    /// Gossip over UDP.
    pub gossip: GossipSettings,
    /// Orders to the engine that bring it to the announced weights.
    pub reconcile: ReconcileSettings,
}

/// An agent whose sockets are bound and that has not started yet.
pub struct Sidecar {
    settings: AgentSettings,
    tuning: Tuning,
    sockets: Sockets,
}

impl Sidecar {
    /// Binds the addresses of the settings; for port 0 the operating system chooses a port.
    /// Returns an error if an address is in use or no key is set.
    pub async fn bind(settings: AgentSettings, tuning: Tuning) -> Result<Sidecar, NodeError> {
        let sockets = Sockets::bind(&settings.common, ProcessRole::Agent).await?;
        Ok(Sidecar {
            settings,
            tuning,
            sockets,
        })
    }

    /// Address for entries and other agents.
    pub fn inner_address(&self) -> SocketAddr {
        self.sockets.identity.node().address
    }

    /// Address for operators.
    pub fn admin_address(&self) -> Result<SocketAddr, NodeError> {
        self.sockets.admin_address()
    }

    /// Runs until the agent has left. It starts to leave when `stop` completes, or when an operator
    /// or a notice of the platform asks for it. Returns an error if it can't start.
    pub async fn run(
        self,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> Result<(), NodeError> {
        let Sockets {
            identity,
            inner,
            udp,
            admin,
            links,
        } = self.sockets;
        let leaving = DrainSignal::new();
        leaving.trigger_on(stop);
        let (agent, weights) = start_agent(&self.settings, &self.tuning, identity, &links)?;
        let gossip = start_gossip(
            &self.settings,
            &self.tuning,
            &agent,
            udp,
            &weights,
            &leaving,
        );
        tokio::spawn(follow_changes(Arc::clone(&agent), gossip.clone()));
        tokio::spawn(admin::serve(admin, admin_hooks(&agent, &weights, &leaving)));
        log::info!(event = "agent-started", node:% = agent.identity.node(), pool:% = agent.hosting_rules.pool; "");
        let serving = Arc::clone(&agent);
        let handle = move |call| calls::serve_call(&serving, call);
        let settled = leave::announce_and_settle(&agent.drain, &gossip, &leaving);
        tokio::select! {
            () = link::serve(inner, links, handle, settled) => {}
            () = leave::wait_for_drain_timeout(&agent.drain, &leaving) => {}
        }
        log::info!(event = "agent-ended", node:% = agent.identity.node(); "");
        Ok(())
    }
}

fn start_agent(
    settings: &AgentSettings,
    tuning: &Tuning,
    identity: Arc<Identity>,
    links: &LinkSettings,
) -> Result<(Arc<Agent>, Weights), NodeError> {
    let metrics = Metrics::start(&MetricsSettings {
        statsd: settings.common.metrics,
        prefix: METRICS_PREFIX.to_owned(),
        ..MetricsSettings::default()
    })?;
    let log = LogClient::new(settings.common.log, &ClientSettings::default());
    let own = identity.node().address;
    let feed_settings = tuning.feed.clone();
    let feed_settings = feed_settings.with_retention(settings.common.log_retention_ms);
    let feed = ConfigFeed::start(own, log, Links::new(links.clone()), feed_settings);
    let limits = tuning.limits.clone();
    let agent = Arc::new(Agent::new(settings, limits, identity, feed, metrics));
    let checker = HealthChecker::start(Arc::clone(&agent));
    let weights_settings = WeightsSettings {
        reconcile: reconcile_settings(settings.fencing, tuning.reconcile.clone()),
        load_window_ms: settings.load_window_ms,
    };
    let weights = Weights::start(Arc::clone(&agent), checker, weights_settings);
    Ok((agent, weights))
}

/// An engine that checks fencing tokens refuses late orders by itself, so that an uncertain state
/// needs no more frequent checks than a certain one.
fn reconcile_settings(fencing: Fencing, settings: ReconcileSettings) -> ReconcileSettings {
    match fencing {
        Fencing::Checked => ReconcileSettings {
            uncertain_check_interval_ms: settings.check_interval_ms,
            ..settings
        },
        Fencing::Ignored => settings,
    }
}

fn start_gossip(
    settings: &AgentSettings,
    tuning: &Tuning,
    agent: &Arc<Agent>,
    udp: Udp,
    weights: &Weights,
    leaving: &DrainSignal,
) -> Gossip {
    let vm_list = VmList::new(settings.common.vm_list, &ClientSettings::default());
    let hooks = gossip_hooks(agent, weights, leaving);
    let identity = Arc::clone(&agent.identity);
    Gossip::start(
        udp,
        identity,
        vm_list,
        agent.feed.clone(),
        tuning.gossip.clone(),
        hooks,
    )
}

fn gossip_hooks(agent: &Arc<Agent>, weights: &Weights, leaving: &DrainSignal) -> GossipHooks {
    let status_agent = Arc::clone(agent);
    let metrics = agent.metrics.clone();
    let weights = weights.clone();
    let leaving = leaving.clone();
    GossipHooks {
        statuses: Some(Arc::new(move || status::statuses(&status_agent))),
        on_message: Arc::new(move |message| {
            if let GossipMessage::Weights {
                customer,
                service,
                target,
            } = message
            {
                weights.update_target(customer, service, *target);
            }
        }),
        on_own_leaving: Arc::new(move || leaving.trigger()),
        on_divergence: Arc::new(move |_| {
            metrics.count("config_diverged_total", Label::default(), 1)
        }),
        ..GossipHooks::default()
    }
}

fn admin_hooks(agent: &Arc<Agent>, weights: &Weights, leaving: &DrainSignal) -> AdminHooks {
    let ready = Arc::clone(agent);
    let shown = Arc::clone(agent);
    let weights = weights.clone();
    let leaving = leaving.clone();
    AdminHooks {
        ready: Arc::new(move || ready.is_ready()),
        status: Arc::new(move || -> BoxFuture<'static, String> {
            status::page(Arc::clone(&shown), weights.clone()).boxed()
        }),
        drain: Arc::new(move || leaving.trigger()),
    }
}

/// Recomputes the hosted services after every change of the configuration, and sends the new status
/// to the probing entries at once after that and after every change of the endpoint.
async fn follow_changes(agent: Arc<Agent>, gossip: Gossip) {
    let mut configured = agent.feed.changes();
    let mut endpoint = agent.health.changes();
    loop {
        agent.update_hosting();
        gossip.push_status();
        let changed = tokio::select! {
            changed = configured.changed() => changed,
            changed = endpoint.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
