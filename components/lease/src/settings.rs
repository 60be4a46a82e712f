use derive::value;

/// Times of the lease, in milliseconds.
#[value]
#[derive(Copy)]
pub struct LeaseSettings {
    /// How long an announcement permits orders, counted from its sending.
    pub order_ms: u64,
    /// How long a process gives no orders after it read another holder's announcement.
    pub exclusive_ms: u64,
    /// Heartbeat timeout: how long no record of a holder is read until another VM may acquire the
    /// lease.
    pub silent_ms: u64,
    /// Interval between renewals.
    pub renew_ms: u64,
    /// Retry interval for a record that has not come back through the log.
    pub resend_ms: u64,
}

/// How long an announcement permits orders. A slow store takes 240 ms to write an announcement and
/// another 240 ms to deliver it, and one round of orders takes a few tens of milliseconds.
const ORDER_MS: u64 = 900;
/// Margin for the transit of an order that was sent at the last moment, and for clock drift.
const ORDER_MARGIN_MS: u64 = 400;
/// Heartbeat timeout: three consecutive renewals that are lost or late.
const SILENT_MS: u64 = 1_500;
/// Interval between renewals, and until an unanswered renewal is sent again.
const RENEW_MS: u64 = 400;

impl LeaseSettings {
    /// Times for a deployment in which orders of two holders must lie `pause_ms` apart.
    pub fn with_pause(pause_ms: u64) -> Self {
        Self {
            order_ms: ORDER_MS,
            exclusive_ms: ORDER_MS + pause_ms + ORDER_MARGIN_MS,
            silent_ms: SILENT_MS,
            renew_ms: RENEW_MS,
            resend_ms: RENEW_MS,
        }
    }
}
