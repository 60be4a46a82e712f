//! One HTTP/1.1 connection.
//!
//! A task of its own drives the connection and is aborted when the [`Connection`] is dropped.
//! Dropping a connection in the middle of an exchange thus closes the socket, which tells the other
//! side that the exchange was abandoned.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::error::{AnswerLoss, MalformedPart, NotSentCause, PlatformError};

/// Size of the read buffer, which limits the head of an answer.
const BUFFER_BYTES_MAX: usize = 128 * 1024;

/// How long to wait until a connection is ready for another exchange after its last one ended.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// A request in the form in which hyper sends it.
pub(crate) type Message = http::Request<Full<Bytes>>;

/// Outcome of sending a request over a connection.
pub(crate) enum SendOutcome {
    /// The head of the answer was received.
    Answer(http::Response<Incoming>),
    /// The connection had closed before any byte of the request was written.
    Unsent(Message),
    /// The exchange failed, possibly after the request was written.
    Failed(PlatformError),
}

/// Aborts the task that drives a connection when it is dropped.
struct DriverTask(JoinHandle<()>);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    reused: bool,
    idle_since: Instant,
    _driver: DriverTask,
}

impl Connection {
    /// Connects to `address`; after an error nothing was sent.
    pub(crate) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        deadline: Instant,
    ) -> Result<Connection, PlatformError> {
        let connect_deadline = deadline.min(Instant::now() + connect_timeout);
        let stream = match timeout_at(connect_deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(PlatformError::NotSent(NotSentCause::Unreachable)),
            Err(_) => return Err(PlatformError::NotSent(NotSentCause::TimedOut)),
        };
        // Without the option, requests only take longer.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| PlatformError::NotSent(NotSentCause::Unreachable))?;
        let task = tokio::spawn(async move {
            // The exchange in progress gets the same error.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            reused: false,
            idle_since: Instant::now(),
            _driver: DriverTask(task),
        })
    }

    /// Marks the connection as idle after a complete exchange.
    pub(crate) fn into_idle(mut self) -> Connection {
        self.reused = true;
        self.idle_since = Instant::now();
        self
    }

    /// Whether the connection has been idle for less than the limit and is still open.
    pub(crate) async fn is_usable(&mut self, idle_timeout: Duration) -> bool {
        if self.idle_since.elapsed() > idle_timeout {
            return false;
        }
        matches!(
            timeout(READY_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        )
    }

    /// Writes the request and waits for the head of the answer.
    ///
    /// hyper returns a request only if the connection closed before hyper began to write it. That
    /// case is [`SendOutcome::Unsent`].
    pub(crate) async fn send(&mut self, message: Message, deadline: Instant) -> SendOutcome {
        let sent = timeout_at(deadline, self.sender.try_send_request(message)).await;
        match sent {
            Ok(Ok(answer)) => SendOutcome::Answer(answer),
            Ok(Err(mut lost)) => match lost.take_message() {
                Some(message) => SendOutcome::Unsent(message),
                None => SendOutcome::Failed(self.classify(lost.error())),
            },
            Err(_) => {
                SendOutcome::Failed(PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed))
            }
        }
    }

    fn classify(&self, error: &hyper::Error) -> PlatformError {
        if error.is_parse_too_large() {
            return PlatformError::TooLarge(BUFFER_BYTES_MAX);
        }
        if error.is_parse() {
            return PlatformError::Malformed(MalformedPart::Http);
        }
        PlatformError::OutcomeUnknown(AnswerLoss::ClosedBeforeAnswer {
            reused: self.reused,
        })
    }
}
