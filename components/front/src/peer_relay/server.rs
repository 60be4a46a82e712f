//! Makes calls to the store for other fronts.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use leaving::WorkGuard;
use platform::store::RawCall;
use relay::{
    CONTENT_BYTES_MAX, FRAME_BYTES_MAX, IN_FLIGHT_MAX, PEER_CALL_MS_MAX, PEER_WAIT_MS_MAX,
    RelayAnswer, RelayCall, RelayFrame, RelayMethod, RelayOutcome, RelayQuota,
};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::wire::{WireError, read_content, read_length, write_frame};
use super::{Identity, PeerRelay, book};
use crate::clock::now_ms;
use crate::state::{Front, lock};

/// Most connections of peers.
const CONNECTIONS_MAX: usize = 64;
/// Most bytes of calls that are held at the same time: two of the largest frames. Further frames
/// wait unread on their connections.
const HELD_BYTES_MAX: usize = 2 * FRAME_BYTES_MAX;
/// Timeout for reading or writing a frame, in milliseconds; the callers wait less for an answer.
const FRAME_MS_MAX: u64 = 2_000;
/// Size limit of a hello, which contains little besides the name of a node.
const HELLO_BYTES_MAX: usize = 1_024;
/// Pause after `accept` failed, in milliseconds. The usual cause is a lack of file descriptors.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Time without a call after which a connection is closed, in milliseconds. Connections of VMs that
/// lost their power would otherwise stay open.
const IDLE_MS_MAX: u64 = 60_000;

/// An admitted call, until its answer is written or dropped.
struct InFlight {
    server: Arc<Server>,
    answer_bytes: usize,
    /// Keeps a process that shuts down alive until the peer has its answer.
    _working: WorkGuard,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        lock(&self.server.quota).finish(self.answer_bytes);
    }
}

/// An answer, and the admitted call that it ends; `None` if the call was refused. Unwritten answers
/// count as calls in flight, which bounds the memory that they take.
type Ended = (RelayAnswer, Option<InFlight>);

/// State that all connections share.
struct Server {
    front: Arc<Front>,
    quota: Mutex<RelayQuota>,
    held_bytes: Arc<Semaphore>,
}

/// Binds the first free port of the range, and starts relaying; `None` if no port is free.
pub async fn listen(front: &Front, (first, last): (u16, u16)) -> Option<TcpListener> {
    let mut failure = None;
    for port in first..=last {
        let address = SocketAddr::new(front.settings.ip, port);
        let bound = TcpListener::bind(address).await;
        match bound.and_then(|listener| Ok((listener.local_addr()?, listener))) {
            Ok((address, listener)) => {
                log::info!(event = "relay-listening", address:% = address; "");
                let hello = book::hello(front);
                let identity = Identity { hello, address };
                // Set only here, once per process, so it cannot be set already.
                let _ = front.storage.relay.identity.set(identity);
                return Some(listener);
            }
            Err(error) => failure = Some(error),
        }
    }
    log::warn!(event = "relay-not-listening", first, last, error:? = failure; "");
    None
}

/// Accepts peers' connections. All connections close when the returned future is dropped.
pub async fn serve(front: Arc<Front>, listener: TcpListener) {
    let server = Arc::new(Server {
        front,
        quota: Mutex::new(RelayQuota::new(now_ms())),
        held_bytes: Arc::new(Semaphore::new(HELD_BYTES_MAX)),
    });
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                while connections.try_join_next().is_some() {}
                if connections.len() < CONNECTIONS_MAX {
                    connections.spawn(serve_connection(Arc::clone(&server), stream, peer));
                } else {
                    refuse(peer, "too many connections");
                }
            }
            Err(error) => {
                log::warn!(event = "accept-failed", error:% = error; "");
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

fn refuse(peer: SocketAddr, why: &str) {
    log::warn!(event = "relay-refused", peer:% = peer, why; "");
}

async fn serve_connection(server: Arc<Server>, stream: TcpStream, peer: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay-refused", error:% = error; "");
    }
    let (reader, writer) = stream.into_split();
    let (answers, queue) = mpsc::channel(IN_FLIGHT_MAX as usize);
    let ended = tokio::select! {
        ended = read_calls(&server, reader, answers) => ended,
        ended = write_answers(&server, writer, queue) => ended,
    };
    match ended {
        Ok(()) => {}
        Err(WireError::Connection(error)) => {
            log::debug!(event = "relay-closed", peer:% = peer, error:% = error; "");
        }
        Err(error @ (WireError::Frame(_) | WireError::Unexpected(_))) => {
            refuse(peer, &error.to_string())
        }
    }
}

