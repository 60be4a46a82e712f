//! Answers of the quarantine.

use std::net::SocketAddr;

use derive::{key, value};
use types::Failure;

use crate::CallDigest;

/// One attempt of one call at one endpoint.
#[key]
pub struct AttemptId(pub(crate) u64);

/// What is held against a digest.
#[key]
pub enum DigestStatus {
    /// Nothing.
    Clear,
    /// It was in flight at crashes.
    Suspect {
        /// How many.
        crashes: usize,
    },
    /// It is refused.
    Condemned {
        /// For how long yet, in milliseconds.
        left_ms: u32,
    },
}

/// Where copies of one call may run at once.
#[key]
pub enum CopyPlacement {
    /// At a few endpoints, until one of them came whole.
    Limited,
    /// Anywhere, as the samples of one group.
    Unlimited,
}

/// Whether a call may go to an endpoint now.
#[value]
pub enum StartDecision {
    /// Hand it over; report the end under this id.
    Start(AttemptId),
    /// Not to this endpoint now; another one may do.
    OtherEndpoint,
    /// The same call is being tried apart already; ask again later.
    Wait {
        /// When, in milliseconds from now.
        wait_ms: u32,
    },
    /// Final answer.
    Refuse(Failure),
}

/// What a call gets that was in flight at a crash.
#[value]
pub enum Verdict {
    /// It may be tried again where that is allowed at all, through
    /// [`crate::Suspects::enter`].
    Retry,
    /// Final answer.
    Final(Failure),
}

/// What this process had in flight at a crash, for the other entries.
#[value]
pub struct EndpointCrash {
    /// The endpoint's agent.
    pub endpoint: SocketAddr,
    /// The calls.
    pub in_flight: Vec<CallDigest>,
}

/// A condemned digest, for the rumour about it.
#[value]
pub struct CondemnedCall {
    /// The call.
    pub digest: CallDigest,
    /// How long it is refused, in milliseconds.
    pub left_ms: u32,
}
