//! A checked request on its way to an endpoint.

use std::sync::Arc;

use bytes::Bytes;
use config::Service;
use protocol::Open;
use quarantine::CallDigest;
use types::{CallId, Class, CustomerName};

/// One request, whatever the number of attempts that it takes.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identity in answers and log lines.
    pub request_id: String,
    /// Customer that pays for it.
    pub payer: CustomerName,
    /// Service that it calls.
    pub service: Arc<Service>,
    /// Its class.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its caller gives up, on the process's monotonic clock.
    pub deadline_at_ms: u64,
    /// Names the call by its content, whoever sends it again.
    pub digest: CallDigest,
    /// HTTP method.
    pub method: String,
    /// Path with query, as the endpoint gets it.
    pub path: String,
    /// Headers for the endpoint.
    pub headers: Vec<(String, String)>,
    /// Its size, for the choice of a replica and for limits.
    pub work: routing::Work,
}

impl Job {
    /// Time until the deadline, in milliseconds.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_at_ms.saturating_sub(now_ms)
    }

    /// The call for one attempt.
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
