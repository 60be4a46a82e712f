//! Streams that a client reads: passed on as they come.
//!
//! A stream is handed to one replica. Another one is asked only where the first provably did
//! not run it; whatever breaks later breaks the client's stream, which so can't look whole.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dispatch::ReplicaId;
use http_body_util::BodyExt;
use hyper::Response;
use platform::replica;
use platform::{BodyError, ResponseBody};
use tokio::sync::mpsc;

use crate::calls::{CallSpec, choose_in_service};
use crate::clock::now_ms;
use crate::meter::CountedRequest;
use crate::peers::Member;
use crate::state::Front;

/// Parts of a stream that wait for a slow client, at most.
const PARTS_MAX: usize = 8;

/// Why a stream did not begin.
pub struct NotStarted {
    /// Whether it is certain that no replica runs it.
    pub not_run: bool,
    /// What happened.
    pub why: String,
}

/// Passes a stream on.
pub async fn pass_on(
    front: &Arc<Front>,
    spec: &CallSpec<'_>,
) -> Result<Response<ResponseBody>, NotStarted> {
    let mut tried: Vec<ReplicaId> = Vec::new();
    let mut started = CountedRequest::new(front, spec.customer);
    let mut last = NotStarted {
        not_run: true,
        why: "no replica".to_owned(),
    };
    while (tried.len() as u32) < spec.route.attempts_max && last.not_run {
        let Some(member) = pick(front, spec, &tried) else {
            break;
        };
        tried.push(Arc::clone(&member.replica.id));
        let sent = started.start_attempt();
        match begin(&member, spec).await {
            Ok(response) => {
                sent.store(now_ms(), Ordering::Relaxed);
                return Ok(response);
            }
            Err(failed) => last = failed,
        }
    }
    Err(last)
}

fn pick(front: &Front, spec: &CallSpec<'_>, tried: &[ReplicaId]) -> Option<Member> {
    let table = front.replicas.load();
    let service = spec.route.pick_service(rand::random())?;
    let typical = front.typical(&spec.route.name);
    choose_in_service(front, &table, service, &typical, tried, false)
}

async fn begin(member: &Member, spec: &CallSpec<'_>) -> Result<Response<ResponseBody>, NotStarted> {
    let not_run = |why: String| NotStarted { not_run: true, why };
    let mut connection = member
        .peer
        .connection(&member.replica)
        .await
        .map_err(|error| not_run(error.to_string()))?;
    let call = spec.replica_call(&member.replica);
    let within = Duration::from_millis(call.timeout_ms);
    let stream = replica::open_stream(&mut connection, call, within)
        .await
        .map_err(|error| NotStarted {
            not_run: error.is_not_run(),
            why: error.to_string(),
        })?;
    let (parts, body) = mpsc::channel(PARTS_MAX);
    let mut answer = Response::new(ResponseBody::Stream(body));
    *answer.status_mut() = stream.status;
    *answer.headers_mut() = stream.headers;
    let mut from_replica = stream.body;
    let in_flight = member.peer.load.begin(0, false);
    tokio::spawn(async move {
        // The connection lives as long as the stream: dropping both cancels the run.
        let _held = (connection, in_flight);
        loop {
            let frame = tokio::select! {
                () = parts.closed() => return,
                frame = tokio::time::timeout(within, from_replica.frame()) => frame,
            };
            let part = match frame {
                Ok(None) => return,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => Ok(data),
                    Err(_) => continue,
                },
                Ok(Some(Err(reason))) => Err(BodyError::Interrupted(reason.to_string())),
                Err(_) => Err(BodyError::Interrupted("no event in time".to_owned())),
            };
            let broken = part.is_err();
            if parts.send(part).await.is_err() || broken {
                return;
            }
        }
    });
    Ok(answer)
}
