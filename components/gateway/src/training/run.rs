//! One run of a sample at one engine, streamed, so that its tokens survive the engine.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::Service;
use link::CallEvent;
use node::now_ms;
use platform::sse::{Parser, Piece, Transcript};
use quarantine::CallDigest;
use samples::{Completion, Fault, Partial, Provenance, RunId, Stamps, Start, Step, StepKey};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use types::{Cause, Class, Failure, RunState, WeightVersion};

use super::orders::{Order, RunNews};
use crate::admission::admit;
use crate::attempt::{Attempt, Where};
use crate::completion::priority;
use crate::completions::PATH;
use crate::gateway::Gateway;
use crate::headers::{DEADLINE_MS_MAX, REQUEST_ID};
use crate::job::Job;

const LINE_BYTES_MAX: usize = 256 * 1024;
const TEXT_BYTES_MAX: usize = 4 << 20;
const OK: u16 = 200;
/// Statuses from here on say that the engine failed, not that the request is wrong.
const SERVER_ERRORS: u16 = 500;
/// Least time between two reports of one run's progress, unless its version changed.
const PROGRESS_EVERY: Duration = Duration::from_millis(200);

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

    async fn run(self, gateway: &Gateway) -> Result<Completion, (Fault, Option<Partial>)> {
        let (job, body) = self.job();
        let refused = |failure| (fault(failure), self.start.resume.clone());
        let mut admitted = admit(gateway, &job).await.map_err(refused)?;
        let place = place(gateway, &job, self.start.to);
        let attempt = Attempt::start(gateway, &job, body, &place).await;
        let attempt = match attempt {
            Ok(attempt) if attempt.address() == self.start.to => attempt,
            // The replica went since the ledger chose it.
            Ok(_) => return Err((Fault::Refused, self.start.resume)),
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
        admitted.used(listening.tokens().saturating_add(job.work.prompt_tokens));
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
fn place(gateway: &Gateway, job: &Job, to: std::net::SocketAddr) -> Where {
    let service = &job.service;
    let state = gateway.services.get(&service.owner, &service.name);
    let table = state.map(|state| state.table());
    let nodes = table.iter().flat_map(|table| table.slots());
    let others = nodes.map(|slot| slot.replica.node);
    Where {
        exclude: others.filter(|node| node.address != to).collect(),
        only: true,
        at_least: None,
    }
}

fn fault(failure: Failure) -> Fault {
    match (failure.cause, failure.run) {
        (Cause::Quarantined, _) => Fault::Quarantined,
        (_, RunState::NotRun) => Fault::Refused,
        _ => Fault::Lost,
    }
}

/// What was heard of a run so far, the tokens that it went on from included.
struct Listening {
    parser: Parser,
    before: Option<Partial>,
    said: Transcript,
    stamps: Stamps,
    stamped: BTreeSet<WeightVersion>,
    reported: Option<Instant>,
}

impl Listening {
    fn new(before: Option<&Partial>) -> Self {
        let stamps = match before {
            Some(partial) => Stamps::resumed_from(&partial.provenance),
            None => Stamps::new(),
        };
        Self {
            parser: Parser::new(LINE_BYTES_MAX),
            before: before.cloned(),
            said: Transcript::default(),
            stamps,
            stamped: BTreeSet::new(),
            reported: None,
        }
    }

    async fn listen(
        &mut self,
        mut attempt: Attempt,
        key: &StepKey,
        run: RunId,
        orders: &mpsc::Sender<Order>,
        mut stop: oneshot::Receiver<()>,
    ) -> Result<(), Fault> {
        loop {
            let event = tokio::select! {
                event = attempt.next() => event,
                Ok(()) = &mut stop => return Err(Fault::Moved),
            };
            match event {
                CallEvent::Accepted | CallEvent::Started => {}
                CallEvent::Head(head) if head.status == OK => {}
                // The engine will say the same of this prompt again.
                CallEvent::Head(head) if head.status < SERVER_ERRORS => {
                    return Err(Fault::Quarantined);
                }
                CallEvent::Head(_) => return Err(Fault::Lost),
                CallEvent::Chunk(bytes) => {
                    let stamp = self.take(&bytes)?;
                    if let Some(news) = self.progress(stamp) {
                        // The next report says the same and more.
                        let _ = orders.try_send(Order::Run(key.clone(), run, news));
                    }
                }
                CallEvent::End if self.parser.is_whole() => return Ok(()),
                CallEvent::End => return Err(Fault::Lost),
                CallEvent::Failed(failure) => return Err(fault(failure)),
            }
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Result<Option<WeightVersion>, Fault> {
        let mut latest = None;
        let (said, stamps) = (&mut self.said, &mut self.stamps);
        let pushed = self.parser.push(bytes, |piece: Piece| {
            said.add(&piece, TEXT_BYTES_MAX)?;
            if !piece.text.is_empty() || !piece.token_ids.is_empty() {
                stamps.chunk(piece.version);
                latest = piece.version.or(latest);
            }
            Ok(())
        });
        pushed.map(|()| latest).map_err(|_| Fault::Lost)
    }

    /// A report, if one is due.
    fn progress(&mut self, stamp: Option<WeightVersion>) -> Option<RunNews> {
        let new_version = stamp.is_some_and(|version| self.stamped.insert(version));
        let now = Instant::now();
        let due = self.reported.is_none_or(|at| now - at >= PROGRESS_EVERY);
        if !due && !new_version {
            return None;
        }
        self.reported = Some(now);
        let tokens = u64::from(self.tokens());
        Some(RunNews::Progress { tokens, stamp })
    }

    /// Tokens that this run made.
    fn tokens(&self) -> u32 {
        let named = u32::try_from(self.said.token_ids.len()).unwrap_or(u32::MAX);
        named.max(self.said.pieces)
    }

    fn whole(self) -> Completion {
        let tokens = u64::from(self.tokens());
        Completion {
            text: self.text(),
            tokens,
            provenance: self.stamps.finish(),
        }
    }

    fn text(&self) -> String {
        let before = self.before.as_ref().map_or("", |partial| &partial.text);
        format!("{before}{}", self.said.text)
    }

    /// What the next run can go on from; nothing where the tokens have no ids.
    fn partial(self) -> Option<Partial> {
        let unnamed = self.said.token_ids.is_empty() && !self.said.text.is_empty();
        if unnamed {
            return self.before;
        }
        let text = self.text();
        let mut tokens = self.before.map_or_else(Vec::new, |partial| partial.tokens);
        tokens.extend(&self.said.token_ids);
        if tokens.is_empty() {
            return None;
        }
        match self.stamps.finish() {
            Provenance::NotKnown => None,
            provenance => Some(Partial {
                text,
                tokens,
                provenance,
            }),
        }
    }
}
