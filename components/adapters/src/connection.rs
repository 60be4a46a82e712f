//! One HTTP/1.1 connection.
//!
//! The connection's driver runs in a task of its own, which ends with the value: who
//! drops a [`Connection`] in the middle of an exchange closes the socket, and the other
//! side sees that the exchange was given up.

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

/// Longest head of an answer, and largest read at once.
const BUFFER_BYTES_MAX: usize = 128 * 1024;

/// How long the driver of a connection gets to notice that its last exchange ended.
const READY_WITHIN: Duration = Duration::from_millis(200);

/// A request as the connection takes it.
pub(crate) type Message = http::Request<Full<Bytes>>;

/// What became of a request given to a connection.
pub(crate) enum Sent {
    /// The answer's head is here.
    Answer(http::Response<Incoming>),
    /// The connection had closed, and no byte of the request was written.
    Unsent(Message),
    /// The exchange failed.
    Failed(PlatformError),
}

/// Aborts the driver's task with its connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    reused: bool,
    idle_since: Instant,
    _driver: Driver,
}

impl Connection {
    /// Connects; a failure means that nothing was sent.
    pub(crate) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        deadline: Instant,
    ) -> Result<Connection, PlatformError> {
        let connect_by = deadline.min(Instant::now() + connect_timeout);
        let stream = match timeout_at(connect_by, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(PlatformError::NotSent(NotSentCause::Unreachable)),
            Err(_) => return Err(PlatformError::NotSent(NotSentCause::TimedOut)),
        };
        // Only latency is lost where the option cannot be set.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| PlatformError::NotSent(NotSentCause::Unreachable))?;
        let task = tokio::spawn(async move {
            // The same error reaches whoever waits for the exchange.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            reused: false,
            idle_since: Instant::now(),
            _driver: Driver(task),
        })
    }

    /// Marks the end of an exchange.
    pub(crate) fn now_idle(mut self) -> Connection {
        self.reused = true;
        self.idle_since = Instant::now();
        self
    }

    /// Whether an idle connection still looks usable.
    pub(crate) async fn is_usable(&mut self, idle_for: Duration) -> bool {
        if self.idle_since.elapsed() > idle_for {
            return false;
        }
        matches!(timeout(READY_WITHIN, self.sender.ready()).await, Ok(Ok(())))
    }

    /// Writes the request and waits for the head of its answer.
    ///
    /// hyper hands a request back only when its connection closed before the request was
    /// taken up for writing; that is the one case that is [`Sent::Unsent`].
    pub(crate) async fn send(&mut self, message: Message, deadline: Instant) -> Sent {
        let sent = timeout_at(deadline, self.sender.try_send_request(message)).await;
        match sent {
            Ok(Ok(answer)) => Sent::Answer(answer),
            Ok(Err(mut lost)) => match lost.take_message() {
                Some(message) => Sent::Unsent(message),
                None => Sent::Failed(self.classify(lost.error())),
            },
            Err(_) => Sent::Failed(PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed)),
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
