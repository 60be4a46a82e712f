//! The public address: accepts connections and serves requests until the process leaves.
//!
//! A connection that is idle when the process stops is closed; one with a request in
//! progress gets its whole answer first.

use std::convert::Infallible;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tower::Service;

use crate::body::Body;

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

/// Serves `listener` with `service` until `stop` turns true; returns once every
/// connection has ended.
pub async fn serve<S>(listener: TcpListener, service: S, mut stop: watch::Receiver<bool>)
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stopped(&mut stop) => break,
            accepted = listener.accept(), if connections.len() < CONNECTIONS_MAX => {
                match accepted {
                    Ok((stream, _)) => {
                        connections.spawn(connection(stream, service.clone(), stop.clone()));
                    }
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
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
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    let mut served = std::pin::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = stopped(&mut stop) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    // A connection that breaks concerns only its caller, who sees it.
    if let Err(reason) = ended {
        log::debug!(event = "connection-ended", reason:% = reason; "");
    }
}
