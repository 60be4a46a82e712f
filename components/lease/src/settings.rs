use derive::value;

/// Times of a lease, in milliseconds.
#[value]
#[derive(Copy)]
pub struct LeaseSettings {
    /// How long an announcement allows orders, from its sending.
    pub order_ms: u64,
    /// From reading the newest announcement until another one may give orders.
    pub exclusive_ms: u64,
    /// How long nothing of a holder is read before it counts as gone.
    pub silent_ms: u64,
    /// Pause between renewals.
    pub renew_ms: u64,
    /// How long an unanswered record is waited for before the next one is sent.
    pub resend_ms: u64,
}

/// How long an announcement allows orders: a slow store takes 240 ms to write it and as long
/// to bring it back, and orders of one round take a few tens of milliseconds.
const ORDER_MS: u64 = 900;
/// Covers the way of an order that was sent at the last moment, and clocks that drift.
const SLACK_MS: u64 = 400;
/// Three renewals in a row that are lost or late.
const SILENT_MS: u64 = 1_500;
/// Pause between renewals, and before an unanswered one is sent again.
const RENEW_MS: u64 = 400;

impl LeaseSettings {
    /// Times for a deployment in which `pause_ms` must lie between two holders' orders.
    pub fn with_pause(pause_ms: u64) -> Self {
        Self {
            order_ms: ORDER_MS,
            exclusive_ms: ORDER_MS + pause_ms + SLACK_MS,
            silent_ms: SILENT_MS,
            renew_ms: RENEW_MS,
            resend_ms: RENEW_MS,
        }
    }
}
