//! Calls to the store through other fronts.
//!
//! A front that the store refuses while it serves others sends its calls through a peer. [`relay`]
//! decides which way a call takes; this module makes the calls. It never repeats a call whose
//! outcome is unknown, since only the callers know what may be repeated. A call that certainly had
//! no effect is sent to another peer.
//!
//! Relaying starts once most replicas report their start, and only if the settings name ports for
//! it. Before that, all calls are made directly and nothing is opened or written.

mod book;
mod counts;
mod link;
mod probes;
mod server;
mod wire;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use platform::store::{Connections, RESPONSE_BYTES_MAX, RawAnswer, RawCall, StoreError};
use relay::{
    ANSWER_MS_MAX, DirectCall, DirectOutcome, PEER_ATTEMPTS_MAX, PEER_CALL_MS_MAX,
    PEER_WAIT_MS_MAX, PeerOutcome, RelayHello, RelayOutcome, Route, Way, WayChange,
};
use telemetry::Label;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::clock::now_ms;
use crate::state::{Front, lock};
use counts::RelayCounts;
use link::{LinkError, PeerLink};

pub use book::withdraw;
pub use link::{ConnectError, connect};

/// Chooses the way of each call to the store, and makes the call.
pub struct PeerRelay {
    connections: Connections,
    route: Mutex<Route>,
    /// The way of calls; wakes the probes, and direct calls that are to be abandoned.
    way: watch::Sender<Way>,
    /// Open connections to peers. The lock is held while a connection is opened, so that
    /// concurrent calls share it.
    links: tokio::sync::Mutex<HashMap<SocketAddr, Arc<PeerLink>>>,
    counts: RelayCounts,
    /// Held while this front's record in the address book is written or removed.
    record_writes: tokio::sync::Mutex<()>,
    /// Addresses of the address book, by the names of nodes.
    addresses: Mutex<HashMap<String, SocketAddr>>,
    /// Set once relaying has started.
    identity: OnceLock<Identity>,
}

/// What a front tells its peers about itself.
struct Identity {
    hello: RelayHello,
    /// Address at which the front relays calls.
    address: SocketAddr,
}

/// Why no peer answered a call.
struct PeerFailure {
    reason: String,
    /// Whether the call certainly had no effect.
    not_done: bool,
}

impl PeerFailure {
    /// Peers' failures show nothing about the store, so both kinds count as a store without an
    /// answer.
    fn into_error(self) -> StoreError {
        match self.not_done {
            true => StoreError::ConnectTimeout(self.reason),
            false => StoreError::Timeout(self.reason),
        }
    }
}

