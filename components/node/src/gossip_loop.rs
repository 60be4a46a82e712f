//! The task behind [`crate::Gossip`]: one loop over datagrams, orders, reads of the VM
//! list and the time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use leaving::Probers;
use link::Udp;
use membership::{ListedVm, Members, Rumours, Snapshot, TailSettings, tailers};
use protocol::{Datagram, News, ProcessRole};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use types::CustomerName;

use crate::gossip::GossipHooks;
use crate::greeting::Greeting;
use crate::{ConfigFeed, Identity, now_ms};

/// Longest sleep; probes and the view are looked at this often.
const TICK_MS: u64 = 100;
/// The view is published anew this often though nothing happened, since time alone turns
/// a member's standing.
const REFRESH_MS: u64 = 1_000;
/// News within this time is published together; building a view costs more than taking
/// in one datagram.
const GATHER_MS: u64 = 100;
/// The same for news that keeps calls away from a process.
const URGENT_MS: u64 = 10;

/// What others ask of the loop.
pub(crate) enum Order {
    Tell(Box<News>),
    TellDirectly(Vec<SocketAddr>, Box<News>),
    TellEntries(Box<News>),
    Leave,
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
    /// Versions of which some process holds another text than this one.
    pub(crate) diverged: BTreeMap<CustomerName, u64>,
    /// Entries that this agent tells of itself after its start.
    pub(crate) greeting: Greeting,
    /// The VM list was read once.
    pub(crate) listed: bool,
    /// When the view is published next.
    pub(crate) publish_ms: u64,
    /// When the readers of the log were last worked out.
    pub(crate) ranked_ms: Option<u64>,
}

impl GossipLoop {
    pub(crate) async fn run(
        mut self,
        mut orders: mpsc::Receiver<Order>,
        mut reads: mpsc::Receiver<Vec<ListedVm>>,
    ) {
        let mut rng = StdRng::seed_from_u64(rand::random());
        loop {
            let sleep = tokio::time::sleep(Duration::from_millis(self.sleep_ms()));
            tokio::select! {
                (_, datagram) = self.udp.recv() => self.on_datagram(datagram).await,
                order = orders.recv() => match order {
                    Some(order) => self.on_order(order).await,
                    // Every handle is gone, and with them the process's other tasks.
                    None => return,
                },
                Some(listed) = reads.recv() => self.on_list(&listed),
                () = sleep => {}
            }
            self.tick(&mut rng).await;
        }
    }

    async fn tick(&mut self, rng: &mut StdRng) {
        let now_ms = now_ms();
        for member in self.members.due_probes(now_ms) {
            self.send(member, vec![News::Probe]).await;
        }
        for prober in self.probers.due_recipients(now_ms) {
            self.send_status(prober).await;
        }
        if let Some(entry) = self.greeting.due(now_ms) {
            self.send_status(entry).await;
        }
        if now_ms >= self.rumours.next_round_ms() {
            self.round(now_ms, rng).await;
        }
        if now_ms >= self.publish_ms {
            self.publish(now_ms);
        }
    }

    /// News has come that changes the view.
    pub(crate) fn changed(&mut self) {
        self.publish_ms = self.publish_ms.min(now_ms() + GATHER_MS);
    }

    /// News has come that keeps calls away from a process.
    pub(crate) fn changed_urgently(&mut self) {
        self.publish_ms = self.publish_ms.min(now_ms() + URGENT_MS);
    }

    async fn round(&mut self, now_ms: u64, rng: &mut StdRng) {
        let peers = self.members.peers();
        for digest in self.feed.digests().iter() {
            let news = News::Config(digest.clone());
            self.rumours.add(&news, peers.len(), now_ms);
        }
        let Some(round) = self.rumours.start_round(&peers, now_ms, rng) else {
            return;
        };
        let mut news = round.messages;
        news.push(self.config_read(now_ms));
        for target in round.targets {
            self.send(target, news.clone()).await;
        }
    }

    pub(crate) fn config_read(&self, now_ms: u64) -> News {
        News::ConfigRead {
            age_ms: self.feed.read_age_ms(now_ms),
        }
    }

    fn publish(&mut self, now_ms: u64) {
        let snapshot = self.members.snapshot(now_ms);
        let rank_again_ms = self.ranked_ms.map_or(0, |ranked_ms| ranked_ms + REFRESH_MS);
        if now_ms >= rank_again_ms {
            self.feed.set_tailers(self.tailers(&snapshot), self.listed);
            self.ranked_ms = Some(now_ms);
        }
        self.snapshot.store(Arc::new(snapshot));
        self.publish_ms = now_ms + REFRESH_MS;
    }

    /// The processes of every failure domain that tail the log.
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

    async fn on_order(&mut self, order: Order) {
        let now_ms = now_ms();
        match order {
            Order::Tell(news) => {
                let peers = self.members.peers().len();
                self.rumours.add(&news, peers, now_ms);
            }
            Order::TellDirectly(to, news) => self.tell(to, *news).await,
            Order::TellEntries(news) => self.tell(self.members.entries(), *news).await,
            Order::Leave => {
                let node = self.members.own().node;
                let peers = self.members.peers().len();
                self.rumours.add(&News::Leaving { node }, peers, now_ms);
                self.probers.start_notices(now_ms);
            }
            Order::PushStatus => {
                for prober in self.probers.recent(now_ms) {
                    self.send_status(prober).await;
                }
            }
        }
    }

    async fn tell(&self, to: Vec<SocketAddr>, news: News) {
        for peer in to {
            self.send(peer, vec![news.clone()]).await;
        }
    }

    fn on_list(&mut self, listed: &[ListedVm]) {
        let now_ms = now_ms();
        let read = self.members.on_list(listed, now_ms);
        self.listed = true;
        if self.hooks.statuses.is_some() {
            self.greeting.on_list(listed);
        }
        self.changed();
        for node in read.leaving {
            self.peer_leaves(node, now_ms);
        }
        if read.own_leaving {
            (self.hooks.leaving)();
        }
    }

    pub(crate) async fn send_status(&mut self, to: SocketAddr) {
        let Some(statuses) = &self.hooks.statuses else {
            return;
        };
        let parts = statuses().into_iter();
        // What does not fit one datagram goes as several.
        let mut news: Vec<News> = parts.map(|part| News::Status(Box::new(part))).collect();
        news.push(self.config_read(now_ms()));
        self.send(to, news).await;
    }

    pub(crate) async fn send(&self, to: SocketAddr, news: Vec<News>) {
        let datagram = Datagram {
            from: self.identity.node(),
            role: self.identity.role,
            news,
        };
        // A lost datagram is made good by the next one.
        if let Err(reason) = self.udp.send(to, &datagram).await {
            log::debug!(event = "datagram-unsent", to:% = to, reason:% = reason; "");
        }
    }

    fn sleep_ms(&self) -> u64 {
        let now_ms = now_ms();
        let round_ms = self.rumours.next_round_ms();
        let notice_ms = self.probers.next_notice_ms().unwrap_or(u64::MAX);
        let greeting_ms = self.greeting.next_ms().unwrap_or(u64::MAX);
        let due_ms = round_ms.min(notice_ms).min(greeting_ms);
        let due_ms = due_ms.min(self.publish_ms);
        due_ms.saturating_sub(now_ms).clamp(1, TICK_MS)
    }
}
