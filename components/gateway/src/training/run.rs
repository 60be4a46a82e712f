//! A run of one sample at one engine. The answer is streamed, so that the tokens generated so far
//! are not lost with the engine.

use std::sync::Arc;

use bytes::Bytes;
use config::Service;
use node::now_ms;
use quarantine::CallDigest;
use samples::{Completion, Fault, PartialSample, RunId, Start, Step, StepKey};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Class, Failure, RunState};

use super::commands::{Command, RunFault, RunReport};
use super::run_recorder::RunRecorder;
use crate::admission::admit_in_turn;
use crate::attempt::{Attempt, ReplicaConstraints};
use crate::completion::priority;
use crate::completions::PATH;
use crate::gateway::Gateway;
use crate::headers::{DEADLINE_MS_MAX, REQUEST_ID};
use crate::job::Job;

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    n: u32,
    seed: u64,
    priority: u32,
    request_id: &'a str,
    #[serde(skip_serializing_if = "<[u32]>::is_empty")]
    resume_tokens: &'a [u32],
}

/// A run of a slot of a step at the replica that the ledger has chosen.
pub struct Run {
    pub model: Arc<Service>,
    pub step: Arc<Step>,
    /// Start action of the ledger.
    pub start: Start,
    /// Receives the reports.
    pub commands: mpsc::Sender<Command>,
    /// Stops the run, which then reports its partial sample.
    pub stop: oneshot::Receiver<()>,
}

impl Run {
    /// Runs to the end and reports the result.
    pub async fn run_and_report(self, gateway: Arc<Gateway>) {
        let (key, run, commands) = (self.step.key.clone(), self.start.run, self.commands.clone());
        let report = match self.run(&gateway).await {
            Ok(completion) => RunReport::Finished(completion),
            Err((fault, partial)) => RunReport::Failed(fault, partial),
        };
        // The coordinator stops only when the process ends.
        let _ = commands.send(Command::RunReport(key, run, report)).await;
    }

    async fn run(self, gateway: &Gateway) -> Result<Completion, (RunFault, Option<PartialSample>)> {
        let (job, body) = self.job();
        let refused = |failure| (run_fault(failure), self.start.resume.clone());
        let mut admitted = admit_in_turn(gateway, &job).await.map_err(refused)?;
        let constraints = only_replica(gateway, &job, self.start.to);
        let attempt = Attempt::start(gateway, &job, body, &constraints).await;
        let attempt = match attempt {
            Ok(attempt) if attempt.address() == self.start.to => attempt,
            // The replica has become unavailable since the ledger chose it.
            Ok(_) => return Err((RunFault::not_at_replica(Fault::Refused), self.start.resume)),
            Err(failure) => return Err(refused(failure)),
        };
        let mut recorder = RunRecorder::new(self.start.resume.as_ref());
        let recorded = recorder
            .record(
                attempt,
                &self.step.key,
                self.start.run,
                &self.commands,
                self.stop,
            )
            .await;
        admitted.refund_unused(
            recorder
                .token_count()
                .saturating_add(job.work.prompt_tokens),
        );
        match recorded {
            Ok(()) => Ok(recorder.into_completion()),
            Err(fault) => Err((fault, recorder.into_partial())),
        }
    }

    fn job(&self) -> (Job, Bytes) {
        let step = &self.step;
        let request_id = request_id(&step.key, self.start.run);
        let prompt = step.prompt(self.start.slot).unwrap_or_default();
        let resume = self.start.resume.as_ref();
        let completion = CompletionBody {
            model: self.model.name.as_str(),
            prompt,
            max_tokens: step.max_tokens,
            stream: true,
            n: 1,
            seed: self.start.seed,
            priority: priority(Class::Sampling),
            request_id: &request_id,
            resume_tokens: resume.map_or(&[], |partial| &partial.tokens),
        };
        // Serialization cannot fail: the body contains only text and numbers.
        let body = serde_json::to_vec(&completion).unwrap_or_default();
        let work = crate::completion::work(prompt, u64::from(step.max_tokens));
        let content = [prompt.as_bytes()];
        let job = Job {
            digest: CallDigest::of(&step.key.customer, &step.key.service, &content),
            payer: step.key.customer.clone(),
            service: Arc::clone(&self.model),
            class: Class::Sampling,
            idempotent: true,
            deadline_at_ms: now_ms() + u64::from(DEADLINE_MS_MAX),
            method: "POST".to_owned(),
            path: PATH.to_owned(),
            headers: vec![
                ("content-type".to_owned(), "application/json".to_owned()),
                (REQUEST_ID.to_owned(), request_id.clone()),
            ],
            lost_endpoints: Arc::default(),
            work,
            request_id,
        };
        (job, Bytes::from(body))
    }
}

/// The id contains the number of the run. If all runs of a slot had the same id, cancelling one
/// would cancel the others at the engine.
fn request_id(key: &StepKey, run: RunId) -> String {
    format!("{}.{}.{}.{}", key.customer, key.service, key.step, run.0)
}

/// Excludes all replicas except the one that the ledger has chosen.
fn only_replica(gateway: &Gateway, job: &Job, to: std::net::SocketAddr) -> ReplicaConstraints {
    let service = &job.service;
    let state = gateway.services.get(&service.owner, &service.name);
    let table = state.map(|state| state.table());
    let replicas = table.iter().flat_map(|table| table.replica_states());
    let others = replicas.map(|state| state.replica.node);
    ReplicaConstraints {
        exclude: others.filter(|node| node.address != to).collect(),
        strict: true,
        min_version: None,
    }
}

/// Maps the failure of a call to the fault for the ledger, and decides whether the replica caused
/// it.
pub fn run_fault(failure: Failure) -> RunFault {
    let fault = match (failure.cause, failure.run) {
        (Cause::Quarantined, _) => Fault::Quarantined,
        (_, RunState::NotRun) => Fault::Refused,
        _ => Fault::Lost,
    };
    let at_replica = matches!(
        failure.cause,
        Cause::LinkLost | Cause::EndpointLost | Cause::NotHosted | Cause::EndpointError
    );
    RunFault { fault, at_replica }
}
