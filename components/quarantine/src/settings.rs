//! Settings of the quarantine.

use derive::value;

/// Settings of [`crate::Suspects`].
#[value]
#[derive(Copy)]
pub struct SuspectSettings {
    /// Crashes after which a call is condemned.
    pub crashes_max: usize,
    /// How long other processes may take to tell what they had in flight at a crash, in
    /// milliseconds. Until then nobody is condemned for it.
    pub settle_ms: u64,
    /// Reports of one endpoint's crash by several processes come within this time.
    pub same_crash_ms: u64,
    /// How long a crash counts against the calls in flight, in milliseconds.
    pub suspect_ms: u64,
    /// How long a condemned call is refused, in milliseconds.
    pub condemned_ms: u32,
    /// When a call that must wait for its turn apart may ask again, in milliseconds.
    pub wait_ms: u32,
    /// Most digests kept; suspects go before condemned ones, the oldest first.
    pub digests_max: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            crashes_max: 2,
            settle_ms: 600,
            same_crash_ms: 1_000,
            suspect_ms: 600_000,
            condemned_ms: 600_000,
            wait_ms: 100,
            digests_max: 4_096,
        }
    }
}
