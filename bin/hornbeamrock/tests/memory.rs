//! Runs the program as a child process whose peers send it more than its memory holds.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::Handle;
use standins::fleet::records::{self, CALLS, HOST, PLAIN, SCORES};
use standins::fleet::replica::{self, ReplicaControl, ReplicaSettings};
use standins::fleet::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_hornbeamrock");
const ANY_PORT: &str = "127.0.0.1:0";
const TIMEOUT: Duration = Duration::from_secs(30);
/// Memory of the process in its settings, and how much of it may be in use at the peak.
const MEMORY_MB: u64 = 300;
const PEAK_MB_MAX: u64 = 250;
/// Limit on bodies in the configuration, and the length of the flood's bodies.
const BODY_BYTES_MAX: usize = 33_554_432;
const BODY_BYTES: usize = 30_000_000;
const CHUNK_BYTES: usize = 64 * 1024;
/// Small calls beside the flood, one after the other, and the time in which 99 % are answered on a
/// machine without other load. On a busy one the time without the flood is added.
const CALL_BYTES: usize = 1_024;
const CALL_WITHIN: Duration = Duration::from_millis(50);
const CALLS_BEFORE: usize = 100;
const CALL_PAUSE: Duration = Duration::from_millis(10);
/// Service of the replica that takes the small calls.
const SMALL: &str = "small";

#[derive(Clone, Copy, Debug)]
struct Case {
    clients: usize,
    /// Whether the bodies have a declared length or are chunked.
    declares_length: bool,
    /// Each how many-th client leaves in the middle of its body; 0 for none.
    leaves_each: usize,
    /// Each how many-th client sends slowly; 0 for none.
    slow_each: usize,
}

/// A running process with its store and replicas; dropping it kills it.
struct Process {
    child: Child,
    clients: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
    replicas: Vec<(Handle, ReplicaControl)>,
    _store: Handle,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn any_port() -> SocketAddr {
    ANY_PORT.parse().expect("an address")
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("a port");
    listener.local_addr().expect("bound")
}

/// Site with two replicas for calls, and with the replica of the small calls.
async fn flooded_site(small_replica: SocketAddr) -> (Store, Vec<(Handle, ReplicaControl)>) {
    let store = Store::default();
    let mut config: Value = serde_json::from_str(&records::config(3)).expect("JSON");
    config["Limits"]["MaxBodyBytes"] = BODY_BYTES_MAX.into();
    config["Routes"][0]["TimeoutMs"] = 10_000.into();
    put_config(&store, config, small_replica);
    let mut replicas = Vec::new();
    for id in ["plain-1", "plain-2"] {
        let settings = ReplicaSettings {
            id: id.to_owned(),
            events: 0,
            pause_ms: 1,
        };
        let (handle, seen) = replica::start(any_port(), settings).await.expect("a port");
        let record = records::replica(PLAIN, handle.address, "ready", 1);
        store.put("keyed.servers", id, Some(&record));
        replicas.push((handle, seen));
    }
    (store, replicas)
}

/// Writes the configuration, in which the replica of the small calls serves a route of its own.
fn put_config(store: &Store, mut config: Value, small_replica: SocketAddr) {
    config["Routes"][2]["Service"] = SMALL.into();
    let small = json!({ "Name": SMALL, "HealthPath": "/health", "MaxConns": 100 });
    let services = config["Services"].as_array_mut();
    services.expect("services").push(small);
    let record = records::replica(SMALL, small_replica, "ready", 1);
    store.put("keyed.servers", "small-1", Some(&record));
    store.put("keyed.op", "config", Some(&config.to_string()));
}

impl Process {
    async fn start_ready(
        store: &Store,
        replicas: Vec<(Handle, ReplicaControl)>,
        memory_mb: u64,
    ) -> Self {
        let listener = store.listen(any_port()).await.expect("a port");
        let (clients, readiness) = (free_address(), free_address());
        let folder = std::env::temp_dir().join(format!("hornbeamrock-memory-{}", clients.port()));
        fs::create_dir_all(&folder).expect("a folder");
        let settings = json!({
            "Node": "front-1", "Zone": "zone-a", "Ip": "127.0.0.1",
            "Limits": { "Cpus": 2, "MemoryMb": memory_mb },
            "Listen": { "Front": clients, "Ready": readiness },
            "Provider": { "Address": listener.address }, "Bounds": { "GraceS": 8 }
        });
        let path = folder.join("settings.json");
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = File::create(folder.join("log")).expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["front", "--log-level", "warn"])
            .env("HORNBEAMROCK_BOOT", &path)
            .stdout(log)
            .spawn()
            .expect("the program starts");
        let process = Self {
            child,
            clients,
            readiness,
            folder,
            replicas,
            _store: listener,
        };
        let ready = async {
            while !process.is_ready().await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TIMEOUT, ready).await.expect("the process is ready");
        process
    }

