//! Ordinary calls: one request to one replica, a second one where the first is late or
//! failed and the request may run again.
//!
//! An answer is taken whole before any of it is passed on, so that a torn one can be asked
//! for again and never looks whole to the client.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dispatch::{
    AttemptEnd, CallEnd, Candidate, NextStep, ReplicaId, Route, RouteKind, Typical, after_attempt,
    choose,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::{HeaderMap, Method};
use platform::replica::{self, Answer, ReplicaError};

use crate::clock::{now_ms, now_us};
use crate::meter::{CountedRequest, SentAt};
use crate::metrics;
use crate::peers::{Member, ReplicaTable};
use crate::state::Front;

/// An idempotent call is sent to a second replica after this many times the usual time.
const HEDGE_TIMES: u64 = 3;
/// But not before, in milliseconds: below it a second call rarely overtakes the first.
const HEDGE_MS_MIN: u64 = 50;
/// Calls at one replica for which nobody waits, at most, so that a third of its six places
/// stays for those who wait even while three fronts send such calls.
const BACKGROUND_MAX: u32 = 2;
/// Pause until a place for such a call is looked for again, in milliseconds.
const BACKGROUND_PAUSE_MS: u64 = 10;

/// A call of a route.
pub struct CallSpec<'a> {
    /// The route.
    pub route: &'a Arc<Route>,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers that go on.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Id of the request.
    pub request_id: &'a str,
    /// The customer for whom it runs; none where no key was asked for.
    pub customer: Option<&'a str>,
    /// Its rank at a model replica, 0 the highest.
    pub rank: Option<u8>,
    /// Whether nobody waits for it.
    pub background: bool,
    /// When it is given up, in milliseconds of this process's clock.
    pub deadline_at_ms: u64,
}

/// How a call ended.
pub enum CallOutcome {
    /// With a replica's whole answer.
    Answer(Box<Answer>),
    /// Without.
    End(CallEnd, String),
}

struct Attempt {
    end: AttemptEnd,
    answer: Option<Box<Answer>>,
    why: String,
}

impl CallSpec<'_> {
    /// Time until it is given up, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(now_ms())
    }

    /// The call as it goes to this replica now.
    pub fn replica_call(&self, replica: &dispatch::Replica) -> replica::Call<'_> {
        replica::Call {
            method: self.method.clone(),
            path: self.path,
            host: &self.route.host,
            headers: self.headers.clone(),
            body: self.body.clone(),
            request_id: self.request_id,
            instance: Arc::clone(&replica.id),
            left_ms: self.left_ms(),
            customer: self.customer,
            rank: self.rank,
        }
    }

    fn is_idempotent(&self) -> bool {
        matches!(self.route.kind, RouteKind::Idempotent)
    }
}

