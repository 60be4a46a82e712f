//! Serves one connection of the public address.
//!
//! A connection that does not send its first request within a few seconds is closed. A connection
//! whose caller does not read its answer is closed too. An interrupted answer ends in a TCP reset
//! or without the end of the body, so that a caller cannot mistake it for a complete one.

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

/// Timeout for the first request head of a connection.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the next request head of a kept-alive connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of headers of a request.
const HEADERS_MAX: usize = 64;
/// Maximum size of a request head and of a connection's read buffer.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Time for a caller that reads slowly to receive the last part of an interrupted answer.
const FINAL_PART_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for an orderly shutdown of an idle connection that is closed for a new one.
const GRACEFUL_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for the first request of a new connection to arrive after the server was stopped.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Service for the requests of the public address. Every connection uses a clone.
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

/// Waits until `stop` is true or its sender is dropped.
pub(crate) async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&stop| stop).await;
}

/// Serves a connection until the caller closes it, the server stops, or `state` requests that it
/// be closed for another connection.
pub(crate) async fn serve<S>(
    stream: TcpStream,
    state: Arc<Connection>,
    service: S,
    mut stop: watch::Receiver<bool>,
) where
    S: PublicService,
{
    // Small answers must not be delayed until the previous answer is acknowledged.
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
            // Received data is handled first: a connection whose request has arrived stays open.
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
                // The connection has received only part of a request head, so no request is lost.
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

/// Waits until the server stops and the first request of the connection has had time to arrive.
async fn wait_for_shutdown(stop: &mut watch::Receiver<bool>, history: &RequestHistory) {
    wait_for_stop(stop).await;
    // `hyper` closes a connection whose first request was not read yet, even if the request is
    // already in transit. A late request gets a refusal, which closes the connection.
    if !history.has_request() {
        sleep(FIRST_REQUEST_GRACE).await;
    }
}

/// Waits until an answer was interrupted and its caller had time to read the last part.
async fn wait_until_unread(cut: &ConnectionCut) {
    cut.requested().await;
    sleep(FINAL_PART_TIMEOUT).await;
}

/// Handles a connection error. Logged at debug level only, because the caller notices it.
fn handle_error(reason: &hyper::Error, history: &RequestHistory, socket: &SocketState) {
    log::debug!(event = "connection-ended", reason:% = reason; "");
    if history.ends_by_close() {
        socket.reset();
    }
}

/// Wraps the service of a connection; the connection counts as busy until the answer is sent.
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

/// Facts about the requests that a connection has received.
#[derive(Default)]
struct RequestHistory {
    /// At least one request was received.
    has_request: AtomicBool,
    /// The end of the latest answer is marked only by closing the connection (HTTP/1.0), so an
    /// orderly close would make an interrupted answer look complete.
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
