//! One connection of the public address, from its first request to its end.
//!
//! One whose first request does not come within a few seconds is closed.
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
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tower::{Service, ServiceExt, service_fn};

use crate::body::Body;
use crate::caller_stream::{CallerStream, SocketState};
use crate::connections::Connection;
use crate::delivery::{ConnectionCut, STALL_TIMEOUT};

/// Time for the first request of a connection.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the head of a later one, from the end of the one before.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// Most headers of a request.
const HEADERS_MAX: usize = 64;
/// Bytes of a request's head, and of a connection's read buffer.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Time for the last part of an answer that is cut to reach a caller who does read.
const FINAL_PART_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for an idle connection that makes room to end in order.
const GRACEFUL_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for the first request of a connection when the process stops.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// A service that answers the requests of the public address; each connection has a clone.
pub trait PublicService:
    Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: Send>
    + Clone
    + Send
    + 'static
{
}

impl<S> PublicService for S where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: Send>
        + Clone
        + Send
        + 'static
{
}

/// Waits until `stop` is true, or its sender is gone.
pub(crate) async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&stop| stop).await;
}

/// Serves one connection until it ends: by its caller, after `stop` has turned true, or
/// when `state` is asked to make room.
pub(crate) async fn serve<S>(
    stream: TcpStream,
    state: Arc<Connection>,
    service: S,
    mut stop: watch::Receiver<bool>,
) where
    S: PublicService,
{
    // A small answer must not wait for an acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let history = Arc::new(RequestHistory::default());
    let (cut, socket) = (ConnectionCut::default(), SocketState::default());
    let service = track_requests(
        service,
        Arc::clone(&state),
        Arc::clone(&history),
        cut.clone(),
    );
    let stream = CallerStream::new(stream, STALL_TIMEOUT, socket.clone());
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    let mut served = pin!(served);
    let mut stopping = pin!(wait_for_shutdown(&mut stop, &history));
    let mut unread = pin!(wait_until_unread(&cut));
    let mut first_head = pin!(sleep(FIRST_HEAD_TIMEOUT));
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
                if !history.has_request() {
                    return;
                }
            }
            () = state.close_requested() => {
                if state.cancel_close_if_busy() {
                    continue;
                }
                served.as_mut().graceful_shutdown();
                if let Ok(ended) = timeout(GRACEFUL_CLOSE_TIMEOUT, served.as_mut()).await {
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
    if let Err(reason) = ended {
        handle_error(&reason, &history, &socket);
    }
}

/// Waits until the process stops and no first request can be on its way any longer.
async fn wait_for_shutdown(stop: &mut watch::Receiver<bool>, history: &RequestHistory) {
    wait_for_stop(stop).await;
    // `hyper` closes a connection whose first request has not been read, though it
    // may be on its way. Its answer will be a refusal that closes the connection.
    if !history.has_request() {
        sleep(FIRST_REQUEST_GRACE).await;
    }
}

/// Waits until an answer was cut and its caller has had the time to read the last part.
async fn wait_until_unread(cut: &ConnectionCut) {
    cut.requested().await;
    sleep(FINAL_PART_TIMEOUT).await;
}

/// A connection that breaks concerns only its caller, who sees it.
fn handle_error(reason: &hyper::Error, history: &RequestHistory, socket: &SocketState) {
    log::debug!(event = "connection-ended", reason:% = reason; "");
    if history.ends_by_close() {
        socket.reset();
    }
}

/// The service of one connection, which is busy until an answer has been handed over.
fn track_requests<S>(
    service: S,
    state: Arc<Connection>,
    history: Arc<RequestHistory>,
    cut: ConnectionCut,
) -> impl Service<Request<Incoming>, Response = Response<Body>, Error = Infallible, Future: Send> + Clone
where
    S: PublicService,
{
    service_fn(move |request| {
        let busy = state.begin_request();
        history.record(&request);
        let answer = service.clone().oneshot(request);
        let cut = cut.clone();
        async move {
            let mut response = answer.await?;
            let body = response.body_mut();
            body.set_cut(&cut);
            body.set_busy_guard(busy);
            Ok(response)
        }
    })
}

/// What a connection's requests were so far.
#[derive(Default)]
struct RequestHistory {
    /// There was one.
    has_request: AtomicBool,
    /// Its answer ends where the connection is closed; an end like any other would make
    /// a cut answer look whole.
    ends_by_close: AtomicBool,
}

impl RequestHistory {
    fn record<B>(&self, request: &Request<B>) {
        self.has_request.store(true, Ordering::Relaxed);
        let old = request.version() < Version::HTTP_11;
        self.ends_by_close.store(old, Ordering::Relaxed);
    }

    fn has_request(&self) -> bool {
        self.has_request.load(Ordering::Relaxed)
    }

    fn ends_by_close(&self) -> bool {
        self.ends_by_close.load(Ordering::Relaxed)
    }
}
