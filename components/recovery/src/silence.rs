//! Finds out that a connection has gone silent for good.
//!
//! Something between the two ends may lose track of an open connection: writes succeed,
//! nothing arrives, and TCP itself notices after many minutes only. A ping that stays
//! without any sign of life is enough to close the connection, as its calls are taken up
//! again on the next one. Without outstanding calls nothing is sent; the first call after
//! a long silence is followed by a ping at once.

use derive::key;

/// Watches one connection.
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    ping_after_ms: u64,
    ping_deadline_ms: u64,
    pinged_at_ms: Option<u64>,
    number: u64,
}

/// What is to be done about a connection.
#[key]
pub enum SilenceAction {
    /// Nothing outstanding, nothing to watch.
    Idle,
    /// Look again then.
    CheckAt {
        /// Time of the next look, in milliseconds.
        at_ms: u64,
    },
    /// Send a ping and look again.
    Ping {
        /// Number of the ping.
        number: u64,
    },
    /// The peer has missed its deadline: close the connection.
    Dead,
}

impl SilenceDetector {
    /// Pings after `ping_after_ms` of silence and waits `ping_deadline_ms` for any byte.
    pub fn new(ping_after_ms: u64, ping_deadline_ms: u64) -> Self {
        Self {
            ping_after_ms,
            ping_deadline_ms,
            pinged_at_ms: None,
            number: 0,
        }
    }

    /// Looks at the connection. `heard_at_ms` is when the last byte came from the peer.
    pub fn check(&mut self, outstanding: bool, heard_at_ms: u64, now_ms: u64) -> SilenceAction {
        if !outstanding {
            self.pinged_at_ms = None;
            return SilenceAction::Idle;
        }
        self.pinged_at_ms = self.pinged_at_ms.filter(|&at_ms| heard_at_ms < at_ms);
        if let Some(pinged_at_ms) = self.pinged_at_ms {
            return self.answer_due(pinged_at_ms, now_ms);
        }
        let ping_at_ms = heard_at_ms + self.ping_after_ms;
        if now_ms < ping_at_ms {
            return SilenceAction::CheckAt { at_ms: ping_at_ms };
        }
        self.pinged_at_ms = Some(now_ms);
        self.number += 1;
        SilenceAction::Ping {
            number: self.number,
        }
    }

    fn answer_due(&self, pinged_at_ms: u64, now_ms: u64) -> SilenceAction {
        let at_ms = pinged_at_ms + self.ping_deadline_ms;
        if now_ms < at_ms {
            SilenceAction::CheckAt { at_ms }
        } else {
            SilenceAction::Dead
        }
    }
}
