//! What all requests of one entry share. The path of a request reads snapshots and
//! atomics only.

use std::sync::Arc;

use arc_swap::ArcSwap;
use leaving::Drain;
use link::Links;
use node::{ConfigFeed, Gossip, Identity, PauseDetector};
use routing::hedge::HedgeSettings;
use telemetry::Metrics;

use crate::accounts::Accounts;
use crate::keyed::Claims;
use crate::reachability::PeerReachability;
use crate::readiness::Readiness;
use crate::services::Services;
use crate::suspects::Quarantine;
use crate::training::Coordinator;
use crate::weight_authority::WeightAuthority;

/// One entry.
pub struct Gateway {
    /// Who it is.
    pub identity: Arc<Identity>,
    /// Configuration in force.
    pub feed: ConfigFeed,
    /// View of the other processes.
    pub gossip: Gossip,
    /// Connections to agents and other entries. After a lost connection a call waits a
    /// while for its callee to come back, since it can't be made anew.
    pub links: Links,
    /// Connections for calls that may run again: they wait less, and are made elsewhere.
    pub quick_links: Links,
    /// Replicas and gates of each service.
    pub services: Services,
    /// When a slow call gets a second copy.
    pub hedging: HedgeSettings,
    /// Limits and budgets of each customer.
    pub accounts: Accounts,
    /// Entries that could not be reached lately.
    pub reachability: PeerReachability,
    /// Calls that crash endpoints.
    pub quarantine: Quarantine,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Weight versions in force.
    pub weights: WeightAuthority,
    /// Ledgers of training steps.
    pub training: Coordinator,
    /// How far it is on its way out.
    pub drain: Drain,
    /// Heartbeat of the process.
    pub pulse: PauseDetector,
    /// Metrics.
    pub metrics: Metrics,
    /// Readiness as of the last tick, without the drain.
    pub readiness: ArcSwap<Readiness>,
}

impl Gateway {
    /// The connections for calls of this kind.
    pub fn links_for(&self, idempotent: bool) -> &Links {
        if idempotent {
            &self.quick_links
        } else {
            &self.links
        }
    }

    /// Whether the balancer may send requests here, and why not.
    pub fn readiness(&self) -> Readiness {
        if self.drain.is_ready() {
            **self.readiness.load()
        } else {
            Readiness::Leaving
        }
    }
}
