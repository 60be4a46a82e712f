//! Measures how long new weights take to reach every replica: agents beside stand-in engines, a
//! weight store with a limited rate of answers, and one process that announces the versions to a
//! single agent.
//!
//! `cargo run --release -p sidecar --example swap -- REPLICAS STORE_PER_S ROUNDS`
//!
//! Each round measures three times, in milliseconds: `at_once_ms` from the announcement of a
//! version that no engine has loaded until all engines serve it, `held_ms` from the announcement of
//! the next version ahead of time until all engines have loaded it, and `switched_ms` from the
//! announcement that this version is to be served until all engines serve it.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use adapters::{ClientSettings, Engine, EngineModel, LogClient, Vm, VmRole, VmState};
use config::{Publish, Record};
use link::{LinkSettings, Udp};
use protocol::{Datagram, GossipMessage, Key, Keys, ProcessRole};
use settings::{AgentSettings, CommonSettings, EndpointKind, Fencing, SharedKey};
use sidecar::{Sidecar, Tuning};
use standins::engine::EngineSettings;
use standins::log::LogSettings;
use standins::store::StoreSettings;
use standins::vms::VmsSettings;
use standins::{Handle, engine, log, store, vms};
use telemetry::LogLevel;
use types::{Incarnation, NodeId, WeightTarget, WeightVersion};

type BoxError = Box<dyn Error>;

const KEY: [u8; 32] = [7; 32];
const DOMAINS: [&str; 3] = ["rennes-a", "brest-b", "vannes-c"];
const CONFIG: &str = r#"
schema = 1
customer = "office"
[[service]]
name = "redacteurs"
kind = "model"
"#;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ROUND_TIMEOUT: Duration = Duration::from_secs(300);

struct Fleet {
    engines: Vec<(Handle, Engine)>,
    agents: Vec<SocketAddr>,
    announcer: Udp,
    node: NodeId,
    _platform: [Handle; 3],
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let mut args = std::env::args().skip(1);
    let mut number = |default: u64| args.next().map_or(Ok(default), |text| text.parse());
    let (replicas, per_s, rounds) = (number(24)?, number(4)?, number(3)?);
    let fleet = Fleet::start(replicas, per_s).await?;
    println!("replicas store_per_s at_once_ms held_ms switched_ms");
    for round in 0..rounds {
        let (first, next) = (weight_version(2 * round + 1), weight_version(2 * round + 2));
        let at_once_ms = fleet
            .announce_and_wait(WeightTarget::serve(first), serves(first))
            .await?;
        let ahead = WeightTarget {
            serve: first,
            load: next,
        };
        let held_ms = fleet.announce_and_wait(ahead, has_loaded(next)).await?;
        let switched_ms = fleet
            .announce_and_wait(WeightTarget::serve(next), serves(next))
            .await?;
        println!("{replicas} {per_s} {at_once_ms} {held_ms} {switched_ms}");
    }
    Ok(())
}

fn weight_version(version: u64) -> WeightVersion {
    WeightVersion { epoch: 0, version }
}

fn serves(version: WeightVersion) -> impl Fn(&EngineModel) -> bool {
    move |model| model.version == version
}

fn has_loaded(version: WeightVersion) -> impl Fn(&EngineModel) -> bool {
    move |model| model.loaded.contains(&version)
}

impl Fleet {
    async fn start(replicas: u64, per_s: u64) -> Result<Fleet, BoxError> {
        let store = StoreSettings {
            per_s,
            ..StoreSettings::new(loopback())
        };
        let store = store::start(store).await?;
        let log = log::start(LogSettings::new(loopback())).await?;
        publish(log.address).await?;
        let vm_list = free_address()?;
        let load_window_ms = replicas * 1_000 / per_s;
        let (mut engines, mut listed, mut sidecars) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..replicas {
            let settings = EngineSettings {
                store: Some(store.address),
                ..EngineSettings::new(loopback(), "redacteurs")
            };
            let engine = engine::start(settings).await?;
            let common = common(log.address, vm_list, number)?;
            let settings = agent(common, engine.address, load_window_ms)?;
            let sidecar = Sidecar::bind(settings, Tuning::default()).await?;
            listed.push(vm(sidecar.inner_address(), number)?);
            let control = Engine::new(engine.address, &ClientSettings::default());
            engines.push((engine, control));
            sidecars.push(sidecar);
        }
        let vms = VmsSettings {
            vms: listed.clone(),
            ..VmsSettings::new(vm_list)
        };
        let vms = vms::start(vms).await?;
        for sidecar in sidecars {
            tokio::spawn(sidecar.run(std::future::pending()));
        }
        let (announcer, node) = announcer().await?;
        // Time for the agents to discover each other and to read the configuration.
        tokio::time::sleep(Duration::from_secs(5)).await;
        Ok(Fleet {
            engines,
            agents: listed.iter().map(|vm| vm.address).collect(),
            announcer,
            node,
            _platform: [store, log, vms],
        })
    }

