//! Requests the scores of samples from the plain service that the model's configuration names as
//! scorer.

use std::sync::Arc;

use bytes::Bytes;
use config::Service;
use link::CallEvent;
use node::now_ms;
use quarantine::CallDigest;
use recovery::Delivered;
use routing::Work;
use samples::{RunId, Sample, Score, Step};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use types::{Cause, Class, Failure, RunState};

use super::commands::Command;
use crate::admission::admit_in_turn;
use crate::attempt::{Attempt, ReplicaConstraints};
use crate::gateway::Gateway;
use crate::headers::REQUEST_ID;
use crate::job::Job;
use crate::retried_call::RetriedCall;

const PATH: &str = "/score";
const OK: u16 = 200;
/// Maximum size of a scorer's answer.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

#[derive(Serialize)]
struct ScoreRequest<'a> {
    prompt: &'a str,
    completion: &'a str,
}

#[derive(Deserialize)]
struct ScoreResponse {
    score: f64,
}

/// A score request for one sample.
pub struct ScoreCall {
    /// `None` if the configuration has no scorer.
    pub scorer: Option<Arc<Service>>,
    pub step: Arc<Step>,
    /// The run that generated the sample.
    pub run: RunId,
    pub sample: Arc<Sample>,
    /// Receives the report of the score.
    pub commands: mpsc::Sender<Command>,
}

impl ScoreCall {
    /// Requests the score and reports the result.
    pub async fn call_and_report(self, gateway: Arc<Gateway>) {
        let score = match self.call(gateway).await {
            Ok(score) => Some(score),
            Err(failure) => {
                log::info!(
                    event = "score-failed", step = self.step.key.step,
                    outcome = failure.run.as_str(), cause = failure.cause.as_str(); ""
                );
                None
            }
        };
        let command = Command::Scored(self.step.key.clone(), self.run, score);
        // The coordinator stops only when the process ends.
        let _ = self.commands.send(command).await;
    }

    async fn call(&self, gateway: Arc<Gateway>) -> Result<Score, Failure> {
        let (job, body) = self.job().ok_or(Failure::not_run(Cause::NotHosted))?;
        let admitted = admit_in_turn(&gateway, &job).await?;
        let account = Arc::clone(&admitted.account);
        let mut call = RetriedCall::new(gateway, account, job, ReplicaConstraints::default());
        loop {
            let (head, attempt) = call.send(&body).await?;
            match read_score(attempt, head.status).await {
                Ok(score) => return Ok(score),
                Err(failure) => call.retry(failure, Delivered::Nothing).await?,
            };
        }
    }

    fn job(&self) -> Option<(Job, Bytes)> {
        let scorer = self.scorer.clone()?;
        let score_request = ScoreRequest {
            prompt: self.step.prompt(self.sample.slot)?,
            completion: &self.sample.text,
        };
        let body = serde_json::to_vec(&score_request).ok()?;
        let key = &self.step.key;
        let request_id = format!("{}.{}.{}.score", key.service, key.step, self.run.0);
        let content = [PATH.as_bytes(), &body];
        let job = Job {
            digest: CallDigest::of(&key.customer, &scorer.name, &content),
            payer: key.customer.clone(),
            class: Class::Sampling,
            // A scorer has no side effects, so the request may be repeated.
            idempotent: true,
            deadline_at_ms: now_ms() + u64::from(scorer.deadline_ms),
            service: scorer,
            method: "POST".to_owned(),
            path: PATH.to_owned(),
            headers: vec![
                ("content-type".to_owned(), "application/json".to_owned()),
                (REQUEST_ID.to_owned(), request_id.clone()),
            ],
            lost_endpoints: Arc::default(),
            work: Work::default(),
            request_id,
        };
        Some((job, Bytes::from(body)))
    }
}

async fn read_score(mut attempt: Attempt, status: u16) -> Result<Score, Failure> {
    let invalid = || Failure::new(RunState::Failed, Cause::EndpointError);
    let mut body = Vec::new();
    loop {
        match attempt.next().await {
            CallEvent::Accepted | CallEvent::Started | CallEvent::Head(_) => {}
            CallEvent::Chunk(bytes) if body.len() + bytes.len() > ANSWER_BYTES_MAX => {
                return Err(invalid());
            }
            CallEvent::Chunk(bytes) => body.extend_from_slice(&bytes),
            CallEvent::End if status == OK => break,
            CallEvent::End => return Err(invalid()),
            CallEvent::Failed(failure) => return Err(failure),
        }
    }
    let response: ScoreResponse = serde_json::from_slice(&body).map_err(|_| invalid())?;
    Score::new(response.score).map_err(|_| invalid())
}
