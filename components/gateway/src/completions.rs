//! Completions: `POST /v1/completions`.

use std::sync::Arc;

use bytes::Bytes;
use config::Kind;
use http::{Method, Response};
use hyper::body::Body as HttpBody;

use crate::admission::admit;
use crate::answer::Answering;
use crate::attempt::Where;
use crate::body::Body;
use crate::completion::{Completion, priority};
use crate::completion_stream;
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::headers::DEADLINE_MS_MAX;
use crate::intake::{Intake, need_kind};
use crate::rejection::Rejection;
use crate::target::Target;
use crate::trace::Trace;

/// Path of completions, here and at the engines.
pub const PATH: &str = "/v1/completions";

/// Serves a completion.
pub async fn serve<B>(
    gateway: Arc<Gateway>,
    intake: Intake,
    body: B,
) -> Result<Response<Body>, Rejection>
where
    B: HttpBody,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if intake.parts.method != Method::POST {
        return Err(Rejection::Method("POST"));
    }
    // The model stands in the body, and with it the default deadline.
    let bytes = intake
        .body(body, intake.deadline_at_ms(DEADLINE_MS_MAX))
        .await?;
    let completion = Completion::parse(&bytes)?;
    let service = intake
        .session
        .callable(&Target::parse(&completion.model)?)?;
    need_kind(&service, Kind::Model)?;
    let work = completion.work();
    let job = intake.job(&service, PATH.to_owned(), Bytes::new(), work)?;
    let mut trace = Trace::new(gateway.metrics.clone(), &job, intake.arrived_ms);
    let admitted = match admit(&gateway, &job).await {
        Ok(admitted) => admitted,
        Err(failure) => {
            trace.failed(failure);
            return Err(failure.into());
        }
    };
    let account = Arc::clone(&admitted.account);
    let order = (priority(job.class), job.request_id.clone());
    let model = service.name.clone();
    let answering = Answering {
        exchange: Exchange::new(gateway, account, job, Where::default()),
        admitted,
        trace,
    };
    let (priority, id) = order;
    let stream = completion.stream;
    let body = move |resume_tokens: &[u32]| {
        completion.for_engine(model.as_str(), &id, priority, resume_tokens)
    };
    if stream {
        completion_stream::serve(answering, body).await
    } else {
        let whole = body(&[]);
        answering.relay(whole).await
    }
}