/// Carries out a call until its end.
pub async fn perform(front: &Front, spec: &CallSpec<'_>) -> CallOutcome {
    let began_us = now_us();
    let typical = front.typical(&spec.route.name);
    let mut flights = FuturesUnordered::new();
    let mut tried: Vec<ReplicaId> = Vec::new();
    let counted = spec.customer.filter(|_| !spec.background);
    let mut started = CountedRequest::new(front, counted);
    let mut may_have_run = false;
    let mut failure: Option<Box<Answer>> = None;
    let outcome = loop {
        if flights.is_empty() {
            match pick(front, spec, &typical, &tried).await {
                Some(member) => {
                    tried.push(Arc::clone(&member.replica.id));
                    let sent = started.start_attempt();
                    flights.push(attempt(spec, member, Arc::clone(&typical), sent));
                }
                None => {
                    let end = if may_have_run {
                        CallEnd::Unknown
                    } else {
                        CallEnd::NotRun
                    };
                    break CallOutcome::End(end, "no replica".to_owned());
                }
            }
        }
        let hedge = hedge_after(spec, &typical, tried.len(), flights.len());
        let left = Duration::from_millis(spec.left_ms());
        tokio::select! {
            Some(done) = flights.next() => {
                let Attempt { end, answer, why } = done;
                let step = judge(front, spec, end, may_have_run, &tried);
                may_have_run |= end == AttemptEnd::Unknown;
                match (&step, answer) {
                    (NextStep::Deliver, Some(answer)) => break CallOutcome::Answer(answer),
                    // Whoever sends calls in the background counts their failures.
                    (_, Some(answer)) if spec.background => break CallOutcome::Answer(answer),
                    (_, Some(answer)) => failure = Some(answer),
                    (_, None) => {}
                }
                log::info!(
                    event = "attempt-failed", id = spec.request_id,
                    route = &*spec.route.name, sent = tried.len(), left_ms = spec.left_ms(),
                    why = why.as_str(); ""
                );
                match step {
                    NextStep::Finish(end) if flights.is_empty() => match failure.take() {
                        Some(answer) => break CallOutcome::Answer(answer),
                        None => break CallOutcome::End(end, why),
                    },
                    _ => {}
                }
            }
            () = tokio::time::sleep(hedge.unwrap_or(left)), if hedge.is_some_and(|at| at < left) => {
                let next = choose_member(front, spec, &typical, &tried, false);
                if let Some(member) = next {
                    overtake(front, spec, &typical, &tried);
                    tried.push(Arc::clone(&member.replica.id));
                    let sent = started.start_attempt();
                    flights.push(attempt(spec, member, Arc::clone(&typical), sent));
                }
            }
            () = tokio::time::sleep(left) => {
                break CallOutcome::End(CallEnd::TimedOut, "no answer in time".to_owned());
            }
        }
    };
    let took_ms = (now_us() - began_us) / 1_000;
    note(front, spec, &outcome, tried.len(), took_ms);
    let replica = tried.last().map_or("none", |id| &**id);
    match &outcome {
        CallOutcome::Answer(answer) => log::info!(
            event = "call-answered", id = spec.request_id, route = &*spec.route.name,
            status = answer.status.as_u16(), replica, sent = tried.len(), took_ms; ""
        ),
        CallOutcome::End(end, why) => log::warn!(
            event = "call-failed", id = spec.request_id, route = &*spec.route.name,
            end:? = end, replica, sent = tried.len(), took_ms, why = why.as_str(); ""
        ),
    }
    outcome
}

/// Counts a call that ended.
fn note(front: &Front, spec: &CallSpec<'_>, outcome: &CallOutcome, sent: usize, took_ms: u64) {
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
        CallOutcome::End(CallEnd::NotRun, _) => "front_calls_not_run_total",
        CallOutcome::End(CallEnd::TimedOut, _) => "front_calls_timed_out_total",
        CallOutcome::End(CallEnd::Unknown, _) => "front_calls_unknown_total",
    };
    front.metrics.count(end, label, 1);
}

/// When a second replica gets the call, if one may.
fn hedge_after(
    spec: &CallSpec<'_>,
    typical: &Typical,
    sent: usize,
    flying: usize,
) -> Option<Duration> {
    let allowed = spec.is_idempotent() && (sent as u32) < spec.route.attempts_max && flying == 1;
    let after_ms = (typical.us() * HEDGE_TIMES / 1_000).max(HEDGE_MS_MIN);
    allowed.then(|| Duration::from_millis(after_ms))
}

