//! Quarantine of calls that crash the endpoints that run them.
//!
//! The crate does no I/O: the caller passes in events with the time `now_ms` of the process's
//! monotonic clock, and gets verdicts about the calls.

mod checks;
mod crashes;
mod digest;
mod in_flight;
mod kept_reports;
mod report;
mod settings;
mod suspects;
mod verdict;

pub use checks::{CheckOutcome, CheckVerdict, EndpointChecks};
pub use digest::{CallDigest, DigestBuilder};
pub use kept_reports::KeptReports;
pub use report::CrashReport;
pub use settings::{EndpointNames, SuspectSettings};
pub use suspects::Suspects;
pub use verdict::{
    AttemptId, CondemnedCall, CopyPlacement, CrashHistory, DigestStatus, EndpointCrash,
    StartDecision, Verdict,
};
