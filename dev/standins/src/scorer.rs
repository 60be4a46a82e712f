//! A scorer: a score between 0 and 1 that depends only on the prompt and the completion.

use std::net::SocketAddr;
use std::time::Duration;

use derive::value;
use serde::{Deserialize, Serialize};

use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

/// Distinct scores above 0.
const SCORE_STEPS: u64 = 10_000;

/// Settings of the scorer.
#[value]
pub struct ScorerSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Time that each score takes.
    pub score_ms: u64,
}

impl ScorerSettings {
    /// A scorer whose scores take no time.
    pub fn new(listen: SocketAddr) -> ScorerSettings {
        ScorerSettings {
            listen,
            score_ms: 0,
        }
    }
}

#[derive(Deserialize)]
struct ScoreRequest {
    prompt: String,
    completion: String,
}

#[derive(Serialize)]
struct Answer {
    score: f64,
}

/// Starts a scorer on `settings.listen`.
pub async fn start(settings: ScorerSettings) -> Result<Handle, StandinError> {
    let score_ms = settings.score_ms;
    http::serve(settings.listen, Control::new(), false, move |call| {
        answer(call, score_ms)
    })
    .await
}

async fn answer(call: Call, score_ms: u64) -> Reply {
    if call.path == "/healthz" {
        return reply::ok();
    }
    if call.path != "/score" {
        return reply::error(404, "no-such-path");
    }
    let request: ScoreRequest = match call.json() {
        Ok(request) => request,
        Err(refusal) => return *refusal,
    };
    tokio::time::sleep(Duration::from_millis(score_ms)).await;
    let score = score(&request.prompt, &request.completion);
    reply::json(200, &Answer { score })
}

/// Score of a completion, as the scorer computes it; for tests to compare with.
pub fn score(prompt: &str, completion: &str) -> f64 {
    let hash = crate::engine::text_hash(&[prompt, completion]);
    (hash % (SCORE_STEPS + 1)) as f64 / SCORE_STEPS as f64
}
