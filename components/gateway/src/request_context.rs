//! Converts an HTTP request into a validated job.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::{Service, ServiceKind};
use http::request::Parts;
use node::now_ms;
use quarantine::CallDigest;
use types::{Cause, Class, Failure};

use crate::auth::Session;
use crate::headers::{RequestOptions, endpoint_headers};
use crate::idempotency::is_idempotent;
use crate::job::Job;
use crate::layers::{ArrivalTime, RequestId};
use crate::rejection::Rejection;
use crate::request_body::{BodyLimits, RequestBody};

/// Maximum time for receiving a body, even if the deadline is later.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Data of a request that every handler needs.
pub struct RequestContext {
    /// Method, path and headers.
    pub parts: Parts,
    /// Id of the request in answers and log lines.
    pub request_id: String,
    /// The authenticated token holder.
    pub session: Session,
    /// Options that the caller stated in headers.
    pub options: RequestOptions,
    /// Arrival time of the request on the process's monotonic clock.
    pub arrived_ms: u64,
    body_limits: BodyLimits,
}

impl RequestContext {
    /// Reads the extensions that the layers have added. `body_limits` returns the limits for the
    /// body of a session's request.
    pub fn new(
        mut parts: Parts,
        body_limits: impl FnOnce(&Session) -> BodyLimits,
    ) -> Result<Self, Rejection> {
        let internal = || Rejection::Call(Failure::not_run(Cause::Internal));
        let RequestId(request_id) = parts.extensions.remove().ok_or_else(internal)?;
        let session: Session = parts.extensions.remove().ok_or_else(internal)?;
        let options = parts.extensions.remove().ok_or_else(internal)?;
        let ArrivalTime { at_ms } = parts.extensions.remove().ok_or_else(internal)?;
        Ok(Self {
            body_limits: body_limits(&session),
            parts,
            request_id,
            session,
            options,
            arrived_ms: at_ms,
        })
    }

    /// Returns the deadline: the caller's own, or `default_ms` after the arrival.
    pub fn deadline_at_ms(&self, default_ms: u32) -> u64 {
        let deadline_ms = self.options.deadline_ms.unwrap_or(default_ms);
        self.arrived_ms + u64::from(deadline_ms)
    }

    /// Reads the complete body within the time limit.
    pub async fn body<B>(&self, body: B, deadline_at_ms: u64) -> Result<Bytes, Rejection>
    where
        B: RequestBody,
    {
        let left_ms = deadline_at_ms.saturating_sub(now_ms());
        let wait = Duration::from_millis(left_ms.min(BODY_TIMEOUT_MS));
        let class = self.options.class.unwrap_or(Class::Interactive);
        self.body_limits.read(body, class, wait).await
    }

    /// Creates the job for a call to `service`. Calls with the same `content` have the same digest,
    /// also when the caller repeats them.
    pub fn job(
        &self,
        service: &Arc<Service>,
        path: String,
        work: routing::Work,
        content: &[&[u8]],
    ) -> Result<Job, Rejection> {
        let method = self.parts.method.as_str();
        let payer = &self.session.holder.customer;
        Ok(Job {
            digest: CallDigest::of(payer, &service.name, content),
            request_id: self.request_id.clone(),
            payer: payer.clone(),
            service: Arc::clone(service),
            class: self.session.holder.class_of(self.options.class, service),
            idempotent: is_idempotent(service, method, &path, self.options.idempotent),
            deadline_at_ms: self.deadline_at_ms(service.deadline_ms),
            method: method.to_owned(),
            path,
            headers: endpoint_headers(&self.parts.headers, &self.request_id)?,
            lost_endpoints: Arc::default(),
            work,
        })
    }
}

/// Errors when a service is not of the kind that the path requires.
pub fn require_kind(service: &Service, kind: ServiceKind) -> Result<(), Rejection> {
    if service.kind == kind {
        return Ok(());
    }
    Err(Rejection::WrongKind(kind.as_str()))
}
