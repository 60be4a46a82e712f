//! Ordinary calls: a request is sent to one replica, and to a second one as a hedged request or
//! a retry if the first is late or fails and the request is idempotent.
//!
//! An answer is read completely before any of it is forwarded. A truncated answer can therefore
//! be retried, and the client never takes it for a complete one.
//!
//! Statuses 408, 421, 429 and 503 promise clients that a request has not run and never will. A call
//! that may have run therefore ends with 502 or 504, also if a replica answers with one of these
//! statuses and does not state that it did not run the request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use concurrency::{Refusal, RefusalReason};
use dispatch::{
    AttemptOutcome, CallFailure, NextAction, ReplicaId, Route, RouteKind, TypicalDuration,
    next_action,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::{HeaderMap, Method, StatusCode};
use platform::ExchangeError;
use platform::replica::{self, RESPONSE_BYTES_MAX, ReplicaError, ReplicaResponse};
use quarantine::CallDigest;
use types::Class;

use crate::call_queue::{self, Slot};
use crate::call_replica::{Granted, accepts_work, acquire, select_hedge, services};
use crate::clock::{now_ms, now_us};
use crate::held::HeldGuard;
use crate::held_body;
use crate::meter::{CountedRequest, SentAt};
use crate::metrics;
use crate::peers::{Incarnation, incarnation};
use crate::silence::SilenceWatch;
use crate::state::Front;
use crate::suspects::{self, InFlightAttempt, LossCheck, StartPermission, SuspectRefusal};

/// A hedged request is sent after this multiple of the route's typical latency.
const HEDGE_LATENCY_FACTOR: u64 = 3;
/// Shortest delay of a hedged request, in milliseconds. A second request that is sent earlier
/// rarely finishes first.
const HEDGE_DELAY_MS_MIN: u64 = 50;

/// Error of an answer that ended with the connection when its replica crashed.
pub const CRASHED_AT_END: &str = "the replica crashed, so the answer may be truncated";

/// Error of a call that has no answer yet when the front exits.
pub const LEAVING: &str = "no answer before the front left";

/// A call of a route.
pub struct CallSpec<'a> {
    pub route: &'a Arc<Route>,
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers to forward to the replica.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The client's request id, which stays the same over all attempts.
    pub request_id: &'a str,
    /// `None` on a public route, which needs no key.
    pub customer: Option<&'a str>,
    /// Priority in a model replica's queue, 0 the highest; `None` for other replicas.
    pub rank: Option<u8>,
    /// Whether no client waits for the answer, as with reward calls. Such a call waits until a
    /// replica has room, and is owed: it runs again although replicas crashed under it.
    pub background: bool,
    /// Whether a background call decides the end of a step. Such a call is queued like a client's.
    pub decides_step: bool,
    /// When the call times out, in milliseconds of [`now_ms`].
    pub deadline_at_ms: u64,
}

/// A replica's complete answer.
pub struct Answer {
    pub response: ReplicaResponse,
    /// Counts the body.
    pub held: HeldGuard,
}

/// How a call ended.
pub enum CallOutcome {
    /// A replica's complete answer, which may be an error status.
    Answer(Box<Answer>),
    /// No answer; the text is the cause, for the log.
    Failed(CallFailure, String),
    /// Refused by the queue: no replica has run the call, and none will.
    Refused(Refusal),
    /// Refused because the call crashes replicas or may do so: no replica has run it, and none will.
    Suspected(SuspectRefusal),
}

struct Attempt {
    end: AttemptOutcome,
    answer: Option<Box<Answer>>,
    /// Whether a full replica refused the call without running it.
    refused: bool,
    /// Whether the replica refused the connection, so that nothing was sent to it.
    connection_refused: bool,
    reason: String,
    replica: ReplicaId,
    /// What is known of a replica that closed the connection without an answer.
    loss: Option<LossCheck>,
}

impl CallSpec<'_> {
    /// Identifies requests with the same content, which have different request ids.
    pub async fn digest(&self) -> CallDigest {
        let (host, path) = (&self.route.host, self.path);
        suspects::content_digest(self.customer, host, &self.method, path, &self.body).await
    }

    /// Time until the deadline, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(now_ms())
    }

    /// The request to send to `replica` now, with the remaining time as its deadline.
    pub fn replica_call(&self, replica: &dispatch::Replica) -> replica::Call<'_> {
        replica::Call {
            method: self.method.clone(),
            path: self.path,
            host: &self.route.host,
            headers: self.headers.clone(),
            body: self.body.clone(),
            request_id: self.request_id,
            replica_id: Arc::clone(&replica.id),
            timeout_ms: self.left_ms(),
            customer: self.customer,
            rank: self.rank,
        }
    }

    /// Class of the call in the queue.
    pub fn class(&self) -> Class {
        match self.background && !self.decides_step {
            true => Class::Background,
            false => Class::Interactive,
        }
    }

    fn is_idempotent(&self) -> bool {
        matches!(self.route.kind, RouteKind::Idempotent)
    }
}

