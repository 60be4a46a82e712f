//! Runs the program as a child process that is told to end, or to reload, while it answers clients.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use standins::fleet::records::{self, ENGINES, HOST, PLAIN};
use standins::fleet::replica::{self, ReplicaControl, ReplicaSettings};
use standins::fleet::store::Store;
use standins::{Fault, FaultKind, Handle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hornbeamrock");
const ANY_PORT: &str = "127.0.0.1:0";
const TIMEOUT: Duration = Duration::from_secs(20);
/// Service of a replica that sends the head of its answers late.
const LATE: &str = "late";
/// Events of a stream, one every [`PAUSE_MS`].
const EVENTS: u64 = 20;
const PAUSE_MS: u64 = 200;
/// Later than a process that was told to end still accepts requests, and well before its end.
const LATE_HEAD_MS: u64 = 3_600;
const LATE_EVENTS: u64 = 5;
/// A process that was told to end refuses requests from then on.
const REFUSES_AFTER: Duration = Duration::from_millis(2_800);
/// When requests are sent, before the signal.
const BEFORE_SIGNAL: Duration = Duration::from_millis(500);
/// Service of a replica whose answers take longer than a process has to end.
const SLOW: &str = "slow";
const SLOW_MS: u64 = 9_000;
/// When the rest of a late body arrives, after the signal.
const LATE_BODY: Duration = Duration::from_millis(4_000);
/// Longer than the buffers of the sockets hold.
const LONG_ANSWER_BYTES: usize = 8 * 1024 * 1024;
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;
/// How long the client of the long answer waits before it reads on.
const CLIENT_PAUSE: Duration = Duration::from_millis(4_500);
/// The process leaves within this time after the end of its last answer.
const LEAVES_WITHIN: Duration = Duration::from_millis(500);

/// Signals to a process, each with its time after the first one.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    signals: &'static [(u64, Signal)],
}

const CASES: [Case; 6] = [
    Case {
        name: "told to end",
        signals: &[(0, Signal::TERM)],
    },
    Case {
        name: "told to end twice",
        signals: &[(0, Signal::TERM), (300, Signal::TERM)],
    },
    Case {
        name: "told to end again after it refuses requests",
        signals: &[(0, Signal::TERM), (3_000, Signal::TERM)],
    },
    Case {
        name: "told to end, then to reload",
        signals: &[(0, Signal::TERM), (700, Signal::HUP), (3_000, Signal::HUP)],
    },
    Case {
        name: "told to reload, then to end",
        signals: &[(0, Signal::HUP), (300, Signal::TERM)],
    },
    Case {
        name: "interrupted",
        signals: &[(0, Signal::INT), (300, Signal::INT)],
    },
];

/// The store and the replicas of one process.
struct Site {
    store: Store,
    store_listener: Handle,
    replicas: Vec<(Handle, ReplicaControl)>,
}

impl Site {
    async fn start() -> Self {
        let store = Store::default();
        let store_listener = store.listen(any_port()).await.expect("a port");
        store.put("keyed.op", "config", Some(&config()));
        let mut replicas = Vec::new();
        for (id, service, events, pause_ms) in [
            ("plain-1", PLAIN, 0, 5),
            ("engine-1", ENGINES, EVENTS, PAUSE_MS),
            ("late-1", LATE, LATE_EVENTS, PAUSE_MS),
            ("slow-1", SLOW, 0, SLOW_MS),
        ] {
            let settings = ReplicaSettings {
                id: id.to_owned(),
                events,
                pause_ms,
            };
            let (handle, seen) = replica::start(any_port(), settings).await.expect("a port");
            let record = records::replica(service, handle.address, "ready", 1);
            store.put("keyed.servers", id, Some(&record));
            replicas.push((handle, seen));
        }
        replicas[0].1.answer_with_bytes(LONG_ANSWER_BYTES);
        let late = Fault::new(FaultKind::Slow).on("/late/");
        replicas[2].0.inject_fault(late.delayed(LATE_HEAD_MS));
        Self {
            store,
            store_listener,
            replicas,
        }
    }
}

