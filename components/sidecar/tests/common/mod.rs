//! An agent on loopback between stand-ins of the platform's services and a caller.
#![allow(dead_code, clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use std::net::SocketAddr;
use std::time::Duration;

use adapters::{
    ClientSettings, Endpoint, EndpointSettings, LogClient, Request, Vm, VmRole, VmState,
};
use bytes::Bytes;
use config::{Publish, Record};
use link::{Call, CallEvent, LinkSettings, Links, Udp};
use protocol::{Datagram, GossipMessage, Head, Key, Keys, Open, ProcessRole, Status};
use settings::{AgentSettings, CommonSettings, EndpointKind, Fencing, SharedKey};
use sidecar::{Sidecar, Tuning};
use standins::engine::{EngineSettings, Speeds};
use standins::log::LogSettings;
use standins::service::ServiceSettings;
use standins::vms::VmsSettings;
use standins::{Handle, engine, log, service, vms};
use telemetry::LogLevel;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use types::{
    Class, CustomerName, Failure, FailureDomain, Incarnation, NodeId, Region, ServiceName,
    WeightTarget, WeightVersion,
};

const LOOPBACK: &str = "127.0.0.1:0";
const KEY: [u8; 32] = [7; 32];
/// Far longer than any step of these tests takes, so that only a failing test reaches the limit.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub const OFFICE_CONFIG: &str = r#"
schema = 1
customer = "office"
[[service]]
name = "redacteurs"
kind = "model"
pool = "redacteurs"
[[service]]
name = "guichet"
kind = "plain"
pool = "guichet"
"#;

pub const VERSION_2: WeightVersion = WeightVersion {
    epoch: 0,
    version: 2,
};

pub fn version_2_announcement() -> GossipMessage {
    announcement(WeightTarget::serve(VERSION_2))
}

pub fn announcement(target: WeightTarget) -> GossipMessage {
    GossipMessage::Weights {
        customer: "office".parse().unwrap(),
        service: "redacteurs".parse().unwrap(),
        target,
    }
}

pub fn loopback() -> SocketAddr {
    LOOPBACK.parse().unwrap()
}

/// Stand-ins of the log and the VM list.
pub struct Platform {
    pub log: Handle,
    pub vms: Handle,
}

impl Platform {
    pub async fn start(listed: &[SocketAddr]) -> Platform {
        let agents = listed.iter().map(|&address| vm(address, VmRole::Agent));
        Platform::start_with(agents.collect()).await
    }

    pub async fn start_with_entry(entry: SocketAddr) -> Platform {
        Platform::start_with(vec![vm(entry, VmRole::Entry)]).await
    }

    async fn start_with(vms: Vec<Vm>) -> Platform {
        let settings = VmsSettings {
            vms,
            ..VmsSettings::new(loopback())
        };
        Platform {
            log: log::start(LogSettings::new(loopback())).await.unwrap(),
            vms: vms::start(settings).await.unwrap(),
        }
    }

    pub async fn publish(&self, text: &str) {
        self.publish_for("office", text).await;
    }

    pub async fn publish_for(&self, customer: &str, text: &str) {
        let customer = CustomerName::new(customer).unwrap();
        let publish = Publish::based_on(customer, None, "first", text);
        let record = Record::Publish(publish).to_json().unwrap();
        let client = LogClient::new(self.log.address, &ClientSettings::default());
        client.append("config", &record).await.unwrap();
    }
}

fn vm(address: SocketAddr, role: VmRole) -> Vm {
    Vm {
        address,
        role,
        failure_domain: FailureDomain::new("rennes-a").unwrap(),
        region: Region::new("bretagne").unwrap(),
        state: VmState::Live,
    }
}

pub async fn plain_endpoint(service_ms: u64) -> Handle {
    let settings = ServiceSettings {
        service_ms,
        ..ServiceSettings::new(loopback(), "guichet")
    };
    service::start(settings).await.unwrap()
}

/// Starts an engine; its steps take no time if the scale is 0.
pub async fn engine_endpoint(scale_permille: u32) -> Handle {
    engine_with_models(scale_permille, &["redacteurs"]).await
}

/// Like [`engine_endpoint`], with models of these names.
pub async fn engine_with_models(scale_permille: u32, models: &[&str]) -> Handle {
    let model = |name: &&str| ((*name).to_owned(), WeightVersion::default());
    let settings = EngineSettings {
        models: models.iter().map(model).collect(),
        ..engine_settings(scale_permille)
    };
    engine::start(settings).await.unwrap()
}

