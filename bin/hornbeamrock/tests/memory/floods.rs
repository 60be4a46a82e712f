//! Clients that flood the process with long bodies.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use standins::Handle;
use standins::fleet::records::{self, CALLS, PLAIN};
use standins::fleet::replica::{self, ReplicaControl, ReplicaSettings};
use standins::fleet::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::process::{MEMORY_MB, PEAK_MB_MAX, Process, TIMEOUT, any_port, head, put_config};
use crate::small_calls::{SmallCaller, p99};

/// Limit on bodies in the configuration, and the length of the flood's bodies.
const BODY_BYTES_MAX: usize = 33_554_432;
const BODY_BYTES: usize = 30_000_000;
const CHUNK_BYTES: usize = 64 * 1024;
/// Small calls beside the flood, one after the other, and the time in which 99 % are answered on a
/// machine without other load. On a busy one the time without the flood is added.
const CALL_WITHIN: Duration = Duration::from_millis(50);

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

/// Site with two replicas for calls, and with the replica of the small calls.
pub async fn flooded_site(small_replica: SocketAddr) -> (Store, Vec<(Handle, ReplicaControl)>) {
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
