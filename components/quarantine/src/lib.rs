//! Calls that crash the endpoints that run them. Pure: events and `now_ms` of the
//! process's monotonic clock go in, verdicts come out.

mod crashes;
mod digest;
mod in_flight;
mod settings;
mod suspects;
mod verdict;

pub use digest::CallDigest;
pub use settings::SuspectSettings;
pub use suspects::Suspects;
pub use verdict::{
    AttemptId, CondemnedCall, CopyPlacement, DigestStatus, EndpointCrash, StartDecision, Verdict,
};
