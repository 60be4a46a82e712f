//! Settings of the quarantine.

use derive::value;

/// What the name of an endpoint stands for.
#[value]
#[derive(Copy)]
pub enum EndpointNames {
    /// An address, at which an endpoint crashes repeatedly.
    Addresses {
        /// Reports of several processes within this time are about the same crash, in milliseconds.
        same_crash_window_ms: u64,
    },
    /// An incarnation, which crashes once: all reports about it are about the same crash, also
    /// repeated ones of the same process.
    Incarnations,
}

/// Settings of [`crate::Suspects`].
#[value]
#[derive(Copy)]
pub struct SuspectSettings {
    /// Number of crashes after which a call is condemned.
    pub condemn_after_crashes: usize,
    /// Time within which the reports of the other entries about a crash arrive, in milliseconds.
    /// No call is condemned for the crash before that.
    pub settle_ms: u64,
    /// What the name of an endpoint stands for; decides which reports are about the same crash.
    pub endpoint_names: EndpointNames,
    /// How long an endpoint may go on with an attempt that ended without an answer, in milliseconds.
    /// A crash later than that has another cause.
    pub recent_attempt_ms: u64,
    /// How long such an attempt is remembered, in milliseconds, unless the endpoint is known to have
    /// run on for `recent_attempt_ms`: the time after which a crash can still become known.
    pub unanswered_retention_ms: u64,
    /// How long a crash counts against the calls that were in flight, in milliseconds.
    pub suspect_retention_ms: u64,
    /// How long a condemned call is refused, in milliseconds.
    pub condemned_ms: u32,
    /// Time after which a suspect that has to wait may try again, in milliseconds.
    pub retry_wait_ms: u32,
    /// Maximum number of digests with a record. Suspects are evicted before condemned calls, the
    /// oldest first.
    pub records_max: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            condemn_after_crashes: 2,
            settle_ms: 600,
            endpoint_names: EndpointNames::Addresses {
                same_crash_window_ms: 1_000,
            },
            recent_attempt_ms: 1_000,
            unanswered_retention_ms: 1_000,
            suspect_retention_ms: 600_000,
            condemned_ms: 600_000,
            retry_wait_ms: 100,
            records_max: 4_096,
        }
    }
}
