//! What is fetched from peers that hold something newer: a few fetches at a time, in which
//! each text stands once; the others wait.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use config::Ledger;
use protocol::ConfigDigest;
use types::CustomerName;

use crate::feed::Tailers;
use crate::feed_fetch::{Fetcher, HeldVersion, Wanted};
use crate::now_ms;

/// Fetches in progress at a time.
const FETCHES_MAX: usize = 8;
/// Time between two fetches of the list of customers, in milliseconds.
const LIST_EVERY_MS: u64 = 2_000;
/// Time between two fetches of all versions of a peer, in milliseconds.
const VERSIONS_EVERY_MS: u64 = 1_000;

/// A text that a peer holds in a newer version.
#[derive(Clone, Copy)]
struct Newer {
    from: SocketAddr,
    version: u64,
}

/// Fetches in progress and those that wait for a place.
pub(crate) struct FetchQueue {
    fetcher: Fetcher,
    fetching: BTreeSet<Wanted>,
    waiting: BTreeMap<CustomerName, Newer>,
    list_asked_ms: Option<u64>,
    versions_asked_ms: Option<u64>,
    /// The last list of versions brought something newer.
    is_behind: bool,
    /// Newer versions that peers told of since the last list was asked for.
    newer_heard: usize,
    newer_from: SocketAddr,
}

impl FetchQueue {
    /// An empty queue of the process at `own`.
    pub(crate) fn new(fetcher: Fetcher, own: SocketAddr) -> FetchQueue {
        FetchQueue {
            fetcher,
            fetching: BTreeSet::new(),
            waiting: BTreeMap::new(),
            list_asked_ms: None,
            versions_asked_ms: None,
            is_behind: false,
            newer_heard: 0,
            newer_from: own,
        }
    }

    /// A peer told of what it holds; fetched when it is newer than what `ledger` has.
    pub(crate) fn on_digest(&mut self, ledger: &Ledger, from: SocketAddr, digest: &ConfigDigest) {
        let newer = Newer {
            from,
            version: digest.version,
        };
        if !is_newer(ledger, &digest.customer, digest.version) {
            return;
        }
        self.newer_heard += 1;
        self.newer_from = from;
        self.fetch_newer(ledger, digest.customer.clone(), newer);
        if ledger.customers_record().is_none() && may_ask(&mut self.list_asked_ms, LIST_EVERY_MS) {
            self.fetch(from, Wanted::Customers);
        }
    }

    /// A peer answered with all versions that it holds.
    pub(crate) fn on_versions(
        &mut self,
        ledger: &Ledger,
        from: SocketAddr,
        versions: Vec<HeldVersion>,
    ) {
        let newer = |held: &HeldVersion| is_newer(ledger, &held.customer, held.version);
        // The peer may have been behind itself; who learned from it asks once more.
        self.is_behind = versions.iter().any(newer);
        for HeldVersion { customer, version } in versions {
            self.fetch_newer(ledger, customer, Newer { from, version });
        }
    }

    /// A fetch ended, whatever it brought; its place is free.
    pub(crate) fn on_end(&mut self, wanted: &Wanted) {
        self.fetching.remove(wanted);
    }

    /// Gives free places to texts that wait and are still newer than what `ledger` has.
    pub(crate) fn start_waiting(&mut self, ledger: &Ledger) {
        while self.fetching.len() < FETCHES_MAX {
            let Some((customer, newer)) = self.waiting.pop_first() else {
                return;
            };
            self.fetch_newer(ledger, customer, newer);
        }
    }

    /// Asks a peer for all versions that it holds.
    ///
    /// Rumours carry some ten digests in a datagram. After many publishes in a row those
    /// not told yet would come after minutes, so whoever heard of one asks for all: the
    /// peer that told of a single one, which spreads the load, else a reader of the log.
    pub(crate) fn ask_versions(&mut self, tailers: &Tailers) {
        let several = self.is_behind || self.newer_heard > 1;
        if !several && self.newer_heard == 0 {
            return;
        }
        if may_ask(&mut self.versions_asked_ms, VERSIONS_EVERY_MS) {
            let peer = self.newer_from;
            let from = if several {
                reader_or(tailers, peer)
            } else {
                peer
            };
            self.newer_heard = 0;
            self.fetcher.fetch(from, Wanted::Versions);
        }
    }

    fn fetch_newer(&mut self, ledger: &Ledger, customer: CustomerName, newer: Newer) {
        if !is_newer(ledger, &customer, newer.version) {
            return;
        }
        let wanted = Wanted::Text(customer.clone());
        if !self.fetching.contains(&wanted) && !self.fetch(newer.from, wanted) {
            self.waiting.insert(customer, newer);
        }
    }

    /// Starts a fetch; false when there is no place for it.
    fn fetch(&mut self, from: SocketAddr, wanted: Wanted) -> bool {
        let starts = self.fetching.len() < FETCHES_MAX && self.fetching.insert(wanted.clone());
        if starts {
            self.fetcher.fetch(from, wanted);
        }
        starts
    }
}

fn is_newer(ledger: &Ledger, customer: &CustomerName, version: u64) -> bool {
    let held = ledger.current(customer);
    held.is_none_or(|held| held.version < version)
}

/// A process that reads the log and so holds what there is, else the one at hand.
fn reader_or(tailers: &Tailers, peer: SocketAddr) -> SocketAddr {
    let others = tailers
        .all
        .iter()
        .filter(|&&address| address != tailers.own);
    let spread = usize::from(tailers.own.port());
    let count = others.clone().count().max(1);
    others.copied().nth(spread % count).unwrap_or(peer)
}

/// Whether something that was asked for at `asked_ms` may be asked for again; notes it.
fn may_ask(asked_ms: &mut Option<u64>, every_ms: u64) -> bool {
    let now_ms = now_ms();
    let due = asked_ms.is_none_or(|asked_ms| now_ms.saturating_sub(asked_ms) >= every_ms);
    if due {
        *asked_ms = Some(now_ms);
    }
    due
}