/// Performs a call, with hedging and retries, until it has an answer or its deadline passes.
pub async fn perform(front: &Front, spec: &CallSpec<'_>) -> CallOutcome {
    let began_us = now_us();
    let digest = spec.digest().await;
    let typical = front.typical_duration(&spec.route.name);
    let mut attempts = FuturesUnordered::new();
    let mut tried: Vec<Incarnation> = Vec::new();
    let counted = spec.customer.filter(|_| !spec.background);
    let mut counted_request = CountedRequest::new(front, counted);
    let mut may_have_run = false;
    // Whether an attempt that no replica answered with a refusal may have run.
    let mut may_run_elsewhere = false;
    let mut failure: Option<Box<Answer>> = None;
    let mut waited_ms = 0;
    let mut was_refused = false;
    let mut connections_refused = 0;
    let outcome = loop {
        if attempts.is_empty() {
            let asked_us = now_us();
            let granted = tokio::select! {
                granted = acquire(front, spec, digest, &typical, &tried, was_refused) => granted,
                () = front.wait_until_ending() => break match failure.take() {
                    Some(answer) => CallOutcome::Answer(answer),
                    None => {
                        let end = failure_without_replica(may_have_run);
                        CallOutcome::Failed(end, LEAVING.to_owned())
                    }
                },
            };
            waited_ms += (now_us() - asked_us) / 1_000;
            let (refused, why) = match granted {
                Granted::Place(slot, in_flight) => {
                    tried.push(incarnation(&slot.member.replica));
                    let sent = counted_request.start_attempt();
                    let typical = Arc::clone(&typical);
                    attempts.push(attempt(front, spec, slot, typical, sent, in_flight));
                    continue;
                }
                Granted::NoReplica => {
                    let end = failure_without_replica(may_have_run);
                    break CallOutcome::Failed(end, "no replica available".to_owned());
                }
                Granted::Refused(refusal) => {
                    let why = refusal.reason.as_str();
                    (CallOutcome::Refused(refusal), why)
                }
                Granted::Suspected(refusal) => {
                    let why = refusal.reason();
                    (CallOutcome::Suspected(refusal), why)
                }
            };
            break match failure.take() {
                Some(answer) => CallOutcome::Answer(answer),
                None if may_have_run => {
                    CallOutcome::Failed(CallFailure::Unknown, format!("no retry: {why}"))
                }
                None => refused,
            };
        }
        let sent = counted_attempts(spec.route, tried.len(), connections_refused);
        let hedge_delay = hedge_delay(spec, &typical, sent, attempts.len());
        let left = Duration::from_millis(spec.left_ms());
        tokio::select! {
            Some(done) = attempts.next() => {
                let Attempt { end, answer, refused, connection_refused, reason, replica, loss } = done;
                was_refused = refused || connection_refused;
                connections_refused += usize::from(connection_refused);
                let sent = counted_attempts(spec.route, tried.len(), connections_refused);
                let is_refusal = answer.as_ref().is_some_and(|answer| answer.response.is_refusal());
                // The client must not receive a refusal while another attempt may run the request.
                let (end, answer) = match is_refusal && (may_run_elsewhere || !attempts.is_empty()) {
                    true => (AttemptOutcome::NotRun, None),
                    false => (end, answer),
                };
                may_run_elsewhere |= end == AttemptOutcome::Unknown && !is_refusal;
                let action = action_after_attempt(front, spec, end, may_have_run, &tried, sent);
                may_have_run |= end == AttemptOutcome::Unknown;
                match (&action, answer) {
                    (NextAction::Deliver, Some(answer)) => break CallOutcome::Answer(answer),
                    // The sender of a background call handles its failures itself, so the error
                    // answer is returned without a retry.
                    (_, Some(answer)) if spec.background => break CallOutcome::Answer(answer),
                    (_, Some(answer)) => failure = Some(answer),
                    (_, None) => {}
                }
                log::info!(
                    event = "attempt-failed", id = spec.request_id, call:% = digest,
                    route = &*spec.route.name, replica = &*replica,
                    crashed = loss == Some(LossCheck::Crashed),
                    address = loss.map_or("unchecked", LossCheck::as_str), sent = tried.len(),
                    left_ms = spec.left_ms(), why = reason.as_str(); ""
                );
                match action {
                    NextAction::Finish(end) if attempts.is_empty() => match failure.take() {
                        Some(answer) if !(answer.response.is_refusal() && may_run_elsewhere) => {
                            break CallOutcome::Answer(answer);
                        }
                        _ => break CallOutcome::Failed(end, reason),
                    },
                    _ => {}
                }
            }
            () = tokio::time::sleep(hedge_delay.unwrap_or(left)), if hedge_delay.is_some_and(|delay| delay < left) => {
                if let Some(slot) = select_hedge(front, spec, &typical, &tried)
                    && let StartPermission::Start(in_flight) =
                        front.suspects.try_start(
                            digest, &slot.member, spec.deadline_at_ms, spec.background,
                        )
                {
                    record_hedge(front, spec, &typical, &tried);
                    tried.push(incarnation(&slot.member.replica));
                    let sent = counted_request.start_attempt();
                    let typical = Arc::clone(&typical);
                    attempts.push(attempt(front, spec, slot, typical, sent, in_flight));
                }
            }
            () = front.wait_until_ending() => {
                break CallOutcome::Failed(CallFailure::TimedOut, LEAVING.to_owned());
            }
            () = tokio::time::sleep(left) => {
                break CallOutcome::Failed(CallFailure::TimedOut, "no answer before the deadline".to_owned());
            }
        }
    };
    let outcome = keep_promise(queued_refusal(front, spec, outcome));
    let took_ms = (now_us() - began_us) / 1_000;
    count_call(front, spec, &outcome, tried.len(), took_ms, waited_ms);
    log_outcome(spec, digest, &outcome, &tried, took_ms, waited_ms);
    outcome
}

