//! Choice of the way that calls to the store take.
//!
//! A front calls the store directly until the store refuses it. Then it uses peers, and a direct
//! probe finds out when the store serves it again. If peers report that the store does not serve
//! them either, the store is down for all fronts. Relaying would then only multiply calls, so the
//! front calls directly and asks a single peer from time to time.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive::value;

/// Time without an answer after which a direct call counts as failed, beyond the time that the
/// store may wait for records, in milliseconds. A store that is slow but alive answers within
/// 240 ms.
pub const ANSWER_MS_MAX: u64 = 400;
/// Timeout of a relayed call beyond the time that the store may wait for records, in milliseconds.
/// Longer than the 240 ms of a slow store. A membership of 1,300 ms survives one peer that does not
/// answer: the last join is up to 350 ms old, and after this timeout and a pause of 100 ms the next
/// peer is used. With 500 ms a busy front lost its partitions.
pub const PEER_CALL_MS_MAX: u64 = 350;
/// How long the store may wait for records in a relayed read, in milliseconds.
pub const PEER_WAIT_MS_MAX: u64 = 1_000;
/// Peers that are tried for one call.
pub const PEER_ATTEMPTS_MAX: usize = 3;

/// Consecutive failures of direct calls after which peers are used.
const FAILURES_MIN: u32 = 2;
/// Longest time between two failures that count together, in milliseconds. Rare single failures
/// are no sign of a store that refuses this front.
const FAILURES_WITHIN_MS: u64 = 400;
/// Time without a success after which exceeding the store's rate limit counts as a failure, in
/// milliseconds.
const THROTTLED_MS_MIN: u64 = 1_000;
/// How long a peer is not used after it failed, in milliseconds.
const PEER_PAUSE_MS: u64 = 1_000;
/// How long a peer that failed comes after all others, in milliseconds. A peer that accepts calls
/// and never answers would otherwise cost one call of each caller per second, and a membership
/// does not survive the loss of several joins.
const PEER_DOUBT_MS: u64 = 30_000;
/// Peers that report a store out of reach before it counts as down for all fronts.
const NOT_REACHED_MAX: usize = 3;
/// Interval of direct probes while peers are used, in milliseconds.
const PROBE_MS: u64 = 300;
/// Interval of trials of a peer while the store is down for all fronts, in milliseconds.
const TRIAL_MS: u64 = 1_000;
/// Usable peers below which the address book is read again.
const PEERS_MIN: usize = 2;

/// The way that calls take.
#[value]
#[derive(Copy)]
pub enum Way {
    /// On the front's own connections to the store.
    Direct,
    /// Through a peer.
    Peer,
}

/// Outcome of a direct call.
#[value]
#[derive(Copy)]
pub enum DirectOutcome {
    /// The store served the call, or refused it for its content.
    Served,
    /// The store's rate limit was exceeded (429).
    Throttled,
    /// The store refused the front, the connection failed, or no answer arrived in time.
    Failed,
}

/// Outcome of a call through a peer.
#[value]
#[derive(Copy)]
pub enum PeerOutcome {
    /// The store answered the peer.
    Answered,
    /// The peer does not reach the store.
    NotReached,
    /// The peer is at its limits.
    Busy,
    /// The peer does not answer, or its connection failed.
    Failed,
}

/// Why the way changed.
#[value]
#[derive(Copy)]
pub enum WayCause {
    /// Direct calls fail.
    DirectFails,
    /// A direct probe was served.
    DirectServes,
    /// Several peers do not reach the store either.
    StoreDown,
    /// A peer reaches the store again, and this front does not.
    PeerServes,
}

impl WayCause {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            WayCause::DirectFails => "direct-fails",
            WayCause::DirectServes => "direct-serves",
            WayCause::StoreDown => "store-down",
            WayCause::PeerServes => "peer-serves",
        }
    }
}

/// A change of the way.
#[value]
#[derive(Copy)]
pub struct WayChange {
    /// The way of the following calls.
    pub way: Way,
    /// Why the way changed.
    pub cause: WayCause,
    /// Time since the store last served a direct call, in milliseconds.
    pub failed_ms: u64,
    /// Peer that is used first, or whose report caused the change.
    pub peer: Option<SocketAddr>,
}

/// A call that finds out whether the way should change, and when it is due.
#[value]
#[derive(Copy)]
pub enum Probe {
    /// Nothing is to be found out.
    None,
    /// A direct call at this time.
    Direct(u64),
    /// A call through one peer at this time.
    Peer(u64),
}

