//! Gossips local events to the other processes and handles the messages that they send.

use std::sync::Arc;

use node::GossipHooks;
use node::leave::DrainSignal;
use protocol::{CrashReport, DemandDigest, GossipMessage};
use quarantine::{CallDigest, EndpointCrash};
use tokio::sync::mpsc;
use types::NodeId;
use weights::{ModelKey, Target};

use crate::gateway::Gateway;
use crate::suspects::{Quarantine, QuarantineEvent};
use crate::weight_authority::WeightAuthority;

/// Maximum number of digests in one crash report, so that the report fits a datagram.
const DIGESTS_MAX: usize = 48;

/// Local events that are to be gossiped.
pub struct GossipSources {
    /// Weight versions that became active or are to be loaded.
    pub versions: mpsc::Receiver<(ModelKey, Target)>,
    /// Condemned calls and endpoint crashes.
    pub quarantine_events: mpsc::UnboundedReceiver<QuarantineEvent>,
}

/// Starts the tasks that gossip the local events.
pub fn start(gateway: &Arc<Gateway>, sources: GossipSources) {
    tokio::spawn(spread_versions(Arc::clone(gateway), sources.versions));
    tokio::spawn(spread_quarantine_events(
        Arc::clone(gateway),
        sources.quarantine_events,
    ));
}

/// Gossips every change of a model's target version and passes the active version to the ledgers.
async fn spread_versions(gateway: Arc<Gateway>, mut versions: mpsc::Receiver<(ModelKey, Target)>) {
    while let Some((model, target)) = versions.recv().await {
        gateway.gossip.spread(GossipMessage::Weights {
            customer: model.customer.clone(),
            service: model.service.clone(),
            target,
        });
        gateway.training.announce(model, target.serve).await;
    }
}

async fn spread_quarantine_events(
    gateway: Arc<Gateway>,
    mut events: mpsc::UnboundedReceiver<QuarantineEvent>,
) {
    while let Some(event) = events.recv().await {
        match event {
            QuarantineEvent::Condemned(call) => gateway.gossip.spread(GossipMessage::Quarantined {
                digest: call.digest.0,
                left_ms: call.left_ms,
            }),
            QuarantineEvent::Crashed(crashed) => send_crash_report(&gateway, &crashed),
        }
    }
}

fn send_crash_report(gateway: &Gateway, crashed: &EndpointCrash) {
    for digests in crashed.in_flight.chunks(DIGESTS_MAX) {
        let report = CrashReport {
            entry: gateway.identity.node().address,
            endpoint: crashed.endpoint,
            digests: digests.iter().map(|digest| digest.0).collect(),
        };
        gateway
            .gossip
            .send_to_entries(GossipMessage::Crashed(report));
    }
}

/// Returns the handlers of messages from other processes.
pub fn hooks(
    weights: &WeightAuthority,
    quarantine: &Quarantine,
    leaving: &DrainSignal,
    demand: mpsc::Sender<(NodeId, DemandDigest)>,
) -> GossipHooks {
    let weights = weights.clone();
    let quarantine = quarantine.clone();
    let leaving = leaving.clone();
    GossipHooks {
        on_message: Arc::new(move |message| match message {
            GossipMessage::Weights {
                customer,
                service,
                target,
            } => {
                let model = ModelKey {
                    customer: customer.clone(),
                    service: service.clone(),
                };
                weights.merge_from_peer(model, *target);
            }
            GossipMessage::Quarantined { digest, left_ms } => {
                quarantine.record_peer_verdict(CallDigest(*digest), *left_ms);
            }
            GossipMessage::Crashed(report) => {
                log::info!(
                    event = "endpoint-crash-heard", agent:% = report.endpoint,
                    entry:% = report.entry, in_flight = report.digests.len(); ""
                );
                let in_flight = report.digests.iter().copied().map(CallDigest);
                let crashed = EndpointCrash {
                    endpoint: report.endpoint,
                    in_flight: in_flight.collect(),
                };
                quarantine.record_peer_crash(report.entry, crashed);
            }
            _ => {}
        }),
        // If the queue is full, the digest is dropped. The peer's next digest replaces it.
        on_demand: Arc::new(move |from, digest| _ = demand.try_send((from, digest))),
        on_own_leaving: Arc::new(move || leaving.trigger()),
        ..GossipHooks::default()
    }
}
