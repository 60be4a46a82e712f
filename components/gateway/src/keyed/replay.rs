//! Replays the recorded answer of a key's call from the log.

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

/// Header of an answer that was replayed from an earlier submission.
const REPLAYED: &str = "idempotency-replayed";

/// Builds the answer for a submission whose key another submission has claimed. The recorded answer
/// must be read from the log before the submission's deadline.
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
        position: Some(position),
    } = verdict
    else {
        return Err(Failure::new(RunState::Unknown, Cause::Internal).into());
    };
    // The call ran and was answered, but the recorded answer cannot be read now.
    let unavailable = Failure::new(RunState::Failed, Cause::ClaimUnavailable)
        .retry_after(claims.settings.outage_retry_after_ms);
    let time_left = Duration::from_millis(deadline_at_ms.saturating_sub(now_ms()));
    let recorded = timeout(time_left, read_recorded_answer(claims, shard, *position)).await;
    let recorded = recorded.ok().flatten().ok_or(unavailable)?;
    let head = Head {
        status: *status,
        headers: recorded.headers,
    };
    let body = recorded.body.bytes().ok_or(unavailable)?;
    let mut response = response(&head, full(body))?;
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED, yes);
    Ok(response)
}

async fn read_recorded_answer(
    claims: &Claims,
    shard: u16,
    position: RecordPosition,
) -> Option<Answer> {
    let stream = stream_name(shard);
    let page = claims.log.read(&stream, position.offset, 1, 0).await.ok()?;
    let record = page.records.first()?;
    if record.offset != position.offset {
        return None;
    }
    let outcome = Line::parse(&record.data)
        .ok()?
        .outcome(position.index)
        .ok()?;
    match outcome {
        Outcome::Answered { answer, .. } => answer,
        Outcome::Failed(_) => None,
    }
}