fn any_port() -> SocketAddr {
    ANY_PORT.parse().expect("an address")
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("a port");
    listener.local_addr().expect("bound")
}

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 10_000, "GoalMs": 400, "Priority": 1, "Service": service,
            "MaxAttempts": 2
        })
    };
    let service = |name: &str| json!({ "Name": name, "HealthPath": "/health", "MaxConns": 100 });
    json!({
        "Version": 3,
        "Routes": [
            route("calls", "safe", PLAIN),
            route("streams", "stream", ENGINES),
            route("late", "stream", LATE),
            route("slow-calls", "safe", SLOW),
            route("slow-bids", "unsafe", SLOW),
            route("slow-streams", "stream", SLOW),
        ],
        "Services": [service(PLAIN), service(ENGINES), service(LATE), service(SLOW)],
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": 1_048_576,
                    "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000 }
    })
    .to_string()
}

/// A running process; dropping it kills it.
struct Process {
    child: Child,
    clients: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
}

impl Process {
    fn start(site: &Site, cores: usize) -> Self {
        let (clients, readiness) = (free_address(), free_address());
        let name = format!("hornbeamrock-drain-{}", clients.port());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder");
        let settings = json!({
            "Node": "front-1", "Zone": "zone-a", "Ip": "127.0.0.1", "Limits": { "Cpus": cores },
            "Listen": { "Front": clients, "Ready": readiness },
            "Provider": { "Address": site.store_listener.address },
            "Bounds": { "GraceS": 8 }
        });
        let path = folder.join("settings.json");
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = File::create(folder.join("log")).expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["front", "--log-level", "info"])
            .env("HORNBEAMROCK_BOOT", &path)
            .stdout(log)
            .spawn()
            .expect("the program starts");
        Self {
            child,
            clients,
            readiness,
            folder,
        }
    }

    /// Starts a process and waits until it is ready. Another program may take a port that was free,
    /// so a process that ends at once is started again with other ports.
    async fn start_ready(site: &Site, cores: usize) -> Self {
        let start = async {
            loop {
                let mut process = Self::start(site, cores);
                while process.child.try_wait().expect("a child").is_none() {
                    if is_ready(process.readiness).await {
                        return process;
                    }
                    sleep(Duration::from_millis(20)).await;
                }
            }
        };
        let started = tokio::time::timeout(TIMEOUT, start).await;
        started.expect("the process is ready before the timeout")
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process receives the signal");
    }

    async fn wait_for_exit(&mut self) -> ExitStatus {
        let exited = async {
            loop {
                if let Some(status) = self.child.try_wait().expect("a child") {
                    return status;
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        let exited = tokio::time::timeout(TIMEOUT, exited).await;
        exited.expect("the process exits before the timeout")
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let request = "GET /v1/ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    let mut answer = String::new();
    let asked = stream.write_all(request.as_bytes()).await.is_ok();
    asked && stream.read_to_string(&mut answer).await.is_ok() && answer.starts_with("HTTP/1.1 200")
}

/// Opens a connection with a small receive buffer.
async fn connect(clients: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("set");
    socket.connect(clients).await.expect("connected")
}

async fn send(stream: &mut TcpStream, path: &str) {
    let request = format!(
        "POST {path}x HTTP/1.1\r\nhost: {HOST}\r\nhornbeamrock-request-id: q-1\r\n\
         hornbeamrock-deadline-ms: 10000\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("written");
}

/// Reads an answer until it is complete or broken off; returns all of it.
async fn read(mut stream: TcpStream, is_complete: impl Fn(&[u8]) -> bool) -> Vec<u8> {
    let mut answer = Vec::new();
    let read = async {
        while !is_complete(&answer) {
            if stream.read_buf(&mut answer).await.unwrap_or(0) == 0 {
                break;
            }
        }
    };
    let in_time = tokio::time::timeout(TIMEOUT, read).await;
    assert!(
        in_time.is_ok(),
        "an answer is neither complete nor broken off"
    );
    answer
}

/// Sends a request for a stream and reads it; returns the events and whether the end came.
async fn stream(clients: SocketAddr, path: &'static str, delay_ms: u64) -> (usize, bool) {
    sleep(Duration::from_millis(delay_ms)).await;
    let mut client = connect(clients).await;
    send(&mut client, path).await;
    let end = b"\r\n0\r\n\r\n";
    let answer = read(client, |answer| answer.ends_with(end)).await;
    let events = String::from_utf8_lossy(&answer).matches("data: ").count();
    (events, answer.ends_with(end))
}

/// Sends a call, reads its long answer after a pause, and returns the length of the body.
async fn long_answer(clients: SocketAddr) -> usize {
    let mut client = connect(clients).await;
    send(&mut client, "/calls/").await;
    sleep(CLIENT_PAUSE).await;
    let body_bytes = |answer: &[u8]| {
        let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        end.map_or(0, |end| answer.len() - end - 4)
    };
    let answer = read(client, |answer| {
        answer.len() > LONG_ANSWER_BYTES && body_bytes(answer) >= LONG_ANSWER_BYTES
    })
    .await;
    body_bytes(&answer)
}

/// Guards against answers that a process cuts when it is told to end or to reload: streams whose head
/// came before the signal, between it and the refusal of requests, and after that, and a long answer
/// that its client reads slowly. The process leaves soon after the last of them.
#[tokio::test(flavor = "multi_thread")]
async fn can_complete_answers_in_progress_before_the_process_leaves() {
    let mut cases = JoinSet::new();
    for case in CASES {
        for cores in [1, 2] {
            cases.spawn(complete_answers(case, cores));
        }
    }
    while let Some(done) = cases.join_next().await {
        done.expect("the case holds");
    }
}

/// Guards against connections that are closed without an answer while the process waits for its last
/// answers: a client cannot know then whether its request ran.
#[tokio::test(flavor = "multi_thread")]
async fn errors_with_503_on_connections_opened_while_the_process_leaves() {
    let site = Site::start().await;
    let mut process = Process::start_ready(&site, 1).await;
    let clients = process.clients;
    let last = tokio::spawn(stream(clients, "/streams/", 0));
    sleep(Duration::from_millis(500)).await;
    process.signal(Signal::TERM);
    sleep(REFUSES_AFTER).await;
    for _ in 0..3 {
        let mut client = connect(clients).await;
        sleep(Duration::from_millis(50)).await;
        send(&mut client, "/calls/").await;
        let answer = read(client, |_| false).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert!(answer.contains("retry-after"), "{answer:?}");
    }
    assert_eq!(last.await.expect("read"), (EVENTS as usize, true));
    assert_eq!(process.wait_for_exit().await.code(), Some(0));
}

/// A request that a process cannot answer with what a replica says, because it has to end before.
struct Unanswerable {
    name: &'static str,
    path: &'static str,
    /// When the rest of the body is sent, after the signal; `None` if the body was sent before.
    body_after: Option<Duration>,
}

/// Guards against connections that are closed without an answer at the end of the process: of
/// requests whose bodies arrive when requests are refused already, and which were passed on then, and
/// of requests that replicas still run or have not begun to answer.
#[tokio::test(flavor = "multi_thread")]
async fn can_answer_every_request_before_the_process_ends() {
    let mut cases = Vec::new();
    for path in ["/slow-calls/", "/slow-bids/", "/slow-streams/"] {
        for (name, body_after) in [
            ("sent before the signal", None),
            ("body sent after requests are refused", Some(LATE_BODY)),
            ("body never sent", Some(TIMEOUT)),
        ] {
            cases.push(Unanswerable {
                name,
                path,
                body_after,
            });
        }
    }
    let site = Site::start().await;
    let mut process = Process::start_ready(&site, 1).await;
    let clients = process.clients;
    let mut requests = JoinSet::new();
    for (number, case) in cases.into_iter().enumerate() {
        requests.spawn(async move {
            let id = format!("slow-{number}");
            let answer = unanswerable(clients, &id, &case).await;
            (id, case, answer)
        });
    }
    sleep(BEFORE_SIGNAL).await;
    process.signal(Signal::TERM);
    let exit = tokio::spawn(async move { (process.wait_for_exit().await.code(), process) });
    while let Some(ended) = requests.join_next().await {
        let (id, case, answer) = ended.expect("read");
        let (status, case_name) = (answer.get(9..12).unwrap_or("none"), case.name);
        let runs = site.replicas[3].1.runs().remove(&id).unwrap_or_default();
        match case.body_after {
            // The request may have run.
            None => assert!(
                ["502", "504"].contains(&status),
                "{} {case_name}: {answer}",
                case.path
            ),
            Some(_) => {
                assert_eq!(status, "503", "{} {case_name}: {answer}", case.path);
                assert!(
                    answer.contains("retry-after"),
                    "{} {case_name}: {answer}",
                    case.path
                );
                assert!(runs.is_empty(), "{} {case_name}", case.path);
            }
        }
    }
    let (code, _process) = exit.await.expect("no panic");
    assert_eq!(code, Some(0));
}

/// Sends a request in two parts and returns the whole answer.
async fn unanswerable(clients: SocketAddr, id: &str, case: &Unanswerable) -> String {
    let stream = connect(clients).await;
    let (reader, mut writer) = stream.into_split();
    let request = format!(
        "POST {}x HTTP/1.1\r\nhost: {HOST}\r\nhornbeamrock-request-id: {id}\r\n\
         hornbeamrock-deadline-ms: 10000\r\ncontent-length: 4\r\n\r\nbo",
        case.path
    );
    writer.write_all(request.as_bytes()).await.expect("written");
    let wait = case
        .body_after
        .map_or(Duration::ZERO, |after| BEFORE_SIGNAL + after);
    tokio::spawn(async move {
        sleep(wait).await;
        // Fails if the process has answered and closed the connection.
        let _ = writer.write_all(b"dy").await;
        sleep(TIMEOUT).await;
    });
    let mut answer = Vec::new();
    let mut reader = reader;
    let read = tokio::time::timeout(TIMEOUT, reader.read_to_end(&mut answer)).await;
    assert!(
        read.is_ok(),
        "{} {}: the connection stays open",
        case.path,
        case.name
    );
    String::from_utf8_lossy(&answer).into_owned()
}

async fn complete_answers(case: Case, cores: usize) {
    let site = Site::start().await;
    let mut process = Process::start_ready(&site, cores).await;
    let clients = process.clients;
    let mut streams = JoinSet::new();
    let signals_at_ms = 500;
    for (name, path, delay_ms, events) in [
        ("head before the signal", "/streams/", 0, EVENTS),
        (
            "head before requests are refused",
            "/streams/",
            signals_at_ms + 400,
            EVENTS,
        ),
        ("head after requests are refused", "/late/", 0, LATE_EVENTS),
    ] {
        streams.spawn(async move {
            let (seen, ended) = stream(clients, path, delay_ms).await;
            (name, seen as u64, events, ended)
        });
    }
    let long = tokio::spawn(long_answer(clients));
    sleep(Duration::from_millis(signals_at_ms)).await;
    let began = Instant::now();
    for (at_ms, signal) in case.signals {
        sleep(Duration::from_millis(*at_ms).saturating_sub(began.elapsed())).await;
        process.signal(*signal);
    }
    while let Some(done) = streams.join_next().await {
        let (name, seen, events, ended) = done.expect("read");
        let log = process.log();
        assert_eq!(
            (seen, ended),
            (events, true),
            "{}, {name}\n{log}",
            case.name
        );
    }
    let bytes = long.await.expect("read");
    assert_eq!(bytes, LONG_ANSWER_BYTES, "{}\n{}", case.name, process.log());
    let completed = Instant::now();
    let status = process.wait_for_exit().await;
    let left_after = completed.elapsed();
    assert_eq!(status.code(), Some(0), "{}", case.name);
    assert!(left_after < LEAVES_WITHIN, "{}: {left_after:?}", case.name);
    let log = process.log();
    assert!(log.contains("cut_off=0"), "{}\n{log}", case.name);
    drop((site.store, site.replicas));
}
