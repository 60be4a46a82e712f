//! Behaviour at the maximum number of connections.
#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use gateway::body::full;
use gateway::connections::{Connection, Connections};
use gateway::{descriptors, server};
use http::{Request, Response};
use hyper::body::Incoming;
use node::now_ms;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tower::service_fn;

/// Reached only by a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Less than the 5 s after which connections without a request are closed anyway.
const BELOW_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const CONNECTIONS_MAX: usize = 8;
const REQUEST: &str = "GET / HTTP/1.1\r\nHost: entry\r\n\r\n";

/// A server with few connections. Requests for `/wait` are answered only after `gate` opens.
struct Server {
    address: SocketAddr,
    gate: watch::Sender<bool>,
    started_requests: watch::Receiver<usize>,
    stop: watch::Sender<bool>,
    served: JoinHandle<()>,
}

impl Server {
    async fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopping) = watch::channel(false);
        let (gate, gated) = watch::channel(false);
        let (count_request, started_requests) = watch::channel(0);
        let service = service_fn(move |request: Request<Incoming>| {
            let mut gated = gated.clone();
            let waits = request.uri().path() == "/wait";
            count_request.send_modify(|started_requests| *started_requests += 1);
            async move {
                if waits {
                    gated.wait_for(|open| *open).await.unwrap();
                }
                Ok::<_, Infallible>(Response::new(full("whole")))
            }
        });
        let served = tokio::spawn(server::serve_at_most(
            CONNECTIONS_MAX,
            listener,
            service,
            stopping,
        ));
        Server {
            address,
            gate,
            started_requests,
            stop,
            served,
        }
    }

    /// Opens a connection and sends `bytes`.
    async fn open(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        stream
    }

    async fn stop(self) {
        self.stop.send_replace(true);
        timeout(TEST_TIMEOUT, self.served).await.unwrap().unwrap();
    }
}

/// Returns whether a complete answer arrives.
async fn is_answered(stream: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    let until = async {
        while !answer.ends_with(b"whole") {
            if stream.read_buf(&mut answer).await.unwrap_or(0) == 0 {
                return false;
            }
        }
        true
    };
    timeout(TEST_TIMEOUT, until).await.unwrap()
}

/// Returns whether the server closes the connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let read = timeout(TEST_TIMEOUT, stream.read(&mut [0; 64]))
        .await
        .unwrap();
    matches!(read, Ok(0) | Err(_))
}

// Guards against a client without a token blocking all others: it opens every available connection
// and sends nothing or only part of a request head. The longest idle connection must be closed for
// a new caller, who would otherwise wait for a minute.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_answer_when_idle_connections_reach_the_limit() {
    struct Case {
        name: &'static str,
        sent: &'static str,
        answered: bool,
    }
    let cases = [
        Case {
            name: "nothing was sent",
            sent: "",
            answered: false,
        },
        Case {
            name: "part of a request head was sent",
            sent: "GET / HTTP/1.1\r\nHost: ent",
            answered: false,
        },
        Case {
            name: "an earlier request was answered",
            sent: REQUEST,
            answered: true,
        },
    ];
    for case in cases {
        let server = Server::start().await;
        let mut idle = Vec::new();
        for _ in 0..CONNECTIONS_MAX {
            let mut stream = server.open(case.sent).await;
            if case.answered {
                assert!(is_answered(&mut stream).await, "{}", case.name);
            }
            idle.push(stream);
        }
        let mut caller = server.open(REQUEST).await;
        let answered = timeout(BELOW_IDLE_TIMEOUT, is_answered(&mut caller)).await;
        assert_eq!(answered, Ok(true), "{}", case.name);
        assert!(is_closed(&mut idle[0]).await, "{}", case.name);
        server.stop().await;
    }
}

// Guards against closing a connection with a request in progress: all connections are busy, so one
// more caller must wait until one of them has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_keep_connections_with_a_request_in_progress() {
    let mut server = Server::start().await;
    let mut busy = Vec::new();
    for _ in 0..CONNECTIONS_MAX {
        busy.push(server.open(&REQUEST.replace("/ ", "/wait ")).await);
    }
    let started_requests = server
        .started_requests
        .wait_for(|started_requests| *started_requests == CONNECTIONS_MAX);
    drop(
        timeout(TEST_TIMEOUT, started_requests)
            .await
            .unwrap()
            .unwrap(),
    );
    let mut caller = server.open(REQUEST).await;
    // Long enough for several rounds of closing idle connections.
    let unanswered = timeout(Duration::from_millis(500), is_answered(&mut caller)).await;
    assert!(unanswered.is_err());
    server.gate.send_replace(true);
    for stream in &mut busy {
        assert!(is_answered(stream).await);
    }
    assert!(is_answered(&mut caller).await);
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_close_a_connection_that_sends_no_complete_request() {
    let server = Server::start().await;
    for sent in ["", "GET / HT"] {
        let mut stream = server.open(sent).await;
        assert!(is_closed(&mut stream).await, "{sent:?}");
    }
    server.stop().await;
}

#[tokio::test]
async fn can_close_the_oldest_idle_connections_first() {
    let max = 32;
    let mut connections = Connections::new(max);
    let mut opened = Vec::new();
    for number in 0..max {
        let connection = Connection::new();
        // Connections 3 and later are idle, oldest first; the first three are busy.
        let busy = (number < 3).then(|| connection.begin_request());
        connections.add(tokio::spawn(async {}).id(), connection.clone());
        opened.push((connection, busy));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(
        connections.close_idle(now_ms()),
        0,
        "not idle for long enough"
    );
    let now_ms = now_ms() + 1_000;
    assert_eq!(connections.close_idle(now_ms), 2);
    assert_eq!(
        connections.close_idle(now_ms + 1),
        0,
        "too soon after the previous round"
    );
    let closing = opened.iter().enumerate();
    let closing = closing.filter(|(_, (connection, _))| connection.is_closing());
    let closing: Vec<usize> = closing.map(|(number, _)| number).collect();
    assert_eq!(closing, [3, 4]);
    assert_eq!(connections.close_idle(now_ms + 200), 2);
}

#[test]
fn can_reserve_descriptors_for_other_uses() {
    struct Case {
        limit: Option<u64>,
        connections_max: usize,
    }
    let cases = [
        (None, 16_384),
        (Some(1 << 20), 16_384),
        (Some(20_000), 16_384),
        (Some(4_096), 3_584),
        (Some(1_024), 512),
        (Some(100), 50),
        (Some(1), 1),
    ];
    let cases = cases.map(|(limit, connections_max)| Case {
        limit,
        connections_max,
    });
    for case in cases {
        let max = descriptors::connections_max(case.limit);
        assert_eq!(max, case.connections_max, "{:?}", case.limit);
    }
}

#[test]
fn can_raise_the_descriptor_limit() {
    let raised = descriptors::raise_limit();
    assert_eq!(
        descriptors::raise_limit(),
        raised,
        "the limit is already at its maximum"
    );
}
