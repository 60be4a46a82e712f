//! Relays event streams from a replica to a client, event by event.
//!
//! A request is sent to another replica only if the previous one provably did not run it. An error
//! after the stream has begun breaks the client's stream, so that the client cannot mistake a
//! truncated stream for a complete one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use platform::replica::{self, ReplicaError};
use platform::sse::EventBoundary;
use platform::{BodyError, ExchangeError, ResponseBody};
use tokio::sync::mpsc;

use crate::call_replica::choose_in_service;
use crate::calls::{CRASHED_AT_END, CallSpec, counted_attempts};
use crate::clock::now_ms;
use crate::held::HeldGuard;
use crate::meter::CountedRequest;
use crate::peers::{Incarnation, Member, incarnation};
use crate::silence::SilenceWatch;
use crate::state::Front;
use crate::suspects::{self, InFlightAttempt, StartPermission, SuspectRefusal};

/// Frames of a stream that are buffered for a slow client, at most.
const BUFFERED_FRAMES_MAX: usize = 8;

/// Error of a request that was sent to a former incarnation of a replica.
const RESTARTED: &str = "the replica restarted";

/// Error of a stream that the replica ended in the middle of an event.
const TRUNCATED: &str = "the stream ended within an event";

/// Why a stream did not begin.
pub enum NotStarted {
    /// The last attempt failed.
    Failed {
        /// Whether it is certain that no replica ran the request.
        not_run: bool,
        /// Error of the last attempt.
        reason: String,
    },
    /// No replica ran the request, because it crashes replicas or may do so.
    Suspected(SuspectRefusal),
}

/// Why an attempt opened no stream.
struct OpenFailure {
    /// Whether it is certain that the replica did not run the request.
    not_run: bool,
    /// Whether the replica refused the connection.
    connection_refused: bool,
    reason: String,
}

impl OpenFailure {
    fn not_run(reason: String) -> Self {
        Self {
            not_run: true,
            connection_refused: false,
            reason,
        }
    }

    fn may_have_run(reason: String) -> Self {
        Self {
            not_run: false,
            connection_refused: false,
            reason,
        }
    }
}

/// Sends a request to a replica and relays its stream. Tries other replicas, up to the route's
/// attempt limit, while none of them ran the request.
pub async fn relay(
    front: &Arc<Front>,
    spec: &CallSpec<'_>,
    held: Arc<HeldGuard>,
) -> Result<Response<ResponseBody>, NotStarted> {
    let digest = spec.digest().await;
    let mut tried: Vec<Incarnation> = Vec::new();
    let mut counted_request = CountedRequest::new(front, spec.customer);
    let mut last_failure = OpenFailure::not_run("no replica is available".to_owned());
    let mut sent_to = 0;
    let mut connections_refused = 0;
    while counted_attempts(spec.route, sent_to, connections_refused)
        < spec.route.attempts_max as usize
        && last_failure.not_run
    {
        let Some(member) = choose_untried(front, spec, &tried) else {
            break;
        };
        tried.push(incarnation(&member.replica));
        let in_flight =
            match front
                .suspects
                .try_start(digest, &member, spec.deadline_at_ms, spec.background)
            {
                StartPermission::Start(in_flight) => in_flight,
                StartPermission::OtherReplica => continue,
                StartPermission::AfterOtherCopy => break,
                StartPermission::Refused(refusal) => return Err(NotStarted::Suspected(refusal)),
            };
        sent_to += 1;
        let sent = counted_request.start_attempt();
        match open(front, &member, spec, &held, in_flight).await {
            Ok(response) => {
                sent.store(now_ms(), Ordering::Relaxed);
                return Ok(response);
            }
            Err(failure) => {
                connections_refused += usize::from(failure.connection_refused);
                last_failure = failure;
            }
        }
    }
    Err(NotStarted::Failed {
        not_run: last_failure.not_run,
        reason: last_failure.reason,
    })
}

fn choose_untried(front: &Front, spec: &CallSpec<'_>, tried: &[Incarnation]) -> Option<Member> {
    let table = front.replicas.load();
    let service = spec.route.pick_service(rand::random())?;
    let typical = front.typical_duration(&spec.route.name);
    choose_in_service(front, &table, service, &typical, tried, false)
}