fn judge(
    front: &Front,
    spec: &CallSpec<'_>,
    end: AttemptEnd,
    may_have_run: bool,
    tried: &[ReplicaId],
) -> NextStep {
    let table = front.replicas.load();
    let untried = services(spec.route)
        .flat_map(|service| table.of(service))
        .any(|member| takes_work(member) && !tried.contains(&member.replica.id));
    after_attempt(
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

fn takes_work(member: &Member) -> bool {
    !member.replica.draining
}

/// The replica for the first or next attempt. A call for which nobody waits stands back
/// until a replica has room for it.
async fn pick(
    front: &Front,
    spec: &CallSpec<'_>,
    typical: &Typical,
    tried: &[ReplicaId],
) -> Option<Member> {
    loop {
        let member = choose_member(front, spec, typical, tried, spec.background);
        let room = spec.background && member.is_none() && spec.left_ms() > 0;
        if !room || choose_member(front, spec, typical, tried, false).is_none() {
            return member;
        }
        tokio::time::sleep(Duration::from_millis(BACKGROUND_PAUSE_MS)).await;
    }
}

fn choose_member(
    front: &Front,
    spec: &CallSpec<'_>,
    typical: &Typical,
    tried: &[ReplicaId],
    with_room: bool,
) -> Option<Member> {
    let table = front.replicas.load();
    let drawn = spec.route.draw(rand::random());
    let in_service =
        |service: &str| choose_replica(front, &table, service, typical, tried, with_room);
    drawn
        .and_then(|service| in_service(service))
        .or_else(|| services(spec.route).find_map(in_service))
}

/// A replica of a service that takes work and was not tried; `with_room` for work that
/// nobody waits for.
pub fn choose_replica(
    front: &Front,
    table: &ReplicaTable,
    service: &str,
    typical: &Typical,
    tried: &[ReplicaId],
    with_room: bool,
) -> Option<Member> {
    let members: Vec<&Member> = table
        .of(service)
        .iter()
        .filter(|member| takes_work(member) && !tried.contains(&member.replica.id))
        .filter(|member| !with_room || member.peer.load.background() < BACKGROUND_MAX)
        .collect();
    let now_ms = now_ms();
    let candidates: Vec<Candidate<'_>> = members
        .iter()
        .map(|member| Candidate {
            load: &member.peer.load,
            near: *member.replica.domain == *front.settings.domain,
            connected: member.peer.is_connected(now_ms),
        })
        .collect();
    let at = choose(&candidates, typical.us(), rand::random(), now_ms)?;
    Some(members[at].clone())
}

/// Tells the replica's load that its answer was not waited for alone.
fn overtake(front: &Front, spec: &CallSpec<'_>, typical: &Typical, tried: &[ReplicaId]) {
    let table = front.replicas.load();
    let slow = services(spec.route)
        .flat_map(|service| table.of(service))
        .find(|member| tried.contains(&member.replica.id));
    if let Some(member) = slow {
        member
            .peer
            .load
            .overtaken(typical, typical.us() * HEDGE_TIMES, now_ms());
        log::info!(
            event = "call-hedged", id = spec.request_id, route = &*spec.route.name,
            replica = &*member.replica.id, typical_us = typical.us(); ""
        );
    }
}

async fn attempt(
    spec: &CallSpec<'_>,
    member: Member,
    typical: Arc<Typical>,
    sent: SentAt,
) -> Attempt {
    let load = &member.peer.load;
    let _in_flight = load.begin(typical.us(), spec.background);
    let failed = |end, why| Attempt {
        end,
        answer: None,
        why,
    };
    let began_us = now_us();
    let mut connection = match member.peer.connection(&member.replica).await {
        Ok(connection) => connection,
        Err(error) => {
            load.failed(now_ms());
            return failed(AttemptEnd::NotRun, error.to_string());
        }
    };
    let call = spec.replica_call(&member.replica);
    let left_ms = call.left_ms;
    sent.store(now_ms(), Ordering::Relaxed);
    match replica::call(&mut connection, call, Duration::from_millis(left_ms)).await {
        Ok((answer, reusable)) => {
            if reusable {
                member.peer.keep(connection, answer.keep_ms);
            }
            if answer.status.is_server_error() {
                let why = format!("status {}", answer.status.as_u16());
                let answer = Some(Box::new(answer));
                return Attempt {
                    end: AttemptEnd::Unknown,
                    answer,
                    why,
                };
            }
            load.succeeded(&typical, now_us() - began_us, now_ms());
            let answer = Some(Box::new(answer));
            Attempt {
                end: AttemptEnd::Answered,
                answer,
                why: String::new(),
            }
        }
        Err(error) => {
            match error {
                // A refusal that was read to its end leaves the connection as good as before.
                ReplicaError::NotRun(_) if connection.is_usable() => {
                    member.peer.keep(connection, None);
                }
                ReplicaError::NotRun(_) => {}
                _ => {
                    load.failed(now_ms());
                    member.peer.forget_connections();
                }
            }
            let end = match error.is_not_run() {
                true => {
                    sent.store(0, Ordering::Relaxed);
                    AttemptEnd::NotRun
                }
                false => AttemptEnd::Unknown,
            };
            failed(end, error.to_string())
        }
    }
}