/// A direct call in progress: the number of changes of the way before it was sent.
#[value]
#[derive(Copy)]
pub struct DirectCall {
    changes: u64,
}

#[value]
#[derive(Copy)]
struct PeerFailure {
    at_ms: u64,
    outcome: PeerOutcome,
}

/// State of the choice for one front.
#[derive(Debug)]
pub struct Route {
    way: Way,
    /// Number of changes of the way.
    changes: u64,
    /// Known peers in order of preference.
    peers: Vec<SocketAddr>,
    /// Direct calls that failed since the last one that was served.
    failures: u32,
    last_failure_ms: u64,
    last_served_ms: u64,
    /// The last failure of each peer since its last answer.
    peer_failures: HashMap<SocketAddr, PeerFailure>,
    /// Peers that did not reach the store since a peer last did.
    not_reached: Vec<SocketAddr>,
    /// When the next direct probe is due while peers are used, or the next trial of a peer while
    /// the store is down for all fronts; `None` while direct calls are served.
    next_probe_ms: Option<u64>,
}

impl Route {
    /// Starts with direct calls and without peers.
    pub fn new(now_ms: u64) -> Self {
        Self {
            way: Way::Direct,
            changes: 0,
            peers: Vec::new(),
            failures: 0,
            last_failure_ms: 0,
            last_served_ms: now_ms,
            peer_failures: HashMap::new(),
            not_reached: Vec::new(),
            next_probe_ms: None,
        }
    }

