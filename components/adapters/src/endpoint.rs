//! Calls to one address over HTTP/1.1 with streamed answers.
//!
//! Each exchange has one deadline for connecting, the head and the body. A connection is reused
//! only after a complete exchange. An exchange that misses its deadline closes its connection and
//! all idle ones: if a device on the path has dropped the state of one connection, it has most
//! likely dropped that of the idle ones too.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive::value;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderName, HeaderValue, Method, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::body::Body;
use crate::connection::{Connection, Message, SendOutcome};
use crate::error::{AnswerLoss, NotSentCause, PlatformError};
use crate::headers::{end_to_end_headers, is_hop_by_hop};
use crate::idle::IdlePool;

/// Limits of the exchanges with one address.
#[value]
pub struct EndpointSettings {
    /// Longest time to connect, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time without a byte once the answer has begun, in milliseconds.
    pub read_timeout_ms: u64,
    /// Largest body of an answer, in bytes.
    pub body_bytes_max: usize,
    /// Idle connections kept at most; the oldest is closed for a newer one.
    pub idle_connections_max: usize,
    /// Longest time that an idle connection is reusable, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            read_timeout_ms: 30_000,
            body_bytes_max: 64 << 20,
            idle_connections_max: 16,
            idle_timeout_ms: 5_000,
        }
    }
}

/// A request to an endpoint.
#[value]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers; hop-by-hop headers and the length are replaced by the client's own.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request may use an idle connection. The other side may close an idle connection
    /// just as the request is written, and then nobody knows whether the request ran: a call that
    /// must not run twice needs a new connection.
    pub reuse: bool,
}

impl Request {
    /// Creates a request without headers and body that may use an idle connection.
    pub fn new(method: impl Into<String>, path: impl Into<String>) -> Request {
        Request {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            reuse: true,
        }
    }
}

/// Status and headers of an answer.
#[value]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers, names in lower case.
    pub headers: Vec<(String, String)>,
}

impl AnswerHead {
    /// Returns the first value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }
}

/// An answer whose body is still to be read.
pub struct Response {
    /// Status and headers.
    pub head: AnswerHead,
    /// The body, which holds the connection until its end.
    pub body: Body,
}

/// State shared by the clones of an endpoint and the bodies of its answers.
pub(crate) struct Shared {
    address: SocketAddr,
    pub(crate) settings: EndpointSettings,
    pub(crate) idle: IdlePool,
}

/// HTTP client of one address; clones share its connections.
#[derive(Clone)]
pub struct Endpoint {
    shared: Arc<Shared>,
}

impl Endpoint {
    /// Creates a client of `address` without connecting.
    pub fn new(address: SocketAddr, settings: EndpointSettings) -> Endpoint {
        let idle = IdlePool::new(settings.idle_connections_max);
        let shared = Shared {
            address,
            settings,
            idle,
        };
        Endpoint {
            shared: Arc::new(shared),
        }
    }

    /// Address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends a request once and waits for the head of the answer, which may have any status.
    ///
    /// [`PlatformError::NotSent`] means that no byte was written. After any other error the request
    /// may have reached the endpoint.
    pub async fn send(
        &self,
        request: Request,
        deadline_ms: u64,
    ) -> Result<Response, PlatformError> {
        self.send_with_callback(request, deadline_ms, || {}).await
    }

    /// Like [`Endpoint::send`], and calls `before_write` once, right before the first byte may be
    /// written, so that the caller can record from when on the request may have run.
    pub async fn send_with_callback(
        &self,
        request: Request,
        deadline_ms: u64,
        before_write: impl FnOnce(),
    ) -> Result<Response, PlatformError> {
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        if deadline_ms == 0 {
            return Err(PlatformError::NotSent(NotSentCause::DeadlinePassed));
        }
        let reuse = request.reuse;
        let message = self.build_message(request)?;
        let exchange = self.exchange(message, reuse, deadline, before_write);
        let (connection, answer) = exchange.await?;
        self.response(connection, answer, deadline)
    }

