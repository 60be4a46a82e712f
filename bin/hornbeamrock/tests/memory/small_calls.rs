//! Small calls that go on while the process is under load.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use standins::fleet::records::SCORES;
use standins::fleet::replica::{self, ReplicaSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::process::{any_port, head};

const CALL_BYTES: usize = 1_024;
const CALLS_BEFORE: usize = 100;
const CALL_PAUSE: Duration = Duration::from_millis(10);

/// Sends a small call and returns the status and the time to the answer.
async fn send_small(address: SocketAddr, id: &str) -> (u16, Duration) {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let request = head(SCORES, id, Some(CALL_BYTES)) + &"x".repeat(CALL_BYTES);
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("an answer");
    let status = answer
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3));
    let status = status.and_then(|status| status.parse().ok());
    (status.unwrap_or(0), began.elapsed())
}

/// Times that small calls took, before the flood and beside it.
pub struct SmallCalls {
    pub before: Vec<Duration>,
    pub beside: Vec<Duration>,
}

/// Sends small calls from a thread of its own, which also has their replica, so that they don't wait
/// for the test's own work on long bodies.
pub struct SmallCaller {
    pub replica: SocketAddr,
    front: mpsc::Sender<SocketAddr>,
    begun: mpsc::Receiver<()>,
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<SmallCalls>,
}

impl SmallCaller {
    pub fn start() -> Self {
        let (replica, started) = mpsc::channel();
        let (front, address) = mpsc::channel();
        let (begin, begun) = mpsc::channel();
        let is_over = Arc::<AtomicBool>::default();
        let ends = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime.expect("a runtime").block_on(async {
                let settings = ReplicaSettings {
                    id: "small-1".to_owned(),
                    events: 0,
                    pause_ms: 1,
                };
                let (handle, _seen) = replica::start(any_port(), settings).await.expect("a port");
                replica.send(handle.address).expect("the test waits");
                let address = address.recv().expect("the test goes on");
                let mut calls = SmallCalls {
                    before: Vec::new(),
                    beside: Vec::new(),
                };
                while !ends.load(Ordering::Relaxed) {
                    let number = calls.before.len() + calls.beside.len();
                    let (status, took) = send_small(address, &format!("small-{number}")).await;
                    assert_eq!(status, 200, "a small call");
                    if calls.before.len() < CALLS_BEFORE {
                        calls.before.push(took);
                    } else {
                        calls.beside.push(took);
                        // Only the first one is received.
                        let _ = begin.send(());
                    }
                    sleep(CALL_PAUSE).await;
                }
                calls
            })
        });
        Self {
            replica: started.recv().expect("the replica starts"),
            front,
            begun,
            is_over,
            thread,
        }
    }

    pub fn begin(&self, front: SocketAddr) {
        self.front.send(front).expect("the thread waits");
        self.begun.recv().expect("the calls are answered");
    }

    pub fn end(self) -> SmallCalls {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().expect("the calls are answered")
    }
}

pub fn p99(taken: &mut [Duration]) -> Duration {
    taken.sort_unstable();
    taken[(taken.len() - 1) * 99 / 100]
}
