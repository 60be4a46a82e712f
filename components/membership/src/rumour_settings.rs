//! Settings of gossip.

use derive::value;

/// Settings of [`crate::Rumours`].
#[value]
#[derive(Copy)]
pub struct RumourSettings {
    /// Number of peers that each round sends to.
    pub fan_out: usize,
    /// Interval between two rounds, in milliseconds.
    pub round_interval_ms: u64,
    /// Rounds in which a fact is pushed, in addition to the logarithm of the number of peers.
    pub extra_rounds: u32,
    /// Number of rounds per datagram while there is nothing new to push.
    pub idle_rounds: u64,
    /// Maximum size of a datagram including all headers, in bytes.
    pub datagram_bytes_max: usize,
    /// How long the leaving of an incarnation is gossiped, in milliseconds.
    pub leaving_retention_ms: u64,
    /// Tolerance for the end of a quarantine, in milliseconds: a message with an end that is later
    /// by less than this is the known quarantine, delayed in transit.
    pub quarantine_slack_ms: u64,
    /// Maximum number of facts. When it is exceeded, the fact that expires first is evicted.
    pub facts_max: usize,
}

impl Default for RumourSettings {
    fn default() -> Self {
        Self {
            fan_out: 3,
            round_interval_ms: 400,
            extra_rounds: 3,
            idle_rounds: 3,
            datagram_bytes_max: 550,
            leaving_retention_ms: 300_000,
            quarantine_slack_ms: 30_000,
            facts_max: 8_192,
        }
    }
}

impl RumourSettings {
    /// Number of rounds in which a fact is pushed, given the number of peers.
    pub fn push_rounds(&self, peers: usize) -> u32 {
        let base = u64::try_from(self.fan_out)
            .unwrap_or(u64::MAX)
            .saturating_add(1);
        (peers as u64 + 1).ilog(base.max(2)) + 1 + self.extra_rounds
    }

    /// Maximum bytes per second that a process sends, reached while there is more to push than fits
    /// into a datagram.
    pub fn bytes_per_s_max(&self) -> u64 {
        let round_bytes = self.fan_out * self.datagram_bytes_max;
        round_bytes as u64 * 1_000 / self.round_interval_ms.max(1)
    }
}
