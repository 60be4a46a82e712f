//! Entries and agents on loopback, with stand-ins for the platform.
// The exemption in clippy.toml does not cover helper functions.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use adapters::{ClientSettings, LogClient, Vm, VmRole, VmState};
use bytes::Bytes;
use config::{Publish, Record};
use gateway::{Entry, Tuning};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use settings::{
    AgentSettings, Ceilings, CommonSettings, EndpointKind, EntrySettings, Fencing, SharedKey,
};
use sidecar::Sidecar;
use standins::engine::{EngineSettings, Speeds};
use standins::log::LogSettings;
use standins::service::ServiceSettings;
use standins::vms::VmsSettings;
use standins::{Handle, engine, log, service, vms};
use telemetry::LogLevel;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use types::{CustomerName, FailureDomain, Region, WeightVersion};

const LOOPBACK: &str = "127.0.0.1:0";
const KEY: [u8; 32] = [7; 32];
const DOMAINS: [&str; 3] = ["rennes-a", "brest-b", "vannes-c"];
/// Much longer than any operation in the tests takes; only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub const CLERK: &str = "clerk-token";
pub const TRAINER: &str = "trainer-token";
pub const OPERATOR: &str = "operator-token";

/// The configuration of customer `office`, with the digests of the tokens above.
fn office_config(requests_per_s: u32) -> String {
    let limit = format!("requests_per_s = {requests_per_s}");
    let mut text = OFFICE.replace("requests_per_s = 5000", &limit);
    for (name, role, token) in [
        ("clerk", "caller", CLERK),
        ("trainer", "trainer", TRAINER),
        ("operator", "operator", OPERATOR),
    ] {
        let digest = config::TokenDigest::of(token);
        text.push_str(&format!(
            "[[token]]\nname = \"{name}\"\nrole = \"{role}\"\nsha256 = \"{digest}\"\n"
        ));
    }
    text
}

const OFFICE: &str = r#"
schema = 1
customer = "office"
[limits]
requests_per_s = 5000
in_progress = 1000
tokens_per_s = 10000000
[[service]]
name = "redacteurs"
kind = "model"
pool = "redacteurs"
staleness_bound = 1
[[service]]
name = "guichet"
kind = "plain"
pool = "guichet"
non_idempotent = ["POST /sanctions"]
"#;

fn loopback() -> SocketAddr {
    LOOPBACK.parse().unwrap()
}

/// Processes and limits of a [`Site`].
pub struct SiteSettings {
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    /// Time that a plain service takes for one call.
    pub service_ms: u64,
    /// Rate limit of customer `office`.
    pub requests_per_s: u32,
    /// Ceilings configured by the operator.
    pub ceilings: Ceilings,
    pub tuning: Tuning,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 0,
            services: 2,
            service_ms: 0,
            requests_per_s: 5_000,
            ceilings: Ceilings::default(),
            tuning: Tuning::default(),
        }
    }
}

