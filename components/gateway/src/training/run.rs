//! One run of a sample at one engine, streamed, so that its tokens survive the engine.

use std::sync::Arc;

use bytes::Bytes;
use config::Service;
use node::now_ms;
use quarantine::CallDigest;
use samples::{Completion, Fault, PartialSample, RunId, Start, Step, StepKey};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Class, Failure, RunState};

use super::listening::Listening;
use super::orders::{Order, RunFault, RunNews};
use crate::admission::admit_in_turn;
use crate::attempt::{Attempt, ReplicaConstraints};
use crate::completion::priority;
use crate::completions::PATH;
use crate::gateway::Gateway;
use crate::headers::{DEADLINE_MS_MAX, REQUEST_ID};
use crate::job::Job;

#[derive(Serialize)]
struct Ask<'a> {
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

/// A run to make.
pub struct Run {
    /// The model.
    pub model: Arc<Service>,
    /// The step.
    pub step: Arc<Step>,
    /// What the ledger asks for.
    pub start: Start,
    /// Where to report.
    pub orders: mpsc::Sender<Order>,
    /// Comes when the run is to stop and leave its tokens.
    pub stop: oneshot::Receiver<()>,
}

impl Run {
    /// Makes the run and reports its end.
    pub async fn make(self, gateway: Arc<Gateway>) {
        let (key, run, orders) = (self.step.key.clone(), self.start.run, self.orders.clone());
        let news = match self.run(&gateway).await {
            Ok(completion) => RunNews::Finished(completion),
            Err((fault, partial)) => RunNews::Failed(fault, partial),
        };
        // The owner is gone only when the process ends.
        let _ = orders.send(Order::Run(key, run, news)).await;
    }

    async fn run(self, gateway: &Gateway) -> Result<Completion, (RunFault, Option<PartialSample>)> {
        let (job, body) = self.job();
        let refused = |failure| (fault(failure), self.start.resume.clone());
        let mut admitted = admit_in_turn(gateway, &job).await.map_err(refused)?;
        let constraints = constraints(gateway, &job, self.start.to);
        let attempt = Attempt::start(gateway, &job, body, &constraints).await;
        let attempt = match attempt {
            Ok(attempt) if attempt.address() == self.start.to => attempt,
            // The replica went since the ledger chose it.
            Ok(_) => return Err((RunFault::plain(Fault::Refused), self.start.resume)),
            Err(failure) => return Err(refused(failure)),
        };
        let mut listening = Listening::new(self.start.resume.as_ref());
        let heard = listening
            .listen(
                attempt,
                &self.step.key,
                self.start.run,
                &self.orders,
                self.stop,
            )
            .await;
        admitted.refund_unused(listening.tokens().saturating_add(job.work.prompt_tokens));
        match heard {
            Ok(()) => Ok(listening.whole()),
            Err(fault) => Err((fault, listening.partial())),
        }
    }

    fn job(&self) -> (Job, Bytes) {
        let step = &self.step;
        let request_id = request_id(&step.key, self.start.run);
        let prompt = step.prompt(self.start.slot).unwrap_or_default();
        let resume = self.start.resume.as_ref();
        let ask = Ask {
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
        // Text and numbers always serialise.
        let body = serde_json::to_vec(&ask).unwrap_or_default();
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
            work,
            request_id,
        };
        (job, Bytes::from(body))
    }
}

/// The same for every run of a slot would let one cancel another at the engine.
fn request_id(key: &StepKey, run: RunId) -> String {
    format!("{}.{}.{}.{}", key.customer, key.service, key.step, run.0)
}

/// All replicas but the one that the ledger chose are passed over.
fn constraints(gateway: &Gateway, job: &Job, to: std::net::SocketAddr) -> ReplicaConstraints {
    let service = &job.service;
    let state = gateway.services.get(&service.owner, &service.name);
    let table = state.map(|state| state.table());
    let nodes = table.iter().flat_map(|table| table.replica_states());
    let others = nodes.map(|slot| slot.replica.node);
    ReplicaConstraints {
        exclude: others.filter(|node| node.address != to).collect(),
        strict: true,
        min_version: None,
    }
}

/// What a failed call says to the ledger, and of its replica.
pub fn fault(failure: Failure) -> RunFault {
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
