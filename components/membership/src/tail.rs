//! Who reads the log's configuration stream.
//!
//! If every process polled the log, 990 of them would be a load that nobody agreed to.
//! So a few in each failure domain do, by rank. The others live on rumours, and every
//! datagram says how old the newest read known to its sender is. When that age passes
//! `silent_after_ms`, a process reads for itself, whatever its rank; after a failure it
//! waits longer each time, with jitter, so that an outage of the log is not answered by
//! polls of everybody.

use std::net::SocketAddr;

use derive::{key, value};
use rand::Rng;
use types::rendezvous;

const RANK_KEY: &[u8] = b"tail";

/// Settings of [`Tail`].
#[value]
#[derive(Copy)]
pub struct TailSettings {
    /// Processes in each failure domain that read.
    pub per_domain: usize,
    /// Age of the newest known read from which on every process reads, in milliseconds.
    pub read_age_ms_max: u64,
    /// First wait after a failed read, in milliseconds; doubles with each failure.
    pub backoff_ms: u64,
    /// Longest wait after a failed read of a process that ranks, in milliseconds.
    pub backoff_ms_max: u64,
    /// Longest wait after a failed read of any other process, in milliseconds.
    pub unranked_backoff_ms_max: u64,
}

impl Default for TailSettings {
    fn default() -> Self {
        Self {
            per_domain: 2,
            read_age_ms_max: 20_000,
            backoff_ms: 250,
            backoff_ms_max: 2_000,
            unranked_backoff_ms_max: 60_000,
        }
    }
}

/// What to do about the log now.
#[key]
pub enum TailAction {
    /// Read now (a long poll, while the process ranks).
    Read,
    /// Ask again at this time.
    WaitUntil {
        /// On the process's monotonic clock.
        at_ms: u64,
    },
}

/// When this process reads the log.
#[value]
pub struct Tail {
    settings: TailSettings,
    /// `None` before the first read known.
    newest_read_ms: Option<u64>,
    failures: u32,
    next_read_ms: u64,
}

/// The processes of one failure domain that read the log, out of its live ones.
pub fn tailers(
    domain: impl IntoIterator<Item = SocketAddr>,
    settings: &TailSettings,
) -> Vec<SocketAddr> {
    let mut ranked = rendezvous::ranked(RANK_KEY, domain);
    ranked.truncate(settings.per_domain);
    ranked
}

impl Tail {
    /// Starts; the first read is due at once, since a new process knows nothing.
    pub fn new(settings: TailSettings, now_ms: u64) -> Self {
        Self {
            settings,
            newest_read_ms: None,
            failures: 0,
            next_read_ms: now_ms,
        }
    }

    /// A peer knows of a read that is this old.
    pub fn record_peer_read(&mut self, age_ms: u32, now_ms: u64) {
        // A read from before this clock began has no place on it; it is passed over, and
        // this process reads for itself a little sooner.
        let read_ms = now_ms.checked_sub(u64::from(age_ms));
        self.newest_read_ms = self.newest_read_ms.max(read_ms);
    }

    /// A read of one's own worked.
    pub fn record_read(&mut self, now_ms: u64) {
        self.newest_read_ms = self.newest_read_ms.max(Some(now_ms));
        self.failures = 0;
        self.next_read_ms = now_ms;
    }

    /// A read of one's own failed.
    pub fn record_failure(&mut self, ranks: bool, now_ms: u64, rng: &mut impl Rng) {
        let longest_ms = if ranks {
            self.settings.backoff_ms_max
        } else {
            self.settings.unranked_backoff_ms_max
        };
        let doubled_ms = self.settings.backoff_ms << self.failures.min(16);
        let wait_ms = doubled_ms.clamp(1, longest_ms.max(1));
        self.failures = self.failures.saturating_add(1);
        self.next_read_ms = now_ms + wait_ms / 2 + rng.next_u64() % (wait_ms / 2 + 1);
    }

    /// Age of the newest read known, for [`protocol::GossipMessage::ConfigRead`];
    /// `u32::MAX` when none is known, and then there is nothing to tell.
    pub fn age_ms(&self, now_ms: u64) -> u32 {
        let age_ms = self
            .newest_read_ms
            .map(|read_ms| now_ms.saturating_sub(read_ms));
        age_ms.map_or(u32::MAX, |age_ms| u32::try_from(age_ms).unwrap_or(u32::MAX))
    }

    /// What to do; `ranks` says whether this process is one of its domain's [`tailers`].
    pub fn next_action(&self, ranks: bool, now_ms: u64) -> TailAction {
        let silent_after_ms = self.settings.read_age_ms_max;
        let silent_ms = self
            .newest_read_ms
            .map_or(0, |read_ms| read_ms + silent_after_ms);
        let due_ms = if ranks {
            self.next_read_ms
        } else {
            self.next_read_ms.max(silent_ms)
        };
        if now_ms >= due_ms {
            TailAction::Read
        } else {
            TailAction::WaitUntil { at_ms: due_ms }
        }
    }
}
