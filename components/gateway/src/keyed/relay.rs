//! Serves requests with an idempotency key.
//!
//! Each request runs in a task of its own. If the caller disconnects before the call is sent, the
//! claim is released. If the caller disconnects later, the call continues and its end is recorded,
//! so that the caller's next submission receives the answer instead of "unknown".
//!
//! A request is admitted only after it has won its key. A request that waits for the log, or whose
//! answer is replayed, therefore takes no capacity of the service.

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

use super::client::{ClaimOutcome, Submission};
use super::replay;
use super::wait_limit::ClaimWaitGuard;
use crate::answer::{ActiveRequest, response};
use crate::attempt::Attempt;
use crate::body::{AnswerInterrupted, Body, streamed};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::rejection::Rejection;
use crate::trace::Trace;

/// Added to the time left for a call, as the time allowed for recording its end.
const RECORD_MARGIN_MS: u32 = 10_000;
/// Parts of an answer that are buffered between the task and the caller's connection.
const BUFFERED_PARTS_MAX: usize = 8;

type Part = Result<Bytes, AnswerInterrupted>;

/// First message from the task to the caller's connection.
enum FirstReply {
    Answer(Head, mpsc::Receiver<Part>),
    HeldByOther(Verdict, ClaimWaitGuard),
    Failed(Failure),
}

/// A request with an idempotency key.
pub struct KeyedRequest<'a> {
    pub key: &'a str,
    /// The caller's content, which is the same in each of its submissions.
    pub content: &'a [u8],
    /// Body that is sent to the endpoint; it may contain values that differ between submissions.
    pub body: Bytes,
}

pub async fn serve(
    gateway: &Arc<Gateway>,
    job: Job,
    arrived_ms: u64,
    keyed: KeyedRequest<'_>,
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
    let (first, first_reply) = oneshot::channel();
    let task = KeyedTask {
        gateway: Arc::clone(gateway),
        trace: Trace::new(gateway.metrics.clone(), &job, arrived_ms),
        arrived_ms,
        job,
        key,
        request,
        body: keyed.body,
    };
    tokio::spawn(task.run(first));
    let lost = Failure::new(RunState::Unknown, Cause::Internal);
    match first_reply.await.map_err(|_| lost)? {
        FirstReply::Answer(head, parts) => response(&head, body_of(parts, deadline_at_ms)),
        FirstReply::HeldByOther(verdict, _wait_guard) => {
            replay::answer(&gateway.claims, shard, &verdict, deadline_at_ms).await
        }
        FirstReply::Failed(failure) => Err(failure.into()),
    }
}

fn body_of(parts: mpsc::Receiver<Part>, deadline_at_ms: u64) -> Body {
    let parts = stream::unfold(parts, |mut parts| async {
        let part = parts.recv().await?;
        Some((part, parts))
    });
    streamed(parts, deadline_at_ms)
}

struct KeyedTask {
    gateway: Arc<Gateway>,
    /// Trace until the claim is decided. After the claim is won, the call has its own trace.
    trace: Trace,
    arrived_ms: u64,
    job: Job,
    key: KeyDigest,
    request: RequestDigest,
    body: Bytes,
}

impl KeyedTask {
    async fn run(mut self, first: oneshot::Sender<FirstReply>) {
        let (_work_guard, wait_guard) = match self.begin_wait() {
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
            runs_for_ms: left_ms.saturating_add(RECORD_MARGIN_MS),
            deadline_at_ms: job.deadline_at_ms,
        };
        let record = match gateway.claims.claim(&gateway, &submission).await {
            ClaimOutcome::Won(holder) => {
                drop(wait_guard);
                self.run_call(holder, first).await
            }
            ClaimOutcome::HeldByOther(verdict) => {
                self.trace_other(&verdict);
                // The caller may have disconnected.
                let _ = first.send(FirstReply::HeldByOther(verdict, wait_guard));
                return;
            }
            ClaimOutcome::Abandoned(failure, release) => {
                self.refuse(failure, first);
                release
            }
        };
        gateway
            .claims
            .append_record(&gateway, &submission, record)
            .await;
    }

    /// Counts the submission as work in progress until its end is recorded, and as waiting until it
    /// has a verdict.
    fn begin_wait(&self) -> Result<(WorkGuard, ClaimWaitGuard), Failure> {
        let work_guard = self.gateway.drain.admit(now_ms())?;
        let wait_guard = self.gateway.claims.wait_limit.begin_wait(&self.job.payer)?;
        Ok((work_guard, wait_guard))
    }

