//! Detects connections whose peer no longer responds.
//!
//! A device between the two ends may drop its state of an open connection: writes succeed,
//! no data arrives, and TCP reports the loss only after many minutes. If no byte arrives in
//! time after a ping, the connection is closed. A single unanswered ping is enough, because
//! the calls continue on the next connection. Without outstanding calls no ping is sent; the
//! first call after a long silence is followed by a ping at once.

use derive::key;

/// Ping state of one connection.
#[derive(Clone, Debug)]
pub struct SilenceDetector {
    ping_after_ms: u64,
    ping_deadline_ms: u64,
    /// Time of the ping that is not answered yet.
    pinged_at_ms: Option<u64>,
    ping_number: u64,
}

/// Action that the driver must carry out for a connection.
#[key]
pub enum SilenceAction {
    /// No call is outstanding, so the connection needs no check.
    Idle,
    /// Check again later.
    CheckAt {
        /// Time of the next check, in milliseconds.
        at_ms: u64,
    },
    /// Send a ping, and check again when the ping deadline has passed.
    Ping {
        /// Number of the ping, counted from 1 for each connection.
        number: u64,
    },
    /// No byte arrived before the ping deadline: close the connection.
    Dead,
}

impl SilenceDetector {
    /// Creates a detector that pings after `ping_after_ms` without data from the peer and then
    /// waits up to `ping_deadline_ms` for any byte.
    pub fn new(ping_after_ms: u64, ping_deadline_ms: u64) -> Self {
        Self {
            ping_after_ms,
            ping_deadline_ms,
            pinged_at_ms: None,
            ping_number: 0,
        }
    }

    /// Checks the connection. `received_at_ms` is the time when the last byte arrived from the
    /// peer; `outstanding` tells whether any call waits for the peer.
    pub fn check(&mut self, outstanding: bool, received_at_ms: u64, now_ms: u64) -> SilenceAction {
        if !outstanding {
            self.pinged_at_ms = None;
            return SilenceAction::Idle;
        }
        self.pinged_at_ms = self.pinged_at_ms.filter(|&at_ms| received_at_ms < at_ms);
        if let Some(pinged_at_ms) = self.pinged_at_ms {
            return self.check_ping_deadline(pinged_at_ms, now_ms);
        }
        let ping_at_ms = received_at_ms + self.ping_after_ms;
        if now_ms < ping_at_ms {
            return SilenceAction::CheckAt { at_ms: ping_at_ms };
        }
        self.pinged_at_ms = Some(now_ms);
        self.ping_number += 1;
        SilenceAction::Ping {
            number: self.ping_number,
        }
    }

    fn check_ping_deadline(&self, pinged_at_ms: u64, now_ms: u64) -> SilenceAction {
        let at_ms = pinged_at_ms + self.ping_deadline_ms;
        if now_ms < at_ms {
            SilenceAction::CheckAt { at_ms }
        } else {
            SilenceAction::Dead
        }
    }
}
