//! Caller side: one connection to each peer, shared by all calls to it.

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

/// Tasks that a call tries at most; one ends at the wrong moment now and then, never so
/// many in a row while the runtime lives.
const PEER_TRIES: usize = 4;

type Commands = mpsc::UnboundedSender<Command>;

/// Connections of this process to its peers. Cheap to clone.
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
    /// Connections are made when the first call to a peer needs one.
    pub fn new(settings: LinkSettings) -> Links {
        Links(Arc::new(Shared {
            settings,
            boot: rand::random(),
            counter: AtomicU64::new(0),
            peers: ArcSwap::default(),
        }))
    }

    /// Starts a call; needs a running tokio runtime. The identity in `open` is used as it
    /// is, so take it from [`Links::next_id`].
    pub fn call(&self, to: SocketAddr, open: Open) -> Call {
        let id = open.id;
        let (events_in, events) = mpsc::unbounded_channel();
        let mut command = Command::Open {
            open: Box::new(open),
            events: events_in,
        };
        let mut commands = self.peer(to);
        for _ in 1..PEER_TRIES {
            let Err(refused) = commands.send(command) else {
                return Call::new(id, commands, events, self.0.settings.window_bytes);
            };
            // The peer's task has just ended for want of calls; the next look starts one.
            command = refused.0;
            commands = self.peer(to);
        }
        // While the runtime ends, a task dies as it is started. Trying on would keep this
        // thread busy and the runtime, which waits for it, from ever ending.
        if let Err(refused) = commands.send(command) {
            never_begun(refused.0);
        }
        Call::new(id, commands, events, self.0.settings.window_bytes)
    }

    /// A new identity for a call of this process.
    pub fn next_id(&self) -> CallId {
        CallId {
            boot: self.0.boot,
            counter: self.0.counter.fetch_add(1, Relaxed),
        }
    }

    /// Bytes that were counted into these links' settings so far.
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

    /// Of several callers that add the same peer at once, one starts its task.
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

/// Ends a call that no task took: nothing of it was written.
fn never_begun(command: Command) {
    if let Command::Open { events, .. } = command {
        let failure = Failure::not_run(Cause::Internal);
        // Its caller may be gone as well; then nobody waits for the word.
        let _ = events.send(CallEvent::Failed(failure));
    }
}

/// The peers with `to` among them, without those whose task has ended.
fn with_peer(
    peers: &HashMap<SocketAddr, Commands>,
    to: SocketAddr,
    commands: &Commands,
) -> HashMap<SocketAddr, Commands> {
    let living = peers.iter().filter(|(_, known)| !known.is_closed());
    let mut peers: HashMap<_, _> = living.map(|(&at, known)| (at, known.clone())).collect();
    peers.entry(to).or_insert_with(|| commands.clone());
    peers
}
