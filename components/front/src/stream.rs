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
use platform::replica;
use platform::{BodyError, ResponseBody};
use tokio::sync::mpsc;

use crate::calls::{CallSpec, choose_in_service};
use crate::clock::now_ms;
use crate::held::HeldGuard;
use crate::meter::CountedRequest;
use crate::peers::{Incarnation, Member, incarnation};
use crate::state::Front;

/// Frames of a stream that are buffered for a slow client, at most.
const BUFFERED_FRAMES_MAX: usize = 8;

/// Error of a request that was sent to a former incarnation of a replica.
const RESTARTED: &str = "the replica restarted";

/// Why a stream did not begin.
pub struct NotStarted {
    /// Whether it is certain that no replica ran the request.
    pub not_run: bool,
    /// Error of the last attempt.
    pub reason: String,
}

/// Sends a request to a replica and relays its stream. Tries other replicas, up to the route's
/// attempt limit, while none of them ran the request.
pub async fn relay(
    front: &Arc<Front>,
    spec: &CallSpec<'_>,
    held: Arc<HeldGuard>,
) -> Result<Response<ResponseBody>, NotStarted> {
    let mut tried: Vec<Incarnation> = Vec::new();
    let mut counted_request = CountedRequest::new(front, spec.customer);
    let mut last_error = NotStarted {
        not_run: true,
        reason: "no replica is available".to_owned(),
    };
    while (tried.len() as u32) < spec.route.attempts_max && last_error.not_run {
        let Some(member) = choose_untried(front, spec, &tried) else {
            break;
        };
        tried.push(incarnation(&member.replica));
        let sent = counted_request.start_attempt();
        match open(&member, spec, &held).await {
            Ok(response) => {
                sent.store(now_ms(), Ordering::Relaxed);
                return Ok(response);
            }
            Err(not_started) => last_error = not_started,
        }
    }
    Err(last_error)
}

fn choose_untried(front: &Front, spec: &CallSpec<'_>, tried: &[Incarnation]) -> Option<Member> {
    let table = front.replicas.load();
    let service = spec.route.pick_service(rand::random())?;
    let typical = front.typical_duration(&spec.route.name);
    choose_in_service(front, &table, service, &typical, tried, false)
}

async fn open(
    member: &Member,
    spec: &CallSpec<'_>,
    held: &Arc<HeldGuard>,
) -> Result<Response<ResponseBody>, NotStarted> {
    let not_run = |reason: String| NotStarted {
        not_run: true,
        reason,
    };
    let mut connection = member
        .peer
        .connection(&member.replica)
        .await
        .map_err(|error| not_run(error.to_string()))?;
    let call = spec.replica_call(&member.replica);
    let timeout = Duration::from_millis(call.timeout_ms);
    let peer = Arc::clone(&member.peer);
    let sent_ms = now_ms();
    let opened = tokio::select! {
        opened = replica::open_stream(&mut connection, call, timeout) => opened,
        () = peer.wait_for_restart(sent_ms) => {
            let reason = RESTARTED.to_owned();
            return Err(NotStarted { not_run: false, reason });
        }
    };
    let stream = opened.map_err(|error| NotStarted {
        not_run: error.is_not_run(),
        reason: error.to_string(),
    })?;
    if replica::promises_not_run(stream.status) {
        // The replica has not stated that it did not run the request.
        return Err(NotStarted {
            not_run: false,
            reason: format!("answered with status {}", stream.status.as_u16()),
        });
    }
    let (frames, body) = mpsc::channel(BUFFERED_FRAMES_MAX);
    let mut response = Response::new(ResponseBody::Stream(body));
    *response.status_mut() = stream.status;
    *response.headers_mut() = stream.headers;
    held.release_all();
    response.extensions_mut().insert(Arc::clone(held));
    let held = Arc::clone(held);
    let mut replica_body = stream.body;
    let in_flight = member.peer.load.begin(0, false);
    tokio::spawn(async move {
        // Dropping the connection when this task ends cancels the run at the replica.
        let _held = (connection, in_flight);
        loop {
            let frame = tokio::select! {
                () = frames.closed() => return,
                frame = tokio::time::timeout(timeout, replica_body.frame()) => frame,
                () = peer.wait_for_restart(sent_ms) => {
                    let error = BodyError::Interrupted(RESTARTED.to_owned());
                    // Fails only if the client is gone.
                    let _ = frames.send(Err(error)).await;
                    return;
                }
            };
            let relayed = match frame {
                Ok(None) => return,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !held.try_hold(data.len() as u64) => {
                        Err(BodyError::Interrupted("too much data is held".to_owned()))
                    }
                    Ok(data) => Ok(data),
                    Err(_) => continue,
                },
                Ok(Some(Err(reason))) => Err(BodyError::Interrupted(reason.to_string())),
                Err(_) => Err(BodyError::Interrupted(
                    "the replica sent no event before the deadline".to_owned(),
                )),
            };
            let broken = relayed.is_err();
            if frames.send(relayed).await.is_err() || broken {
                return;
            }
        }
    });
    Ok(response)
}
