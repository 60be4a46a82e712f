//! Reward calls: each sends the reward request of an item to a scorer, whose signature on the
//! answer is the item's score.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, Method};
use steps::{FailedPart, RewardCall, StepId};

use crate::calls::{self, CallOutcome, CallSpec};
use crate::clock::now_ms;
use crate::state::Front;
use crate::writer::record_failure;

/// Timeout of one reward call if its route has none.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;
/// Pause before the next attempt.
const RETRY_PAUSE_MS: u64 = 50;
/// Longest pause after the queue refused a call. Its own time to return may be seconds, in which
/// the item would not be scored although a place became free.
const REFUSED_PAUSE_MS_MAX: u64 = 300;

/// Calls the scorer until it answers with a signature, and returns the signature. Returns `None`
/// once as many calls as the route allows were answered with status 500, including the `failed`
/// calls of earlier attempts, here or at other fronts. Other failures are retried without limit.
/// Calls that decide the end of their step are queued like clients' calls.
pub async fn score(
    front: &Arc<Front>,
    key: (StepId, u32),
    reward_call: &RewardCall,
    customer: Option<&str>,
    mut failed: u32,
    decides_step: bool,
) -> Option<String> {
    loop {
        let routes = front.routes.load_full();
        let route = routes
            .as_ref()
            .and_then(|routes| routes.find(&reward_call.host, &reward_call.path));
        let Some(route) = route else {
            // The next version of the configuration may have the route.
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            continue;
        };
        let timeout_ms = match route.timeout_ms {
            0 => DEFAULT_TIMEOUT_MS,
            route_timeout_ms => route_timeout_ms,
        };
        let spec = CallSpec {
            route,
            method: Method::POST,
            path: &reward_call.path,
            headers: HeaderMap::new(),
            body: reward_call.body.clone().into(),
            request_id: &reward_call.id,
            customer,
            rank: None,
            background: true,
            decides_step,
            deadline_at_ms: now_ms() + timeout_ms,
        };
        let mut pause_ms = RETRY_PAUSE_MS;
        match calls::perform(front, &spec).await {
            CallOutcome::Answer(answer) => {
                let answer = &answer.response;
                if answer.is_success()
                    && let Some(stamp) = answer.stamp()
                {
                    return Some(stamp.to_owned());
                }
                if answer.status.as_u16() == 500 {
                    failed += 1;
                    record_failure(front, key, FailedPart::Reward).await;
                    if failed >= route.attempts_max {
                        return None;
                    }
                }
            }
            CallOutcome::Refused(refusal) => {
                pause_ms = refusal
                    .retry_after_ms
                    .clamp(RETRY_PAUSE_MS, REFUSED_PAUSE_MS_MAX);
            }
            CallOutcome::Suspected(refusal) => {
                let retry_after_ms = u64::from(refusal.retry_after_ms);
                pause_ms = retry_after_ms.min(REFUSED_PAUSE_MS_MAX);
            }
            CallOutcome::Failed(..) => {}
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