    fn refuse(mut self, failure: Failure, first: oneshot::Sender<FirstReply>) {
        self.trace.record_failure(failure);
        // The caller may have disconnected.
        let _ = first.send(FirstReply::Failed(failure));
    }

    fn trace_other(&mut self, verdict: &Verdict) {
        match verdict.failure(&self.gateway.claims.settings) {
            Some(failure) => self.trace.record_failure(failure),
            None => self.trace.record_replay(),
        }
    }

    /// Admits and runs the call. Returns the record of its end, or the record that releases the
    /// claim.
    async fn run_call(
        self,
        mut holder: ClaimHolder,
        first: oneshot::Sender<FirstReply>,
    ) -> Option<claims::Record> {
        let KeyedTask {
            gateway,
            trace,
            arrived_ms,
            job,
            body,
            ..
        } = self;
        trace.transfer();
        let active_request = match ActiveRequest::admit(&gateway, job, arrived_ms).await {
            Ok(active_request) => active_request,
            Err(failure) => {
                let _ = first.send(FirstReply::Failed(failure));
                holder.abandon();
                return holder.release();
            }
        };
        let mut keyed_call = KeyedCall {
            gateway,
            active_request,
            body,
        };
        match start_holder(&mut holder, &first) {
            Ok(()) => keyed_call.call(&mut holder, first).await,
            Err(failure) => {
                keyed_call.active_request.admitted.refund_unused(0);
                keyed_call.active_request.trace.record_failure(failure);
                let _ = first.send(FirstReply::Failed(failure));
                holder.release()
            }
        }
    }
}

fn start_holder(
    holder: &mut ClaimHolder,
    first: &oneshot::Sender<FirstReply>,
) -> Result<(), Failure> {
    if first.is_closed() {
        holder.abandon();
        return Err(Failure::not_run(Cause::Cancelled));
    }
    holder.start(now_ms())
}

/// A call whose claim has won.
struct KeyedCall {
    gateway: Arc<Gateway>,
    active_request: ActiveRequest,
    body: Bytes,
}

impl KeyedCall {
    /// Runs the call and returns the record of its end.
    async fn call(
        &mut self,
        holder: &mut ClaimHolder,
        first: oneshot::Sender<FirstReply>,
    ) -> Option<claims::Record> {
        let (head, attempt) = match self.active_request.retried_call.send(&self.body).await {
            Ok(answered) => answered,
            Err(failure) => {
                self.active_request.trace.record_failure(failure);
                let _ = first.send(FirstReply::Failed(failure));
                return record_failure(holder, failure);
            }
        };
        let (parts, received) = mpsc::channel(BUFFERED_PARTS_MAX);
        let _ = first.send(FirstReply::Answer(head.clone(), received));
        match self.relay(attempt, parts).await {
            Ok(body) => {
                self.active_request.trace.record_answer(head.status);
                self.active_request.refund_unused_tokens(&body);
                let settings = &self.gateway.claims.settings;
                holder.done(Outcome::answered(
                    head.status,
                    &head.headers,
                    &body,
                    settings,
                ))
            }
            Err(failure) => {
                self.active_request.trace.record_failure(failure);
                record_failure(holder, failure)
            }
        }
    }

    /// Relays the answer to the caller while it is connected. Returns the body; a body that is too
    /// large to be recorded is truncated after the limit.
    async fn relay(
        &mut self,
        mut attempt: Attempt,
        parts: mpsc::Sender<Part>,
    ) -> Result<Bytes, Failure> {
        let buffered_bytes_max = self.gateway.claims.settings.answer_bytes_max;
        let mut buffered = BytesMut::new();
        loop {
            match attempt.next().await {
                CallEvent::Accepted | CallEvent::Started | CallEvent::Head(_) => {}
                CallEvent::Chunk(bytes) => {
                    self.active_request.trace.record_first_byte();
                    if buffered.len() <= buffered_bytes_max {
                        buffered.extend_from_slice(&bytes);
                    }
                    // If the caller has disconnected, the call continues.
                    let _ = parts.send(Ok(bytes)).await;
                }
                CallEvent::End => return Ok(buffered.freeze()),
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

fn record_failure(holder: &mut ClaimHolder, failure: Failure) -> Option<claims::Record> {
    if failure.run == RunState::NotRun {
        holder.record_not_run();
        return holder.release();
    }
    holder.done(Outcome::Failed(failure))
}
