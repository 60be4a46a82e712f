//! Connections of clients and of the balancer.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::ReplyBody;
use tokio::net::{TcpListener, TcpStream};

use crate::state::Front;

/// Beyond the idle time that clients may use, in milliseconds, so that none meets a close.
const IDLE_SLACK_MS: u64 = 2_000;
/// Idle time before the configuration is known, in milliseconds.
const IDLE_MS: u64 = 15_000;
/// Most bytes of a request's head before the configuration is known.
const HEADER_BYTES: usize = 16 * 1024;
/// Least that hyper takes as a buffer.
const HEADER_BYTES_MIN: usize = 8 * 1024;
/// Pause after a connection could not be taken, in milliseconds, as descriptors ran out.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Takes connections and answers their requests with `answer`.
pub async fn accept<F, A>(front: Arc<Front>, listener: TcpListener, answer: A)
where
    A: Fn(Arc<Front>, Request<Incoming>) -> F + Copy + Send + 'static,
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(Arc::clone(&front), stream, answer));
            }
            Err(error) => {
                log::warn!(event = "accept-failed", error:% = error; "");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

/// Returns when kept connections shall close.
async fn closed_by(closing: &mut tokio::sync::watch::Receiver<bool>) {
    // The sender lives as long as the process.
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn serve<F, A>(front: Arc<Front>, stream: TcpStream, answer: A)
where
    A: Fn(Arc<Front>, Request<Incoming>) -> F + Copy + Send + 'static,
    F: Future<Output = Response<ReplyBody>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay-refused", error:% = error; "");
    }
    let limits = front.routes.load().as_ref().map(|routes| routes.limits);
    let idle_ms = limits.map_or(IDLE_MS, |limits| limits.idle_ms) + IDLE_SLACK_MS;
    let head_bytes = limits.map_or(HEADER_BYTES, |limits| limits.header_bytes);
    let mut closing = front.close_connections.subscribe();
    let service = service_fn(move |request| {
        let answer = answer(Arc::clone(&front), request);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This time counts from the last answer, so it must not be below the idle time.
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes.max(HEADER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closed = tokio::select! {
        closed = connection.as_mut() => closed,
        () = closed_by(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = closed {
        log::debug!(event = "connection-closed", error:% = error; "");
    }
}