    /// Announces versions to one agent and measures the time until all engines match.
    async fn announce_and_wait(
        &self,
        target: WeightTarget,
        wanted: impl Fn(&EngineModel) -> bool,
    ) -> Result<u128, BoxError> {
        let began = Instant::now();
        let message = GossipMessage::Weights {
            customer: "office".parse()?,
            service: "redacteurs".parse()?,
            target,
        };
        let datagram = Datagram {
            from: self.node,
            role: ProcessRole::Entry,
            messages: vec![message],
        };
        self.announcer.send(self.agents[0], &datagram).await?;
        for (_, engine) in &self.engines {
            while !engine.state().await?.models.iter().any(&wanted) {
                if began.elapsed() > ROUND_TIMEOUT {
                    return Err("no match at an engine within the time limit".into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(began.elapsed().as_millis())
    }
}

async fn publish(log: SocketAddr) -> Result<(), BoxError> {
    let publish = Publish::based_on("office".parse()?, None, "first", CONFIG);
    let record = Record::Publish(publish).to_json()?;
    let client = LogClient::new(log, &ClientSettings::default());
    client.append("config", &record).await?;
    Ok(())
}

async fn announcer() -> Result<(Udp, NodeId), BoxError> {
    let settings = |address| -> Result<LinkSettings, BoxError> {
        let node = NodeId {
            address,
            incarnation: Incarnation(1),
        };
        let keys = Keys::one(Key::new(KEY));
        let domain = DOMAINS[0].parse()?;
        Ok(LinkSettings::new(node, ProcessRole::Entry, domain, keys))
    };
    let udp = Udp::bind(loopback(), &settings(loopback())?).await?;
    let node = NodeId {
        address: udp.local_address()?,
        incarnation: Incarnation(1),
    };
    Ok((udp, node))
}

fn common(log: SocketAddr, vm_list: SocketAddr, number: u64) -> Result<CommonSettings, BoxError> {
    Ok(CommonSettings {
        inner_listen: loopback(),
        admin_listen: loopback(),
        log,
        vm_list,
        failure_domain: domain(number).parse()?,
        region: "bretagne".parse()?,
        keys: vec![SharedKey(KEY)],
        metrics: None,
        log_level: LogLevel::Error,
        settle_ms: 0,
        drain_ms: 1_000,
        log_retention_ms: 3_600_000,
    })
}

fn agent(
    common: CommonSettings,
    endpoint: SocketAddr,
    load_window_ms: u64,
) -> Result<AgentSettings, BoxError> {
    Ok(AgentSettings {
        common,
        endpoint,
        endpoint_kind: EndpointKind::Model,
        pool: "redacteurs".parse()?,
        customers: vec!["office".parse()?],
        fencing: Fencing::Checked,
        load_window_ms,
    })
}

fn vm(address: SocketAddr, number: u64) -> Result<Vm, BoxError> {
    Ok(Vm {
        address,
        role: VmRole::Agent,
        failure_domain: domain(number).parse()?,
        region: "bretagne".parse()?,
        state: VmState::Live,
    })
}

fn domain(number: u64) -> &'static str {
    DOMAINS[number as usize % DOMAINS.len()]
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn free_address() -> Result<SocketAddr, BoxError> {
    Ok(TcpListener::bind(loopback())?.local_addr()?)
}
