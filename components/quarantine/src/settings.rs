//! Settings of the quarantine.

use derive::value;

/// Settings of [`crate::Suspects`].
#[value]
#[derive(Copy)]
pub struct SuspectSettings {
    /// Crashes after which a call is condemned.
    pub condemn_after_crashes: usize,
    /// How long other processes may take to tell what they had in flight at a crash, in
    /// milliseconds. Until then nobody is condemned for it.
    pub settle_ms: u64,
    /// Reports of one endpoint's crash by several processes come within this time.
    pub same_crash_window_ms: u64,
    /// How long a crash counts against the calls in flight, in milliseconds.
    pub suspect_retention_ms: u64,
    /// How long a condemned call is refused, in milliseconds.
    pub condemned_ms: u32,
    /// When a call that must wait for its turn apart may ask again, in milliseconds.
    pub retry_wait_ms: u32,
    /// Most digests kept; suspects go before condemned ones, the oldest first.
    pub records_max: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            condemn_after_crashes: 2,
            settle_ms: 600,
            same_crash_window_ms: 1_000,
            suspect_retention_ms: 600_000,
            condemned_ms: 600_000,
            retry_wait_ms: 100,
            records_max: 4_096,
        }
    }
}