    async fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness).await else {
            return false;
        };
        let request = "GET /v1/ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.write_all(request.as_bytes()).await.is_ok()
            && stream.read_to_string(&mut answer).await.is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Most memory that the process has had in use, in megabytes.
    fn peak_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kb = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        peak_kb
            .expect("a peak")
            .trim()
            .parse::<u64>()
            .expect("a number")
            / 1_000
    }

    fn runs(&self, id: &str) -> usize {
        let runs = self.replicas.iter().map(|(_, seen)| seen.runs());
        runs.filter_map(|mut runs| runs.remove(id))
            .flatten()
            .count()
    }
}

fn head(path: &str, id: &str, length: Option<usize>) -> String {
    let length = match length {
        Some(bytes) => format!("content-length: {bytes}"),
        None => "transfer-encoding: chunked".to_owned(),
    };
    format!(
        "POST {path}x HTTP/1.1\r\nhost: {HOST}\r\nhornbeamrock-request-id: {id}\r\n\
         hornbeamrock-deadline-ms: 10000\r\nconnection: close\r\n{length}\r\n\r\n"
    )
}

/// Sends a long body and returns the status of the answer; `None` without one.
async fn send_long(address: SocketAddr, id: String, case: Case, number: usize) -> Option<u16> {
    let is_each = |each: usize| each > 0 && number.is_multiple_of(each);
    let (leaves, is_slow) = (is_each(case.leaves_each), is_each(case.slow_each));
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut reader, mut writer) = stream.into_split();
    let chunk = vec![b'x'; CHUNK_BYTES];
    let sending = async {
        let length = case.declares_length.then_some(BODY_BYTES);
        writer
            .write_all(head(CALLS, &id, length).as_bytes())
            .await?;
        let mut sent = 0;
        while sent < BODY_BYTES {
            let bytes = CHUNK_BYTES.min(BODY_BYTES - sent);
            if !case.declares_length {
                writer
                    .write_all(format!("{bytes:x}\r\n").as_bytes())
                    .await?;
            }
            writer.write_all(&chunk[..bytes]).await?;
            if !case.declares_length {
                writer.write_all(b"\r\n").await?;
            }
            sent += bytes;
            if leaves && sent > BODY_BYTES / 2 {
                return Ok(());
            }
            if is_slow {
                sleep(Duration::from_millis(5)).await;
            }
        }
        if !case.declares_length {
            writer.write_all(b"0\r\n\r\n").await?;
        }
        std::io::Result::Ok(())
    };
    let mut answer = Vec::new();
    let reading = async {
        // Fails if the front closes the connection while it has unread data of the body.
        let _ = (&mut reader).take(256).read_to_end(&mut answer).await;
    };
    if leaves {
        let _ = timeout(TIMEOUT, sending).await;
        return None;
    }
    let _ = timeout(TIMEOUT, async { tokio::join!(sending, reading) }).await;
    let answer = String::from_utf8_lossy(&answer);
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

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
struct SmallCalls {
    before: Vec<Duration>,
    beside: Vec<Duration>,
}