    async fn exchange(
        &self,
        message: Message,
        reuse: bool,
        deadline: Instant,
        before_write: impl FnOnce(),
    ) -> Result<(Connection, http::Response<Incoming>), PlatformError> {
        let mut message = message;
        let mut before_write = Some(before_write);
        while let Some(mut connection) = self.idle_connection(reuse).await {
            notify_before_write(&mut before_write, deadline)?;
            match connection.send(message, deadline).await {
                SendOutcome::Answer(answer) => return Ok((connection, answer)),
                // The connection had closed while idle and no byte was written, so that sending
                // over another connection doesn't repeat the request.
                SendOutcome::Unsent(unsent) => message = unsent,
                SendOutcome::Failed(error) => return Err(self.handle_failure(error)),
            }
        }
        let connect_timeout = Duration::from_millis(self.shared.settings.connect_timeout_ms);
        let mut connection =
            Connection::open(self.shared.address, connect_timeout, deadline).await?;
        notify_before_write(&mut before_write, deadline)?;
        match connection.send(message, deadline).await {
            SendOutcome::Answer(answer) => Ok((connection, answer)),
            SendOutcome::Unsent(_) => Err(PlatformError::NotSent(NotSentCause::Unreachable)),
            SendOutcome::Failed(error) => Err(self.handle_failure(error)),
        }
    }

    async fn idle_connection(&self, reuse: bool) -> Option<Connection> {
        if !reuse {
            return None;
        }
        let idle_timeout = Duration::from_millis(self.shared.settings.idle_timeout_ms);
        while let Some(mut connection) = self.shared.idle.take() {
            if connection.is_usable(idle_timeout).await {
                return Some(connection);
            }
        }
        None
    }

    fn handle_failure(&self, error: PlatformError) -> PlatformError {
        if error == PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed) {
            self.shared.idle.clear();
        }
        error
    }

    fn build_message(&self, request: Request) -> Result<Message, PlatformError> {
        build_http_request(request, self.shared.address)
            .ok_or(PlatformError::NotSent(NotSentCause::BadRequest))
    }

    fn response(
        &self,
        connection: Connection,
        answer: http::Response<Incoming>,
        deadline: Instant,
    ) -> Result<Response, PlatformError> {
        let (head, incoming) = answer.into_parts();
        let body = Body::new(
            &head.headers,
            incoming,
            connection,
            self.shared.clone(),
            deadline,
        );
        let head = AnswerHead {
            status: head.status.as_u16(),
            headers: end_to_end_headers(&head.headers)?,
        };
        Ok(Response { head, body })
    }
}

/// Calls `before_write` unless the deadline has passed. A process that was suspended while it
/// connected may resume after the deadline, when nobody waits for the answer any more.
fn notify_before_write(
    before_write: &mut Option<impl FnOnce()>,
    deadline: Instant,
) -> Result<(), PlatformError> {
    if Instant::now() >= deadline {
        return Err(PlatformError::NotSent(NotSentCause::DeadlinePassed));
    }
    if let Some(before_write) = before_write.take() {
        before_write();
    }
    Ok(())
}

fn build_http_request(request: Request, address: SocketAddr) -> Option<Message> {
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    if !request.path.starts_with('/') {
        return None;
    }
    let uri = Uri::try_from(request.path).ok()?;
    let mut message = http::Request::new(Full::new(request.body));
    *message.method_mut() = method;
    *message.uri_mut() = uri;
    let headers = message.headers_mut();
    headers.insert(HOST, HeaderValue::try_from(address.to_string()).ok()?);
    for (name, value) in &request.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        if is_hop_by_hop(name.as_str()) || name == CONTENT_LENGTH {
            continue;
        }
        headers.append(name, HeaderValue::from_bytes(value.as_bytes()).ok()?);
    }
    Some(message)
}
