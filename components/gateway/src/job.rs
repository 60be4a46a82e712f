//! A validated request that is to be sent to an endpoint.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use bytes::Bytes;
use config::Service;
use protocol::Open;
use quarantine::CallDigest;
use types::{CallId, Class, CustomerName};

/// A request, independent of the number of attempts.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request in answers and log lines.
    pub request_id: String,
    /// Customer whose limits and weight apply.
    pub payer: CustomerName,
    pub service: Arc<Service>,
    pub class: Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Deadline on the process's monotonic clock.
    pub deadline_at_ms: u64,
    /// Identifies the call by its content, independent of who repeats it.
    pub digest: CallDigest,
    pub method: String,
    /// Path with query as sent to the endpoint.
    pub path: String,
    /// Headers sent to the endpoint.
    pub headers: Vec<(String, String)>,
    /// Number of attempts whose endpoint crashed or was down.
    pub lost_endpoints: Arc<AtomicU32>,
    /// Estimated size, used for the choice of a replica and for limits.
    pub work: routing::Work,
}

impl Job {
    /// Returns the time until the deadline in milliseconds, 0 if it has passed.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_at_ms.saturating_sub(now_ms)
    }

    /// Creates the call message for one attempt.
    pub fn open(&self, id: CallId, body: Bytes, now_ms: u64) -> Open {
        Open {
            id,
            request_id: self.request_id.clone(),
            customer: self.payer.clone(),
            owner: self.service.owner.clone(),
            service: self.service.name.clone(),
            class: self.class,
            idempotent: self.idempotent,
            deadline_left_ms: u32::try_from(self.left_ms(now_ms)).unwrap_or(u32::MAX),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body,
        }
    }
}
