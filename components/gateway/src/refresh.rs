//! The tick that turns the view of the processes and the configuration into what the path
//! of a request reads.

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

/// Time between two ticks. A replica that begins to leave is seen before the next tick,
/// since the newest view is asked right before each hand-over.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two levels of the metrics.
const LEVELS_EVERY: u64 = 10;

/// Demand that other entries told.
pub type Told = mpsc::Receiver<(NodeId, DemandDigest)>;

/// Runs until the task is dropped.
pub async fn run(gateway: Arc<Gateway>, mut told: Told, shares: ShareSettings) {
    let mut shares = Shares::new(shares);
    let mut ticks: u64 = 0;
    loop {
        while let Ok((peer, demand)) = told.try_recv() {
            shares.record_digest(peer, &demand, now_ms());
        }
        refresh(&gateway, &mut shares);
        if ticks.is_multiple_of(LEVELS_EVERY) {
            levels(&gateway);
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
            .filter_map(|entry| Some((node(entry)?, entry.address)))
            .unzip();
        let demands = gateway.accounts.demands(&view, elapsed_ms);
        let digest = shares.run_round(&peers, demands, elapsed_ms, now_ms);
        gateway
            .gossip
            .send_to(addresses, GossipMessage::Demand(digest));
    }
    check_readiness(gateway, &snapshot, now_ms);
    let share = |customer: &_| shares.share(customer, now_ms);
    gateway.accounts.refresh(&view, share);
}

fn check_readiness(gateway: &Gateway, snapshot: &Snapshot, now_ms: u64) {
    let before = **gateway.readiness.load();
    let is_heard = |member: &&MemberState| member.incarnation.is_some();
    let agents = || {
        let members = snapshot.members.iter();
        members.filter(|member| member.role == ProcessRole::Agent)
    };
    let readiness = Readiness::of(&Facts {
        configured: gateway.feed.is_initialized(),
        leaving: gateway.drain.is_leaving(),
        agents: agents().count(),
        // Ready once is ready: later the view itself says who is left.
        agent_heard: before == Readiness::Ready || agents().any(|agent| is_heard(&agent)),
        any_heard: snapshot.members.iter().any(|member| is_heard(&member)),
        datagrams_dropped: gateway.links.traffic().datagrams_dropped,
        up_ms: now_ms,
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

/// A life of an entry; one that was never heard has none yet.
fn node(entry: &MemberState) -> Option<NodeId> {
    let incarnation = entry.incarnation?;
    Some(NodeId {
        address: entry.address,
        incarnation,
    })
}

fn levels(gateway: &Gateway) {
    let in_progress = gateway.drain.work_counter().count() as u64;
    let label = Label::default();
    gateway
        .metrics
        .set_gauge("requests_in_progress", label, in_progress);
    gateway.metrics.set_gauge("uptime_ms", label, now_ms());
}
