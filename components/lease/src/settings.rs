use derive::value;

/// Times of a lease, in milliseconds.
#[value]
#[derive(Copy)]
pub struct LeaseSettings {
    /// How long a renewal holds for its sender, from its sending.
    pub hold_ms: u64,
    /// From reading the newest renewal until another one may take the lease.
    pub free_ms: u64,
    /// From reading a release until another one may take the lease.
    pub handover_ms: u64,
    /// Pause between renewals.
    pub renew_ms: u64,
    /// How long an unanswered record is waited for before the next one is sent.
    pub resend_ms: u64,
}

/// How long a renewal holds: three renewals may be lost or late in a row.
const HOLD_MS: u64 = 2_000;
/// Covers the way of an order that was sent at the last moment, and clocks that drift.
const SLACK_MS: u64 = 400;

impl LeaseSettings {
    /// Times for a deployment in which `pause_ms` must lie between two holders' orders.
    pub fn with_pause(pause_ms: u64) -> Self {
        Self {
            hold_ms: HOLD_MS,
            free_ms: HOLD_MS + pause_ms + SLACK_MS,
            handover_ms: pause_ms + SLACK_MS,
            renew_ms: HOLD_MS / 4,
            resend_ms: HOLD_MS / 4,
        }
    }
}
