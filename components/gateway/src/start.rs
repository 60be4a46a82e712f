//! Creates the shared state of an entry and starts its background tasks.

use std::sync::Arc;

use adapters::{ClientSettings, LogClient, VmList};
use arc_swap::ArcSwap;
use leaving::{Drain, DrainSettings};
use link::{LinkSettings, Links, Udp};
use node::leave::DrainSignal;
use node::{ConfigFeed, Gossip, GossipSettings, Identity, PauseDetector};
use routing::Locality;
use samples::CursorKeys;
use settings::{CommonSettings, EntrySettings, SharedKey};
use telemetry::{Metrics, MetricsSettings};
use tokio::sync::mpsc;

use crate::accounts::Accounts;
use crate::error::EntryError;
use crate::gateway::Gateway;
use crate::gossip_handlers::{self, GossipSources};
use crate::keyed::{self, Claims};
use crate::reachability::PeerReachability;
use crate::readiness::Readiness;
use crate::refresh;
use crate::services::Services;
use crate::suspects::Quarantine;
use crate::training::{Coordinator, Copier, spawn_coordinator};
use crate::tuning::Tuning;
use crate::weight_authority::WeightAuthority;

/// Prefix of the names of an entry's metrics.
const METRICS_PREFIX: &str = "hornbeamrock.entry";
/// How long an idempotent call waits for a callee whose connection was lost, in milliseconds. The
/// caller waits during this time, and another replica answers within a few milliseconds.
const QUICK_REATTACH_MS: u64 = 500;
/// Capacity of the queue of version changes that are to be gossiped.
const VERSION_QUEUE_MAX: usize = 256;
/// Capacity of the queue of demand digests from other entries. Each tick empties the queue.
const DEMAND_QUEUE_MAX: usize = 1_024;

/// Parts of the process that exist before the entry starts.
pub struct ProcessParts {
    /// Address, incarnation and location of this process.
    pub identity: Arc<Identity>,
    /// Socket for gossip.
    pub udp: Udp,
    /// Settings of connections to other processes.
    pub links: LinkSettings,
    /// Signal to drain and leave.
    pub leaving: DrainSignal,
}

/// Starts the tasks of an entry. Errors when metrics or claims cannot be set up.
pub fn start(
    settings: &EntrySettings,
    tuning: Tuning,
    parts: ProcessParts,
) -> Result<Arc<Gateway>, EntryError> {
    let common = &settings.common;
    let identity = parts.identity;
    let links = Links::new(parts.links.clone());
    let quick_links = quick_links(parts.links);
    let log = LogClient::new(common.log, &ClientSettings::default());
    let claims = Claims::start(&log, keyed::settings(common.log_retention_ms)?);
    let own = identity.node().address;
    let feed_settings = tuning.feed.with_retention(common.log_retention_ms);
    let feed = ConfigFeed::start(own, log, quick_links.clone(), feed_settings);
    let (versions, version_inbox) = mpsc::channel(VERSION_QUEUE_MAX);
    let (quarantine_events, event_inbox) = mpsc::unbounded_channel();
    let weights = WeightAuthority::start(versions);
    let quarantine = Quarantine::start(quarantine_events);
    let (demand, peer_demands) = mpsc::channel(DEMAND_QUEUE_MAX);
    let hooks = gossip_handlers::hooks(&weights, &quarantine, &parts.leaving, demand);
    let gossip = start_gossip(common, tuning.gossip, &identity, parts.udp, &feed, hooks);
    let here = locality(&identity);
    let (training, coordinator) = Coordinator::new();
    let gateway = Arc::new(Gateway {
        identity,
        feed,
        gossip,
        links,
        quick_links,
        services: Services::new(tuning.routing, tuning.admission, here),
        hedging: tuning.hedging,
        accounts: Accounts::new(settings.ceilings, tuning.retries),
        reachability: PeerReachability::default(),
        quarantine,
        claims,
        weights,
        training,
        drain: Drain::new(drain_settings(common)),
        pulse: PauseDetector::start(),
        readiness: ArcSwap::from_pointee(Readiness::Unconfigured),
        metrics: start_metrics(common)?,
    });
    let copier = Copier::start(Arc::clone(&gateway));
    spawn_coordinator(
        coordinator,
        Arc::clone(&gateway),
        copier,
        cursor_keys(&common.keys),
    );
    let sources = GossipSources {
        versions: version_inbox,
        quarantine_events: event_inbox,
    };
    gossip_handlers::start(&gateway, sources);
    tokio::spawn(refresh::run(
        Arc::clone(&gateway),
        peer_demands,
        tuning.shares,
    ));
    Ok(gateway)
}

/// Returns the connections for idempotent calls, which have a shorter reattach time.
fn quick_links(links: LinkSettings) -> Links {
    Links::new(LinkSettings {
        reattach_for_ms: QUICK_REATTACH_MS,
        ..links
    })
}

fn locality(identity: &Identity) -> Locality {
    Locality {
        failure_domain: identity.failure_domain.clone(),
        region: identity.region.clone(),
    }
}

fn start_metrics(common: &CommonSettings) -> Result<Metrics, EntryError> {
    let metrics = Metrics::start(&MetricsSettings {
        statsd: common.metrics,
        prefix: METRICS_PREFIX.to_owned(),
        ..MetricsSettings::default()
    })?;
    Ok(metrics)
}

fn start_gossip(
    common: &CommonSettings,
    settings: GossipSettings,
    identity: &Arc<Identity>,
    udp: Udp,
    feed: &ConfigFeed,
    hooks: node::GossipHooks,
) -> Gossip {
    let vm_list = VmList::new(common.vm_list, &ClientSettings::default());
    let identity = Arc::clone(identity);
    Gossip::start(udp, identity, vm_list, feed.clone(), settings, hooks)
}

fn drain_settings(common: &CommonSettings) -> DrainSettings {
    DrainSettings {
        settle_ms: common.settle_ms,
        finish_ms_max: common.drain_ms,
        ..DrainSettings::ENTRY
    }
}

/// Returns the keys that sign cursors. These are the keys shared by all processes, so that every
/// entry can verify the cursors of all others.
fn cursor_keys(keys: &[SharedKey]) -> CursorKeys {
    let mut bytes = keys.iter().map(|key| key.0);
    let signs = bytes.next().unwrap_or_default();
    CursorKeys::new(signs, bytes.next())
}
