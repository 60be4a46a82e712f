//! The answer of a key's one run, read back from the log.

use std::time::Duration;

use claims::{Answer, Line, Outcome, RecordPosition, Verdict, stream_name};
use http::{HeaderValue, Response};
use node::now_ms;
use protocol::Head;
use tokio::time::timeout;
use types::{Cause, Failure, RunState};

use super::Claims;
use crate::answer::response;
use crate::body::{Body, full};
use crate::rejection::Rejection;

/// Says that an answer is that of an earlier submission.
const REPLAYED: &str = "idempotency-replayed";

/// The answer to a submission whose key another one has, by its deadline.
pub async fn answer(
    claims: &Claims,
    shard: u16,
    verdict: &Verdict,
    deadline_at_ms: u64,
) -> Result<Response<Body>, Rejection> {
    if let Some(failure) = verdict.failure(&claims.settings) {
        return Err(failure.into());
    }
    let Verdict::Answered {
        status,
        position: Some(place),
    } = verdict
    else {
        return Err(Failure::new(RunState::Unknown, Cause::Internal).into());
    };
    // It ran and was answered; only the answer can't be had now.
    let unread = Failure::new(RunState::Failed, Cause::ClaimUnavailable)
        .retry_after(claims.settings.outage_retry_after_ms);
    let left = Duration::from_millis(deadline_at_ms.saturating_sub(now_ms()));
    let recorded = timeout(left, recorded(claims, shard, *place)).await;
    let recorded = recorded.ok().flatten().ok_or(unread)?;
    let head = Head {
        status: *status,
        headers: recorded.headers,
    };
    let body = recorded.body.bytes().ok_or(unread)?;
    let mut response = response(&head, full(body))?;
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED, yes);
    Ok(response)
}

async fn recorded(claims: &Claims, shard: u16, place: RecordPosition) -> Option<Answer> {
    let stream = stream_name(shard);
    let page = claims.log.read(&stream, place.offset, 1, 0).await.ok()?;
    let record = page.records.first()?;
    if record.offset != place.offset {
        return None;
    }
    let outcome = Line::parse(&record.data).ok()?.outcome(place.index).ok()?;
    match outcome {
        Outcome::Answered { answer, .. } => answer,
        Outcome::Failed(_) => None,
    }
}