/// Sends small calls from a thread of its own, which also has their replica, so that they don't wait
/// for the test's own work on long bodies.
struct SmallCaller {
    replica: SocketAddr,
    front: mpsc::Sender<SocketAddr>,
    begun: mpsc::Receiver<()>,
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<SmallCalls>,
}

impl SmallCaller {
    fn start() -> Self {
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

    fn begin(&self, front: SocketAddr) {
        self.front.send(front).expect("the thread waits");
        self.begun.recv().expect("the calls are answered");
    }

    fn end(self) -> SmallCalls {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().expect("the calls are answered")
    }
}

fn p99(taken: &mut [Duration]) -> Duration {
    taken.sort_unstable();
    taken[(taken.len() - 1) * 99 / 100]
}

async fn flood(case: Case) {
    let small = SmallCaller::start();
    let (store, replicas) = flooded_site(small.replica).await;
    let process = Process::start_ready(&store, replicas, MEMORY_MB).await;
    let address = process.clients;
    small.begin(address);
    let mut flood = JoinSet::new();
    for number in 0..case.clients {
        let id = format!("long-{number}");
        flood.spawn(async move { (id.clone(), send_long(address, id, case, number).await) });
    }
    let mut served = 0;
    let mut refused = Vec::new();
    let mut others = Vec::new();
    while let Some(ended) = flood.join_next().await {
        let (id, status) = ended.expect("no panic");
        match status {
            Some(200) => served += 1,
            Some(503) => refused.push(id),
            Some(status) => others.push((id, status)),
            None => {}
        }
    }
    let mut small = small.end();
    assert!(others.is_empty(), "{case:?}: {others:?}");
    for id in &refused {
        assert_eq!(process.runs(id), 0, "{case:?}: {id} was refused and ran");
    }
    let (before, beside) = (p99(&mut small.before), p99(&mut small.beside));
    let peak_mb = process.peak_mb();
    println!(
        "{case:?}: peak {peak_mb} MB, {served} served, {} refused, {} small calls, p99 {beside:?}, \
         before {before:?}",
        refused.len(),
        small.beside.len()
    );
    assert!(served > 0, "{case:?}: none was served");
    assert!(peak_mb <= PEAK_MB_MAX, "{case:?}: peak {peak_mb} MB");
    assert!(
        beside <= CALL_WITHIN + before,
        "{case:?}: p99 {beside:?}, before {before:?}"
    );
}

/// Guards against a process that is killed for its memory, with all its requests, because it reads
/// bodies without a declared length before it counts them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_flood_of_long_bodies_stays_within_the_memory_of_the_process() {
    let cases = [(12, 0, 0), (60, 0, 0), (60, 3, 5)];
    for (clients, leaves_each, slow_each) in cases {
        for declares_length in [false, true] {
            let case = Case {
                clients,
                declares_length,
                leaves_each,
                slow_each,
            };
            flood(case).await;
        }
    }
}

/// Records of another writer among those of the replicas, in all longer than the memory of the
/// process that reads them.
const FOREIGN_RECORDS: usize = 400;
const FOREIGN_RECORD_BYTES: usize = 200_000;
const READER_MEMORY_MB: u64 = 64;

/// Guards against a process that is killed for its memory when it starts, because it keeps a list that
/// is longer than its memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_long_list_of_foreign_records_stays_within_the_memory_of_the_process() {
    let small = SmallCaller::start();
    let (store, replicas) = flooded_site(small.replica).await;
    let value = "x".repeat(FOREIGN_RECORD_BYTES);
    for number in 0..FOREIGN_RECORDS {
        let key = format!("foreign-{number}");
        store.put("keyed.servers", &key, Some(&value));
    }
    store.trim("keyed.servers", 0);
    let process = Process::start_ready(&store, replicas, READER_MEMORY_MB).await;
    small.begin(process.clients);
    let small = small.end();
    let peak_mb = process.peak_mb();
    println!("peak {peak_mb} MB, {} small calls", small.before.len());
    assert!(peak_mb <= READER_MEMORY_MB, "peak {peak_mb} MB");
}
