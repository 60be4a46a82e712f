//! Gossip over UDP: probes, statuses and rumours, and the view of all processes that results.
//!
//! One task owns the state and publishes it as immutable snapshots. Other tasks only read the
//! snapshot or put a command into a bounded queue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use adapters::VmList;
use arc_swap::ArcSwap;
use leaving::{Probers, ProbersSettings};
use link::Udp;
use membership::{
    MemberSettings, Members, OwnProcess, RumourSettings, Rumours, Snapshot, TailSettings,
};
use protocol::{ConfigDigest, DemandDigest, GossipMessage, Status};
use tokio::sync::mpsc;
use types::NodeId;

use crate::gossip_loop::{GossipCommand, GossipLoop};
use crate::start_announcement::StartAnnouncement;
use crate::vm_poll;
use crate::{ConfigFeed, Identity, now_ms};

/// Commands that may wait for the loop.
const COMMANDS_MAX: usize = 1_024;
/// VM lists that may wait for the loop.
const VM_LISTS_MAX: usize = 2;

/// Callbacks through which entries and agents extend the shared loop. They run on the loop's
/// task and must not block.
#[derive(Clone)]
pub struct GossipHooks {
    /// Returns the parts of the answer to a probe; `None` on an entry, which has no status.
    pub statuses: Option<Arc<dyn Fn() -> Vec<Status> + Send + Sync>>,
    /// Called for each rumour of weights or quarantine that is new to this process, and for each
    /// crash report.
    pub on_message: Arc<dyn Fn(&GossipMessage) + Send + Sync>,
    /// Called with the demand that another entry reports.
    pub on_demand: Arc<dyn Fn(NodeId, DemandDigest) + Send + Sync>,
    /// Called when the VM list or a rumour marks this process as leaving.
    pub on_own_leaving: Arc<dyn Fn() + Send + Sync>,
    /// Called once for each version of a customer's configuration for which another process has
    /// a different text.
    pub on_divergence: Arc<dyn Fn(&ConfigDigest) + Send + Sync>,
    /// Called when another process is found to be leaving.
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
    /// Membership and probes.
    pub members: MemberSettings,
    /// Spreading of rumours.
    pub rumours: RumourSettings,
    /// How many processes tail the log, and how.
    pub tail: TailSettings,
    /// Which processes are notified when this process leaves, and how often.
    pub probers: ProbersSettings,
}

/// Handle to the gossip loop and its view of the other processes. Clones share one state.
#[derive(Clone)]
pub struct Gossip {
    commands: mpsc::Sender<GossipCommand>,
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
        let (commands, command_receiver) = mpsc::channel(COMMANDS_MAX);
        let (lists, list_receiver) = mpsc::channel(VM_LISTS_MAX);
        let snapshot = Arc::new(ArcSwap::default());
        let own = OwnProcess {
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
            start_announcement: StartAnnouncement::default(),
            has_vm_list: false,
            publish_at_ms: 0,
            tailers_computed_ms: None,
        };
        tokio::spawn(vm_poll::poll(vm_list, lists));
        tokio::spawn(gossip_loop.run(command_receiver, list_receiver));
        Gossip { commands, snapshot }
    }

    /// The current view of the processes, for use while a request is processed.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Spreads a rumour that originates at this process.
    pub fn spread(&self, message: GossipMessage) {
        self.send_command(GossipCommand::Spread(Box::new(message)));
    }

    /// Sends a message once to each of these processes.
    pub fn send_to(&self, to: Vec<SocketAddr>, message: GossipMessage) {
        self.send_command(GossipCommand::SendTo(to, Box::new(message)));
    }

    /// Sends a message once to every known entry that is not down. Leaving entries are included,
    /// because they still have calls.
    pub fn send_to_entries(&self, message: GossipMessage) {
        self.send_command(GossipCommand::SendToEntries(Box::new(message)));
    }

    /// Announces that this process is leaving: with notices to recent probers and as a rumour to
    /// all processes.
    pub fn announce_leaving(&self) {
        self.send_command(GossipCommand::AnnounceLeaving);
    }

    /// Sends the status to recent probers at once, for example after the endpoint crashed.
    pub fn push_status(&self) {
        self.send_command(GossipCommand::PushStatus);
    }

    fn send_command(&self, command: GossipCommand) {
        if self.commands.try_send(command).is_err() {
            // The queue fills only if the loop is blocked for a long time. The status is still
            // sent in answer to the next probe, but a dropped rumour must be spread again.
            log::warn!(event = "gossip-order-dropped"; "");
        }
    }
}
