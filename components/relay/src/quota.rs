//! Limits of what a front does for its peers.

/// Most calls that a front makes for its peers at the same time.
pub const IN_FLIGHT_MAX: u32 = 16;
/// Most bytes of calls and answers that a front relays per second.
pub const BYTES_PER_S_MAX: u64 = 2 * 1024 * 1024;

/// Counts calls in flight, and the bytes of calls and answers as a token bucket that holds one
/// second of the rate.
#[derive(Debug)]
pub struct RelayQuota {
    in_flight: u32,
    /// Bytes that may be relayed now; negative after a large answer, whose size is not known when
    /// its call is admitted.
    bytes_left: i64,
    refilled_ms: u64,
}

impl RelayQuota {
    /// A full quota.
    pub fn new(now_ms: u64) -> Self {
        Self {
            in_flight: 0,
            bytes_left: BYTES_PER_S_MAX as i64,
            refilled_ms: now_ms,
        }
    }

    /// Admits a call of `bytes`, or returns false if a limit is reached. Each admitted call must be
    /// ended with [`RelayQuota::finish`].
    pub fn admit(&mut self, bytes: usize, now_ms: u64) -> bool {
        self.refill(now_ms);
        let admitted = self.in_flight < IN_FLIGHT_MAX && self.bytes_left >= bytes as i64;
        if admitted {
            self.in_flight += 1;
            self.bytes_left -= bytes as i64;
        }
        admitted
    }

    /// Ends an admitted call, whose answer has `answer_bytes`.
    pub fn finish(&mut self, answer_bytes: usize) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.bytes_left -= answer_bytes as i64;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms).min(60_000);
        let refilled = self.bytes_left + (elapsed_ms * BYTES_PER_S_MAX / 1_000) as i64;
        self.bytes_left = refilled.min(BYTES_PER_S_MAX as i64);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }
}
