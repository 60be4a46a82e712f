//! The reward call of an item.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, Method};
use steps::{FailedPart, RewardCall, StepId};

use crate::calls::{self, CallOutcome, CallSpec};
use crate::clock::now_ms;
use crate::state::Front;
use crate::writer::note_failed;

/// Time for one reward call where its route does not say, in milliseconds.
const CALL_MS: u64 = 3_000;
/// Pause after a call that failed, in milliseconds.
const PAUSE_MS: u64 = 50;

/// The scorer's signature; none when its calls failed as often as is allowed.
pub async fn score(
    front: &Arc<Front>,
    key: (StepId, u32),
    scorer: &RewardCall,
    customer: Option<&str>,
    mut failed: u32,
) -> Option<String> {
    loop {
        let routes = front.routes.load_full();
        let route = routes
            .as_ref()
            .and_then(|routes| routes.find(&scorer.host, &scorer.path));
        let Some(route) = route else {
            // The route may come with the next version of the configuration.
            tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            continue;
        };
        let within_ms = match route.timeout_ms {
            0 => CALL_MS,
            stated => stated,
        };
        let spec = CallSpec {
            route,
            method: Method::POST,
            path: &scorer.path,
            headers: HeaderMap::new(),
            body: scorer.body.clone().into(),
            request_id: &scorer.id,
            customer,
            rank: None,
            background: true,
            deadline_at_ms: now_ms() + within_ms,
        };
        if let CallOutcome::Answer(answer) = calls::perform(front, &spec).await {
            if answer.is_success()
                && let Some(stamp) = answer.stamp()
            {
                return Some(stamp.to_owned());
            }
            if answer.status.as_u16() == 500 {
                failed += 1;
                note_failed(front, key, FailedPart::Reward).await;
                if failed >= route.attempts_max {
                    return None;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}
