//! What the loop behind [`crate::Gossip`] does with the news it hears.

use std::net::SocketAddr;

use membership::UpdateOutcome;
use protocol::{ConfigDigest, Datagram, News, ProcessRole, Status};
use types::NodeId;

use crate::feed::Held;
use crate::gossip_loop::GossipLoop;
use crate::now_ms;

/// Facts that a new peer is told at once; the others come by rumour.
const FIRST_FACTS_MAX: usize = 32;

impl GossipLoop {
    pub(crate) async fn on_datagram(&mut self, datagram: Datagram) {
        let now_ms = now_ms();
        let Datagram { from, role, news } = datagram;
        let heard = self.members.on_datagram(from, role, now_ms);
        self.act_on(from, heard).await;
        if matches!(heard, UpdateOutcome::StaleIncarnation { .. }) {
            // News of a life that is over; its rumours come from others as well.
            return;
        }
        if heard == UpdateOutcome::Changed {
            self.welcome(from.address, now_ms).await;
        }
        for item in news {
            self.on_news(from, role, item, now_ms).await;
        }
    }

    /// Tells a process that was not heard before what is known here, so that a new one
    /// need not wait for its turn in the rumours.
    async fn welcome(&mut self, to: SocketAddr, now_ms: u64) {
        let mut facts: Vec<News> = self
            .rumours
            .known_messages(now_ms)
            .take(FIRST_FACTS_MAX)
            .collect();
        facts.push(self.config_read(now_ms));
        self.send(to, facts).await;
    }

    async fn on_news(&mut self, from: NodeId, role: ProcessRole, news: News, now_ms: u64) {
        match &news {
            News::Probe => self.on_probe(from, now_ms).await,
            News::Status(status) => self.on_status(from, role, status, now_ms).await,
            News::Incarnation(known) => {
                let heard = self.members.on_own_incarnation(*known);
                self.act_on(from, heard).await;
            }
            News::ConfigRead { age_ms } => self.feed.heard_read(*age_ms, now_ms),
            News::Leaving { node } => {
                let heard = self.members.on_leaving(*node, now_ms);
                if heard == UpdateOutcome::Changed {
                    self.peer_leaves(*node, now_ms);
                }
                self.act_on(from, heard).await;
            }
            News::Demand(demand) => (self.hooks.demand)(from, demand.clone()),
            News::Crashed(_) => (self.hooks.heard)(&news),
            News::Config(digest) => self.on_config(from, digest),
            News::Weights { .. } | News::Quarantined { .. } => {
                let peers = self.members.peers().len();
                if self.rumours.add(&news, peers, now_ms) {
                    (self.hooks.heard)(&news);
                }
            }
        }
    }

    fn on_config(&mut self, from: NodeId, digest: &ConfigDigest) {
        if self.feed.heard(from.address, digest) != Held::Differing {
            return;
        }
        let customer = digest.customer.clone();
        let known = self.diverged.insert(customer, digest.version);
        if known == Some(digest.version) {
            return;
        }
        log::error!(
            event = "config-diverged", customer:% = digest.customer, version = digest.version,
            peer:% = from; ""
        );
        (self.hooks.diverged)(digest);
    }

    async fn on_probe(&mut self, from: NodeId, now_ms: u64) {
        self.probers.record_probe(from.address, now_ms);
        if self.hooks.statuses.is_some() {
            self.send_status(from.address).await;
        } else {
            // An entry has no status; any datagram is its sign of life.
            let news = vec![self.config_read(now_ms)];
            self.send(from.address, news).await;
        }
    }

    async fn on_status(&mut self, from: NodeId, role: ProcessRole, status: &Status, now_ms: u64) {
        let was_leaving = status.leaving;
        let heard = self.members.on_status(from, role, status, now_ms);
        if heard == UpdateOutcome::Changed && was_leaving {
            self.peer_leaves(from, now_ms);
        }
        // A status may change what is hosted where, which `Heard` does not tell.
        if status.leaving || status.hosted.is_empty() {
            self.changed_urgently();
        } else {
            self.changed();
        }
        self.act_on(from, heard).await;
    }

    pub(crate) fn peer_leaves(&mut self, node: NodeId, now_ms: u64) {
        let peers = self.members.peers().len();
        self.rumours.add(&News::Leaving { node }, peers, now_ms);
        (self.hooks.peer_leaving)(node);
        self.changed_urgently();
    }

    async fn act_on(&mut self, from: NodeId, heard: UpdateOutcome) {
        match heard {
            UpdateOutcome::Unchanged => {}
            UpdateOutcome::Changed => self.changed(),
            UpdateOutcome::StaleIncarnation { known } => {
                self.send(from.address, vec![News::Incarnation(known)])
                    .await;
            }
            UpdateOutcome::OwnIncarnationRaised => {
                let node = self.members.own().node;
                self.identity.take(node.incarnation);
                log::info!(event = "incarnation-raised", node:% = node; "");
            }
            UpdateOutcome::OwnLeaving => (self.hooks.leaving)(),
        }
    }
}
