//! The public address: accepts connections and serves requests until the process leaves.
//!
//! A connection that is idle when the process stops is closed; one with a request in
//! progress gets its whole answer first. New connections are still taken for as long,
//! and their requests refused: one that a caller opened just before would otherwise be
//! reset in the kernel's queue, and the caller could not tell whether its request ran.
//!
//! There are only so many connections, and some descriptors are not for callers at all.
//! When all are taken, idle connections are closed for new ones. One whose first request
//! does not come within a few seconds is closed in any case.
//!
//! A caller who does not read its answer loses its connection. What was cut ends in a
//! reset, or in an answer without its end: a caller never takes a part for the whole.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use node::now_ms;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::{Instant, sleep, timeout};
use tower::{Service, ServiceExt, service_fn};

use crate::body::Body;
use crate::caller_stream::{CallerStream, Socket};
use crate::connections::{Connection, Connections};
use crate::delivery::{Cut, STALL};
use crate::descriptors::{connections_max, raise_limit};

/// Time for the first request of a connection.
const FIRST_HEAD: Duration = Duration::from_secs(5);
/// Time for the head of a later one, from the end of the one before.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// Most headers of a request.
const HEADERS_MAX: usize = 64;
/// Bytes of a request's head, and of a connection's read buffer.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Pause after an accept that failed, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for the last part of an answer that is cut to reach a caller who does read.
const LAST_PART: Duration = Duration::from_secs(1);
/// Between two looks for connections that can make room.
const ROOM_LOOK: Duration = Duration::from_millis(50);
/// Time for an idle connection that makes room to end in order.
const CLOSE_IN_ORDER: Duration = Duration::from_millis(50);
/// Quiet time after which nobody is taken to come any more.
const QUIET: Duration = Duration::from_millis(50);
/// Time for the first request of a connection when the process stops.
const FIRST_REQUEST: Duration = Duration::from_millis(500);
/// Longest time of taking connections only to refuse their requests.
const REFUSE_FOR: Duration = Duration::from_secs(1);

/// Raises the limit of descriptors and serves `listener` with `service` until `stop` turns
/// true; returns once every connection has ended.
pub async fn serve<S>(listener: TcpListener, service: S, stop: watch::Receiver<bool>)
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    let descriptors = raise_limit();
    let connections_max = connections_max(descriptors);
    log::info!(event = "connections-limit", connections_max, descriptors = descriptors.unwrap_or(0); "");
    serve_at_most(connections_max, listener, service, stop).await;
}

/// As [`serve`], with at most so many connections at a time.
pub async fn serve_at_most<S>(
    connections_max: usize,
    listener: TcpListener,
    service: S,
    stop: watch::Receiver<bool>,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    let mut tasks = JoinSet::new();
    let mut connections = Connections::new(connections_max);
    let mut stopping = stop.clone();
    let begin = |tasks: &mut JoinSet<()>, connections: &mut Connections, stream| {
        let state = Connection::new();
        let served = connection(stream, Arc::clone(&state), service.clone(), stop.clone());
        connections.opened(tasks.spawn(served).id(), state);
    };
    loop {
        connections.make_room(now_ms());
        let room = connections.has_room();
        tokio::select! {
            () = stopped(&mut stopping) => break,
            stream = accept(&listener), if room => begin(&mut tasks, &mut connections, stream),
            Some(ended) = tasks.join_next_with_id() => connections.ended(id_of(&ended)),
            () = sleep(ROOM_LOOK), if !room => {}
        }
    }
    let refuse_until = Instant::now() + REFUSE_FOR;
    while Instant::now() < refuse_until && connections.has_room() {
        let Ok(stream) = timeout(QUIET, accept(&listener)).await else {
            break;
        };
        begin(&mut tasks, &mut connections, stream);
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

fn id_of(ended: &Result<(Id, ()), JoinError>) -> Id {
    match ended {
        Ok((id, ())) => *id,
        Err(reason) => reason.id(),
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Waits until `stop` is true, or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&stop| stop).await;
}

async fn connection<S>(
    stream: TcpStream,
    state: Arc<Connection>,
    service: S,
    mut stop: watch::Receiver<bool>,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    // A small answer must not wait for an acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let seen = Arc::new(Seen::default());
    let (cut, socket) = (Cut::default(), Socket::default());
    let service = answering(service, Arc::clone(&state), Arc::clone(&seen), cut.clone());
    let stream = CallerStream::new(stream, STALL, socket.clone());
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    let mut served = pin!(served);
    let mut stopping = pin!(async {
        stopped(&mut stop).await;
        // `hyper` closes a connection whose first request has not been read, though it
        // may be on its way. Its answer will be a refusal that closes the connection.
        if !seen.has_begun() {
            sleep(FIRST_REQUEST).await;
        }
    });
    let mut unread = pin!(async {
        cut.wanted().await;
        sleep(LAST_PART).await;
    });
    let mut first_head = pin!(sleep(FIRST_HEAD));
    let (mut is_stopping, mut is_head_due) = (false, false);
    let ended = loop {
        tokio::select! {
            // First of all what has come: a request that is here keeps its connection.
            biased;
            ended = served.as_mut() => break ended,
            () = stopping.as_mut(), if !is_stopping => {
                is_stopping = true;
                served.as_mut().graceful_shutdown();
            }
            () = first_head.as_mut(), if !is_head_due => {
                is_head_due = true;
                if !seen.has_begun() {
                    return;
                }
            }
            () = state.close_wanted() => {
                if state.stays() {
                    continue;
                }
                served.as_mut().graceful_shutdown();
                if let Ok(ended) = timeout(CLOSE_IN_ORDER, served.as_mut()).await {
                    break ended;
                }
                // Part of a head has come, which may take its time; nothing runs of it.
                if !state.is_busy() && !socket.is_blocked() {
                    return;
                }
            }
            () = unread.as_mut() => {
                log::debug!(event = "connection-ended", reason = "unread"; "");
                return socket.reset();
            }
        }
    };
    // A connection that breaks concerns only its caller, who sees it.
    if let Err(reason) = ended {
        log::debug!(event = "connection-ended", reason:% = reason; "");
        if seen.ends_by_close() {
            socket.reset();
        }
    }
}

/// The service of one connection, which is busy until an answer has been handed over.
fn answering<S>(
    service: S,
    state: Arc<Connection>,
    seen: Arc<Seen>,
    cut: Cut,
) -> impl Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: Send> + Clone
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    service_fn(move |request| {
        let busy = state.begin();
        seen.note(&request);
        let answer = service.clone().oneshot(request);
        let cut = cut.clone();
        async move {
            let mut response = answer.await?;
            let body = response.body_mut();
            body.cut_with(&cut);
            body.hold(busy);
            Ok(response)
        }
    })
}

/// What a connection's requests were so far.
#[derive(Default)]
struct Seen {
    /// There was one.
    begun: AtomicBool,
    /// Its answer ends where the connection is closed; an end like any other would make
    /// a cut answer look whole.
    ends_by_close: AtomicBool,
}

impl Seen {
    fn note<B>(&self, request: &Request<B>) {
        self.begun.store(true, Ordering::Relaxed);
        let old = request.version() < Version::HTTP_11;
        self.ends_by_close.store(old, Ordering::Relaxed);
    }

    fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }

    fn ends_by_close(&self) -> bool {
        self.ends_by_close.load(Ordering::Relaxed)
    }
}
