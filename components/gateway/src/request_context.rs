//! From an HTTP request to a checked job.

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

/// Longest time for a body to arrive, where the deadline is later.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// What every handler needs of a request.
pub struct RequestContext {
    /// Method, path and headers.
    pub parts: Parts,
    /// Identity of the request.
    pub request_id: String,
    /// Who asks.
    pub session: Session,
    /// What the caller says of its request.
    pub options: RequestOptions,
    /// When the request came, on the process's monotonic clock.
    pub arrived_ms: u64,
    body_limits: BodyLimits,
}

impl RequestContext {
    /// Reads the parts. The layers have put the extensions in. `room` says where the body
    /// of a session's request counts.
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

    /// When the caller gives up: its own deadline, else `default_ms` after it came.
    pub fn deadline_at_ms(&self, default_ms: u32) -> u64 {
        let deadline_ms = self.options.deadline_ms.unwrap_or(default_ms);
        self.arrived_ms + u64::from(deadline_ms)
    }

    /// Reads the whole body in time.
    pub async fn body<B>(&self, body: B, deadline_at_ms: u64) -> Result<Bytes, Rejection>
    where
        B: RequestBody,
    {
        let left_ms = deadline_at_ms.saturating_sub(now_ms());
        let wait = Duration::from_millis(left_ms.min(BODY_TIMEOUT_MS));
        let class = self.options.class.unwrap_or(Class::Interactive);
        self.body_limits.read(body, class, wait).await
    }

    /// The job of a call to `service`. `content` is what makes it the same call when its
    /// caller sends it again.
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
            work,
        })
    }
}

/// Errors when a service is of another kind than the path serves.
pub fn require_kind(service: &Service, kind: ServiceKind) -> Result<(), Rejection> {
    if service.kind == kind {
        return Ok(());
    }
    Err(Rejection::WrongKind(kind.as_str()))
}
