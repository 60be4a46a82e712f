//! Answers that callers do not read.
#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use futures_util::{StreamExt, future};
use gateway::body::{AnswerInterrupted, streamed};
use gateway::server;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use node::now_ms;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};
use tower::service_fn;

const PART_BYTES: &[u8] = &[b'x'; 64 * 1024];
/// Reached only by a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which a caller may accept no bytes, as in the delivery code.
const STALL_TIMEOUT_MS: u64 = 5_000;
const DEADLINE_GRACE_MS: u64 = 1_000;

/// Signals when the resources of an answer are dropped.
struct DropNotifier(Option<oneshot::Sender<()>>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        let _ = self.0.take().unwrap().send(());
    }
}

/// Returns an answer that never ends, and a receiver that completes when the answer is dropped.
fn endless_answer() -> (
    impl Stream<Item = Result<Bytes, AnswerInterrupted>> + Send + 'static,
    oneshot::Receiver<()>,
) {
    let (notifier, released) = oneshot::channel();
    let parts = stream::unfold(DropNotifier(Some(notifier)), |notifier| async {
        Some((Ok(Bytes::from_static(PART_BYTES)), notifier))
    });
    (parts, released)
}

// Guards against a caller that reads nothing and thereby holds a request's resources forever,
// because `hyper` never polls for the next part. The resources must be released, and the delivered
// body must end in an error.
#[tokio::test(start_paused = true)]
async fn can_release_the_resources_of_an_unread_answer() {
    struct Case {
        name: &'static str,
        deadline_ms: u64,
        released_ms: u64,
    }
    let cases = [
        Case {
            name: "the caller accepts nothing for the stall timeout",
            deadline_ms: 600_000,
            released_ms: STALL_TIMEOUT_MS,
        },
        Case {
            name: "the deadline has passed",
            deadline_ms: 2_000,
            released_ms: 2_000 + DEADLINE_GRACE_MS,
        },
    ];
    for case in cases {
        let (parts, released) = endless_answer();
        let began = Instant::now();
        let body = streamed(parts, now_ms() + case.deadline_ms);
        timeout(TEST_TIMEOUT, released).await.unwrap().unwrap();
        let took_ms = began.elapsed().as_millis() as u64;
        // The deadline uses the process's clock, which continues while the test's clock is paused.
        let expected = case.released_ms - 200..=case.released_ms + 200;
        assert!(expected.contains(&took_ms), "{}: {took_ms}", case.name);
        assert!(body.collect().await.is_err(), "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn can_deliver_a_complete_answer_to_a_slow_caller() {
    let parts = stream::iter(0..100u8).map(|part| Ok(Bytes::from(vec![part])));
    let mut body = streamed(parts, now_ms() + 600_000);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        bytes.extend_from_slice(&frame.unwrap().into_data().unwrap());
        tokio::time::sleep(Duration::from_millis(STALL_TIMEOUT_MS - 1_000)).await;
    }
    assert_eq!(bytes, (0..100).collect::<Vec<u8>>());
}

#[tokio::test]
async fn can_release_an_answer_whose_caller_has_disconnected() {
    let silent = stream::once(future::pending::<Result<Bytes, AnswerInterrupted>>());
    let (notifier, released) = oneshot::channel();
    let notifier = DropNotifier(Some(notifier));
    let parts = silent.inspect(move |_| {
        let _ = &notifier;
    });
    drop(streamed(parts, now_ms() + 600_000));
    timeout(TEST_TIMEOUT, released).await.unwrap().unwrap();
}

/// Starts a server that sends answers without an end to requests with this deadline.
async fn serve(deadline_ms: u64) -> (SocketAddr, watch::Sender<bool>, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopping) = watch::channel(false);
    let service = service_fn(move |_: Request<Incoming>| {
        let body = streamed(endless_answer().0, now_ms() + deadline_ms);
        future::ready(Ok::<_, Infallible>(Response::new(body)))
    });
    let served = tokio::spawn(server::serve(listener, service, stopping));
    (address, stop, served)
}

async fn send_request(to: SocketAddr, version: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(to).await.unwrap();
    let head = format!("GET / HTTP/{version}\r\nHost: entry\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads until the connection ends; returns whether it was closed without a reset, and the last
/// bytes received.
async fn read_to_end(mut stream: TcpStream) -> (bool, Vec<u8>) {
    let (mut buffer, mut last) = (vec![0; 256 * 1024], Vec::new());
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return (true, last),
            Ok(length) => last = buffer[..length].to_vec(),
            Err(reason) => {
                assert_eq!(reason.kind(), ErrorKind::ConnectionReset);
                return (false, last);
            }
        }
    }
}

// Guards against a server that cannot stop because callers do not read, or read past the deadline.
// No caller may mistake its partial answer for a complete one: the connection must be reset or the
// last chunk must be missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_stop_while_callers_do_not_read() {
    struct Case {
        name: &'static str,
        version: &'static str,
        reads: bool,
    }
    let cases = [
        Case {
            name: "nothing is read",
            version: "1.1",
            reads: false,
        },
        Case {
            name: "nothing is read of an answer that ends by closing the connection",
            version: "1.0",
            reads: false,
        },
        Case {
            name: "all is read",
            version: "1.1",
            reads: true,
        },
        Case {
            name: "all is read of an answer that ends by closing the connection",
            version: "1.0",
            reads: true,
        },
    ];
    for case in cases {
        let (address, stop, mut served) = serve(500).await;
        let stream = send_request(address, case.version).await;
        // Waits until the answer has started.
        stream.readable().await.unwrap();
        stop.send_replace(true);
        if case.reads {
            let (is_orderly, last) = timeout(TEST_TIMEOUT, read_to_end(stream)).await.unwrap();
            let has_end = case.version == "1.0" || last.ends_with(b"0\r\n\r\n");
            assert!(!(is_orderly && has_end), "{}", case.name);
            timeout(TEST_TIMEOUT, &mut served).await.unwrap().unwrap();
        } else {
            timeout(TEST_TIMEOUT, &mut served).await.unwrap().unwrap();
            let (is_orderly, _) = timeout(TEST_TIMEOUT, read_to_end(stream)).await.unwrap();
            assert!(!is_orderly, "{}", case.name);
        }
    }
}