async fn open(
    front: &Arc<Front>,
    member: &Member,
    spec: &CallSpec<'_>,
    held: &Arc<HeldGuard>,
    in_flight: InFlightAttempt,
) -> Result<Response<ResponseBody>, OpenFailure> {
    let mut connection = match member
        .peer
        .connection(&member.replica, spec.request_id)
        .await
    {
        Ok(connection) => connection,
        Err(error) => {
            in_flight.record_not_run();
            let connection_refused = matches!(error, ExchangeError::Refused(_));
            if connection_refused {
                suspects::record_refused_connection(front, member);
            }
            return Err(OpenFailure {
                connection_refused,
                ..OpenFailure::not_run(error.to_string())
            });
        }
    };
    let call = spec.replica_call(&member.replica);
    let timeout = Duration::from_millis(call.timeout_ms);
    let peer = Arc::clone(&member.peer);
    let sent_ms = now_ms();
    let mut silence = SilenceWatch::start(member);
    let opened = tokio::select! {
        opened = replica::open_stream(&mut connection, call, timeout) => opened,
        () = peer.wait_for_restart(sent_ms) => {
            in_flight.record_timeout();
            return Err(OpenFailure::may_have_run(RESTARTED.to_owned()));
        }
    };
    silence.record_outcome(&opened);
    let stream = match opened {
        Ok(stream) => stream,
        Err(error) if error.is_not_run() => {
            in_flight.record_not_run();
            return Err(OpenFailure::not_run(error.to_string()));
        }
        Err(error) => {
            match error {
                ReplicaError::OutcomeUnknown(_) => {
                    suspects::record_loss(front, member, in_flight).await;
                }
                _ => in_flight.record_timeout(),
            }
            return Err(OpenFailure::may_have_run(error.to_string()));
        }
    };
    if replica::promises_not_run(stream.status) {
        // The replica has not stated that it did not run the request.
        in_flight.record_answer(stream.status);
        let reason = format!("answered with status {}", stream.status.as_u16());
        return Err(OpenFailure::may_have_run(reason));
    }
    let (frames, body) = mpsc::channel(BUFFERED_FRAMES_MAX);
    let mut response = Response::new(ResponseBody::Stream(body));
    let status = stream.status;
    *response.status_mut() = status;
    *response.headers_mut() = stream.headers;
    held.release_all();
    response.extensions_mut().insert(Arc::clone(held));
    let held = Arc::clone(held);
    let (mut replica_body, mut boundary) = (stream.body, stream.boundary);
    let ends_with_connection = stream.ends_with_connection;
    let counted = member.peer.load.begin(0, false);
    let (front, member) = (Arc::clone(front), member.clone());
    let request_id = spec.request_id.to_owned();
    tokio::spawn(async move {
        // Dropping the connection when this task ends cancels the run at the replica.
        let _held = (connection, counted);
        // A replica that sends a part of the stream was not crashed by the request.
        let mut in_flight = Some(in_flight);
        loop {
            let frame = tokio::select! {
                () = frames.closed() => return,
                frame = tokio::time::timeout(timeout, replica_body.frame()) => frame,
                () = peer.wait_for_restart(sent_ms) => {
                    let error = BodyError::Interrupted(RESTARTED.to_owned());
                    if let Some(in_flight) = in_flight.take() {
                        in_flight.record_timeout();
                    }
                    log_broken(&request_id, &member, &error);
                    // Fails only if the client is gone.
                    let _ = frames.send(Err(error)).await;
                    return;
                }
            };
            let has_crashed = ends_with_connection
                && matches!(frame, Ok(None))
                && suspects::has_crashed(&front, &member).await;
            match &frame {
                Ok(None) if has_crashed => {
                    if let Some(in_flight) = in_flight.take() {
                        in_flight.record_crash();
                    }
                }
                Ok(None | Some(Ok(_))) => {
                    silence.record_heard();
                    if let Some(in_flight) = in_flight.take() {
                        in_flight.record_answer(status);
                    }
                }
                Ok(Some(Err(_))) => {
                    silence.record_heard();
                    if let Some(in_flight) = in_flight.take() {
                        suspects::record_loss(&front, &member, in_flight).await;
                    }
                }
                Err(_) => {
                    if let Some(in_flight) = in_flight.take() {
                        in_flight.record_timeout();
                    }
                }
            }
            let relayed = match frame {
                Ok(None) if has_crashed => Err(BodyError::Interrupted(CRASHED_AT_END.to_owned())),
                Ok(None)
                    if boundary
                        .as_ref()
                        .is_none_or(EventBoundary::is_between_events) =>
                {
                    return;
                }
                // Where a replica states no length, its crash ends the body like its last event.
                Ok(None) => Err(BodyError::Interrupted(TRUNCATED.to_owned())),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !held.try_hold(data.len() as u64) => {
                        Err(BodyError::Interrupted("too much data is held".to_owned()))
                    }
                    Ok(data) => {
                        if let Some(boundary) = &mut boundary {
                            boundary.feed(&data);
                        }
                        Ok(data)
                    }
                    Err(_) => continue,
                },
                Ok(Some(Err(reason))) => Err(BodyError::Interrupted(reason.to_string())),
                Err(_) => Err(BodyError::Interrupted(
                    "the replica sent no event before the deadline".to_owned(),
                )),
            };
            let broken = relayed.is_err();
            if let Err(error) = &relayed {
                log_broken(&request_id, &member, error);
            }
            if frames.send(relayed).await.is_err() || broken {
                return;
            }
            // The time in which the client did not read is no silence of the replica.
            silence.record_heard();
        }
    });
    Ok(response)
}

/// Logs that a stream is broken off after it began.
fn log_broken(id: &str, member: &Member, error: &BodyError) {
    log::info!(
        event = "stream-broken", id, replica = &*member.replica.id, error:% = error; ""
    );
}
