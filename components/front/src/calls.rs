//! Ordinary calls: a request is sent to one replica, and to a second one as a hedged request or
//! a retry if the first is late or fails and the request is idempotent.
//!
//! An answer is read completely before any of it is forwarded. A truncated answer can therefore
//! be retried, and the client never takes it for a complete one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dispatch::{
    AttemptOutcome, CallFailure, Candidate, NextAction, Route, RouteKind, TypicalDuration,
    choose_replica, next_action,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::{HeaderMap, Method};
use platform::replica::{self, ReplicaError, ReplicaResponse};

use crate::clock::{now_ms, now_us};
use crate::meter::{CountedRequest, SentAt};
use crate::metrics;
use crate::peers::{Incarnation, Member, ReplicaTable, incarnation};
use crate::state::Front;

/// A hedged request is sent after this multiple of the route's typical latency.
const HEDGE_LATENCY_FACTOR: u64 = 3;
/// Shortest delay of a hedged request, in milliseconds. A second request that is sent earlier
/// rarely finishes first.
const HEDGE_DELAY_MS_MIN: u64 = 50;
/// Limit on this front's background calls in flight at one replica, which has six slots. Meant to
/// leave a third of the slots to interactive calls while three fronts send background calls.
const BACKGROUND_MAX: u32 = 2;
/// Interval at which a waiting background call looks for a replica with room, in milliseconds.
const BACKGROUND_POLL_MS: u64 = 10;

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
    /// replica has room.
    pub background: bool,
    /// When the call times out, in milliseconds of [`now_ms`].
    pub deadline_at_ms: u64,
}

/// How a call ended.
pub enum CallOutcome {
    /// A replica's complete answer, which may be an error status.
    Answer(Box<ReplicaResponse>),
    /// No answer; the text is the cause, for the log.
    Failed(CallFailure, String),
}

struct Attempt {
    end: AttemptOutcome,
    answer: Option<Box<ReplicaResponse>>,
    reason: String,
}

impl CallSpec<'_> {
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

    fn is_idempotent(&self) -> bool {
        matches!(self.route.kind, RouteKind::Idempotent)
    }
}

