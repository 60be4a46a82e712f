//! Settings of the spread of rumours.

use derive::value;

/// Settings of [`crate::Rumours`].
#[value]
#[derive(Copy)]
pub struct RumourSettings {
    /// Peers that hear the news in one round.
    pub fan_out: usize,
    /// Time between two rounds, in milliseconds.
    pub round_interval_ms: u64,
    /// Rounds beyond the logarithm of the number of peers in which news is pushed.
    pub extra_rounds: u32,
    /// Rounds between two datagrams when there is no news.
    pub idle_rounds: u64,
    /// Largest datagram with all headers, in bytes.
    pub datagram_bytes_max: usize,
    /// How long a leaving life is told of, in milliseconds.
    pub leaving_retention_ms: u64,
    /// A quarantine that ends later than the known one by less than this is the known
    /// one, on its way for a while, in milliseconds.
    pub quarantine_slack_ms: u64,
    /// Most facts kept; the oldest one with an end goes first.
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
    /// Rounds in which a piece of news is pushed among this many peers.
    pub fn push_rounds(&self, peers: usize) -> u32 {
        let base = u64::try_from(self.fan_out)
            .unwrap_or(u64::MAX)
            .saturating_add(1);
        (peers as u64 + 1).ilog(base.max(2)) + 1 + self.extra_rounds
    }

    /// Bytes that a process sends in a second while there is more news than fits.
    pub fn bytes_per_s_max(&self) -> u64 {
        let round_bytes = self.fan_out * self.datagram_bytes_max;
        round_bytes as u64 * 1_000 / self.round_interval_ms.max(1)
    }
}