impl PeerRelay {
    /// Calls the store at `address` directly until relaying starts.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            connections: Connections::new(address),
            route: Mutex::new(Route::new(now_ms())),
            way: watch::Sender::new(Way::Direct),
            links: tokio::sync::Mutex::default(),
            counts: RelayCounts::default(),
            record_writes: tokio::sync::Mutex::default(),
            addresses: Mutex::default(),
            identity: OnceLock::new(),
        }
    }

    /// Sets the store's address for the following calls; true if the address changed.
    pub fn set_store_address(&self, address: SocketAddr) -> bool {
        self.connections.set_address(address)
    }

    /// Limits the time that a read waits at the store, which is shorter through a peer.
    pub fn limit_wait_ms(&self, wait_ms: u64) -> u64 {
        match *self.way.borrow() {
            Way::Direct => wait_ms,
            Way::Peer => wait_ms.min(PEER_WAIT_MS_MAX),
        }
    }

    /// Address at which this front relays calls; `None` before relaying has started.
    pub fn address(&self) -> Option<SocketAddr> {
        Some(self.identity.get()?.address)
    }

    /// What this front tells its peers about itself; `None` before relaying has started.
    pub fn hello(&self) -> Option<&RelayHello> {
        Some(&self.identity.get()?.hello)
    }

    /// Address of another front, by the name of its node; `None` if the address book has none.
    pub fn address_of(&self, node: &str) -> Option<SocketAddr> {
        lock(&self.addresses).get(node).copied()
    }

    /// Whether calls go through a peer.
    pub fn uses_peers(&self) -> bool {
        *self.way.borrow() == Way::Peer
    }

    /// Waits until calls take another way.
    pub async fn wait_for_change(&self) {
        // The sender lives as long as `self`, so `changed` cannot fail.
        let _ = self.way.subscribe().changed().await;
    }

    /// Lines for the metrics page; none before the first relayed call.
    pub fn text(&self) -> String {
        self.counts.text()
    }

    /// Makes a call, directly or through a peer.
    pub async fn call(&self, call: RawCall) -> Result<RawAnswer, StoreError> {
        if self.identity.get().is_none() {
            return self.connections.call(call, RESPONSE_BYTES_MAX).await;
        }
        let way = *self.way.borrow();
        match way {
            Way::Peer if relay::fits_frame(call.path.len() + call.body.len()) => {
                self.call_peers(call).await
            }
            Way::Direct | Way::Peer => self.call_direct(call, RESPONSE_BYTES_MAX).await,
        }
    }

    /// Makes a call on this front's own connections and records what it shows about the store. A
    /// call that is late is abandoned once peers are used.
    async fn call_direct(
        &self,
        call: RawCall,
        answer_bytes_max: usize,
    ) -> Result<RawAnswer, StoreError> {
        let in_time = Duration::from_millis(call.wait_ms + ANSWER_MS_MAX);
        let has_time = call.within >= in_time;
        let mut way = self.way.subscribe();
        let begun = self.route().begin_direct();
        let mut exchange = std::pin::pin!(self.connections.call(call, answer_bytes_max));
        if let Ok(outcome) = timeout(in_time, exchange.as_mut()).await {
            // A call that had less time than the store may take for an answer shows nothing about
            // the store. Calls of peers may arrive with little time left.
            let was_cut_short = !has_time && matches!(outcome, Err(StoreError::Timeout(_)));
            if !was_cut_short {
                self.record_direct(begun, direct_outcome(&outcome));
            }
            return outcome;
        }
        self.record_direct(begun, DirectOutcome::Failed);
        tokio::select! {
            // A late answer is no evidence that the store serves this front well.
            outcome = exchange => outcome,
            // The sender lives as long as `self`, so `wait_for` cannot fail.
            _ = way.wait_for(|way| *way == Way::Peer) => {
                self.connections.close_idle();
                let reason = "call abandoned: the store does not answer this front";
                Err(StoreError::Timeout(reason.to_owned()))
            }
        }
    }

    /// Makes a call through peers, and directly if none of them has made it.
    async fn call_peers(&self, mut call: RawCall) -> Result<RawAnswer, StoreError> {
        let deadline = Instant::now() + call.within;
        let mut tried = Vec::new();
        while tried.len() < PEER_ATTEMPTS_MAX && *self.way.borrow() == Way::Peer {
            let Some(peer) = self.route().next_peer(&tried, now_ms()) else {
                break;
            };
            tried.push(peer);
            match self.call_peer(peer, &call).await {
                Ok(answer) => return Ok(answer),
                Err(failure) if failure.not_done => {}
                Err(failure) => return Err(failure.into_error()),
            }
            call.within = deadline.saturating_duration_since(Instant::now());
            if call.within.is_zero() {
                let reason = "no peer made the call in time".to_owned();
                return Err(StoreError::ConnectTimeout(reason));
            }
        }
        self.call_direct(call, RESPONSE_BYTES_MAX).await
    }

    /// Makes a call through one peer, and records the outcome.
    async fn call_peer(&self, peer: SocketAddr, call: &RawCall) -> Result<RawAnswer, PeerFailure> {
        let limit = Duration::from_millis(call.wait_ms + PEER_CALL_MS_MAX).min(call.within);
        let (outcome, result) = match self.exchange(peer, call, limit).await {
            Ok(RelayOutcome::Answered { status, body }) => {
                let answer = RawAnswer { status, body };
                // The store's rate limit holds for the peer: another one may have budget left.
                let outcome = match answer.is_throttled() {
                    true => PeerOutcome::Busy,
                    false => PeerOutcome::Answered,
                };
                (outcome, Ok(answer))
            }
            Ok(RelayOutcome::NotReached { not_done }) => {
                let reason = format!("peer {peer} does not reach the store");
                (
                    PeerOutcome::NotReached,
                    Err(PeerFailure { reason, not_done }),
                )
            }
            Ok(RelayOutcome::Busy) => {
                let reason = format!("peer {peer} is at its limits");
                let not_done = true;
                (PeerOutcome::Busy, Err(PeerFailure { reason, not_done }))
            }
            Err(error) => {
                let (reason, not_done) = (format!("peer {peer}: {error}"), error.is_not_sent());
                (PeerOutcome::Failed, Err(PeerFailure { reason, not_done }))
            }
        };
        self.counts.count_relayed(outcome);
        let random = rand::random();
        let change = self.route().record_peer(peer, outcome, now_ms(), random);
        self.apply(change);
        result
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        call: &RawCall,
        limit: Duration,
    ) -> Result<RelayOutcome, LinkError> {
        let deadline = Instant::now() + limit;
        let link = timeout(limit, self.link(peer))
            .await
            .map_err(|_| LinkError::NotSent("no connection in time".to_owned()))??;
        let outcome = link.call(call, deadline).await;
        if let Err(LinkError::Timeout) = outcome {
            // Later calls on this connection would wait in vain too.
            let mut links = self.links.lock().await;
            if links
                .get(&peer)
                .is_some_and(|open| Arc::ptr_eq(open, &link))
            {
                links.remove(&peer);
            }
        }
        outcome
    }

    /// Returns the open connection to a peer, or opens one.
    async fn link(&self, peer: SocketAddr) -> Result<Arc<PeerLink>, LinkError> {
        let mut links = self.links.lock().await;
        links.retain(|_, link| link.is_open());
        if let Some(link) = links.get(&peer) {
            return Ok(Arc::clone(link));
        }
        if !self.route().is_usable(&peer, now_ms()) {
            // A concurrent call has just found out that the peer does not accept connections.
            return Err(LinkError::NotSent("the peer failed just now".to_owned()));
        }
        let Some(identity) = self.identity.get() else {
            return Err(LinkError::NotSent("relaying has not started".to_owned()));
        };
        let opened = PeerLink::open(peer, &identity.hello).await;
        let link = match opened {
            Ok(link) => Arc::new(link),
            Err(error) => {
                // Recorded before the lock is released, so that waiting calls do not try again.
                let (failed, random) = (PeerOutcome::Failed, rand::random());
                let change = self.route().record_peer(peer, failed, now_ms(), random);
                self.apply(change);
                return Err(error);
            }
        };
        links.insert(peer, Arc::clone(&link));
        Ok(link)
    }

    /// Closes the connections to peers. Calls in flight are still answered.
    async fn close_links(&self) {
        self.links.lock().await.clear();
    }

    fn record_direct(&self, call: DirectCall, outcome: DirectOutcome) {
        let random = rand::random();
        let change = self.route().record_direct(call, outcome, now_ms(), random);
        self.apply(change);
    }

    /// Logs a change of the way and wakes the tasks that depend on it.
    fn apply(&self, change: Option<WayChange>) {
        let Some(change) = change else { return };
        let way = match change.way {
            Way::Direct => "direct",
            Way::Peer => "peer",
        };
        log::info!(
            event = "store-way-changed", way, why = change.cause.as_str(),
            failed_ms = change.failed_ms, peer:? = change.peer; ""
        );
        // Sent under the lock, so that concurrent changes are published in their order.
        let route = self.route();
        self.way.send_replace(route.way());
    }

    /// Locks the choice of the way. The guard must not be held across an await.
    fn route(&self) -> MutexGuard<'_, Route> {
        lock(&self.route)
    }
}