/// Performs a call, with hedging and retries, until it has an answer or its deadline passes.
pub async fn perform(front: &Front, spec: &CallSpec<'_>) -> CallOutcome {
    let began_us = now_us();
    let typical = front.typical_duration(&spec.route.name);
    let mut attempts = FuturesUnordered::new();
    let mut tried: Vec<Incarnation> = Vec::new();
    let counted = spec.customer.filter(|_| !spec.background);
    let mut counted_request = CountedRequest::new(front, counted);
    let mut may_have_run = false;
    // Whether an attempt that no replica answered with a refusal may have run.
    let mut may_run_elsewhere = false;
    let mut failure: Option<Box<ReplicaResponse>> = None;
    let outcome = loop {
        if attempts.is_empty() {
            match select_replica(front, spec, &typical, &tried).await {
                Some(member) => {
                    tried.push(incarnation(&member.replica));
                    let sent = counted_request.start_attempt();
                    attempts.push(attempt(spec, member, Arc::clone(&typical), sent));
                }
                None => {
                    let end = if may_have_run {
                        CallFailure::Unknown
                    } else {
                        CallFailure::NotRun
                    };
                    break CallOutcome::Failed(end, "no replica available".to_owned());
                }
            }
        }
        let hedge_delay = hedge_delay(spec, &typical, tried.len(), attempts.len());
        let left = Duration::from_millis(spec.left_ms());
        tokio::select! {
            Some(done) = attempts.next() => {
                let Attempt { end, answer, reason } = done;
                let is_refusal = answer.as_ref().is_some_and(|answer| answer.is_refusal());
                // The client must not receive a refusal while another attempt may run the request.
                let (end, answer) = match is_refusal && (may_run_elsewhere || !attempts.is_empty()) {
                    true => (AttemptOutcome::NotRun, None),
                    false => (end, answer),
                };
                may_run_elsewhere |= end == AttemptOutcome::Unknown && !is_refusal;
                let action = action_after_attempt(front, spec, end, may_have_run, &tried);
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
                    event = "attempt-failed", id = spec.request_id,
                    route = &*spec.route.name, sent = tried.len(), left_ms = spec.left_ms(),
                    why = reason.as_str(); ""
                );
                match action {
                    NextAction::Finish(end) if attempts.is_empty() => match failure.take() {
                        Some(answer) if !(answer.is_refusal() && may_run_elsewhere) => {
                            break CallOutcome::Answer(answer);
                        }
                        _ => break CallOutcome::Failed(end, reason),
                    },
                    _ => {}
                }
            }
            () = tokio::time::sleep(hedge_delay.unwrap_or(left)), if hedge_delay.is_some_and(|delay| delay < left) => {
                let next = choose_member(front, spec, &typical, &tried, false);
                if let Some(member) = next {
                    record_hedge(front, spec, &typical, &tried);
                    tried.push(incarnation(&member.replica));
                    let sent = counted_request.start_attempt();
                    attempts.push(attempt(spec, member, Arc::clone(&typical), sent));
                }
            }
            () = tokio::time::sleep(left) => {
                break CallOutcome::Failed(CallFailure::TimedOut, "no answer before the deadline".to_owned());
            }
        }
    };
    let took_ms = (now_us() - began_us) / 1_000;
    count_call(front, spec, &outcome, tried.len(), took_ms);
    let replica = tried.last().map_or("none", |(id, _)| &**id);
    match &outcome {
        CallOutcome::Answer(answer) => log::info!(
            event = "call-answered", id = spec.request_id, route = &*spec.route.name,
            status = answer.status.as_u16(), replica, sent = tried.len(), took_ms; ""
        ),
        CallOutcome::Failed(end, reason) => log::warn!(
            event = "call-failed", id = spec.request_id, route = &*spec.route.name,
            end:? = end, replica, sent = tried.len(), took_ms, why = reason.as_str(); ""
        ),
    }
    outcome
}

