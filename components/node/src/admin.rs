//! The admin address of a process: `GET /livez`, `GET /readyz`, `GET /status` and
//! `POST /drain`. It has its own port, so that the state of the process can be read even if the
//! request path is overloaded.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::NodeError;
use crate::http::response;

/// Connections that are served at a time; further ones wait.
const CONNECTIONS_MAX: usize = 64;
/// Longest duration of one connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for receiving the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

const PLAIN: &str = "text/plain";
const JSON: &str = "application/json";

/// Callbacks behind the pages of the admin address.
#[derive(Clone)]
pub struct AdminHooks {
    /// Whether the process is ready for new work.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Returns the state of the process as JSON text.
    pub status: Arc<dyn Fn() -> BoxFuture<'static, String> + Send + Sync>,
    /// Triggers the drain and returns at once.
    pub drain: Arc<dyn Fn() + Send + Sync>,
}

/// Binds the admin address. Returns an error if it is in use.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|reason| NodeError::Listen(address, reason))
}

/// Serves the admin address until the task is dropped.
pub async fn serve(listener: TcpListener, hooks: AdminHooks) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        // Acquisition fails only on a closed semaphore, and this one is never closed.
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let hooks = hooks.clone();
        tokio::spawn(async move {
            serve_connection(stream, hooks).await;
            drop(slot);
        });
    }
}

async fn serve_connection(stream: TcpStream, hooks: AdminHooks) {
    let service = service_fn(move |request| {
        let hooks = hooks.clone();
        async move { Ok::<_, Infallible>(respond(&request, &hooks).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // A connection that fails or times out affects only its client.
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
}

async fn respond(request: &Request<Incoming>, hooks: &AdminHooks) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/livez") => response(StatusCode::OK, PLAIN, "live\n"),
        (&Method::GET, "/readyz") if (hooks.ready)() => response(StatusCode::OK, PLAIN, "ready\n"),
        (&Method::GET, "/readyz") => {
            response(StatusCode::SERVICE_UNAVAILABLE, PLAIN, "not ready\n")
        }
        (&Method::GET, "/status") => response(StatusCode::OK, JSON, (hooks.status)().await),
        (&Method::POST, "/drain") => {
            (hooks.drain)();
            response(StatusCode::ACCEPTED, PLAIN, "draining\n")
        }
        (_, "/livez" | "/readyz" | "/status" | "/drain") => response(
            StatusCode::METHOD_NOT_ALLOWED,
            PLAIN,
            "method not allowed\n",
        ),
        _ => response(StatusCode::NOT_FOUND, PLAIN, "no such page\n"),
    }
}
