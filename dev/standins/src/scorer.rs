//! A scorer: the same score for the same sample, between 0 and 1.

use std::net::SocketAddr;
use std::time::Duration;

use derive::value;
use serde::{Deserialize, Serialize};

use crate::error::StandinError;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

const STEPS: u64 = 10_000;

/// Settings of the scorer.
#[value]
pub struct ScorerSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time that one score takes.
    pub score_ms: u64,
}

impl ScorerSettings {
    /// A scorer at `listen` that takes no time.
    pub fn new(listen: SocketAddr) -> ScorerSettings {
        ScorerSettings {
            listen,
            score_ms: 0,
        }
    }
}

#[derive(Deserialize)]
struct Question {
    prompt: String,
    completion: String,
}

#[derive(Serialize)]
struct Answer {
    score: f64,
}

/// Starts the scorer.
pub async fn start(settings: ScorerSettings) -> Result<Handle, StandinError> {
    let score_ms = settings.score_ms;
    http::serve(settings.listen, Control::new(), false, move |call| {
        answer(call, score_ms)
    })
    .await
}

async fn answer(call: Call, score_ms: u64) -> Reply {
    if call.path == "/healthz" {
        return reply::done();
    }
    if call.path != "/score" {
        return reply::error(404, "no-such-path");
    }
    let question: Question = match call.json() {
        Ok(question) => question,
        Err(refusal) => return *refusal,
    };
    tokio::time::sleep(Duration::from_millis(score_ms)).await;
    let score = score(&question.prompt, &question.completion);
    reply::json(200, &Answer { score })
}

/// The score that this scorer gives.
pub fn score(prompt: &str, completion: &str) -> f64 {
    let hash = crate::engine::text_hash(&[prompt, completion]);
    (hash % (STEPS + 1)) as f64 / STEPS as f64
}