/// Updates the metrics for a call that ended.
fn count_call(
    front: &Front,
    spec: &CallSpec<'_>,
    outcome: &CallOutcome,
    sent: usize,
    took_ms: u64,
) {
    let label = metrics::call_label(spec.background);
    front.metrics.record("front_call_ms", label, took_ms);
    front
        .metrics
        .count("front_attempts_total", label, sent as u64);
    let end = match outcome {
        CallOutcome::Answer(answer) if answer.status.is_server_error() => {
            "front_calls_failed_total"
        }
        CallOutcome::Answer(_) => "front_calls_answered_total",
        CallOutcome::Failed(CallFailure::NotRun, _) => "front_calls_not_run_total",
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

/// What to do after an attempt ended with `end`.
fn action_after_attempt(
    front: &Front,
    spec: &CallSpec<'_>,
    end: AttemptOutcome,
    may_have_run: bool,
    tried: &[Incarnation],
) -> NextAction {
    let table = front.replicas.load();
    let untried = services(spec.route)
        .flat_map(|service| table.of(service))
        .any(|member| accepts_work(member) && !tried.contains(&incarnation(&member.replica)));
    next_action(
        end,
        spec.is_idempotent(),
        may_have_run,
        tried.len() as u32,
        spec.route.attempts_max,
        untried,
        spec.left_ms(),
    )
}

fn services(route: &Route) -> impl Iterator<Item = &str> {
    route.shares.iter().map(|share| &*share.service)
}

fn accepts_work(member: &Member) -> bool {
    !member.replica.draining
}

/// Selects the replica for the next attempt; `None` if no untried replica is available. A
/// background call waits until a replica has room for it.
async fn select_replica(
    front: &Front,
    spec: &CallSpec<'_>,
    typical: &TypicalDuration,
    tried: &[Incarnation],
) -> Option<Member> {
    loop {
        let member = choose_member(front, spec, typical, tried, spec.background);
        let wait_for_room = spec.background && member.is_none() && spec.left_ms() > 0;
        if !wait_for_room || choose_member(front, spec, typical, tried, false).is_none() {
            return member;
        }
        tokio::time::sleep(Duration::from_millis(BACKGROUND_POLL_MS)).await;
    }
}

fn choose_member(
    front: &Front,
    spec: &CallSpec<'_>,
    typical: &TypicalDuration,
    tried: &[Incarnation],
    with_room: bool,
) -> Option<Member> {
    let table = front.replicas.load();
    let drawn_service = spec.route.pick_service(rand::random());
    let in_service =
        |service: &str| choose_in_service(front, &table, service, typical, tried, with_room);
    drawn_service
        .and_then(|service| in_service(service))
        .or_else(|| services(spec.route).find_map(in_service))
}

/// Selects an untried replica of a service that accepts work. `with_room` restricts the choice to
/// replicas below the limit on background calls.
pub fn choose_in_service(
    front: &Front,
    table: &ReplicaTable,
    service: &str,
    typical: &TypicalDuration,
    tried: &[Incarnation],
    with_room: bool,
) -> Option<Member> {
    let members: Vec<&Member> = table
        .of(service)
        .iter()
        .filter(|member| accepts_work(member) && !tried.contains(&incarnation(&member.replica)))
        .filter(|member| !with_room || member.peer.load.background() < BACKGROUND_MAX)
        .collect();
    let now_ms = now_ms();
    let candidates: Vec<Candidate<'_>> = members
        .iter()
        .map(|member| Candidate {
            load: &member.peer.load,
            same_domain: *member.replica.domain == *front.settings.domain,
            connected: member.peer.is_connected(now_ms),
        })
        .collect();
    let chosen = choose_replica(&candidates, typical.us(), rand::random(), now_ms)?;
    Some(members[chosen].clone())
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
        log::info!(
            event = "call-hedged", id = spec.request_id, route = &*spec.route.name,
            replica = &*member.replica.id, typical_us = typical.us(); ""
        );
    }
}

/// Sends the call to one replica and updates the replica's load estimate by the outcome.
async fn attempt(
    spec: &CallSpec<'_>,
    member: Member,
    typical: Arc<TypicalDuration>,
    sent: SentAt,
) -> Attempt {
    let load = &member.peer.load;
    let _in_flight = load.begin(typical.us(), spec.background);
    let failed = |end, reason| Attempt {
        end,
        answer: None,
        reason,
    };
    let began_us = now_us();
    let mut connection = match member.peer.connection(&member.replica).await {
        Ok(connection) => connection,
        Err(error) => {
            load.record_failure(now_ms());
            return failed(AttemptOutcome::NotRun, error.to_string());
        }
    };
    let call = spec.replica_call(&member.replica);
    let left_ms = call.timeout_ms;
    let sent_ms = now_ms();
    sent.store(sent_ms, Ordering::Relaxed);
    let answered = tokio::select! {
        answered = replica::call(&mut connection, call, Duration::from_millis(left_ms)) => answered,
        () = member.peer.wait_for_restart(sent_ms) => {
            return failed(AttemptOutcome::Unknown, "the replica restarted".to_owned());
        }
    };
    match answered {
        Ok((answer, reusable)) => {
            if reusable {
                member
                    .peer
                    .return_connection(connection, answer.keep_alive_ms);
            }
            if answer.status.is_server_error() {
                let reason = format!("status {}", answer.status.as_u16());
                let answer = Some(Box::new(answer));
                return Attempt {
                    end: AttemptOutcome::Unknown,
                    answer,
                    reason,
                };
            }
            load.record_success(&typical, now_us() - began_us, now_ms());
            let answer = Some(Box::new(answer));
            Attempt {
                end: AttemptOutcome::Answered,
                answer,
                reason: String::new(),
            }
        }
        Err(error) => {
            match error {
                // The refusal was read completely, so the connection can be reused.
                ReplicaError::NotRun(_) if connection.is_usable() => {
                    member.peer.return_connection(connection, None);
                }
                ReplicaError::NotRun(_) => {}
                _ => {
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
            failed(end, error.to_string())
        }
    }
}