fn failure_without_replica(may_have_run: bool) -> CallFailure {
    match may_have_run {
        true => CallFailure::Unknown,
        false => CallFailure::NotRun,
    }
}

/// Replaces the failure of a call that no replica has run by a refusal with a time to return, where
/// the calls of the route are queued.
fn queued_refusal(front: &Front, spec: &CallSpec<'_>, outcome: CallOutcome) -> CallOutcome {
    if !matches!(outcome, CallOutcome::Failed(CallFailure::NotRun, _)) {
        return outcome;
    }
    let table = front.replicas.load();
    let mut queues = services(spec.route).filter_map(|name| front.call_queues.active(&table, name));
    match queues.next() {
        Some(queue) => CallOutcome::Refused(queue.refusal(front, RefusalReason::NotTaken)),
        None => outcome,
    }
}

/// Replaces an answer whose status would promise the client that the request has not run. The
/// replica has not stated that: a refusal with that statement is no answer but a failed attempt.
fn keep_promise(outcome: CallOutcome) -> CallOutcome {
    match outcome {
        CallOutcome::Answer(answer) if answer.response.is_refusal() => {
            let why = format!("answered with status {}", answer.response.status.as_u16());
            CallOutcome::Failed(CallFailure::Unknown, why)
        }
        outcome => outcome,
    }
}

/// Logs how a call ended.
fn log_outcome(
    spec: &CallSpec<'_>,
    digest: CallDigest,
    outcome: &CallOutcome,
    tried: &[Incarnation],
    took_ms: u64,
    waited_ms: u64,
) {
    let replica = tried.last().map_or("none", |(id, _)| &**id);
    match outcome {
        CallOutcome::Answer(answer) => log::info!(
            event = "call-answered", id = spec.request_id, route = &*spec.route.name,
            status = answer.response.status.as_u16(), replica, sent = tried.len(), took_ms, waited_ms; ""
        ),
        CallOutcome::Failed(end, reason) => log::warn!(
            event = "call-failed", id = spec.request_id, call:% = digest,
            route = &*spec.route.name, end:? = end, replica, sent = tried.len(), took_ms, why = reason.as_str(); ""
        ),
        CallOutcome::Refused(refusal) => log::info!(
            event = "call-refused", id = spec.request_id, route = &*spec.route.name,
            customer = spec.customer.unwrap_or("none"), waited_ms,
            estimated_ms = refusal.estimated_ms, queue = refusal.queued,
            why = refusal.reason.as_str(); ""
        ),
        CallOutcome::Suspected(refusal) => log_quarantined(spec, digest, refusal),
    }
}

