//! Plain calls: `/v1/services/{service}/{path}`, any method and body.

use std::sync::Arc;

use config::ServiceKind;
use http::Response;
use routing::Work;

use crate::answer::Answering;
use crate::body::Body;
use crate::gateway::Gateway;
use crate::incoming::RequestBody;
use crate::intake::{Intake, need_kind};
use crate::keyed::{self, KeyedRequest};
use crate::rejection::Rejection;
use crate::target::Target;

/// Serves a plain call.
pub async fn serve<B>(
    gateway: Arc<Gateway>,
    intake: Intake,
    target: Target,
    path: String,
    body: B,
) -> Result<Response<Body>, Rejection>
where
    B: RequestBody,
{
    let service = intake.session.callable(&target)?;
    need_kind(&service, ServiceKind::Plain)?;
    let deadline_at_ms = intake.deadline_at_ms(service.deadline_ms);
    let body = intake.body(body, deadline_at_ms).await?;
    let method = intake.parts.method.as_str();
    let content = [method.as_bytes(), path.as_bytes(), &body];
    let job = intake.job(&service, path.clone(), Work::default(), &content)?;
    // A request that may run again needs nobody's leave for it.
    if let Some(key) = intake.wishes.key.as_deref().filter(|_| !job.idempotent) {
        let keyed = KeyedRequest {
            key,
            content: &body,
            body: body.clone(),
        };
        return keyed::serve(&gateway, job, intake.arrived_ms, keyed).await;
    }
    let answering = Answering::begin(&gateway, job, intake.arrived_ms).await?;
    answering.relay(body).await
}
