//! Calls of plain services: `/v1/services/{service}/{path}` with any method and body.

use std::sync::Arc;

use config::ServiceKind;
use http::Response;
use routing::Work;

use crate::answer::ActiveRequest;
use crate::body::Body;
use crate::gateway::Gateway;
use crate::keyed::{self, KeyedRequest};
use crate::paths::ServiceTarget;
use crate::rejection::Rejection;
use crate::request_body::RequestBody;
use crate::request_context::{RequestContext, require_kind};

/// Handles a call of a plain service.
pub async fn serve<B>(
    gateway: Arc<Gateway>,
    context: RequestContext,
    target: ServiceTarget,
    path: String,
    body: B,
) -> Result<Response<Body>, Rejection>
where
    B: RequestBody,
{
    let service = context.session.callable(&target)?;
    require_kind(&service, ServiceKind::Plain)?;
    let deadline_at_ms = context.deadline_at_ms(service.deadline_ms);
    let body = context.body(body, deadline_at_ms).await?;
    let method = context.parts.method.as_str();
    let content = [method.as_bytes(), path.as_bytes(), &body];
    let job = context.job(&service, path.clone(), Work::default(), &content)?;
    // An idempotent request needs no claim on its key, because it may run several times.
    if let Some(key) = context.options.key.as_deref().filter(|_| !job.idempotent) {
        let keyed = KeyedRequest {
            key,
            content: &body,
            body: body.clone(),
        };
        return keyed::serve(&gateway, job, context.arrived_ms, keyed).await;
    }
    let request = ActiveRequest::admit(&gateway, job, context.arrived_ms).await?;
    request.relay(body).await
}
