//! Record of a crash in a log that all processes read.

use std::sync::Arc;

use derive::wire;

use crate::{CallDigest, EndpointCrash};

/// What one process saw of the crash of an endpoint.
#[wire]
pub struct CrashReport {
    /// Name of the endpoint's incarnation, the same in the reports of all processes.
    pub endpoint: String,
    /// Name of the process, another one after each of its starts.
    pub reporter: String,
    /// When the process noticed the crash, in milliseconds since 1970.
    pub noticed_unix_ms: u64,
    /// Calls of the process that ran at the endpoint at the crash or shortly before.
    pub in_flight: Vec<CallDigest>,
}

impl CrashReport {
    /// Report of a crash that the process `reporter` noticed.
    pub fn new(reporter: &str, crash: EndpointCrash<Arc<str>>, noticed_unix_ms: u64) -> Self {
        Self {
            endpoint: crash.endpoint.to_string(),
            reporter: reporter.to_owned(),
            noticed_unix_ms,
            in_flight: crash.in_flight,
        }
    }

    /// The crash that is reported.
    pub fn crash(&self) -> EndpointCrash<Arc<str>> {
        EndpointCrash {
            endpoint: self.endpoint.as_str().into(),
            in_flight: self.in_flight.clone(),
        }
    }
}
