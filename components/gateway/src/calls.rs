//! Plain calls: `/v1/services/{service}/{path}`, any method and body.

use std::sync::Arc;

use config::Kind;
use http::Response;
use hyper::body::Body as HttpBody;

use crate::admission::admit;
use crate::answer::Answering;
use crate::attempt::Where;
use crate::body::Body;
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::intake::{Intake, need_kind};
use crate::rejection::Rejection;
use crate::target::Target;
use crate::trace::Trace;

/// Serves a plain call.
pub async fn serve<B>(
    gateway: Arc<Gateway>,
    intake: Intake,
    target: Target,
    path: String,
    body: B,
) -> Result<Response<Body>, Rejection>
where
    B: HttpBody,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let service = intake.session.callable(&target)?;
    need_kind(&service, Kind::Plain)?;
    let deadline_at_ms = intake.deadline_at_ms(service.deadline_ms);
    let body = intake.body(body, deadline_at_ms).await?;
    let job = intake.job(&service, path, body, routing::Work::default())?;
    let mut trace = Trace::new(gateway.metrics.clone(), &job, intake.arrived_ms);
    let admitted = match admit(&gateway, &job).await {
        Ok(admitted) => admitted,
        Err(failure) => {
            trace.failed(failure);
            return Err(failure.into());
        }
    };
    let body = job.body.clone();
    let account = Arc::clone(&admitted.account);
    let answering = Answering {
        exchange: Exchange::new(gateway, account, job, Where::default()),
        admitted,
        trace,
    };
    answering.relay(body).await
}
