//! HTTP/1 connections of clients and of the platform's load balancer.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use platform::ResponseBody;
use tokio::net::{TcpListener, TcpStream};

use crate::answers::{AnswerGuard, BufferedAnswers};
use crate::client_io::ClientIo;
use crate::held::HeldBody;
use crate::state::Front;

/// Added to the idle time that clients are allowed, in milliseconds, so that a client never sends
/// a request on a connection that is being closed for idleness.
const IDLE_SLACK_MS: u64 = 2_000;
/// Idle time limit until the first configuration is read, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;
/// Size limit of a request's head until the first configuration is read.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// Smallest buffer size that hyper accepts; it panics below that.
const HEADER_BYTES_MIN: usize = 8 * 1024;
/// Pause after `accept` failed, in milliseconds. The usual cause is a lack of file descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Accepts connections and answers their requests with `answer`, until the process ends.
pub async fn accept<F, A>(front: Arc<Front>, listener: TcpListener, answer: A)
where
    A: Fn(Arc<Front>, Request<Incoming>) -> F + Copy + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
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

/// Returns when idle connections begin to be closed. A connection that is opened later is not closed
/// before its first request is refused.
async fn wait_until_closing(closing: &mut tokio::sync::watch::Receiver<bool>) {
    // Fails only if the sender is dropped, and the sender lives as long as the process.
    let _ = closing.changed().await;
}

async fn serve<F, A>(front: Arc<Front>, stream: TcpStream, answer: A)
where
    A: Fn(Arc<Front>, Request<Incoming>) -> F + Copy + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay-refused", error:% = error; "");
    }
    let limits = front.routes.load().as_ref().map(|routes| routes.limits);
    let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| limits.idle_timeout_ms) + IDLE_SLACK_MS;
    let head_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes_max);
    let mut closing = front.close_connections.subscribe();
    let buffered: Arc<BufferedAnswers> = Arc::default();
    let io = ClientIo::new(stream, Arc::clone(&buffered));
    let service = service_fn(move |request| {
        // Begins before the request is admitted or refused, see `Drain::check`.
        let in_progress = AnswerGuard::begin(front.drain.work_counter(), &buffered);
        let answer = answer(Arc::clone(&front), request);
        async move { Ok::<_, std::convert::Infallible>(HeldBody::wrap(answer.await, in_progress)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts this time from the last answer, so it also limits the idle time.
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes.max(HEADER_BYTES_MIN))
        .serve_connection(TokioIo::new(io), service);
    let mut connection = std::pin::pin!(connection);
    let closed = tokio::select! {
        closed = connection.as_mut() => closed,
        () = wait_until_closing(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = closed {
        log::debug!(event = "connection-closed", error:% = error; "");
    }
}
