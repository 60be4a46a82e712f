//! The path of a request with an idempotency key.
//!
//! It runs in a task of its own. A caller that goes away before the hand-over takes its
//! claim back; after it, the call runs on and its end is recorded, so that the caller's
//! next submission gets the answer and not "unknown".
//!
//! It is admitted when it has won its key, so that neither a wait for the log nor a replay
//! takes a place at the service.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use claims::{ClaimHolder, KeyDigest, Outcome, RequestDigest, Verdict, shard_of};
use futures_util::stream;
use http::Response;
use leaving::WorkGuard;
use link::CallEvent;
use node::now_ms;
use protocol::Head;
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Failure, RunState};

use super::client::{Claimed, Submission};
use super::replay;
use super::room::Place;
use crate::answer::{ActiveRequest, response};
use crate::attempt::Attempt;
use crate::body::{AnswerInterrupted, Body, streamed};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::rejection::Rejection;
use crate::trace::Trace;

/// Added to a call's deadline for the longest time until its end is recorded.
const RECORD_MS: u32 = 10_000;
/// Parts of an answer between the task and the caller's connection.
const PARTS_MAX: usize = 8;

type Part = Result<Bytes, AnswerInterrupted>;

/// What the task tells the caller's side first.
enum First {
    Answer(Head, mpsc::Receiver<Part>),
    Other(Verdict, Place),
    Failed(Failure),
}

/// A request's key and content.
pub struct Keyed<'a> {
    /// The key.
    pub key: &'a str,
    /// What the caller sent, the same in each of its submissions.
    pub content: &'a [u8],
    /// What the endpoint gets; it may name this submission.
    pub body: Bytes,
}

/// Serves a request with a key.
pub async fn serve(
    gateway: &Arc<Gateway>,
    job: Job,
    arrived_ms: u64,
    keyed: Keyed<'_>,
) -> Result<Response<Body>, Rejection> {
    let deadline_at_ms = job.deadline_at_ms;
    let key = KeyDigest::of(&job.payer, keyed.key);
    let request = RequestDigest::of(
        &job.service.owner,
        &job.service.name,
        &job.method,
        &job.path,
        keyed.content,
    );
    let shard = shard_of(key, gateway.claims.settings.shards);
    let (first, told) = oneshot::channel();
    let running = Running {
        gateway: Arc::clone(gateway),
        trace: Trace::new(gateway.metrics.clone(), &job, arrived_ms),
        arrived_ms,
        job,
        key,
        request,
        body: keyed.body,
    };
    tokio::spawn(running.run(first));
    let lost = Failure::new(RunState::Unknown, Cause::Internal);
    match told.await.map_err(|_| lost)? {
        First::Answer(head, parts) => response(&head, body_of(parts, deadline_at_ms)),
        First::Other(verdict, _place) => {
            replay::answer(&gateway.claims, shard, &verdict, deadline_at_ms).await
        }
        First::Failed(failure) => Err(failure.into()),
    }
}

fn body_of(parts: mpsc::Receiver<Part>, deadline_at_ms: u64) -> Body {
    let parts = stream::unfold(parts, |mut parts| async {
        let part = parts.recv().await?;
        Some((part, parts))
    });
    streamed(parts, deadline_at_ms)
}

struct Running {
    gateway: Arc<Gateway>,
    /// Of the claim; once it is won, the call has its own.
    trace: Trace,
    arrived_ms: u64,
    job: Job,
    key: KeyDigest,
    request: RequestDigest,
    body: Bytes,
}

impl Running {
    async fn run(mut self, first: oneshot::Sender<First>) {
        let (_working, place) = match self.enter() {
            Ok(entered) => entered,
            Err(failure) => return self.refuse(failure, first),
        };
        let gateway = Arc::clone(&self.gateway);
        let job = self.job.clone();
        let left_ms = u32::try_from(job.left_ms(now_ms())).unwrap_or(u32::MAX);
        let submission = Submission {
            customer: &job.payer,
            service: &job.service.name,
            key: self.key,
            request: self.request,
            runs_for_ms: left_ms.saturating_add(RECORD_MS),
            deadline_at_ms: job.deadline_at_ms,
        };
        let record = match gateway.claims.claim(&gateway, &submission).await {
            Claimed::Won(holder) => {
                drop(place);
                self.won(holder, first).await
            }
            Claimed::Other(verdict) => {
                self.note_other(&verdict);
                // The caller may have gone.
                let _ = first.send(First::Other(verdict, place));
                return;
            }
            Claimed::GivenUp(failure, release) => {
                self.refuse(failure, first);
                release
            }
        };
        gateway.claims.record(&gateway, &submission, record).await;
    }

