//! Results and events of the quarantine.

use std::net::SocketAddr;

use derive::{key, value};
use types::Failure;

use crate::CallDigest;

/// Time between the second crash of a call and its next run, in milliseconds.
const BACKOFF_MS: u64 = 2_000;
/// Limit on the doublings of that time; it is 17 minutes then.
const BACKOFF_DOUBLINGS_MAX: usize = 9;

/// Identifies an attempt of a call at an endpoint.
#[key]
pub struct AttemptId(pub(crate) u64);

/// Whether a call is suspected of crashing endpoints.
#[key]
pub enum DigestStatus {
    /// The call is not suspected.
    Clear,
    /// The call was in flight at crashes that no other call has been condemned for.
    Suspect {
        /// Number of these crashes.
        crashes: usize,
    },
    /// The call is refused.
    Condemned {
        /// Time for which the call is still refused, in milliseconds.
        left_ms: u32,
    },
}

/// At how many endpoints copies of one call may run at the same time.
#[key]
pub enum CopyPlacement {
    /// At no more endpoints than the number of crashes that condemns a call, until one of the
    /// copies succeeds.
    Limited,
    /// At any number of endpoints, for the samples of one group.
    Unlimited,
}

/// The crashes that count against a call.
#[key]
pub struct CrashHistory {
    /// Number of crashes at which the call was in flight, and that no other call has been condemned
    /// for.
    pub crashes: usize,
    /// When the last of them was recorded, in milliseconds of the process's clock.
    pub last_ms: u64,
}

impl CrashHistory {
    /// When a call that must not be given up may run again, in milliseconds of the process's clock:
    /// at once after the first crash, then after a time that doubles with each further crash.
    pub fn retry_at_ms(&self) -> u64 {
        let doublings = match self.crashes {
            0 | 1 => return self.last_ms,
            crashes => (crashes - 2).min(BACKOFF_DOUBLINGS_MAX),
        };
        self.last_ms + (BACKOFF_MS << doublings)
    }
}

/// Whether a call may be sent to an endpoint now.
#[value]
pub enum StartDecision {
    /// Send the call, and report the end of the attempt under this id.
    Start(AttemptId),
    /// Do not send the call to this endpoint now; another endpoint may be allowed.
    OtherEndpoint,
    /// Try again later: the call is a suspect, and either another attempt of it is running or
    /// reports about its crashes are still awaited.
    Wait {
        /// Time to wait, in milliseconds.
        wait_ms: u32,
    },
    /// Answer the call with this failure; it is condemned.
    Refuse(Failure),
}

/// What happens to a call whose attempt was ended by a crash.
#[value]
pub enum Verdict {
    /// The call may be retried if it is allowed to be retried at all, through
    /// [`crate::Suspects::try_start`].
    Retry,
    /// Answer the call with this failure; it is condemned.
    Final(Failure),
}

/// The calls that one process had in flight at a crash; sent to the other entries.
#[value]
pub struct EndpointCrash<E = SocketAddr> {
    /// The endpoint, by default as the address of its agent.
    pub endpoint: E,
    /// Calls of the process that ran at the endpoint at the crash or shortly before.
    pub in_flight: Vec<CallDigest>,
}

/// A call that was condemned here; sent to the other processes.
#[value]
pub struct CondemnedCall {
    /// Digest of the call.
    pub digest: CallDigest,
    /// Time for which the call is refused, in milliseconds.
    pub left_ms: u32,
}
