//! Calls to one address over HTTP/1.1, their answers streamed back.
//!
//! Each exchange has a deadline that covers its connection, its head and its body. A
//! connection is used again only after an exchange that ended at its stated end; one
//! that missed a deadline never is, and takes the idle ones with it: whatever lost
//! track of it between the two ends has most likely lost track of them too.

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
use crate::connection::{Connection, Message, Sent};
use crate::error::{AnswerLoss, NotSentCause, PlatformError};
use crate::headers::{end_to_end_headers, is_hop_by_hop};
use crate::idle::Idle;

/// Limits of the exchanges with one address.
#[value]
pub struct EndpointSettings {
    /// Longest time to connect.
    pub connect_timeout_ms: u64,
    /// Longest time without a byte inside a begun answer.
    pub read_timeout_ms: u64,
    /// Largest body of an answer.
    pub body_bytes_max: usize,
    /// Idle connections kept at most.
    pub idle_connections_max: usize,
    /// Longest time that a connection is kept idle.
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

/// A request for an endpoint.
#[value]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers; hop-by-hop ones and the length are left out or set anew.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
    /// Whether an idle connection may carry it. The other side may close an idle
    /// connection just as the request is written, and then nobody knows whether it ran:
    /// a call that must not run twice is better off with a fresh one.
    pub reuse: bool,
}

impl Request {
    /// A request without headers and body, on an idle connection if there is one.
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
    /// First value of a header, by its name in lower case.
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
    /// The body.
    pub body: Body,
}

/// What the clones of an endpoint and the bodies of its answers share.
pub(crate) struct Shared {
    address: SocketAddr,
    pub(crate) settings: EndpointSettings,
    pub(crate) idle: Idle,
}

/// One address that calls go to; a clone shares its connections.
#[derive(Clone)]
pub struct Endpoint {
    shared: Arc<Shared>,
}

impl Endpoint {
    /// An endpoint at `address`; nothing is connected yet.
    pub fn new(address: SocketAddr, settings: EndpointSettings) -> Endpoint {
        let idle = Idle::new(settings.idle_connections_max);
        let shared = Shared {
            address,
            settings,
            idle,
        };
        Endpoint {
            shared: Arc::new(shared),
        }
    }

    /// Address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends a request once and waits for the head of its answer, of any status.
    ///
    /// [`PlatformError::NotSent`] means that no byte was written; any other error, that
    /// the request may have reached the endpoint.
    pub async fn send(
        &self,
        request: Request,
        deadline_ms: u64,
    ) -> Result<Response, PlatformError> {
        self.send_with_callback(request, deadline_ms, || {}).await
    }

    /// The same; `before_write` is called once, right before the first byte may go out,
    /// so that whoever keeps account of the call knows from when on it may have run.
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
        let message = self.message(request)?;
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
            announce(&mut before_write, deadline)?;
            match connection.send(message, deadline).await {
                Sent::Answer(answer) => return Ok((connection, answer)),
                // Closed while idle and no byte written: taking another connection
                // repeats nothing.
                Sent::Unsent(back) => message = back,
                Sent::Failed(error) => return Err(self.failed(error)),
            }
        }
        let connect_timeout = Duration::from_millis(self.shared.settings.connect_timeout_ms);
        let mut connection =
            Connection::open(self.shared.address, connect_timeout, deadline).await?;
        announce(&mut before_write, deadline)?;
        match connection.send(message, deadline).await {
            Sent::Answer(answer) => Ok((connection, answer)),
            Sent::Unsent(_) => Err(PlatformError::NotSent(NotSentCause::Unreachable)),
            Sent::Failed(error) => Err(self.failed(error)),
        }
    }

    async fn idle_connection(&self, reuse: bool) -> Option<Connection> {
        if !reuse {
            return None;
        }
        let idle_for = Duration::from_millis(self.shared.settings.idle_timeout_ms);
        while let Some(mut connection) = self.shared.idle.take() {
            if connection.is_usable(idle_for).await {
                return Some(connection);
            }
        }
        None
    }

    fn failed(&self, error: PlatformError) -> PlatformError {
        if error == PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed) {
            self.shared.idle.clear();
        }
        error
    }

    fn message(&self, request: Request) -> Result<Message, PlatformError> {
        build(request, self.shared.address).ok_or(PlatformError::NotSent(NotSentCause::BadRequest))
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

/// Says that a request is about to be written. A process that was frozen while it
/// connected wakes after the deadline, and then nobody waits for the answer any more.
fn announce(
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

fn build(request: Request, address: SocketAddr) -> Option<Message> {
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
