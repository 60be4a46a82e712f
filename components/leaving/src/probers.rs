//! Tracks which entries have recently probed an agent for its status. They may have calls for it,
//! so the agent notifies them at once when it leaves.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive::value;

/// Which probers are notified, and how often.
#[value]
#[derive(Copy)]
pub struct ProbersSettings {
    /// How long after its last probe a prober counts as recent.
    pub recent_ms: u64,
    /// Largest number of probers in memory; the one with the oldest probe is evicted first.
    pub probers_max: usize,
    /// Number of notices to each prober. Datagrams get lost: at a loss of 10 % one prober in a
    /// thousand misses three notices and learns of the leave from its next probe.
    pub notices: u32,
    /// Time between two notices.
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
    probed_ms: HashMap<SocketAddr, u64>,
    notices_left: u32,
    next_notice_ms: u64,
}

impl Probers {
    /// Creates an empty set of probers.
    pub fn new(settings: ProbersSettings) -> Self {
        Self {
            settings,
            probed_ms: HashMap::new(),
            notices_left: 0,
            next_notice_ms: 0,
        }
    }

    /// Records a probe.
    pub fn record_probe(&mut self, prober: SocketAddr, now_ms: u64) {
        let is_full = self.probed_ms.len() >= self.settings.probers_max;
        if is_full && !self.probed_ms.contains_key(&prober) {
            self.evict();
        }
        self.probed_ms.insert(prober, now_ms);
    }

    /// Starts the notices that this process is leaving; the first one is due at `now_ms`.
    pub fn start_notices(&mut self, now_ms: u64) {
        self.notices_left = self.settings.notices;
        self.next_notice_ms = now_ms;
    }

    /// When [`Probers::due_recipients`] is to be called next; `None` if no notice is left to send.
    pub fn next_notice_ms(&self) -> Option<u64> {
        (self.notices_left > 0).then_some(self.next_notice_ms)
    }

    /// Takes the next notice if it is due and returns its recipients, to whom the caller sends the
    /// status "leaving". Returns no address before the notice is due.
    pub fn due_recipients(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        if self.notices_left == 0 || now_ms < self.next_notice_ms {
            return Vec::new();
        }
        self.notices_left -= 1;
        self.next_notice_ms = now_ms + self.settings.notice_interval_ms;
        self.recent(now_ms)
    }

    /// Addresses that have sent a probe within the last `recent_ms`.
    pub fn recent(&self, now_ms: u64) -> Vec<SocketAddr> {
        let oldest_ms = now_ms.saturating_sub(self.settings.recent_ms);
        let recent = self.probed_ms.iter().filter(|&(_, &at)| at >= oldest_ms);
        recent.map(|(&prober, _)| prober).collect()
    }

    fn evict(&mut self) {
        let oldest = self.probed_ms.iter().min_by_key(|&(_, &at)| at);
        if let Some((&oldest, _)) = oldest {
            self.probed_ms.remove(&oldest);
        }
    }
}