/// Starts an engine that loads weights from a store.
pub async fn engine_with_store(store: SocketAddr) -> Handle {
    let settings = EngineSettings {
        store: Some(store),
        ..engine_settings(0)
    };
    engine::start(settings).await.unwrap()
}

fn engine_settings(scale_permille: u32) -> EngineSettings {
    EngineSettings {
        speeds: Speeds {
            scale_permille,
            ..Speeds::default()
        },
        report_lag_ms: 0,
        ..EngineSettings::new(loopback(), "redacteurs")
    }
}

/// An agent that runs in a task of the test.
pub struct TestAgent {
    pub address: SocketAddr,
    pub admin: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl TestAgent {
    pub async fn start(platform: &Platform, endpoint: SocketAddr, kind: EndpointKind) -> TestAgent {
        TestAgent::start_tuned(platform, endpoint, kind, Tuning::default()).await
    }

    pub async fn start_tuned(
        platform: &Platform,
        endpoint: SocketAddr,
        kind: EndpointKind,
        tuning: Tuning,
    ) -> TestAgent {
        let settings = settings(platform, endpoint, kind);
        TestAgent::start_with(settings, tuning).await
    }

    /// Starts an agent that may host services of these customers.
    pub async fn start_for(
        platform: &Platform,
        endpoint: SocketAddr,
        kind: EndpointKind,
        customers: &[&str],
    ) -> TestAgent {
        let customers = customers.iter().map(|name| name.parse().unwrap());
        let settings = AgentSettings {
            customers: customers.collect(),
            ..settings(platform, endpoint, kind)
        };
        TestAgent::start_with(settings, Tuning::default()).await
    }

    async fn start_with(settings: AgentSettings, tuning: Tuning) -> TestAgent {
        let sidecar = Sidecar::bind(settings, tuning).await.unwrap();
        let (stop, stopped) = oneshot::channel::<()>();
        let stopped = async move {
            let _ = stopped.await;
        };
        TestAgent {
            address: sidecar.inner_address(),
            admin: sidecar.admin_address().unwrap(),
            stop: Some(stop),
            task: tokio::spawn(async move { sidecar.run(stopped).await.unwrap() }),
        }
    }

    pub fn start_leaving(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    pub async fn wait_until_ended(&mut self) {
        timeout(TEST_TIMEOUT, &mut self.task)
            .await
            .unwrap()
            .unwrap();
    }
}

impl Drop for TestAgent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn settings(platform: &Platform, endpoint: SocketAddr, kind: EndpointKind) -> AgentSettings {
    let pool = match kind {
        EndpointKind::Model => "redacteurs",
        EndpointKind::Plain => "guichet",
    };
    AgentSettings {
        common: CommonSettings {
            inner_listen: loopback(),
            admin_listen: loopback(),
            log: platform.log.address,
            vm_list: platform.vms.address,
            failure_domain: FailureDomain::new("rennes-a").unwrap(),
            region: Region::new("bretagne").unwrap(),
            keys: vec![SharedKey(KEY)],
            metrics: None,
            log_level: LogLevel::Error,
            settle_ms: 0,
            drain_ms: 20_000,
            log_retention_ms: 3_600_000,
        },
        endpoint,
        endpoint_kind: kind,
        pool: pool.parse().unwrap(),
        customers: vec!["office".parse().unwrap()],
        fencing: Fencing::Ignored,
        load_window_ms: 0,
    }
}

/// Stands in for an entry: makes calls and sends gossip.
pub struct Caller {
    pub links: Links,
    udp: Udp,
    node: NodeId,
}

/// How a call ended.
#[derive(Debug, PartialEq, Eq)]
pub enum CallResult {
    Complete(u16, String),
    Failed(Failure),
}

impl Caller {
    pub async fn start() -> Caller {
        let keys = Keys::one(Key::new(KEY));
        let failure_domain = FailureDomain::new("rennes-a").unwrap();
        let settings = |address| {
            let incarnation = Incarnation(1);
            let node = NodeId {
                address,
                incarnation,
            };
            let domain = failure_domain.clone();
            LinkSettings::new(node, ProcessRole::Entry, domain, keys.clone())
        };
        let udp = Udp::bind(loopback(), &settings(loopback())).await.unwrap();
        let own = settings(udp.local_address().unwrap());
        Caller {
            node: own.node,
            links: Links::new(own),
            udp,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.node.address
    }

    pub fn open(&self, service: &str, method: &str, path: &str, body: &str) -> Open {
        Open {
            id: self.links.next_id(),
            request_id: "r-1".to_owned(),
            customer: CustomerName::new("office").unwrap(),
            owner: CustomerName::new("office").unwrap(),
            service: ServiceName::new(service).unwrap(),
            class: Class::Interactive,
            idempotent: method == "GET",
            deadline_left_ms: 20_000,
            method: method.to_owned(),
            path: path.to_owned(),
            headers: vec![("x-request-tag".to_owned(), "tag".to_owned())],
            body: Bytes::copy_from_slice(body.as_bytes()),
        }
    }

    pub fn completion(&self, prompt: &str, stream: bool) -> Open {
        let body = format!(
            r#"{{"model":"redacteurs","prompt":"{prompt}","max_tokens":200,"stream":{stream}}}"#
        );
        Open {
            idempotent: true,
            ..self.open("redacteurs", "POST", "/v1/completions", &body)
        }
    }

    pub async fn call(&self, agent: &TestAgent, open: Open) -> CallResult {
        let mut call = self.links.call(agent.address, open);
        read_to_end(&mut call).await
    }

    pub async fn gossip(&self, agent: &TestAgent, message: GossipMessage) {
        let datagram = Datagram {
            from: self.node,
            role: ProcessRole::Entry,
            messages: vec![message],
        };
        self.udp.send(agent.address, &datagram).await.unwrap();
    }

    /// Sends probes until a status matches.
    pub async fn wait_for_status(
        &self,
        agent: &TestAgent,
        wanted: impl Fn(&Status) -> bool,
    ) -> Status {
        let seen = async {
            loop {
                self.gossip(agent, GossipMessage::Probe).await;
                let received = timeout(Duration::from_millis(50), self.next_status(agent)).await;
                if let Ok(status) = received
                    && wanted(&status)
                {
                    return status;
                }
            }
        };
        timeout(TEST_TIMEOUT, seen)
            .await
            .expect("no status of the agent matched in time")
    }

    /// Waits for the next status that the agent sends, whether it was probed or not.
    pub async fn next_status(&self, agent: &TestAgent) -> Status {
        self.next_sender_and_status(agent).await.1
    }

    /// Like [`Caller::next_status`], with the node id of the sender.
    pub async fn next_sender_and_status(&self, agent: &TestAgent) -> (NodeId, Status) {
        let (from, mut statuses) = self.next_statuses(agent).await;
        (from, statuses.remove(0))
    }

    /// Returns all statuses of the next datagram that has any.
    pub async fn next_statuses(&self, agent: &TestAgent) -> (NodeId, Vec<Status>) {
        loop {
            let (_, datagram) = self.udp.recv().await;
            let status_in = |message| match message {
                GossipMessage::Status(status) => Some(*status),
                _ => None,
            };
            let statuses: Vec<Status> = datagram
                .messages
                .into_iter()
                .filter_map(status_in)
                .collect();
            if datagram.from.address == agent.address && !statuses.is_empty() {
                return (datagram.from, statuses);
            }
        }
    }

    /// Waits until the agent reports a hosted service.
    pub async fn wait_until_hosted(&self, agent: &TestAgent) -> Status {
        self.wait_for_status(agent, |status| !status.hosted.is_empty())
            .await
    }
}

/// Reads a call to its end.
pub async fn read_to_end(call: &mut Call) -> CallResult {
    let mut status = 0;
    let mut text = Vec::new();
    loop {
        match timeout(TEST_TIMEOUT, call.next())
            .await
            .expect("no event of the call within the time limit")
        {
            CallEvent::Head(Head { status: given, .. }) => status = given,
            CallEvent::Chunk(bytes) => text.extend_from_slice(&bytes),
            CallEvent::End => {
                return CallResult::Complete(status, String::from_utf8(text).unwrap());
            }
            CallEvent::Failed(failure) => return CallResult::Failed(failure),
            CallEvent::Accepted | CallEvent::Started => {}
        }
    }
}

/// Reads a call until an event matches.
pub async fn wait_for_event(call: &mut Call, wanted: impl Fn(&CallEvent) -> bool) {
    loop {
        let event = timeout(TEST_TIMEOUT, call.next())
            .await
            .expect("no event of the call within the time limit");
        if wanted(&event) {
            return;
        }
        let last = matches!(event, CallEvent::End | CallEvent::Failed(_));
        assert!(!last, "the call ended before the expected event: {event:?}");
    }
}

pub async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let endpoint = Endpoint::new(address, EndpointSettings::default());
    let response = endpoint
        .send(Request::new("GET", path), 5_000)
        .await
        .unwrap();
    let body = response.body.read_to_end().await.unwrap();
    (
        response.head.status,
        String::from_utf8(body.to_vec()).unwrap(),
    )
}