/// What the outcome of a direct call shows about the store.
fn direct_outcome(outcome: &Result<RawAnswer, StoreError>) -> DirectOutcome {
    match outcome {
        Ok(answer) if answer.is_served() => DirectOutcome::Served,
        Ok(answer) if answer.is_throttled() => DirectOutcome::Throttled,
        _ => DirectOutcome::Failed,
    }
}

/// Relays calls, and keeps the front's record and the known peers current, until the process ends.
/// Does nothing before most replicas report their start.
pub async fn run(front: Arc<Front>) {
    let Some(ports) = front.settings.peer_ports else {
        return;
    };
    book::wait_until_active(&front).await;
    let Some(listener) = server::listen(&front, ports).await else {
        return;
    };
    tokio::join!(
        server::serve(Arc::clone(&front), listener),
        book::maintain(&front),
        probes::run(&front.storage.relay),
        report_way(&front),
    );
}

/// Keeps the gauge of the way current: 0 for direct calls, 1 for calls through a peer.
async fn report_way(front: &Front) {
    let mut way = front.storage.relay.way.subscribe();
    loop {
        let uses_peers = u64::from(*way.borrow_and_update() == Way::Peer);
        front
            .metrics
            .set_gauge("front_relay_way", Label::default(), uses_peers);
        // The sender lives as long as the front, so `changed` cannot fail.
        let _ = way.changed().await;
    }
}
