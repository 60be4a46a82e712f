//! A connection to a peer that makes calls for this front.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use platform::store::RawCall;
use quick_error::quick_error;
use relay::{IN_FLIGHT_MAX, RelayCall, RelayFrame, RelayHello, RelayMethod, RelayOutcome};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use super::wire::{WireError, read_frame, write_frame};
use crate::state::lock;

/// Timeout for opening a connection, the hello of the peer included, in milliseconds. Fronts reach
/// each other within a few milliseconds; a silent peer leaves time to try another one.
const OPEN_MS_MAX: u64 = 200;

quick_error! {
    /// Why a peer did not answer a call.
    #[derive(Debug)]
    pub enum LinkError {
        /// The call was certainly not sent.
        NotSent(reason: String) {
            display("call not sent: {}", reason)
        }
        /// The connection ended after the call may have been sent.
        Lost {
            display("connection lost before an answer")
        }
        /// No answer arrived in time.
        Timeout {
            display("no answer in time")
        }
    }
}

quick_error! {
    /// Why no connection was opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// No process listens at the address.
        Refused {
            display("connection refused")
        }
        /// There was no hello in time, or the attempt failed in another way.
        NoAnswer(reason: String) {
            display("{}", reason)
        }
    }
}

impl LinkError {
    /// Whether the peer certainly did not receive the call.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, LinkError::NotSent(_))
    }
}

type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<RelayOutcome>>>>;

/// An open connection. Dropping it closes it; calls in flight end with an unknown outcome.
pub struct PeerLink {
    calls: mpsc::Sender<RelayCall>,
    pending: Pending,
    next_id: AtomicU64,
    task: AbortHandle,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Removes a call from the pending ones when its caller no longer waits.
struct PendingGuard<'a> {
    pending: &'a Pending,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        lock(self.pending).remove(&self.id);
    }
}

impl PeerLink {
    /// Connects to a peer and exchanges hellos.
    pub async fn open(peer: SocketAddr, hello: &RelayHello) -> Result<Self, LinkError> {
        let within = Duration::from_millis(OPEN_MS_MAX);
        let opened = connect(peer, hello, within).await;
        let (stream, _) = opened.map_err(|error| LinkError::NotSent(error.to_string()))?;
        let (calls, queue) = mpsc::channel(IN_FLIGHT_MAX as usize);
        let pending = Pending::default();
        let task = tokio::spawn(drive(peer, stream, queue, Arc::clone(&pending)));
        Ok(Self {
            calls,
            pending,
            next_id: AtomicU64::new(1),
            task: task.abort_handle(),
        })
    }

    /// Whether the connection still accepts calls.
    pub fn is_open(&self) -> bool {
        !self.calls.is_closed()
    }

    /// Sends a call and waits for its answer until `deadline`.
    pub async fn call(&self, call: &RawCall, deadline: Instant) -> Result<RelayOutcome, LinkError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (answered, answer) = oneshot::channel();
        lock(&self.pending).insert(id, answered);
        let _guard = PendingGuard {
            pending: &self.pending,
            id,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let relayed = RelayCall {
            id,
            left_ms: left.as_millis() as u32,
            method: match call.method {
                Method::GET => RelayMethod::Get,
                _ => RelayMethod::Post,
            },
            path: call.path.clone(),
            body: call.body.clone(),
        };
        self.calls
            .try_send(relayed)
            .map_err(|reason| LinkError::NotSent(reason.to_string()))?;
        match timeout_at(deadline, answer).await {
            Err(_) => Err(LinkError::Timeout),
            Ok(Err(_)) => Err(LinkError::Lost),
            Ok(Ok(outcome)) => Ok(outcome),
        }
    }
}

/// Connects to a peer and exchanges hellos; returns the hello of the peer too.
pub async fn connect(
    peer: SocketAddr,
    hello: &RelayHello,
    within: Duration,
) -> Result<(TcpStream, RelayHello), ConnectError> {
    match timeout(within, exchange_hellos(peer, hello)).await {
        Err(_) => Err(ConnectError::NoAnswer("no hello in time".to_owned())),
        Ok(outcome) => outcome,
    }
}

async fn exchange_hellos(
    peer: SocketAddr,
    hello: &RelayHello,
) -> Result<(TcpStream, RelayHello), ConnectError> {
    let mut stream = TcpStream::connect(peer)
        .await
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => ConnectError::Refused,
            _ => ConnectError::NoAnswer(error.to_string()),
        })?;
    let exchanged = async {
        // Without this option, small frames wait until the peer has acknowledged earlier ones.
        stream.set_nodelay(true)?;
        write_frame(&mut stream, &RelayFrame::Hello(hello.clone())).await?;
        match read_frame(&mut stream).await? {
            RelayFrame::Hello(hello) => Ok(hello),
            RelayFrame::Call(_) | RelayFrame::Answer(_) => {
                Err(WireError::Unexpected("the first frame is not a hello"))
            }
        }
    };
    let exchanged: Result<RelayHello, WireError> = exchanged.await;
    match exchanged {
        Ok(hello) => Ok((stream, hello)),
        Err(error) => Err(ConnectError::NoAnswer(error.to_string())),
    }
}

/// Writes calls and reads answers until the connection ends.
async fn drive(
    peer: SocketAddr,
    stream: TcpStream,
    queue: mpsc::Receiver<RelayCall>,
    pending: Pending,
) {
    let (reader, writer) = stream.into_split();
    let ended = tokio::select! {
        ended = write_calls(writer, queue) => ended,
        ended = read_answers(reader, &pending) => ended,
    };
    if let Err(error) = ended {
        log::warn!(event = "relay-lost", peer:% = peer, error:% = error; "");
    }
    // Both halves and the queue are dropped above, so no call can be added after this.
    lock(&pending).clear();
}

async fn write_calls(
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<RelayCall>,
) -> Result<(), WireError> {
    while let Some(call) = queue.recv().await {
        write_frame(&mut writer, &RelayFrame::Call(call)).await?;
    }
    Ok(())
}

async fn read_answers(mut reader: OwnedReadHalf, pending: &Pending) -> Result<(), WireError> {
    loop {
        let RelayFrame::Answer(answer) = read_frame(&mut reader).await? else {
            return Err(WireError::Unexpected("the frame is not an answer"));
        };
        if let Some(waiting) = lock(pending).remove(&answer.id) {
            // Nobody waits for the answer if the call has just timed out.
            let _ = waiting.send(answer.outcome);
        }
    }
}
