//! Puts an agent together from its settings and runs it until it has left.

use std::future::Future;
use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use link::{LinkSettings, Links, Udp};
use node::admin::{self, AdminHooks};
use node::{ConfigFeed, FeedSettings, Gossip, GossipHooks, GossipSettings, Identity};
use platform::{ClientSettings, LogClient, VmList};
use protocol::{Key, Keys, News, ProcessRole};
use settings::{AgentSettings, SharedKey};
use telemetry::{Metrics, MetricsSettings};
use tokio::net::TcpListener;
use weights::ReconcileSettings;

use crate::agent::{Agent, AgentLimits};
use crate::error::AgentError;
use crate::leave;
use crate::watch::Watch;
use crate::weights_task::Weights;
use crate::{calls, status};

/// First part of the names of an agent's metrics.
const METRICS_PREFIX: &str = "hornbeamrock.agent";

/// Times and bounds that are not among the flags; tests shorten them.
#[derive(Clone, Debug, Default)]
pub struct Tuning {
    /// Bounds of what the agent takes on.
    pub limits: AgentLimits,
    /// Configuration.
    pub feed: FeedSettings,
    /// News over UDP.
    pub gossip: GossipSettings,
    /// Orders to the engine.
    pub reconcile: ReconcileSettings,
}

/// Runs an agent until it has left, which begins when `stop` completes, an operator asks
/// for it or the platform says so. Errors when it can't start.
pub async fn run(
    settings: AgentSettings,
    tuning: Tuning,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(), AgentError> {
    let common = &settings.common;
    let admin_listener = admin::listen(common.admin_listen).await?;
    let (listener, inner) = listen(&settings).await?;
    let identity = Arc::new(Identity::new(
        inner,
        ProcessRole::Agent,
        common.failure_domain.clone(),
        common.region.clone(),
    ));
    let link_settings = link_settings(&settings, &identity)?;
    let udp = Udp::bind(inner, &link_settings).await;
    let udp = udp.map_err(|reason| AgentError::Listen(inner, reason))?;
    let metrics = Metrics::start(&MetricsSettings {
        statsd: common.metrics,
        prefix: METRICS_PREFIX.to_owned(),
    })?;
    let client_settings = ClientSettings::default();
    let log = LogClient::new(common.log, &client_settings);
    let vm_list = VmList::new(common.vm_list, &client_settings);
    let links = Links::new(link_settings.clone());
    let feed = ConfigFeed::start(inner, log, links, tuning.feed);
    let agent = Agent::new(
        &settings,
        tuning.limits,
        Arc::clone(&identity),
        feed.clone(),
        metrics,
    );
    let agent = Arc::new(agent);
    let leaving = leave::Leaving::new();
    let watch = Watch::start(Arc::clone(&agent));
    let weights = Weights::start(Arc::clone(&agent), watch, tuning.reconcile);
    let hooks = gossip_hooks(&agent, &weights, &leaving);
    let gossip = Gossip::start(udp, identity, vm_list, feed, tuning.gossip, hooks);
    tokio::spawn(follow_changes(Arc::clone(&agent), gossip.clone()));
    tokio::spawn(admin::serve(
        admin_listener,
        admin_hooks(&agent, &weights, &leaving),
    ));
    log::info!(event = "agent-started", node:% = agent.identity.node(), pool:% = agent.pool; "");
    order_on(leaving.clone(), stop);
    let serving = Arc::clone(&agent);
    let handle = move |call| calls::take(&serving, call);
    let settled = leave::settle(&agent, &gossip, leaving.ordered());
    tokio::select! {
        () = link::serve(listener, link_settings, handle, settled) => {}
        () = leave::overtime(&agent, &leaving) => {}
    }
    log::info!(event = "agent-ended", node:% = agent.identity.node(); "");
    Ok(())
}

fn order_on(leaving: leave::Leaving, stop: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(async move {
        stop.await;
        leaving.order();
    });
}

/// Binds the inner address; with port 0 the system chooses one.
async fn listen(
    settings: &AgentSettings,
) -> Result<(TcpListener, std::net::SocketAddr), AgentError> {
    let address = settings.common.inner_listen;
    let failed = |reason| AgentError::Listen(address, reason);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let inner = listener.local_addr().map_err(failed)?;
    Ok((listener, inner))
}

fn link_settings(
    settings: &AgentSettings,
    identity: &Identity,
) -> Result<LinkSettings, AgentError> {
    let common = &settings.common;
    let keys = keys(&common.keys).ok_or(AgentError::NoKey)?;
    let failure_domain = common.failure_domain.clone();
    Ok(LinkSettings::new(
        identity.node(),
        identity.role,
        failure_domain,
        keys,
    ))
}

fn gossip_hooks(agent: &Arc<Agent>, weights: &Weights, leaving: &leave::Leaving) -> GossipHooks {
    let told = Arc::clone(agent);
    let weights = weights.clone();
    let leaving = leaving.clone();
    GossipHooks {
        status: Some(Arc::new(move || status::status(&told))),
        heard: Arc::new(move |news| {
            if let News::Weights {
                customer,
                service,
                version,
            } = news
            {
                weights.heard(customer, service, *version);
            }
        }),
        leaving: Arc::new(move || leaving.order()),
        ..GossipHooks::default()
    }
}

fn admin_hooks(agent: &Arc<Agent>, weights: &Weights, leaving: &leave::Leaving) -> AdminHooks {
    let ready = Arc::clone(agent);
    let shown = Arc::clone(agent);
    let weights = weights.clone();
    let leaving = leaving.clone();
    AdminHooks {
        ready: Arc::new(move || ready.is_ready()),
        status: Arc::new(move || -> BoxFuture<'static, String> {
            status::page(Arc::clone(&shown), weights.clone()).boxed()
        }),
        drain: Arc::new(move || leaving.order()),
    }
}

fn keys(shared: &[SharedKey]) -> Option<Keys> {
    let mut keys = shared.iter().map(|key| Key::new(key.0));
    let first = keys.next()?;
    Some(match keys.next() {
        Some(second) => Keys::two(first, second),
        None => Keys::one(first),
    })
}

/// Works the hosted services out anew with every change of the configuration, and tells
/// the probers at once of that and of every change of the endpoint.
async fn follow_changes(agent: Arc<Agent>, gossip: Gossip) {
    let mut configured = agent.feed.changes();
    let mut endpoint = agent.health.changes();
    loop {
        agent.place();
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
