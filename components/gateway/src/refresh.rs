//! Periodic task that derives the state read by request handlers from the membership view and the
//! configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limits::{ShareSettings, Shares};
use membership::{MemberState, Snapshot};
use node::now_ms;
use protocol::{DemandDigest, GossipMessage, ProcessRole};
use telemetry::Label;
use tokio::sync::mpsc;
use types::NodeId;

use crate::gateway::Gateway;
use crate::readiness::{Facts, Readiness};

/// Interval of the task. A replica that starts draining between two ticks gets no calls, because
/// the newest membership view is checked right before a call is sent.
const TICK: Duration = Duration::from_millis(100);
/// Number of ticks between two reports of the gauges.
const GAUGE_INTERVAL_TICKS: u64 = 10;

/// Demand digests received from other entries.
pub type PeerDemands = mpsc::Receiver<(NodeId, DemandDigest)>;

/// Runs until the task is dropped.
pub async fn run(gateway: Arc<Gateway>, mut peer_demands: PeerDemands, shares: ShareSettings) {
    let mut shares = Shares::new(shares);
    let mut ticks: u64 = 0;
    loop {
        while let Ok((peer, demand)) = peer_demands.try_recv() {
            shares.record_digest(peer, &demand, now_ms());
        }
        refresh(&gateway, &mut shares);
        if ticks.is_multiple_of(GAUGE_INTERVAL_TICKS) {
            report_gauges(&gateway);
        }
        ticks += 1;
        tokio::time::sleep(TICK).await;
    }
}

fn refresh(gateway: &Gateway, shares: &mut Shares) {
    let view = gateway.feed.view();
    let snapshot = gateway.gossip.snapshot();
    gateway.services.refresh(&snapshot, &view);
    let now_ms = now_ms();
    if let Some(elapsed_ms) = shares.elapsed_if_due_ms(now_ms) {
        let live = snapshot.live(ProcessRole::Entry);
        let (peers, addresses): (Vec<NodeId>, Vec<SocketAddr>) = live
            .filter_map(|entry| Some((node_id(entry)?, entry.address)))
            .unzip();
        let demands = gateway.accounts.demands(&view, elapsed_ms);
        let digest = shares.run_round(&peers, demands, elapsed_ms, now_ms);
        gateway
            .gossip
            .send_to(addresses, GossipMessage::Demand(digest));
    }
    update_readiness(gateway, &snapshot, now_ms);
    let share = |customer: &_| shares.share(customer, now_ms);
    gateway.accounts.refresh(&view, share);
}

fn update_readiness(gateway: &Gateway, snapshot: &Snapshot, now_ms: u64) {
    let before = **gateway.readiness.load();
    let has_answered = |member: &&MemberState| member.incarnation.is_some();
    let agents = || {
        let members = snapshot.members.iter();
        members.filter(|member| member.role == ProcessRole::Agent)
    };
    let readiness = Readiness::from_facts(&Facts {
        configured: gateway.feed.is_initialized(),
        leaving: gateway.drain.is_leaving(),
        agents: agents().count(),
        // Once ready, the entry stays ready: the membership view then shows which agents are left.
        agent_answered: before == Readiness::Ready || agents().any(|agent| has_answered(&agent)),
        any_peer_answered: snapshot.members.iter().any(|member| has_answered(&member)),
        datagrams_dropped: gateway.links.traffic().datagrams_dropped,
        uptime_ms: now_ms,
    });
    if readiness == before {
        return;
    }
    gateway.readiness.store(Arc::new(readiness));
    match readiness {
        Readiness::WrongKey => {
            log::warn!(event = "readiness", state = readiness.as_str(); "");
        }
        _ => log::info!(event = "readiness", state = readiness.as_str(); ""),
    }
}

/// Returns the node id of an entry, or `None` if nothing was received from the entry yet.
fn node_id(entry: &MemberState) -> Option<NodeId> {
    let incarnation = entry.incarnation?;
    Some(NodeId {
        address: entry.address,
        incarnation,
    })
}

fn report_gauges(gateway: &Gateway) {
    let in_progress = gateway.drain.work_counter().count() as u64;
    let label = Label::default();
    gateway
        .metrics
        .set_gauge("requests_in_progress", label, in_progress);
    gateway.metrics.set_gauge("uptime_ms", label, now_ms());
}
