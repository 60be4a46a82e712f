//! State shared by all requests of an entry. Request handlers read only snapshots and atomics.

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

/// Shared state of one entry.
pub struct Gateway {
    /// Address, incarnation and location of this process.
    pub identity: Arc<Identity>,
    /// Active configurations of the customers.
    pub feed: ConfigFeed,
    /// Membership view and the messages gossiped to other processes.
    pub gossip: Gossip,
    /// Connections for calls that must not run twice. After a lost connection such a call waits for
    /// the callee to reconnect, because it cannot be sent again.
    pub links: Links,
    /// Connections for idempotent calls, which wait less and are then sent to another replica.
    pub quick_links: Links,
    /// Routing table and admission queue of each service.
    pub services: Services,
    /// Settings of hedged requests.
    pub hedging: HedgeSettings,
    /// Limits and retry budget of each customer.
    pub accounts: Accounts,
    /// Entries that this entry failed to reach recently.
    pub reachability: PeerReachability,
    /// Record of the calls that crash endpoints.
    pub quarantine: Quarantine,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Active weight version of each model.
    pub weights: WeightAuthority,
    /// Handle to the task that owns the ledgers of training steps.
    pub training: Coordinator,
    /// State of draining, and the count of work in progress.
    pub drain: Drain,
    /// Detects that the process was suspended.
    pub pulse: PauseDetector,
    /// Metrics of this entry.
    pub metrics: Metrics,
    /// Readiness at the last refresh, without the drain state.
    pub readiness: ArcSwap<Readiness>,
}

impl Gateway {
    /// Returns the connections to use for a call, depending on whether it is idempotent.
    pub fn links_for(&self, idempotent: bool) -> &Links {
        if idempotent {
            &self.quick_links
        } else {
            &self.links
        }
    }

    /// Returns whether the balancer may send requests to this entry, or the reason why not.
    pub fn readiness(&self) -> Readiness {
        if self.drain.is_ready() {
            **self.readiness.load()
        } else {
            Readiness::Leaving
        }
    }
}
