//! News over UDP: probes, statuses and rumours; and the view of all processes from them.
//!
//! One task owns the state. It publishes the view as an immutable snapshot; everybody
//! else only reads that or puts a small order into a bounded queue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use adapters::VmList;
use arc_swap::ArcSwap;
use leaving::{Probers, ProbersSettings};
use link::Udp;
use membership::{MemberSettings, Members, Own, RumourSettings, Rumours, Snapshot, TailSettings};
use protocol::{ConfigDigest, DemandDigest, GossipMessage, Status};
use tokio::sync::mpsc;
use types::NodeId;

use crate::gossip_loop::{GossipLoop, Order};
use crate::greeting::Greeting;
use crate::vm_poll;
use crate::{ConfigFeed, Identity, now_ms};

/// Orders that wait at most.
const ORDERS_MAX: usize = 1_024;
/// Reads of the VM list that wait at most.
const READS_MAX: usize = 2;

/// What a process adds to the shared loop. Hooks are called on the loop's task and must
/// not wait.
#[derive(Clone)]
pub struct GossipHooks {
    /// The parts of the answer to a probe; `None` on an entry.
    pub statuses: Option<Arc<dyn Fn() -> Vec<Status> + Send + Sync>>,
    /// Gets each rumour of weights or quarantine that is new here.
    pub on_message: Arc<dyn Fn(&GossipMessage) + Send + Sync>,
    /// Gets the demand that another entry tells.
    pub on_demand: Arc<dyn Fn(NodeId, DemandDigest) + Send + Sync>,
    /// Called when the VM list or a rumour says that this process is leaving.
    pub on_own_leaving: Arc<dyn Fn() + Send + Sync>,
    /// Called once for each version of a customer's configuration of which another process
    /// holds a different text.
    pub on_divergence: Arc<dyn Fn(&ConfigDigest) + Send + Sync>,
    /// Called when a life of another process was found to be leaving.
    pub on_peer_leaving: Arc<dyn Fn(NodeId) + Send + Sync>,
}

impl Default for GossipHooks {
    fn default() -> Self {
        Self {
            statuses: None,
            on_message: Arc::new(|_| {}),
            on_demand: Arc::new(|_, _| {}),
            on_own_leaving: Arc::new(|| {}),
            on_divergence: Arc::new(|_| {}),
            on_peer_leaving: Arc::new(|_| {}),
        }
    }
}

/// Settings of the loop.
#[derive(Clone, Debug, Default)]
pub struct GossipSettings {
    /// The view.
    pub members: MemberSettings,
    /// Rumours.
    pub rumours: RumourSettings,
    /// Who tails the log.
    pub tail: TailSettings,
    /// Who is told when this process leaves.
    pub probers: ProbersSettings,
}

/// The process's view of the others. Clones share one state.
#[derive(Clone)]
pub struct Gossip {
    orders: mpsc::Sender<Order>,
    snapshot: Arc<ArcSwap<Snapshot>>,
}

impl Gossip {
    /// Starts the loop over `udp` and the poll of the VM list.
    pub fn start(
        udp: Udp,
        identity: Arc<Identity>,
        vm_list: VmList,
        feed: ConfigFeed,
        settings: GossipSettings,
        hooks: GossipHooks,
    ) -> Gossip {
        let (orders, ordered) = mpsc::channel(ORDERS_MAX);
        let (reads, read) = mpsc::channel(READS_MAX);
        let snapshot = Arc::new(ArcSwap::default());
        let own = Own {
            node: identity.node(),
            role: identity.role,
            failure_domain: identity.failure_domain.clone(),
            region: identity.region.clone(),
            started_ms: now_ms(),
        };
        let gossip_loop = GossipLoop {
            udp,
            identity,
            feed,
            hooks,
            members: Members::new(own, settings.members),
            rumours: Rumours::new(settings.rumours),
            probers: Probers::new(settings.probers),
            tail: settings.tail,
            snapshot: Arc::clone(&snapshot),
            diverged: BTreeMap::new(),
            greeting: Greeting::default(),
            listed: false,
            publish_ms: 0,
            ranked_ms: None,
        };
        tokio::spawn(vm_poll::poll(vm_list, reads));
        tokio::spawn(gossip_loop.run(ordered, read));
        Gossip { orders, snapshot }
    }

    /// The processes as they are known now, for the path of a request.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Spreads a rumour of this process's own.
    pub fn spread(&self, news: GossipMessage) {
        self.order(Order::Tell(Box::new(news)));
    }

    /// Tells each of these processes, once.
    pub fn send_to(&self, to: Vec<SocketAddr>, news: GossipMessage) {
        self.order(Order::TellDirectly(to, Box::new(news)));
    }

    /// Tells every entry that was heard and is not down, once; leaving ones too, for they
    /// still have calls.
    pub fn send_to_entries(&self, news: GossipMessage) {
        self.order(Order::TellEntries(Box::new(news)));
    }

    /// Tells recent probers and, as a rumour, everybody that this process is leaving.
    pub fn announce_leaving(&self) {
        self.order(Order::Leave);
    }

    /// Sends the status to the recent probers at once, such as after the endpoint died.
    pub fn push_status(&self) {
        self.order(Order::PushStatus);
    }

    fn order(&self, order: Order) {
        if self.orders.try_send(order).is_err() {
            // Only a loop that has stood still for a long time fills the queue. The
            // status still goes out with the next probe; a rumour has to be told again.
            log::warn!(event = "gossip-order-dropped"; "");
        }
    }
}