    /// Replaces the known peers, in order of preference. Failures of peers that stay are kept.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peer_failures.retain(|peer, _| peers.contains(peer));
        self.not_reached.retain(|peer| peers.contains(peer));
        self.peers = peers;
    }

    /// The way of the next call.
    pub fn way(&self) -> Way {
        self.way
    }

    /// Whether this front may make calls for its peers. It may not once its own direct calls fail:
    /// the peer would wait in vain, and a store that is down would get more calls.
    pub fn may_serve(&self) -> bool {
        self.way == Way::Direct && self.failures == 0
    }

    /// Whether so few peers are usable that the address book should be read again.
    pub fn needs_peers(&self, now_ms: u64) -> bool {
        let usable = self
            .peers
            .iter()
            .filter(|peer| self.is_usable(peer, now_ms));
        usable.count() < PEERS_MIN
    }

    /// First usable peer that is not in `tried`. Peers that failed since their last answer come
    /// after the others, the longest ago first, so that trials reach all of them in turn.
    pub fn next_peer(&self, tried: &[SocketAddr], now_ms: u64) -> Option<SocketAddr> {
        let usable = |peer: &&SocketAddr| !tried.contains(peer) && self.is_usable(peer, now_ms);
        let usable = self.peers.iter().filter(usable);
        usable
            .min_by_key(|peer| self.doubt_since_ms(peer, now_ms))
            .copied()
    }

    /// The call that is due next to find out whether the way should change.
    pub fn probe(&self) -> Probe {
        match (self.next_probe_ms, self.way) {
            (None, _) => Probe::None,
            (Some(at_ms), Way::Peer) => Probe::Direct(at_ms),
            (Some(at_ms), Way::Direct) => Probe::Peer(at_ms),
        }
    }

    /// A direct call that is sent now.
    pub fn begin_direct(&self) -> DirectCall {
        DirectCall {
            changes: self.changes,
        }
    }

    /// Records the outcome of a direct call. While peers are used, only probes are evidence. The end
    /// of a call that was sent before the way last changed shows nothing about the store now.
    pub fn record_direct(
        &mut self,
        call: DirectCall,
        outcome: DirectOutcome,
        now_ms: u64,
        random: u64,
    ) -> Option<WayChange> {
        if self.way == Way::Peer || call.changes != self.changes {
            return None;
        }
        match outcome {
            DirectOutcome::Served => {
                self.record_served(now_ms);
                return None;
            }
            DirectOutcome::Throttled if self.failed_ms(now_ms) < THROTTLED_MS_MIN => return None,
            DirectOutcome::Throttled | DirectOutcome::Failed => self.record_failure(now_ms),
        }
        let is_down_for_all = self.next_probe_ms.is_some();
        let first = self.next_peer(&[], now_ms)?;
        if self.failures < FAILURES_MIN || is_down_for_all {
            return None;
        }
        self.not_reached.clear();
        Some(self.use_peers(WayCause::DirectFails, first, now_ms, random))
    }

    /// Records the outcome of a direct probe.
    pub fn record_probe(
        &mut self,
        outcome: DirectOutcome,
        now_ms: u64,
        random: u64,
    ) -> Option<WayChange> {
        if self.way != Way::Peer {
            return None;
        }
        if outcome != DirectOutcome::Served {
            self.next_probe_ms = Some(now_ms + jittered(PROBE_MS, random));
            return None;
        }
        let change = self.change(Way::Direct, WayCause::DirectServes, None, now_ms);
        self.record_served(now_ms);
        Some(change)
    }

    /// Records the outcome of a call through `peer`, an ordinary one or a trial. Nothing is recorded
    /// for a peer that is no longer known.
    pub fn record_peer(
        &mut self,
        peer: SocketAddr,
        outcome: PeerOutcome,
        now_ms: u64,
        random: u64,
    ) -> Option<WayChange> {
        if !self.peers.contains(&peer) {
            return None;
        }
        match outcome {
            PeerOutcome::Answered => {
                self.peer_failures.remove(&peer);
                self.not_reached.clear();
                let is_trial = matches!(self.probe(), Probe::Peer(_));
                return is_trial
                    .then(|| self.use_peers(WayCause::PeerServes, peer, now_ms, random));
            }
            PeerOutcome::NotReached if !self.not_reached.contains(&peer) => {
                self.not_reached.push(peer);
            }
            PeerOutcome::NotReached | PeerOutcome::Busy | PeerOutcome::Failed => {}
        }
        let at_ms = now_ms;
        self.peer_failures
            .insert(peer, PeerFailure { at_ms, outcome });
        let limit = NOT_REACHED_MAX.min(self.peers.len());
        if self.way == Way::Peer && limit > 0 && self.not_reached.len() >= limit {
            self.next_probe_ms = Some(now_ms + jittered(TRIAL_MS, random));
            return Some(self.change(Way::Direct, WayCause::StoreDown, Some(peer), now_ms));
        }
        None
    }

    /// Records that a trial of a peer begins, so that the next one follows an interval later
    /// whatever becomes of this one.
    pub fn record_trial(&mut self, now_ms: u64, random: u64) {
        if matches!(self.probe(), Probe::Peer(_)) {
            self.next_probe_ms = Some(now_ms + jittered(TRIAL_MS, random));
        }
    }

    fn record_served(&mut self, now_ms: u64) {
        self.failures = 0;
        self.last_served_ms = now_ms;
        self.next_probe_ms = None;
        self.not_reached.clear();
    }

    fn record_failure(&mut self, now_ms: u64) {
        let together = now_ms.saturating_sub(self.last_failure_ms) <= FAILURES_WITHIN_MS;
        self.failures = match together {
            true => self.failures.saturating_add(1),
            false => 1,
        };
        self.last_failure_ms = now_ms;
    }

    fn use_peers(
        &mut self,
        cause: WayCause,
        peer: SocketAddr,
        now_ms: u64,
        random: u64,
    ) -> WayChange {
        self.next_probe_ms = Some(now_ms + jittered(PROBE_MS, random));
        self.change(Way::Peer, cause, Some(peer), now_ms)
    }

    fn change(
        &mut self,
        way: Way,
        cause: WayCause,
        peer: Option<SocketAddr>,
        now_ms: u64,
    ) -> WayChange {
        self.way = way;
        self.changes += 1;
        WayChange {
            way,
            cause,
            failed_ms: self.failed_ms(now_ms),
            peer,
        }
    }

    fn failed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_served_ms)
    }

    /// Whether a peer has not failed just now.
    pub fn is_usable(&self, peer: &SocketAddr, now_ms: u64) -> bool {
        let failure = self.peer_failures.get(peer);
        failure.is_none_or(|failure| now_ms.saturating_sub(failure.at_ms) >= PEER_PAUSE_MS)
    }

    /// Since when it is in doubt whether a peer answers; 0 if it is not. A peer that was at its
    /// limits has answered.
    fn doubt_since_ms(&self, peer: &SocketAddr, now_ms: u64) -> u64 {
        match self.peer_failures.get(peer) {
            Some(PeerFailure { at_ms, outcome })
                if *outcome != PeerOutcome::Busy
                    && now_ms.saturating_sub(*at_ms) < PEER_DOUBT_MS =>
            {
                *at_ms
            }
            _ => 0,
        }
    }
}

/// An interval between three quarters and five quarters of `interval_ms`.
fn jittered(interval_ms: u64, random: u64) -> u64 {
    interval_ms * 3 / 4 + random % (interval_ms / 2 + 1)
}