    /// What a submission holds until its end is recorded, and while it has no verdict.
    fn enter(&self) -> Result<(WorkGuard, Place), Failure> {
        let working = self.gateway.drain.admit(now_ms())?;
        let place = self.gateway.claims.room.enter(&self.job.payer)?;
        Ok((working, place))
    }

    fn refuse(mut self, failure: Failure, first: oneshot::Sender<First>) {
        self.trace.record_failure(failure);
        // The caller may have gone.
        let _ = first.send(First::Failed(failure));
    }

    fn note_other(&mut self, verdict: &Verdict) {
        match verdict.failure(&self.gateway.claims.settings) {
            Some(failure) => self.trace.record_failure(failure),
            None => self.trace.record_replay(),
        }
    }

    /// Admits and makes the call; gives the record of its end.
    async fn won(
        self,
        mut holder: ClaimHolder,
        first: oneshot::Sender<First>,
    ) -> Option<claims::Record> {
        let Running {
            gateway,
            trace,
            arrived_ms,
            job,
            body,
            ..
        } = self;
        trace.transfer();
        let answering = match ActiveRequest::admit(&gateway, job, arrived_ms).await {
            Ok(answering) => answering,
            Err(failure) => {
                let _ = first.send(First::Failed(failure));
                holder.abandon();
                return holder.release();
            }
        };
        let mut calling = Calling {
            gateway,
            answering,
            body,
        };
        match start(&mut holder, &first) {
            Ok(()) => calling.call(&mut holder, first).await,
            Err(failure) => {
                calling.answering.admitted.refund_unused(0);
                calling.answering.trace.record_failure(failure);
                let _ = first.send(First::Failed(failure));
                holder.release()
            }
        }
    }
}

fn start(holder: &mut ClaimHolder, first: &oneshot::Sender<First>) -> Result<(), Failure> {
    if first.is_closed() {
        holder.abandon();
        return Err(Failure::not_run(Cause::Cancelled));
    }
    holder.start(now_ms())
}

/// A call whose key was won.
struct Calling {
    gateway: Arc<Gateway>,
    answering: ActiveRequest,
    body: Bytes,
}

impl Calling {
    /// Makes the call; gives the record of its end.
    async fn call(
        &mut self,
        holder: &mut ClaimHolder,
        first: oneshot::Sender<First>,
    ) -> Option<claims::Record> {
        let (head, attempt) = match self.answering.retried_call.send(&self.body).await {
            Ok(answered) => answered,
            Err(failure) => {
                self.answering.trace.record_failure(failure);
                let _ = first.send(First::Failed(failure));
                return failed(holder, failure);
            }
        };
        let (parts, received) = mpsc::channel(PARTS_MAX);
        let _ = first.send(First::Answer(head.clone(), received));
        match self.pass_on(attempt, parts).await {
            Ok(body) => {
                self.answering.trace.record_answer(head.status);
                self.answering.refund_unused_tokens(&body);
                let settings = &self.gateway.claims.settings;
                holder.done(Outcome::answered(
                    head.status,
                    &head.headers,
                    &body,
                    settings,
                ))
            }
            Err(failure) => {
                self.answering.trace.record_failure(failure);
                failed(holder, failure)
            }
        }
    }

    /// Gives the parts to the caller while there is one; gives the whole body up to a
    /// little more than is recorded.
    async fn pass_on(
        &mut self,
        mut attempt: Attempt,
        parts: mpsc::Sender<Part>,
    ) -> Result<Bytes, Failure> {
        let kept_max = self.gateway.claims.settings.answer_bytes_max;
        let mut kept = BytesMut::new();
        loop {
            match attempt.next().await {
                CallEvent::Accepted | CallEvent::Started | CallEvent::Head(_) => {}
                CallEvent::Chunk(bytes) => {
                    self.answering.trace.record_first_byte();
                    if kept.len() <= kept_max {
                        kept.extend_from_slice(&bytes);
                    }
                    // A caller that went away leaves the call running.
                    let _ = parts.send(Ok(bytes)).await;
                }
                CallEvent::End => return Ok(kept.freeze()),
                CallEvent::Failed(failure) => {
                    let _ = parts
                        .send(Err(AnswerInterrupted::CallFailed(failure)))
                        .await;
                    return Err(failure);
                }
            }
        }
    }
}

fn failed(holder: &mut ClaimHolder, failure: Failure) -> Option<claims::Record> {
    if failure.run == RunState::NotRun {
        holder.record_not_run();
        return holder.release();
    }
    holder.done(Outcome::Failed(failure))
}
