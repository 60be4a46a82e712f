//! Handler of completions: `POST /v1/completions`.

use std::sync::Arc;

use config::ServiceKind;
use http::{Method, Response};

use crate::answer::ActiveRequest;
use crate::body::Body;
use crate::completion::{Completion, priority};
use crate::completion_stream;
use crate::gateway::Gateway;
use crate::headers::{DEADLINE_MS_MAX, IDEMPOTENCY_KEY};
use crate::keyed::{self, KeyedRequest};
use crate::paths::ServiceTarget;
use crate::rejection::Rejection;
use crate::request_body::RequestBody;
use crate::request_context::{RequestContext, require_kind};

/// Path of completions, both at the entry and at the engines.
pub const PATH: &str = "/v1/completions";

/// Allowed use of an idempotency key with a streamed completion.
const STREAM_KEY_ALLOWED: &str = "a key only where the stream may run again";

/// Handles a completion. A non-idempotent completion with an idempotency key is claimed like a
/// plain call. A streamed completion cannot be recorded and replayed, so it is rejected if it has
/// a key and is not idempotent; otherwise its caller would assume that the key prevents a second
/// run.
pub async fn serve<B>(
    gateway: Arc<Gateway>,
    context: RequestContext,
    body: B,
) -> Result<Response<Body>, Rejection>
where
    B: RequestBody,
{
    if context.parts.method != Method::POST {
        return Err(Rejection::Method("POST"));
    }
    // The model and its default deadline are known only after the body is read.
    let bytes = context
        .body(body, context.deadline_at_ms(DEADLINE_MS_MAX))
        .await?;
    let completion = Completion::parse(&bytes)?;
    let service = context
        .session
        .callable(&ServiceTarget::parse(&completion.model)?)?;
    require_kind(&service, ServiceKind::Model)?;
    let work = completion.work();
    let content = [completion.prompt.as_bytes()];
    let job = context.job(&service, PATH.to_owned(), work, &content)?;
    let (priority, id) = (priority(job.class), job.request_id.clone());
    let key = context.options.key.as_deref().filter(|_| !job.idempotent);
    if completion.stream && key.is_some() {
        return Err(Rejection::Header(IDEMPOTENCY_KEY, STREAM_KEY_ALLOWED));
    }
    let stream = completion.stream;
    let model = service.name.clone();
    let body = move |resume_tokens: &[u32]| {
        completion.for_engine(model.as_str(), &id, priority, resume_tokens)
    };
    if let Some(key) = key {
        let keyed = KeyedRequest {
            key,
            content: &bytes,
            body: body(&[]),
        };
        return keyed::serve(&gateway, job, context.arrived_ms, keyed).await;
    }
    let request = ActiveRequest::admit(&gateway, job, context.arrived_ms).await?;
    if stream {
        completion_stream::serve(request, body).await
    } else {
        request.relay(body(&[])).await
    }
}
