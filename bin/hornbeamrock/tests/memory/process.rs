//! The program as a child process, with the stand-ins that it talks to.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;

use serde_json::{Value, json};
use standins::Handle;
use standins::fleet::records::{self, HOST};
use standins::fleet::replica::ReplicaControl;
use standins::fleet::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Memory of the process in its settings, and how much of it may be in use at the peak.
pub const MEMORY_MB: u64 = 300;
pub const PEAK_MB_MAX: u64 = 250;
/// Service of the replica that takes the small calls.
pub const SMALL: &str = "small";

const PROGRAM: &str = env!("CARGO_BIN_EXE_hornbeamrock");
const ANY_PORT: &str = "127.0.0.1:0";

/// A running process with its store and replicas; dropping it kills it.
pub struct Process {
    child: Child,
    pub clients: SocketAddr,
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

pub fn any_port() -> SocketAddr {
    ANY_PORT.parse().expect("an address")
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).expect("a port");
    listener.local_addr().expect("bound")
}

/// Writes the configuration, in which the replica of the small calls serves a route of its own.
pub fn put_config(store: &Store, mut config: Value, small_replica: SocketAddr) {
    config["Routes"][2]["Service"] = SMALL.into();
    let small = json!({ "Name": SMALL, "HealthPath": "/health", "MaxConns": 100 });
    let services = config["Services"].as_array_mut();
    services.expect("services").push(small);
    let record = records::replica(SMALL, small_replica, "ready", 1);
    store.put("keyed.servers", "small-1", Some(&record));
    store.put("keyed.op", "config", Some(&config.to_string()));
}

impl Process {
    pub async fn start_ready(
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
    pub fn peak_mb(&self) -> u64 {
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

    pub fn runs(&self, id: &str) -> usize {
        let runs = self.replicas.iter().map(|(_, seen)| seen.runs());
        runs.filter_map(|mut runs| runs.remove(id))
            .flatten()
            .count()
    }
}

pub fn head(path: &str, id: &str, length: Option<usize>) -> String {
    let length = match length {
        Some(bytes) => format!("content-length: {bytes}"),
        None => "transfer-encoding: chunked".to_owned(),
    };
    format!(
        "POST {path}x HTTP/1.1\r\nhost: {HOST}\r\nhornbeamrock-request-id: {id}\r\n\
         hornbeamrock-deadline-ms: 10000\r\nconnection: close\r\n{length}\r\n\r\n"
    )
}
