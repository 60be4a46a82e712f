//! The task behind [`crate::Gossip`]: one loop over datagrams, commands, VM lists and timers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use leaving::Probers;
use link::Udp;
use membership::{ListedVm, Members, Rumours, Snapshot, TailSettings, tailers};
use protocol::{Datagram, GossipMessage, ProcessRole};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use types::CustomerName;

use crate::gossip::GossipHooks;
use crate::start_announcement::StartAnnouncement;
use crate::{ConfigFeed, Identity, now_ms};

/// Longest sleep of the loop; due probes are sent at least this often.
const TICK_MS: u64 = 100;
/// Longest time between two snapshots. Without any datagram the passing of time changes whether
/// a member counts as live.
const SNAPSHOT_INTERVAL_MS: u64 = 1_000;
/// Delay between a change and the snapshot that contains it. Changes within this time share one
/// snapshot, since building a snapshot costs more than processing a datagram.
const SNAPSHOT_DELAY_MS: u64 = 100;
/// Delay after a change that must keep calls away from a process.
const URGENT_SNAPSHOT_DELAY_MS: u64 = 10;

/// A command from a [`crate::Gossip`] handle to the loop.
pub(crate) enum GossipCommand {
    Spread(Box<GossipMessage>),
    SendTo(Vec<SocketAddr>, Box<GossipMessage>),
    SendToEntries(Box<GossipMessage>),
    AnnounceLeaving,
    PushStatus,
}

pub(crate) struct GossipLoop {
    pub(crate) udp: Udp,
    pub(crate) identity: Arc<Identity>,
    pub(crate) feed: ConfigFeed,
    pub(crate) hooks: GossipHooks,
    pub(crate) members: Members,
    pub(crate) rumours: Rumours,
    pub(crate) probers: Probers,
    pub(crate) tail: TailSettings,
    pub(crate) snapshot: Arc<ArcSwap<Snapshot>>,
    /// Last version per customer for which a peer with a different text was reported.
    pub(crate) diverged: BTreeMap<CustomerName, u64>,
    /// Entries to which this agent announces itself after its start.
    pub(crate) start_announcement: StartAnnouncement,
    /// Whether the VM list was read at least once.
    pub(crate) has_vm_list: bool,
    /// When the next snapshot is published.
    pub(crate) publish_at_ms: u64,
    /// When the processes that tail the log were last determined.
    pub(crate) tailers_computed_ms: Option<u64>,
}

impl GossipLoop {
    pub(crate) async fn run(
        mut self,
        mut commands: mpsc::Receiver<GossipCommand>,
        mut vm_lists: mpsc::Receiver<Vec<ListedVm>>,
    ) {
        let mut rng = StdRng::seed_from_u64(rand::random());
        loop {
            let sleep = tokio::time::sleep(Duration::from_millis(self.sleep_ms()));
            tokio::select! {
                (_, datagram) = self.udp.recv() => self.on_datagram(datagram).await,
                command = commands.recv() => match command {
                    Some(command) => self.on_command(command).await,
                    // Every handle was dropped: the process is shutting down.
                    None => return,
                },
                Some(vms) = vm_lists.recv() => self.on_vm_list(&vms),
                () = sleep => {}
            }
            self.tick(&mut rng).await;
        }
    }

    async fn tick(&mut self, rng: &mut StdRng) {
        let now_ms = now_ms();
        for member in self.members.due_probes(now_ms) {
            self.send(member, vec![GossipMessage::Probe]).await;
        }
        for prober in self.probers.due_recipients(now_ms) {
            self.send_status(prober).await;
        }
        if let Some(entry) = self.start_announcement.next_recipient(now_ms) {
            self.send_status(entry).await;
        }
        if now_ms >= self.rumours.next_round_ms() {
            self.run_round(now_ms, rng).await;
        }
        if now_ms >= self.publish_at_ms {
            self.publish(now_ms);
        }
    }

    /// Publishes a snapshot soon, after a change of the members.
    pub(crate) fn schedule_publish(&mut self) {
        self.publish_at_ms = self.publish_at_ms.min(now_ms() + SNAPSHOT_DELAY_MS);
    }

    /// Publishes a snapshot almost at once, after a change that must keep calls away from a
    /// process.
    pub(crate) fn schedule_urgent_publish(&mut self) {
        self.publish_at_ms = self.publish_at_ms.min(now_ms() + URGENT_SNAPSHOT_DELAY_MS);
    }

    async fn run_round(&mut self, now_ms: u64, rng: &mut StdRng) {
        let peers = self.members.peers();
        for digest in self.feed.digests().iter() {
            let message = GossipMessage::Config(digest.clone());
            self.rumours.add(&message, peers.len(), now_ms);
        }
        let Some(round) = self.rumours.start_round(&peers, now_ms, rng) else {
            return;
        };
        let mut messages = round.news;
        messages.push(self.config_read_message(now_ms));
        for target in round.targets {
            self.send(target, messages.clone()).await;
        }
    }

