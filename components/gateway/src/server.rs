//! The public address: accepts connections and serves requests until the process leaves.
//!
//! A connection that is idle when the process stops is closed; one with a request in
//! progress gets its whole answer first. New connections are still taken for as long,
//! and their requests refused: one that a caller opened just before would otherwise be
//! reset in the kernel's queue, and the caller could not tell whether its request ran.
//!
//! A caller who does not read its answer loses its connection. What was cut ends in a
//! reset, or in an answer without its end: a caller never takes a part for the whole.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use tower::{Service, ServiceBuilder};

use crate::body::Body;
use crate::caller_stream::{CallerStream, Reset};
use crate::delivery::{Cut, STALL};

/// Connections of callers at a time; a later one waits in the kernel's queue.
const CONNECTIONS_MAX: usize = 16_384;
/// Time for the head of a request to arrive, and for an idle connection to be used again.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// Most headers of a request.
const HEADERS_MAX: usize = 64;
/// Bytes of a request's head, and of a connection's read buffer.
const HEAD_BYTES_MAX: usize = 32 * 1024;
/// Pause after an accept that failed, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time for the last part of an answer that is cut to reach a caller who does read.
const LAST_PART: Duration = Duration::from_secs(1);
/// Quiet time after which nobody is taken to come any more.
const QUIET: Duration = Duration::from_millis(50);
/// Time for the first request of a connection when the process stops.
const FIRST_REQUEST: Duration = Duration::from_millis(500);
/// Longest time of taking connections only to refuse their requests.
const REFUSE_FOR: Duration = Duration::from_secs(1);

/// Serves `listener` with `service` until `stop` turns true; returns once every
/// connection has ended.
pub async fn serve<S>(listener: TcpListener, service: S, stop: watch::Receiver<bool>)
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    let mut connections = JoinSet::new();
    let serve_one = |stream| connection(stream, service.clone(), stop.clone());
    let mut stopping = stop.clone();
    loop {
        tokio::select! {
            () = stopped(&mut stopping) => break,
            stream = accept(&listener), if connections.len() < CONNECTIONS_MAX => {
                connections.spawn(serve_one(stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    let refuse_until = Instant::now() + REFUSE_FOR;
    while Instant::now() < refuse_until {
        let Ok(stream) = timeout(QUIET, accept(&listener)).await else {
            break;
        };
        connections.spawn(serve_one(stream));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Waits until `stop` is true, or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|&stop| stop).await;
}

async fn connection<S>(stream: TcpStream, service: S, mut stop: watch::Receiver<bool>)
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    // A small answer must not wait for an acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let seen = Arc::new(Seen::default());
    let (cut, reset) = (Cut::default(), Reset::default());
    let service = ServiceBuilder::new()
        .map_request({
            let seen = Arc::clone(&seen);
            move |request| seen.note(request)
        })
        .map_response({
            let cut = cut.clone();
            move |response: Response<Body>| {
                response.body().cut_with(&cut);
                response
            }
        })
        .service(service);
    let stream = CallerStream::new(stream, STALL, reset.clone());
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    let mut served = std::pin::pin!(served);
    let stopping = async {
        stopped(&mut stop).await;
        // `hyper` closes a connection whose first request has not been read, though it
        // may be on its way. Its answer will be a refusal that closes the connection.
        if !seen.begun.load(Ordering::Relaxed) {
            tokio::time::sleep(FIRST_REQUEST).await;
        }
    };
    let ended = async {
        tokio::select! {
            ended = served.as_mut() => ended,
            () = stopping => {
                served.as_mut().graceful_shutdown();
                served.await
            }
        }
    };
    let unread = async {
        cut.wanted().await;
        tokio::time::sleep(LAST_PART).await;
    };
    tokio::select! {
        ended = ended => {
            // A connection that breaks concerns only its caller, who sees it.
            if let Err(reason) = ended {
                log::debug!(event = "connection-ended", reason:% = reason; "");
                if seen.ends_by_close.load(Ordering::Relaxed) {
                    reset.set();
                }
            }
        }
        () = unread => {
            log::debug!(event = "connection-ended", reason = "unread"; "");
            reset.set();
        }
    }
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
    fn note<B>(&self, request: Request<B>) -> Request<B> {
        self.begun.store(true, Ordering::Relaxed);
        let old = request.version() < Version::HTTP_11;
        self.ends_by_close.store(old, Ordering::Relaxed);
        request
    }
}
