//! Fetches of newer configuration from peers: a limited number at a time, and no text twice at
//! the same time; further fetches wait.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use config::Ledger;
use protocol::ConfigDigest;
use types::CustomerName;

use crate::feed::Tailers;
use crate::feed_fetch::{FetchTarget, Fetcher, HeldVersion};
use crate::now_ms;

/// Fetches in progress at a time.
const FETCHES_MAX: usize = 8;
/// Time between two fetches of the list of customers, in milliseconds.
const LIST_INTERVAL_MS: u64 = 2_000;
/// Time between two fetches of all versions of a peer, in milliseconds.
const VERSIONS_INTERVAL_MS: u64 = 1_000;

/// A newer version of a customer's configuration, and a peer that holds it.
#[derive(Clone, Copy)]
struct NewerVersion {
    from: SocketAddr,
    version: u64,
}

/// Fetches in progress and those that wait for a slot.
pub(crate) struct FetchQueue {
    fetcher: Fetcher,
    in_progress: BTreeSet<FetchTarget>,
    waiting: BTreeMap<CustomerName, NewerVersion>,
    list_requested_ms: Option<u64>,
    versions_requested_ms: Option<u64>,
    /// Whether the last list of versions contained a newer one.
    is_behind: bool,
    /// Digests with a newer version that were received since the last request for all versions.
    newer_digests: usize,
    /// Sender of the last digest with a newer version.
    newer_peer: SocketAddr,
}

impl FetchQueue {
    /// Creates an empty queue for the process at `own`.
    pub(crate) fn new(fetcher: Fetcher, own: SocketAddr) -> FetchQueue {
        FetchQueue {
            fetcher,
            in_progress: BTreeSet::new(),
            waiting: BTreeMap::new(),
            list_requested_ms: None,
            versions_requested_ms: None,
            is_behind: false,
            newer_digests: 0,
            newer_peer: own,
        }
    }

    /// Processes a peer's digest: fetches the text if it is newer than that of `ledger`.
    pub(crate) fn on_digest(&mut self, ledger: &Ledger, from: SocketAddr, digest: &ConfigDigest) {
        let newer = NewerVersion {
            from,
            version: digest.version,
        };
        if !is_newer(ledger, &digest.customer, digest.version) {
            return;
        }
        self.newer_digests += 1;
        self.newer_peer = from;
        self.fetch_or_enqueue(ledger, digest.customer.clone(), newer);
        if ledger.customers_record().is_none()
            && record_request_if_due(&mut self.list_requested_ms, LIST_INTERVAL_MS)
        {
            self.fetch(from, FetchTarget::Customers);
        }
    }

    /// Processes a peer's list of versions: fetches those that are newer than in `ledger`.
    pub(crate) fn on_versions(
        &mut self,
        ledger: &Ledger,
        from: SocketAddr,
        versions: Vec<HeldVersion>,
    ) {
        let is_newer_version = |held: &HeldVersion| is_newer(ledger, &held.customer, held.version);
        // The peer may lack versions itself, so a list with something newer is followed by
        // another request.
        self.is_behind = versions.iter().any(is_newer_version);
        for HeldVersion { customer, version } in versions {
            self.fetch_or_enqueue(ledger, customer, NewerVersion { from, version });
        }
    }

    /// Frees the slot of a fetch that ended, successfully or not.
    pub(crate) fn on_fetch_end(&mut self, target: &FetchTarget) {
        self.in_progress.remove(target);
    }

    /// Starts waiting fetches in free slots, if their version is still newer than in `ledger`.
    pub(crate) fn start_waiting(&mut self, ledger: &Ledger) {
        while self.in_progress.len() < FETCHES_MAX {
            let Some((customer, newer)) = self.waiting.pop_first() else {
                return;
            };
            self.fetch_or_enqueue(ledger, customer, newer);
        }
    }

    /// Requests all versions from a peer if digests showed that this process is behind.
    ///
    /// A datagram carries only about ten digests, so after many publishes in a row the last
    /// ones would arrive minutes later. A process that received one newer digest therefore
    /// requests all versions from its sender, which spreads the load; after several newer
    /// digests it requests them from a process that tails the log.
    pub(crate) fn request_versions(&mut self, tailers: &Tailers) {
        let several = self.is_behind || self.newer_digests > 1;
        if !several && self.newer_digests == 0 {
            return;
        }
        if record_request_if_due(&mut self.versions_requested_ms, VERSIONS_INTERVAL_MS) {
            let peer = self.newer_peer;
            let from = if several {
                tailer_or(tailers, peer)
            } else {
                peer
            };
            self.newer_digests = 0;
            self.fetcher.fetch(from, FetchTarget::Versions);
        }
    }

    fn fetch_or_enqueue(&mut self, ledger: &Ledger, customer: CustomerName, newer: NewerVersion) {
        if !is_newer(ledger, &customer, newer.version) {
            return;
        }
        let target = FetchTarget::Text(customer.clone());
        if !self.in_progress.contains(&target) && !self.fetch(newer.from, target) {
            self.waiting.insert(customer, newer);
        }
    }

    /// Starts a fetch; returns false if all slots are in use.
    fn fetch(&mut self, from: SocketAddr, target: FetchTarget) -> bool {
        let is_started =
            self.in_progress.len() < FETCHES_MAX && self.in_progress.insert(target.clone());
        if is_started {
            self.fetcher.fetch(from, target);
        }
        is_started
    }
}

fn is_newer(ledger: &Ledger, customer: &CustomerName, version: u64) -> bool {
    let held = ledger.current(customer);
    held.is_none_or(|held| held.version < version)
}

/// Returns a process that tails the log and therefore has all versions, or `peer` if none is
/// known.
fn tailer_or(tailers: &Tailers, peer: SocketAddr) -> SocketAddr {
    let others = tailers
        .all
        .iter()
        .filter(|&&address| address != tailers.own);
    let spread = usize::from(tailers.own.port());
    let count = others.clone().count().max(1);
    others.copied().nth(spread % count).unwrap_or(peer)
}

/// Returns whether the last request is at least `interval_ms` ago, and if so records the time of
/// the new request.
fn record_request_if_due(requested_ms: &mut Option<u64>, interval_ms: u64) -> bool {
    let now_ms = now_ms();
    let is_due =
        requested_ms.is_none_or(|requested_ms| now_ms.saturating_sub(requested_ms) >= interval_ms);
    if is_due {
        *requested_ms = Some(now_ms);
    }
    is_due
}