/// Logs the refusal of a call that crashes replicas or may do so.
pub fn log_quarantined(spec: &CallSpec<'_>, digest: CallDigest, refusal: &SuspectRefusal) {
    log::info!(
        event = "call-quarantined", id = spec.request_id, call:% = digest,
        route = &*spec.route.name, customer = spec.customer.unwrap_or("none"),
        retry_after_ms = refusal.retry_after_ms, why = refusal.reason(); ""
    );
}

/// Updates the metrics for a call that ended.
fn count_call(
    front: &Front,
    spec: &CallSpec<'_>,
    outcome: &CallOutcome,
    sent: usize,
    took_ms: u64,
    waited_ms: u64,
) {
    let route = ("route", &*spec.route.name);
    let wait_label = metrics::tagged_call_label(spec.background, route);
    front
        .metrics
        .record("front_call_wait_ms", wait_label, waited_ms);
    let refused_for = match outcome {
        CallOutcome::Refused(refusal) => Some(refusal.reason.as_str()),
        CallOutcome::Suspected(refusal) => Some(refusal.reason()),
        CallOutcome::Answer(_) | CallOutcome::Failed(..) => None,
    };
    if let Some(reason) = refused_for {
        let reason = ("reason", reason);
        let refused_label = metrics::tagged_call_label(spec.background, reason);
        front
            .metrics
            .count("front_calls_refused_total", refused_label, 1);
    }
    let label = metrics::call_label(spec.background);
    front.metrics.record("front_call_ms", label, took_ms);
    front
        .metrics
        .count("front_attempts_total", label, sent as u64);
    let end = match outcome {
        CallOutcome::Answer(answer) if answer.response.status.is_server_error() => {
            "front_calls_failed_total"
        }
        CallOutcome::Answer(_) => "front_calls_answered_total",
        CallOutcome::Failed(CallFailure::NotRun, _)
        | CallOutcome::Refused(_)
        | CallOutcome::Suspected(_) => "front_calls_not_run_total",
        CallOutcome::Failed(CallFailure::TimedOut, _) => "front_calls_timed_out_total",
        CallOutcome::Failed(CallFailure::Unknown, _) => "front_calls_unknown_total",
    };
    front.metrics.count(end, label, 1);
}

/// How long to wait before sending a hedged request; `None` if the call must not be hedged.
fn hedge_delay(
    spec: &CallSpec<'_>,
    typical: &TypicalDuration,
    sent: usize,
    in_flight: usize,
) -> Option<Duration> {
    let allowed = spec.is_idempotent() && (sent as u32) < spec.route.attempts_max && in_flight == 1;
    let delay_ms = (typical.us() * HEDGE_LATENCY_FACTOR / 1_000).max(HEDGE_DELAY_MS_MIN);
    allowed.then(|| Duration::from_millis(delay_ms))
}

/// Number of attempts that count against the limit of the route. A replica that refuses the
/// connection receives nothing; as many of them as the limit don't count, so that a call is not
/// refused while the records of crashed replicas are still listed.
pub fn counted_attempts(route: &Route, tried: usize, connections_refused: usize) -> usize {
    tried - connections_refused.min(route.attempts_max as usize)
}

/// What to do after an attempt ended with `end`.
fn action_after_attempt(
    front: &Front,
    spec: &CallSpec<'_>,
    end: AttemptOutcome,
    may_have_run: bool,
    tried: &[Incarnation],
    sent: usize,
) -> NextAction {
    let table = front.replicas.load();
    let untried = services(spec.route)
        .flat_map(|service| table.of(service))
        .any(|member| accepts_work(member) && !tried.contains(&incarnation(&member.replica)));
    next_action(
        end,
        spec.is_idempotent(),
        may_have_run,
        sent as u32,
        spec.route.attempts_max,
        untried,
        spec.left_ms(),
    )
}

/// Records in the slow replica's load estimate that a hedged request was sent because of it.
fn record_hedge(
    front: &Front,
    spec: &CallSpec<'_>,
    typical: &TypicalDuration,
    tried: &[Incarnation],
) {
    let table = front.replicas.load();
    let slow = services(spec.route)
        .flat_map(|service| table.of(service))
        .find(|member| tried.contains(&incarnation(&member.replica)));
    if let Some(member) = slow {
        member
            .peer
            .load
            .record_hedge(typical, typical.us() * HEDGE_LATENCY_FACTOR, now_ms());
        let waited_ms = typical.us() * HEDGE_LATENCY_FACTOR / 1_000;
        call_queue::record_late(member, now_ms().saturating_sub(waited_ms));
        log::info!(
            event = "call-hedged", id = spec.request_id, route = &*spec.route.name,
            replica = &*member.replica.id, typical_us = typical.us(); ""
        );
    }
}

