//! How the loop behind [`crate::Gossip`] processes received messages.

use std::net::SocketAddr;

use membership::UpdateOutcome;
use protocol::{ConfigDigest, Datagram, GossipMessage, ProcessRole, Status};
use types::NodeId;

use crate::feed::DigestComparison;
use crate::gossip_loop::GossipLoop;
use crate::now_ms;

/// Facts that are sent at once to a new peer; it receives the others as rumours.
const INITIAL_FACTS_MAX: usize = 32;

impl GossipLoop {
    pub(crate) async fn on_datagram(&mut self, datagram: Datagram) {
        let now_ms = now_ms();
        let Datagram {
            from,
            role,
            messages,
        } = datagram;
        let outcome = self.members.on_datagram(from, role, now_ms);
        self.apply(from, outcome).await;
        if matches!(outcome, UpdateOutcome::StaleIncarnation { .. }) {
            // The datagram is from an earlier incarnation of the sender. Its rumours also arrive
            // from other processes.
            return;
        }
        if outcome == UpdateOutcome::Changed {
            self.send_known_facts(from.address, now_ms).await;
        }
        for message in messages {
            self.on_message(from, role, message, now_ms).await;
        }
    }

    /// Sends the known facts to a process from which no datagram was received before, so that a
    /// new process need not wait for the rumours.
    async fn send_known_facts(&mut self, to: SocketAddr, now_ms: u64) {
        let mut facts: Vec<GossipMessage> = self
            .rumours
            .known_news(now_ms)
            .take(INITIAL_FACTS_MAX)
            .collect();
        facts.push(self.config_read_message(now_ms));
        self.send(to, facts).await;
    }

    async fn on_message(
        &mut self,
        from: NodeId,
        role: ProcessRole,
        message: GossipMessage,
        now_ms: u64,
    ) {
        match &message {
            GossipMessage::Probe => self.on_probe(from, now_ms).await,
            GossipMessage::Status(status) => self.on_status(from, role, status, now_ms).await,
            GossipMessage::Incarnation(known) => {
                let outcome = self.members.on_own_incarnation(*known);
                self.apply(from, outcome).await;
            }
            GossipMessage::ConfigRead { age_ms } => self.feed.observe_peer_read(*age_ms, now_ms),
            GossipMessage::Leaving { node } => {
                let outcome = self.members.on_leaving(*node, now_ms);
                if outcome == UpdateOutcome::Changed {
                    self.handle_peer_leaving(*node, now_ms);
                }
                self.apply(from, outcome).await;
            }
            GossipMessage::Demand(demand) => (self.hooks.on_demand)(from, demand.clone()),
            GossipMessage::Crashed(_) => (self.hooks.on_message)(&message),
            GossipMessage::Config(digest) => self.on_config(from, digest),
            GossipMessage::Weights { .. } | GossipMessage::Quarantined { .. } => {
                let peers = self.members.peers().len();
                if self.rumours.add(&message, peers, now_ms) {
                    (self.hooks.on_message)(&message);
                }
            }
        }
    }

    fn on_config(&mut self, from: NodeId, digest: &ConfigDigest) {
        if self.feed.observe_digest(from.address, digest) != DigestComparison::Diverged {
            return;
        }
        let customer = digest.customer.clone();
        let reported = self.diverged.insert(customer, digest.version);
        if reported == Some(digest.version) {
            return;
        }
        log::error!(
            event = "config-diverged", customer:% = digest.customer, version = digest.version,
            peer:% = from; ""
        );
        (self.hooks.on_divergence)(digest);
    }

    async fn on_probe(&mut self, from: NodeId, now_ms: u64) {
        self.probers.record_probe(from.address, now_ms);
        if self.hooks.statuses.is_some() {
            self.send_status(from.address).await;
        } else {
            // An entry has no status; any datagram proves that it is alive.
            let messages = vec![self.config_read_message(now_ms)];
            self.send(from.address, messages).await;
        }
    }

    async fn on_status(&mut self, from: NodeId, role: ProcessRole, status: &Status, now_ms: u64) {
        let was_leaving = status.leaving;
        let outcome = self.members.on_status(from, role, status, now_ms);
        if outcome == UpdateOutcome::Changed && was_leaving {
            self.handle_peer_leaving(from, now_ms);
        }
        // A status may change the hosted services, which `UpdateOutcome` does not report.
        if status.leaving || status.hosted.is_empty() {
            self.schedule_urgent_publish();
        } else {
            self.schedule_publish();
        }
        self.apply(from, outcome).await;
    }

    pub(crate) fn handle_peer_leaving(&mut self, node: NodeId, now_ms: u64) {
        let peers = self.members.peers().len();
        self.rumours
            .add(&GossipMessage::Leaving { node }, peers, now_ms);
        (self.hooks.on_peer_leaving)(node);
        self.schedule_urgent_publish();
    }

    async fn apply(&mut self, from: NodeId, outcome: UpdateOutcome) {
        match outcome {
            UpdateOutcome::Unchanged => {}
            UpdateOutcome::Changed => self.schedule_publish(),
            UpdateOutcome::StaleIncarnation { known } => {
                self.send(from.address, vec![GossipMessage::Incarnation(known)])
                    .await;
            }
            UpdateOutcome::OwnIncarnationRaised => {
                let node = self.members.own().node;
                self.identity.raise_incarnation(node.incarnation);
                log::info!(event = "incarnation-raised", node:% = node; "");
            }
            UpdateOutcome::OwnLeaving => (self.hooks.on_own_leaving)(),
        }
    }
}
