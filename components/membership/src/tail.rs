//! Decides which processes read the log's configuration stream, and when.
//!
//! If every process polled the log, a site of 990 processes would cause a load that the log's
//! operator has not agreed to. Therefore only a few processes per failure domain, selected by rank,
//! read the log. The others rely on gossip, and every datagram states the age of the newest read
//! that its sender knows of. When that age exceeds `read_age_ms_max`, a process reads for itself,
//! whatever its rank. After a failed read it waits longer each time, with jitter, so that an outage
//! of the log does not cause polling by all processes.

use std::net::SocketAddr;

use derive::{key, value};
use rand::Rng;
use types::rendezvous;

const RANK_KEY: &[u8] = b"tail";

/// Settings of [`Tail`].
#[value]
#[derive(Copy)]
pub struct TailSettings {
    /// Number of processes per failure domain that read the log.
    pub per_domain: usize,
    /// Age of the newest known read above which every process reads for itself, in milliseconds.
    pub read_age_ms_max: u64,
    /// Backoff after the first failed read, in milliseconds; doubles with each consecutive failure.
    pub backoff_ms: u64,
    /// Maximum backoff of a process selected as reader, in milliseconds.
    pub backoff_ms_max: u64,
    /// Maximum backoff of any other process, in milliseconds.
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

/// Action that is due now.
#[key]
pub enum TailAction {
    /// Read the log now; selected readers use a long poll.
    Read,
    /// Call [`Tail::next_action`] again at this time.
    WaitUntil {
        /// Time on the process's monotonic clock.
        at_ms: u64,
    },
}

/// Schedule of this process's reads of the log.
#[value]
pub struct Tail {
    settings: TailSettings,
    /// Time of the newest known read; `None` if none is known.
    newest_read_ms: Option<u64>,
    failures: u32,
    next_read_ms: u64,
}

/// Selects the processes that read the log from the live processes of one failure domain.
pub fn tailers(
    domain: impl IntoIterator<Item = SocketAddr>,
    settings: &TailSettings,
) -> Vec<SocketAddr> {
    let mut ranked = rendezvous::ranked(RANK_KEY, domain);
    ranked.truncate(settings.per_domain);
    ranked
}

impl Tail {
    /// Creates a schedule whose first read is due at once, since a new process has no
    /// configuration.
    pub fn new(settings: TailSettings, now_ms: u64) -> Self {
        Self {
            settings,
            newest_read_ms: None,
            failures: 0,
            next_read_ms: now_ms,
        }
    }

    /// Records that a peer knows of a read with this age.
    pub fn record_peer_read(&mut self, age_ms: u32, now_ms: u64) {
        // A read before the start of this process's clock has no time on it. It is ignored, so this
        // process reads for itself a little earlier.
        let read_ms = now_ms.checked_sub(u64::from(age_ms));
        self.newest_read_ms = self.newest_read_ms.max(read_ms);
    }

    /// Records a successful read by this process.
    pub fn record_read(&mut self, now_ms: u64) {
        self.newest_read_ms = self.newest_read_ms.max(Some(now_ms));
        self.failures = 0;
        self.next_read_ms = now_ms;
    }

    /// Records a failed read by this process.
    pub fn record_failure(&mut self, is_tailer: bool, now_ms: u64, rng: &mut impl Rng) {
        let backoff_ms_max = if is_tailer {
            self.settings.backoff_ms_max
        } else {
            self.settings.unranked_backoff_ms_max
        };
        let doubled_ms = self.settings.backoff_ms << self.failures.min(16);
        let wait_ms = doubled_ms.clamp(1, backoff_ms_max.max(1));
        self.failures = self.failures.saturating_add(1);
        self.next_read_ms = now_ms + wait_ms / 2 + rng.next_u64() % (wait_ms / 2 + 1);
    }

    /// Age of the newest known read in milliseconds, as sent in
    /// [`protocol::GossipMessage::ConfigRead`]; `u32::MAX` if no read is known.
    pub fn age_ms(&self, now_ms: u64) -> u32 {
        let age_ms = self
            .newest_read_ms
            .map(|read_ms| now_ms.saturating_sub(read_ms));
        age_ms.map_or(u32::MAX, |age_ms| u32::try_from(age_ms).unwrap_or(u32::MAX))
    }

    /// Returns the action that is due. `is_tailer` states whether this process is one of the
    /// [`tailers`] of its failure domain.
    pub fn next_action(&self, is_tailer: bool, now_ms: u64) -> TailAction {
        let read_age_ms_max = self.settings.read_age_ms_max;
        let overdue_ms = self
            .newest_read_ms
            .map_or(0, |read_ms| read_ms + read_age_ms_max);
        let due_ms = if is_tailer {
            self.next_read_ms
        } else {
            self.next_read_ms.max(overdue_ms)
        };
        if now_ms >= due_ms {
            TailAction::Read
        } else {
            TailAction::WaitUntil { at_ms: due_ms }
        }
    }
}