/// Sends the call to one replica and updates the replica's load estimate by the outcome.
async fn attempt(
    front: &Front,
    spec: &CallSpec<'_>,
    mut slot: Slot<'_>,
    typical: Arc<TypicalDuration>,
    sent: SentAt,
    in_flight: InFlightAttempt,
) -> Attempt {
    let member = slot.member.clone();
    let load = &member.peer.load;
    let failed = |end, reason| Attempt {
        end,
        answer: None,
        refused: false,
        connection_refused: false,
        reason,
        replica: Arc::clone(&member.replica.id),
        loss: None,
    };
    let began_us = now_us();
    let mut connection = match member
        .peer
        .connection(&member.replica, spec.request_id)
        .await
    {
        Ok(connection) => connection,
        Err(error) => {
            load.record_failure(now_ms());
            slot.record_not_sent();
            in_flight.record_not_run();
            let connection_refused = matches!(error, ExchangeError::Refused(_));
            if connection_refused {
                suspects::record_refused_connection(front, &member);
            }
            return Attempt {
                connection_refused,
                ..failed(AttemptOutcome::NotRun, error.to_string())
            };
        }
    };
    let call = spec.replica_call(&member.replica);
    let left_ms = call.timeout_ms;
    let sent_ms = now_ms();
    sent.store(sent_ms, Ordering::Relaxed);
    let mut silence = SilenceWatch::start(&member);
    let within = Duration::from_millis(left_ms);
    let held = front.held.guard();
    let read_body = |body| held_body::read_answer(body, RESPONSE_BYTES_MAX, &held);
    let answered = tokio::select! {
        answered = replica::call(&mut connection, call, within, read_body) => answered,
        () = member.peer.wait_for_restart(sent_ms) => {
            in_flight.record_timeout();
            return failed(AttemptOutcome::Unknown, "the replica restarted".to_owned());
        }
    };
    silence.record_outcome(&answered);
    match answered {
        Ok((answer, _))
            if answer.ends_with_connection && suspects::has_crashed(front, &member).await =>
        {
            in_flight.record_crash();
            load.record_failure(now_ms());
            member.peer.close_idle();
            Attempt {
                loss: Some(LossCheck::Crashed),
                ..failed(AttemptOutcome::Unknown, CRASHED_AT_END.to_owned())
            }
        }
        Ok((answer, reusable)) => {
            in_flight.record_answer(answer.status);
            if reusable {
                member
                    .peer
                    .return_connection(connection, answer.keep_alive_ms);
            }
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                slot.record_refusal();
            }
            if answer.status.is_server_error() {
                let reason = format!("status {}", answer.status.as_u16());
                let answer = Some(Box::new(Answer {
                    response: answer,
                    held,
                }));
                return Attempt {
                    answer,
                    ..failed(AttemptOutcome::Unknown, reason)
                };
            }
            let body_bytes = answer.body.len() as u64;
            front.answer_lengths.record(&spec.route.name, body_bytes);
            load.record_success(&typical, now_us() - began_us, now_ms());
            slot.record_answer(spec.route, spec.background);
            let answer = Some(Box::new(Answer {
                response: answer,
                held,
            }));
            Attempt {
                answer,
                ..failed(AttemptOutcome::Answered, String::new())
            }
        }
        Err(error) => {
            match error {
                // The refusal was read completely, so the connection can be reused.
                ReplicaError::NotRun(_) => {
                    slot.record_refusal();
                    if connection.is_usable() {
                        member.peer.return_connection(connection, None);
                    }
                }
                _ => {
                    if matches!(error, ReplicaError::Timeout(_)) {
                        slot.record_late();
                    }
                    load.record_failure(now_ms());
                    member.peer.close_idle();
                }
            }
            let end = match error.is_not_run() {
                true => {
                    sent.store(0, Ordering::Relaxed);
                    AttemptOutcome::NotRun
                }
                false => AttemptOutcome::Unknown,
            };
            let loss = match error {
                ReplicaError::OutcomeUnknown(_) => {
                    Some(suspects::record_loss(front, &member, in_flight).await)
                }
                ReplicaError::Timeout(_) => {
                    in_flight.record_timeout();
                    None
                }
                ReplicaError::NotRun(_) | ReplicaError::WrongReplica => {
                    in_flight.record_not_run();
                    None
                }
            };
            Attempt {
                refused: matches!(error, ReplicaError::NotRun(_)),
                loss,
                ..failed(end, error.to_string())
            }
        }
    }
}