/// Reads the hello and then calls until the connection ends.
async fn read_calls(
    server: &Arc<Server>,
    mut reader: OwnedReadHalf,
    answers: mpsc::Sender<Ended>,
) -> Result<(), WireError> {
    in_time(read_hello(&mut reader)).await?;
    loop {
        let idle = Duration::from_millis(IDLE_MS_MAX);
        let Ok(length) = timeout(idle, read_length(&mut reader)).await else {
            return Ok(());
        };
        let bytes = length?;
        // Waiting here instead of refusing keeps the frame out of memory until there is room.
        let held = Arc::clone(&server.held_bytes).acquire_many_owned(bytes as u32);
        let Ok(held) = held.await else {
            // The semaphore is never closed.
            return Ok(());
        };
        let RelayFrame::Call(call) = in_time(read_content(&mut reader, bytes)).await? else {
            return Err(WireError::Unexpected("the frame is not a call"));
        };
        let id = call.id;
        let call = raw_call(call);
        if !call.is_valid() {
            return Err(WireError::Unexpected("the path is not one of the store"));
        }
        match server.admit(bytes) {
            Err(outcome) => {
                let refused = RelayAnswer { id, outcome };
                server.answer(&answers, (refused, None)).await;
            }
            Ok(mut in_flight) => {
                let (server, answers) = (Arc::clone(server), answers.clone());
                tokio::spawn(async move {
                    let outcome = server.make_call(call).await;
                    drop(held);
                    if let RelayOutcome::Answered { body, .. } = &outcome {
                        in_flight.answer_bytes = body.len();
                    }
                    let answer = RelayAnswer { id, outcome };
                    server.answer(&answers, (answer, Some(in_flight))).await;
                });
            }
        }
    }
}

/// Reads the first frame. A hello is small, so a larger frame is not read into memory.
async fn read_hello(reader: &mut OwnedReadHalf) -> Result<(), WireError> {
    let bytes = read_length(reader).await?;
    if bytes <= HELLO_BYTES_MAX
        && let RelayFrame::Hello(_) = read_content(reader, bytes).await?
    {
        return Ok(());
    }
    Err(WireError::Unexpected("the first frame is not a hello"))
}

/// Sends the hello and then answers until the connection ends.
async fn write_answers(
    server: &Server,
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Ended>,
) -> Result<(), WireError> {
    if let Some(identity) = server.relay().identity.get() {
        let hello = RelayFrame::Hello(identity.hello.clone());
        in_time(write_frame(&mut writer, &hello)).await?;
    }
    while let Some((answer, in_flight)) = queue.recv().await {
        in_time(write_frame(&mut writer, &RelayFrame::Answer(answer))).await?;
        drop(in_flight);
    }
    Ok(())
}

impl Server {
    fn relay(&self) -> &PeerRelay {
        &self.front.storage.relay
    }

    /// Admits a call of `bytes`, or returns the outcome that refuses it.
    fn admit(self: &Arc<Self>, bytes: usize) -> Result<InFlight, RelayOutcome> {
        let working = self.front.drain.admit(now_ms());
        let not_reached = RelayOutcome::NotReached { not_done: true };
        let working = working.map_err(|_| not_reached.clone())?;
        if !self.relay().route().may_serve() {
            return Err(not_reached);
        }
        match lock(&self.quota).admit(bytes, now_ms()) {
            true => Ok(InFlight {
                server: Arc::clone(self),
                answer_bytes: 0,
                _working: working,
            }),
            false => Err(RelayOutcome::Busy),
        }
    }

    /// Makes an admitted call.
    async fn make_call(&self, call: RawCall) -> RelayOutcome {
        match self.relay().call_direct(call, CONTENT_BYTES_MAX).await {
            // Exceeding the rate limit is passed on: the call has reached the store.
            Ok(answer) if answer.is_served() || answer.is_throttled() => RelayOutcome::Answered {
                status: answer.status,
                body: answer.body,
            },
            Ok(answer) => {
                let not_done = answer.check().is_err_and(|error| error.is_not_done());
                RelayOutcome::NotReached { not_done }
            }
            Err(error) => RelayOutcome::NotReached {
                not_done: error.is_not_done(),
            },
        }
    }

    async fn answer(&self, answers: &mpsc::Sender<Ended>, ended: Ended) {
        self.relay().counts.count_served(&ended.0.outcome);
        if answers.send(ended).await.is_err() {
            log::debug!(event = "relay-answer-dropped", why = "connection closed"; "");
        }
    }
}

fn raw_call(call: RelayCall) -> RawCall {
    let within_ms = u64::from(call.left_ms).min(PEER_WAIT_MS_MAX + PEER_CALL_MS_MAX);
    RawCall {
        method: match call.method {
            RelayMethod::Get => Method::GET,
            RelayMethod::Post => Method::POST,
        },
        path: call.path,
        body: call.body,
        // The caller's time limit contains the time for which the store may wait.
        wait_ms: within_ms.saturating_sub(PEER_CALL_MS_MAX),
        within: Duration::from_millis(within_ms),
    }
}

async fn in_time<T>(work: impl Future<Output = Result<T, WireError>>) -> Result<T, WireError> {
    let timed_out = || {
        let kind = std::io::ErrorKind::TimedOut;
        std::io::Error::new(kind, "no complete frame in time")
    };
    let done = timeout(Duration::from_millis(FRAME_MS_MAX), work).await;
    done.map_err(|_| WireError::from(timed_out()))?
}