/// A running process, which is aborted when dropped.
pub struct Process {
    /// Public address of an entry; admin address of an agent.
    pub address: SocketAddr,
    pub admin: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Process {
    /// Signals the process to drain and leave.
    pub fn start_leaving(&mut self) {
        let _ = self.stop.take().unwrap().send(());
    }

    /// Waits until the process has ended.
    pub async fn wait_until_left(&mut self) {
        timeout(TEST_TIMEOUT, &mut self.task)
            .await
            .unwrap()
            .unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Entries, agents and endpoints, with stand-ins for the log and the VM list.
pub struct Site {
    pub log: Handle,
    pub vms: Handle,
    pub engines: Vec<Handle>,
    pub services: Vec<Handle>,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
}

impl Site {
    /// Starts all processes, publishes the configuration and waits until every entry has it and
    /// sees every replica.
    pub async fn start(site_settings: SiteSettings) -> Site {
        let log = log::start(LogSettings::new(loopback())).await.unwrap();
        let vms = vms::start(VmsSettings::new(loopback())).await.unwrap();
        let mut engines = Vec::new();
        for _ in 0..site_settings.engines {
            engines.push(engine::start(engine_settings()).await.unwrap());
        }
        let mut services = Vec::new();
        for _ in 0..site_settings.services {
            let settings = ServiceSettings {
                service_ms: site_settings.service_ms,
                ..ServiceSettings::new(loopback(), "guichet")
            };
            services.push(service::start(settings).await.unwrap());
        }
        let mut site = Site {
            log,
            vms,
            engines,
            services,
            entries: Vec::new(),
            agents: Vec::new(),
        };
        site.start_processes(&site_settings).await;
        site.publish(&office_config(site_settings.requests_per_s))
            .await;
        site.wait_until_ready(&site_settings).await;
        site
    }

    async fn start_processes(&mut self, site_settings: &SiteSettings) {
        let mut bound = Vec::new();
        let mut listed = Vec::new();
        for number in 0..site_settings.entries {
            let settings = EntrySettings {
                common: self.common(number),
                listen: loopback(),
                ceilings: site_settings.ceilings,
            };
            let entry = Entry::bind(settings, site_settings.tuning.clone())
                .await
                .unwrap();
            listed.push(vm(entry.inner_address(), VmRole::Entry, number));
            bound.push(entry);
        }
        let engines = self
            .engines
            .iter()
            .map(|e| (e.address, EndpointKind::Model));
        let services = self
            .services
            .iter()
            .map(|s| (s.address, EndpointKind::Plain));
        let mut agents = Vec::new();
        for (number, (endpoint, kind)) in engines.chain(services).enumerate() {
            let agent = self.bind_agent(number, endpoint, kind).await;
            listed.push(vm(agent.inner_address(), VmRole::Agent, number));
            agents.push(agent);
        }
        self.list_vms(&listed).await;
        for agent in agents {
            let admin = agent.admin_address().unwrap();
            let run = |stop| async { agent.run(stop).await.unwrap() };
            self.agents.push(spawn(admin, admin, run));
        }
        bound.into_iter().for_each(|entry| self.run(entry));
    }

    async fn list_vms(&self, vms: &[Vm]) {
        let set = json!({ "set": vms, "remove": [] }).to_string();
        let request = TestRequest::post("/standin/vms", set);
        assert_eq!(request.send(self.vms.address).await.status, StatusCode::OK);
    }

    fn run(&mut self, entry: Entry) {
        let address = entry.public_address().unwrap();
        let admin = entry.admin_address().unwrap();
        let run = |stop| async { entry.run(stop).await.unwrap() };
        self.entries.push(spawn(address, admin, run));
    }

    /// Starts another entry with this shared key and adds it to the VM list. Returns its index.
    pub async fn add_entry(&mut self, key: [u8; 32]) -> usize {
        let number = self.entries.len();
        let settings = EntrySettings {
            common: CommonSettings {
                keys: vec![SharedKey(key)],
                ..self.common(number)
            },
            listen: loopback(),
            ceilings: Ceilings::default(),
        };
        let entry = Entry::bind(settings, Tuning::default()).await.unwrap();
        let listed = vm(entry.inner_address(), VmRole::Entry, number);
        self.list_vms(&[listed]).await;
        self.run(entry);
        number
    }

    /// Polls the status page of an entry until `field` has `value`, and returns the page.
    pub async fn wait_for_status(&self, entry: usize, field: &str, value: &str) -> Value {
        let admin = self.entries[entry].admin;
        let polling = async {
            loop {
                let status = TestRequest::get("/status").send(admin).await.json();
                if status[field] == value {
                    return status;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        timeout(TEST_TIMEOUT, polling).await.unwrap()
    }

    /// HTTP status of a page at the admin address.
    pub async fn admin_status(&self, entry: usize, path: &str) -> u16 {
        let admin = self.entries[entry].admin;
        TestRequest::get(path).send(admin).await.status.as_u16()
    }

    async fn bind_agent(&self, number: usize, endpoint: SocketAddr, kind: EndpointKind) -> Sidecar {
        let pool = match kind {
            EndpointKind::Model => "redacteurs",
            EndpointKind::Plain => "guichet",
        };
        let settings = AgentSettings {
            common: self.common(number),
            endpoint,
            endpoint_kind: kind,
            pool: pool.parse().unwrap(),
            customers: vec!["office".parse().unwrap()],
            fencing: Fencing::Checked,
            load_window_ms: 0,
        };
        Sidecar::bind(settings, sidecar::Tuning::default())
            .await
            .unwrap()
    }

    fn common(&self, number: usize) -> CommonSettings {
        CommonSettings {
            inner_listen: loopback(),
            admin_listen: loopback(),
            log: self.log.address,
            vm_list: self.vms.address,
            failure_domain: FailureDomain::new(DOMAINS[number % DOMAINS.len()]).unwrap(),
            region: Region::new("bretagne").unwrap(),
            keys: vec![SharedKey(KEY)],
            metrics: None,
            log_level: LogLevel::Error,
            settle_ms: 0,
            drain_ms: 60_000,
            log_retention_ms: 3_600_000,
        }
    }

    async fn publish(&self, text: &str) {
        let customer = CustomerName::new("office").unwrap();
        let publish = Publish::based_on(customer, None, "first", text);
        let record = Record::Publish(publish).to_json().unwrap();
        let client = LogClient::new(self.log.address, &ClientSettings::default());
        client.append("config", &record).await.unwrap();
    }

    /// Waits until every entry is ready and sees every replica.
    async fn wait_until_ready(&self, site_settings: &SiteSettings) {
        let wanted = [
            ("redacteurs", site_settings.engines),
            ("guichet", site_settings.services),
        ];
        let polling = async {
            for entry in &self.entries {
                while !is_ready_with(entry, &wanted).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        };
        timeout(TEST_TIMEOUT, polling).await.unwrap();
    }

    /// Repeats the request until it is answered with status 200.
    pub async fn send_until_ok(&self, entry: usize, request: &TestRequest) -> Answer {
        let polling = async {
            loop {
                let answer = request.send(self.entries[entry].address).await;
                if answer.status == StatusCode::OK {
                    return answer;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        timeout(TEST_TIMEOUT, polling).await.unwrap()
    }

    pub async fn send(&self, entry: usize, request: &TestRequest) -> Answer {
        request.send(self.entries[entry].address).await
    }

    /// Number of times that calls with this tag ran at the plain services.
    pub async fn run_count(&self, tag: &str) -> u64 {
        let mut runs = 0;
        for service in &self.services {
            let answer = TestRequest::get("/standin/runs")
                .send(service.address)
                .await;
            runs += answer.json()[tag].as_u64().unwrap_or(0);
        }
        runs
    }
}

/// Whether an entry is ready and sees the given number of replicas of each service.
async fn is_ready_with(entry: &Process, wanted: &[(&str, usize)]) -> bool {
    let status = TestRequest::get("/status").send(entry.admin).await.json();
    let replicas = |service: &str| {
        let mut services = status["services"].as_array()?.iter();
        let found = services.find(|found| found["service"] == service)?;
        Some(found["replicas"].as_array()?.len())
    };
    let seen = |&(service, count): &(&str, usize)| replicas(service).unwrap_or(0) == count;
    status["ready"] == true && wanted.iter().all(seen)
}

fn engine_settings() -> EngineSettings {
    EngineSettings {
        models: vec![(
            "redacteurs".to_owned(),
            WeightVersion {
                epoch: 1,
                version: 1,
            },
        )],
        speeds: Speeds {
            scale_permille: 50,
            ..Speeds::default()
        },
        report_lag_ms: 0,
        ..EngineSettings::new(loopback(), "redacteurs")
    }
}

fn vm(address: SocketAddr, role: VmRole, number: usize) -> Vm {
    Vm {
        address,
        role,
        failure_domain: FailureDomain::new(DOMAINS[number % DOMAINS.len()]).unwrap(),
        region: Region::new("bretagne").unwrap(),
        state: VmState::Live,
    }
}

type Stop = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

fn spawn<R>(address: SocketAddr, admin: SocketAddr, run: impl FnOnce(Stop) -> R) -> Process
where
    R: Future<Output = ()> + Send + 'static,
{
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = Box::pin(async move {
        // A dropped sender means that the process was dropped, which aborts the task.
        if stopped.await.is_err() {
            std::future::pending::<()>().await;
        }
    });
    Process {
        address,
        admin,
        stop: Some(stop),
        task: tokio::spawn(run(stopped)),
    }
}

pub fn completion(prompt: &str, max_tokens: u32, stream: bool) -> String {
    json!({
        "model": "redacteurs", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
    })
    .to_string()
}

/// A request of a caller.
#[derive(Clone)]
pub struct TestRequest {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl TestRequest {
    pub fn get(path: &str) -> TestRequest {
        TestRequest {
            method: Method::GET,
            path: path.to_owned(),
            headers: vec![("authorization", format!("Bearer {CLERK}"))],
            body: String::new(),
        }
    }

    pub fn post(path: &str, body: impl Into<String>) -> TestRequest {
        TestRequest {
            method: Method::POST,
            body: body.into(),
            ..TestRequest::get(path)
        }
    }

    /// Sets a header, replacing an earlier value.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> TestRequest {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.into()));
        self
    }

    pub fn with_token(self, token: &str) -> TestRequest {
        self.with_header("authorization", format!("Bearer {token}"))
    }

    /// Sends the request on a new connection and reads the answer to its end.
    pub async fn send(&self, to: SocketAddr) -> Answer {
        timeout(TEST_TIMEOUT, self.exchange(to)).await.unwrap()
    }

    async fn exchange(&self, to: SocketAddr) -> Answer {
        let stream = TcpStream::connect(to).await.unwrap();
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        let connection = tokio::spawn(connection);
        let mut request = Request::builder()
            .method(&self.method)
            .uri(&self.path)
            .header("host", "entry");
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        let response = sender
            .send_request(request.body(body).unwrap())
            .await
            .unwrap();
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => is_complete = false,
            }
            if !is_complete {
                break;
            }
        }
        connection.abort();
        Answer {
            status: head.status,
            headers: head.headers,
            body: bytes,
            is_complete,
        }
    }
}

/// An answer as the caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub body: Vec<u8>,
    /// Whether the body ended without an error.
    pub is_complete: bool,
}

impl Answer {
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    /// Status, outcome and cause of a problem document.
    pub fn problem(&self) -> (u16, String, String) {
        assert_eq!(
            self.header("content-type"),
            "application/problem+json",
            "{self:?}"
        );
        let json = self.json();
        let text = |name: &str| json[name].as_str().unwrap().to_owned();
        assert_eq!(
            json["status"].as_u64(),
            Some(u64::from(self.status.as_u16()))
        );
        assert_eq!(
            json["request_id"].as_str(),
            Some(self.header("x-request-id"))
        );
        (self.status.as_u16(), text("outcome"), text("cause"))
    }

    /// Chunks of a streamed completion.
    pub fn chunks(&self) -> Vec<Value> {
        let lines = self.text().lines();
        let data = lines.filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str(data).ok())
            .collect()
    }

    pub fn last_chunk(&self) -> Value {
        self.chunks().pop().unwrap()
    }

    /// Distinct completion ids in a streamed completion.
    pub fn ids(&self) -> BTreeSet<String> {
        let chunks = self.chunks().into_iter();
        chunks.map(|chunk| chunk["id"].to_string()).collect()
    }

    /// Texts of the chunks of a streamed completion.
    pub fn texts(&self) -> Vec<String> {
        let chunks = self.chunks().into_iter();
        chunks
            .filter_map(|chunk| Some(chunk["choices"][0]["text"].as_str()?.to_owned()))
            .collect()
    }
}