    pub(crate) fn config_read_message(&self, now_ms: u64) -> GossipMessage {
        GossipMessage::ConfigRead {
            age_ms: self.feed.read_age_ms(now_ms),
        }
    }

    fn publish(&mut self, now_ms: u64) {
        let snapshot = self.members.snapshot(now_ms);
        let recompute_ms = self
            .tailers_computed_ms
            .map_or(0, |computed_ms| computed_ms + SNAPSHOT_INTERVAL_MS);
        if now_ms >= recompute_ms {
            self.feed
                .set_tailers(self.tailers(&snapshot), self.has_vm_list);
            self.tailers_computed_ms = Some(now_ms);
        }
        self.snapshot.store(Arc::new(snapshot));
        self.publish_at_ms = now_ms + SNAPSHOT_INTERVAL_MS;
    }

    /// The processes that tail the log, from every failure domain.
    fn tailers(&self, snapshot: &Snapshot) -> Vec<SocketAddr> {
        let own_domain = (&self.identity.region, &self.identity.failure_domain);
        let mut domains: BTreeMap<_, Vec<SocketAddr>> = BTreeMap::new();
        let live = [ProcessRole::Entry, ProcessRole::Agent];
        for member in live.into_iter().flat_map(|role| snapshot.live(role)) {
            let domain = (&member.region, &member.failure_domain);
            domains.entry(domain).or_default().push(member.address);
        }
        domains.insert(own_domain, self.members.domain_peers());
        let ranked = domains.into_values();
        ranked
            .flat_map(|domain| tailers(domain, &self.tail))
            .collect()
    }

    async fn on_command(&mut self, command: GossipCommand) {
        let now_ms = now_ms();
        match command {
            GossipCommand::Spread(message) => {
                let peers = self.members.peers().len();
                self.rumours.add(&message, peers, now_ms);
            }
            GossipCommand::SendTo(to, message) => self.send_to_all(to, *message).await,
            GossipCommand::SendToEntries(message) => {
                self.send_to_all(self.members.entries(), *message).await
            }
            GossipCommand::AnnounceLeaving => {
                let node = self.members.own().node;
                let peers = self.members.peers().len();
                self.rumours
                    .add(&GossipMessage::Leaving { node }, peers, now_ms);
                self.probers.start_notices(now_ms);
            }
            GossipCommand::PushStatus => {
                for prober in self.probers.recent(now_ms) {
                    self.send_status(prober).await;
                }
            }
        }
    }

    async fn send_to_all(&self, to: Vec<SocketAddr>, message: GossipMessage) {
        for peer in to {
            self.send(peer, vec![message.clone()]).await;
        }
    }

    fn on_vm_list(&mut self, vms: &[ListedVm]) {
        let now_ms = now_ms();
        let outcome = self.members.on_list(vms, now_ms);
        self.has_vm_list = true;
        if self.hooks.statuses.is_some() {
            self.start_announcement.on_list(vms);
        }
        self.schedule_publish();
        for node in outcome.leaving {
            self.handle_peer_leaving(node, now_ms);
        }
        if outcome.own_leaving {
            (self.hooks.on_own_leaving)();
        }
    }

    pub(crate) async fn send_status(&mut self, to: SocketAddr) {
        let Some(statuses) = &self.hooks.statuses else {
            return;
        };
        let parts = statuses().into_iter();
        // `send` splits the parts over several packets if they exceed one.
        let mut messages: Vec<GossipMessage> = parts
            .map(|part| GossipMessage::Status(Box::new(part)))
            .collect();
        messages.push(self.config_read_message(now_ms()));
        self.send(to, messages).await;
    }

    pub(crate) async fn send(&self, to: SocketAddr, messages: Vec<GossipMessage>) {
        let datagram = Datagram {
            from: self.identity.node(),
            role: self.identity.role,
            messages,
        };
        // Datagrams are periodic, so the next one makes up for a lost one.
        if let Err(reason) = self.udp.send(to, &datagram).await {
            log::debug!(event = "datagram-unsent", to:% = to, reason:% = reason; "");
        }
    }

    fn sleep_ms(&self) -> u64 {
        let now_ms = now_ms();
        let round_ms = self.rumours.next_round_ms();
        let notice_ms = self.probers.next_notice_ms().unwrap_or(u64::MAX);
        let announcement_ms = self.start_announcement.next_ms().unwrap_or(u64::MAX);
        let due_ms = round_ms.min(notice_ms).min(announcement_ms);
        let due_ms = due_ms.min(self.publish_at_ms);
        due_ms.saturating_sub(now_ms).clamp(1, TICK_MS)
    }
}
