//! Caller side: one connection to each peer, shared by all calls to that peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use arc_swap::ArcSwap;
use protocol::Open;
use recovery::CallEvent;
use tokio::sync::mpsc;
use types::{CallId, Cause, Failure};

use crate::call::Command;
use crate::peer::Peer;
use crate::{Call, LinkSettings, Traffic};

/// Peer tasks that a new call tries at most. An idle task may end just before it receives the
/// call, but while the runtime runs this does not happen so many times in a row.
const PEER_ATTEMPTS_MAX: usize = 4;

type Commands = mpsc::UnboundedSender<Command>;

/// Connections of this process to its peers. Clones share them.
#[derive(Clone, Debug)]
pub struct Links(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    settings: LinkSettings,
    boot: u64,
    counter: AtomicU64,
    peers: ArcSwap<HashMap<SocketAddr, Commands>>,
}

impl Links {
    /// Creates an empty set; the first call to a peer connects to it.
    pub fn new(settings: LinkSettings) -> Links {
        Links(Arc::new(Shared {
            settings,
            boot: rand::random(),
            counter: AtomicU64::new(0),
            peers: ArcSwap::default(),
        }))
    }

    /// Starts a call; needs a running tokio runtime. The id in `open` must come from
    /// [`Links::next_id`].
    pub fn call(&self, to: SocketAddr, open: Open) -> Call {
        let id = open.id;
        let (event_sender, events) = mpsc::unbounded_channel();
        let mut command = Command::Open {
            open: Box::new(open),
            events: event_sender,
        };
        let mut commands = self.peer(to);
        for _ in 1..PEER_ATTEMPTS_MAX {
            let Err(rejected) = commands.send(command) else {
                return Call::new(id, commands, events, self.0.settings.window_bytes);
            };
            // The peer's task has just ended because it was idle; `peer` starts a new one.
            command = rejected.0;
            commands = self.peer(to);
        }
        // While the runtime shuts down, every new task is dropped at once. Retrying without
        // end would occupy this thread, and the runtime, which waits for the thread, would
        // never end.
        if let Err(rejected) = commands.send(command) {
            fail_as_not_run(rejected.0);
        }
        Call::new(id, commands, events, self.0.settings.window_bytes)
    }

    /// A new call id: the random boot number of this process and a counter.
    pub fn next_id(&self) -> CallId {
        CallId {
            boot: self.0.boot,
            counter: self.0.counter.fetch_add(1, Relaxed),
        }
    }

    /// Traffic of all connections that share these settings' counters.
    pub fn traffic(&self) -> Traffic {
        self.0.settings.counters.snapshot()
    }

    fn peer(&self, to: SocketAddr) -> Commands {
        let known = self.0.peers.load().get(&to).cloned();
        match known.filter(|commands| !commands.is_closed()) {
            Some(commands) => commands,
            None => self.add_peer(to),
        }
    }

    /// Adds the peer and starts its task. If several callers add the same peer concurrently,
    /// only one of them starts a task.
    fn add_peer(&self, to: SocketAddr) -> Commands {
        let (commands, queue) = mpsc::unbounded_channel();
        self.0.peers.rcu(|peers| with_peer(peers, to, &commands));
        let winner = self.0.peers.load().get(&to).cloned();
        let winner = winner.unwrap_or_else(|| commands.clone());
        if winner.same_channel(&commands) {
            let peer = Peer::new(to, self.0.settings.clone(), self.0.boot);
            tokio::spawn(peer.run(queue));
        }
        winner
    }
}

/// Fails a call that no task accepted: none of its bytes were written.
fn fail_as_not_run(command: Command) {
    if let Command::Open { events, .. } = command {
        let failure = Failure::not_run(Cause::Internal);
        // Sending fails if the caller has dropped the handle of the call.
        let _ = events.send(CallEvent::Failed(failure));
    }
}

/// Copies the map without the peers whose task has ended, and adds `to` if it is missing.
fn with_peer(
    peers: &HashMap<SocketAddr, Commands>,
    to: SocketAddr,
    commands: &Commands,
) -> HashMap<SocketAddr, Commands> {
    let running = peers.iter().filter(|(_, known)| !known.is_closed());
    let mut peers: HashMap<_, _> = running.map(|(&at, known)| (at, known.clone())).collect();
    peers.entry(to).or_insert_with(|| commands.clone());
    peers
}
