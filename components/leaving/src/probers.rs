//! Who asked an agent for its status lately: the entries that may have calls for it, and
//! so the ones to tell at once when it leaves.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive::value;

/// How long and how often probers are told.
#[value]
#[derive(Copy)]
pub struct ProbersSettings {
    /// A prober counts as recent for this long, in milliseconds.
    pub recent_ms: u64,
    /// Probers kept at most; the longest silent one goes first.
    pub probers_max: usize,
    /// How often each prober is told; datagrams get lost, and at a loss of 10 % one
    /// prober in a thousand misses three. Its next probe tells it then.
    pub notices: u32,
    /// Time between two notices, in milliseconds.
    pub notice_interval_ms: u64,
}

impl Default for ProbersSettings {
    fn default() -> Self {
        Self {
            recent_ms: 300_000,
            probers_max: 1_024,
            notices: 3,
            notice_interval_ms: 200,
        }
    }
}

/// Recent probers of an agent.
#[derive(Debug)]
pub struct Probers {
    settings: ProbersSettings,
    heard_ms: HashMap<SocketAddr, u64>,
    notices_left: u32,
    next_notice_ms: u64,
}

impl Probers {
    /// Nobody has asked yet.
    pub fn new(settings: ProbersSettings) -> Self {
        Self {
            settings,
            heard_ms: HashMap::new(),
            notices_left: 0,
            next_notice_ms: 0,
        }
    }

    /// Takes a probe in.
    pub fn record_probe(&mut self, prober: SocketAddr, now_ms: u64) {
        let full = self.heard_ms.len() >= self.settings.probers_max;
        if full && !self.heard_ms.contains_key(&prober) {
            self.evict();
        }
        self.heard_ms.insert(prober, now_ms);
    }

    /// Starts telling them that this process leaves.
    pub fn start_notices(&mut self, now_ms: u64) {
        self.notices_left = self.settings.notices;
        self.next_notice_ms = now_ms;
    }

    /// When [`Probers::notify`] is to be asked next; `None` when nothing is left to tell.
    pub fn next_notice_ms(&self) -> Option<u64> {
        (self.notices_left > 0).then_some(self.next_notice_ms)
    }

    /// Whom to send a status that says leaving now; empty before the next notice is due.
    pub fn due_recipients(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        if self.notices_left == 0 || now_ms < self.next_notice_ms {
            return Vec::new();
        }
        self.notices_left -= 1;
        self.next_notice_ms = now_ms + self.settings.notice_interval_ms;
        self.recent(now_ms)
    }

    /// Who asked within the last `recent_ms`.
    pub fn recent(&self, now_ms: u64) -> Vec<SocketAddr> {
        let oldest_ms = now_ms.saturating_sub(self.settings.recent_ms);
        let recent = self.heard_ms.iter().filter(|&(_, &at)| at >= oldest_ms);
        recent.map(|(&prober, _)| prober).collect()
    }

    fn evict(&mut self) {
        let oldest = self.heard_ms.iter().min_by_key(|&(_, &at)| at);
        if let Some((&oldest, _)) = oldest {
            self.heard_ms.remove(&oldest);
        }
    }
}
