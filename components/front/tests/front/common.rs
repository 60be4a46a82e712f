//! A small site: the store, replicas of both sorts and fronts in this process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use front::Bound;
use http_body_util::Full;
use hyper::{Method, Request};
use platform::settings::{Bounds, DutySettings, FrontSettings, StoreSettings};
use platform::{collect, connect};
use serde_json::Value;
use standins::Handle;
use standins::fleet::records::{self, ENGINES, HOST, MODEL, PLAIN};
use standins::fleet::replica::{self, ReplicaSettings, Seen};
use standins::fleet::store::Store;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Longest time for anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between looks at what a test waits for.
const LOOK: Duration = Duration::from_millis(10);

/// A replica of the site.
pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub handle: Handle,
    pub seen: Seen,
}

/// A front of the site. Dropped, it dies without leaving.
pub struct FrontHandle {
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    /// Its door to the store, for faults.
    pub door: Handle,
    stop: Option<oneshot::Sender<()>>,
    pub task: JoinHandle<()>,
}

impl Drop for FrontHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FrontHandle {
    /// Gives the stop signal.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Sends a request on a connection of its own; gives status, Retry-After and body.
    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, Option<String>, String) {
        let mut connection = connect(self.clients, PATIENCE).await.expect("a connection");
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Bytes::copy_from_slice(body.as_bytes());
        let request = request.body(Full::new(body)).expect("a request");
        let answer = connection.send(request, PATIENCE).await.expect("an answer");
        let status = answer.status().as_u16();
        let retry_after = answer.headers().get("retry-after");
        let retry_after = retry_after.map(|value| value.to_str().unwrap_or("?").to_owned());
        let body = collect(answer.into_body(), 1 << 20)
            .await
            .expect("a whole body");
        (
            status,
            retry_after,
            String::from_utf8_lossy(&body).into_owned(),
        )
    }

    /// An ordinary call.
    pub async fn call(&self, id: &str, path: &str) -> (u16, String) {
        let headers = [
            ("hornbeamrock-request-id", id),
            ("hornbeamrock-deadline-ms", "2000"),
        ];
        let (status, _, body) = self.ask(Method::POST, path, &headers, "body").await;
        (status, body)
    }

    /// Submits a step.
    pub async fn submit(&self, id: &str, step: &str) -> (u16, Option<String>) {
        let headers = [
            ("hornbeamrock-request-id", id),
            ("hornbeamrock-deadline-ms", "12000"),
        ];
        let path = format!("{}{id}", records::STEPS);
        let (status, again, _) = self.ask(Method::POST, &path, &headers, step).await;
        (status, again)
    }

    /// Results of a step from a position on, waiting up to a second for one.
    pub async fn results(&self, id: &str, after: usize) -> (u16, Value) {
        let path = format!("/v1/lots/{id}?After={after}");
        let headers = [("hornbeamrock-wait-ms", "1000")];
        let (status, _, body) = self.ask(Method::GET, &path, &headers, "").await;
        (status, serde_json::from_str(&body).unwrap_or(Value::Null))
    }

    /// Reads until a step has this many results.
    pub async fn all_results(&self, id: &str, count: usize) -> Vec<Value> {
        let mut all = Vec::new();
        let reads = async {
            while all.len() < count {
                let (_, page) = self.results(id, all.len()).await;
                let results = page["Results"].as_array().cloned().unwrap_or_default();
                all.extend(results);
            }
        };
        tokio::time::timeout(PATIENCE, reads)
            .await
            .expect("results in time");
        all
    }

    /// The text of the metrics.
    pub async fn metrics(&self) -> String {
        let mut connection = connect(self.ready, PATIENCE).await.expect("a connection");
        let request = Request::builder().uri("/metrics").header("host", "h");
        let request = request.body(Full::new(Bytes::new())).expect("a request");
        let answer = connection.send(request, PATIENCE).await.expect("an answer");
        let body = collect(answer.into_body(), 1 << 20)
            .await
            .expect("a whole body");
        String::from_utf8_lossy(&body).into_owned()
    }

    pub async fn is_ready(&self) -> bool {
        let Ok(mut connection) = connect(self.ready, PATIENCE).await else {
            return false;
        };
        let request = Request::builder().uri("/v1/ready").header("host", "h");
        let request = request.body(Full::new(Bytes::new())).expect("a request");
        let answer = connection.send(request, PATIENCE).await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

/// The site.
pub struct Site {
    pub store: Store,
    pub replicas: Vec<Replica>,
    /// Places that each replica says it has.
    pub slots: u32,
    /// Duties that fronts are given.
    pub duties: Option<DutySettings>,
}

impl Site {
    /// A store with a configuration, two plain replicas and two model replicas that make
    /// `events` events, one each `pause_ms`.
    pub async fn start(events: u64, pause_ms: u64) -> Self {
        Self::start_with(events, pause_ms, 5).await
    }

    /// The same, whose plain replicas take `call_ms` for a call.
    pub async fn start_with(events: u64, pause_ms: u64, call_ms: u64) -> Self {
        let mut site = Self {
            store: Store::default(),
            replicas: Vec::new(),
            slots: records::SLOTS,
            duties: None,
        };
        site.store
            .put("keyed.op", "config", Some(&records::config(3)));
        for id in ["plain-1", "plain-2"] {
            site.add(id, PLAIN, 0, call_ms).await;
        }
        for id in ["engine-1", "engine-2"] {
            site.add(id, ENGINES, events, pause_ms).await;
        }
        site
    }

    async fn add(&mut self, id: &str, service: &'static str, events: u64, pause_ms: u64) {
        let settings = ReplicaSettings {
            id: id.to_owned(),
            events,
            pause_ms,
        };
        let listen = ([127, 0, 0, 1], 0).into();
        let (handle, seen) = replica::start(listen, settings).await.expect("a port");
        let replica = Replica {
            id: id.to_owned(),
            service,
            handle,
            seen,
        };
        self.beat(&replica, "ready", 1);
        self.replicas.push(replica);
    }

    /// Writes a replica's record.
    pub fn beat(&self, replica: &Replica, state: &str, version: u64) {
        let address = replica.handle.address;
        let record = records::replica_with(replica.service, address, state, version, self.slots);
        self.store.put("keyed.servers", &replica.id, Some(&record));
    }

    pub fn replica(&self, id: &str) -> &Replica {
        self.replicas
            .iter()
            .find(|replica| replica.id == id)
            .expect("known")
    }

    /// Names a version as the trainer does.
    pub fn name_version(&self, version: u64) {
        let key = format!("version/{MODEL}");
        self.store
            .put("keyed.op", &key, Some(&records::version(version)));
    }

    /// Runs of a request at all replicas: the events behind which they began.
    pub fn runs(&self, request_id: &str) -> Vec<u64> {
        let runs = self.replicas.iter().map(|replica| replica.seen.runs());
        runs.flat_map(|mut runs| runs.remove(request_id).unwrap_or_default())
            .collect()
    }

    /// Starts a front and waits until it is ready.
    pub async fn front(&self, node: &str) -> FrontHandle {
        let front = self.unready_front(node).await;
        until("the front is ready", || front.is_ready()).await;
        front
    }

    /// Starts a front with little processor time and waits until it is ready.
    pub async fn small_front(&self, node: &str) -> FrontHandle {
        let front = self.start_front(node, 90).await;
        until("the front is ready", || front.is_ready()).await;
        front
    }

    /// Starts a front.
    pub async fn unready_front(&self, node: &str) -> FrontHandle {
        self.start_front(node, 500).await
    }

    async fn start_front(&self, node: &str, cpu_share_thousandths: u32) -> FrontHandle {
        let door = self
            .store
            .open(([127, 0, 0, 1], 0).into())
            .await
            .expect("a port");
        let settings = FrontSettings {
            cpu_share_thousandths,
            duties: self.duties,
            ..settings(node, door.address)
        };
        let bound = Bound::new(settings).await.expect("ports");
        let (clients, ready) = (
            bound.clients().expect("bound"),
            bound.ready().expect("bound"),
        );
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(bound.run(async {
            // A dropped sender is no signal.
            if stopped.await.is_err() {
                std::future::pending().await
            }
        }));
        FrontHandle {
            clients,
            ready,
            door,
            stop: Some(stop),
            task,
        }
    }
}

fn settings(node: &str, store: SocketAddr) -> FrontSettings {
    let any = ([127, 0, 0, 1], 0).into();
    FrontSettings {
        node: node.to_owned(),
        domain: "zone-a".to_owned(),
        ip: [127, 0, 0, 1].into(),
        client_address: any,
        readiness_address: any,
        cores: 1,
        cpu_share_thousandths: 500,
        store: StoreSettings {
            address: store,
            retention_ms: 300_000,
            record_bytes_max: 262_144,
            append_bytes_max: 2_097_152,
            partitions: 24,
            member_ttl_min_ms: 1_000,
        },
        bounds: Bounds {
            grace_ms: 8_000,
            holder_pause_ms: 300,
            job_readable_ms: 120_000,
            settle_ms: 1_000,
        },
        duties: None,
    }
}

/// Waits until something holds.
pub async fn until<F>(what: &str, mut holds: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let looks = async {
        while !holds().await {
            tokio::time::sleep(LOOK).await;
        }
    };
    let in_time = tokio::time::timeout(PATIENCE, looks).await;
    assert!(in_time.is_ok(), "not in time: {what}");
}

/// Replicas write the version that they hold, as the real ones do.
pub fn beat_loaded(site: &Site) {
    for replica in site
        .replicas
        .iter()
        .filter(|replica| replica.id.starts_with("engine"))
    {
        let orders = replica.seen.orders();
        let version = orders.last().map_or(1, |order| order.version);
        site.beat(replica, "ready", version);
    }
}
