//! Measures the control traffic of a node: runs the gossip loops of entries and agents over real
//! sockets in one process and reads the traffic counters of package `link`.
//!
//! `cargo run --release -p node --example control -- ENTRIES AGENTS`
//!
//! Prints bytes per second and node, without the headers of IP and UDP, as the mean and the
//! maximum over the nodes of a role. `answers_per_s` counts the probes that an agent answered. A
//! fifth of the design size is enough, since a node's rate of probes and sweeps is capped and
//! does not grow further.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use adapters::{ClientSettings, LogClient, Vm, VmList, VmRole, VmState};
use config::{Publish, Record};
use link::{Counters, Links};
use node::{ConfigFeed, FeedSettings, Gossip, GossipHooks, GossipSettings, Sockets};
use protocol::{GossipMessage, HostedService, Load, ProcessRole, Status};
use settings::{CommonSettings, SharedKey};
use standins::log::LogSettings;
use standins::vms::VmsSettings;
use standins::{log, vms};
use telemetry::LogLevel;
use types::{WeightTarget, WeightVersion};

type BoxError = Box<dyn Error>;

const DOMAINS: [&str; 8] = [
    "rennes-a",
    "brest-b",
    "vannes-c",
    "quimper-d",
    "kakkanad",
    "edappally",
    "aluva",
    "kochi",
];
const CUSTOMERS: u64 = 60;
const POOLS: u64 = 3;
const SETTLE: Duration = Duration::from_secs(40);
const QUIET: Duration = Duration::from_secs(20);
/// The design assumes 20 weight announcements per 9 minutes and 580 configuration texts per day,
/// one message per 23 s.
const MESSAGE_INTERVAL: Duration = Duration::from_secs(20);
const FLOOD_MESSAGES: u64 = 60;
const FLOOD: Duration = Duration::from_secs(5);

struct Process {
    role: ProcessRole,
    counters: Counters,
    answers: Arc<AtomicU64>,
    gossip: Gossip,
    _feed: ConfigFeed,
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let mut args = std::env::args().skip(1);
    let mut number = |default: u64| args.next().map_or(Ok(default), |text| text.parse());
    let (entries, agents) = (number(78)?, number(120)?);
    let log = log::start(LogSettings::new(loopback())).await?;
    publish(log.address).await?;
    let vm_list = free_address()?;
    let (mut sockets, mut listed) = (Vec::new(), Vec::new());
    for number in 0..entries + agents {
        let role = if number < entries {
            ProcessRole::Entry
        } else {
            ProcessRole::Agent
        };
        let common = common(log.address, vm_list, number)?;
        let bound = Sockets::bind(&common, role).await?;
        listed.push(vm(bound.identity.node().address, role, number)?);
        sockets.push((role, bound));
    }
    let vms = VmsSettings {
        vms: listed,
        ..VmsSettings::new(vm_list)
    };
    let _vms = vms::start(vms).await?;
    let mut processes = Vec::new();
    for (number, (role, bound)) in (0..).zip(sockets) {
        processes.push(start(role, bound, log.address, vm_list, number)?);
    }
    println!("phase role sent_mean sent_worst received_mean received_worst answers_per_s");
    measure("start", &processes, SETTLE).await;
    measure("quiet", &processes, QUIET).await;
    spread_weights(&processes[0].gossip, 0, 1)?;
    measure("news", &processes, MESSAGE_INTERVAL).await;
    spread_weights(&processes[0].gossip, 1, FLOOD_MESSAGES)?;
    measure("flood", &processes, FLOOD).await;
    Ok(())
}

async fn publish(log: SocketAddr) -> Result<(), BoxError> {
    let client = LogClient::new(log, &ClientSettings::default());
    for number in 0..CUSTOMERS {
        let name = format!("customer-{number}");
        let text = format!("schema = 1\ncustomer = \"{name}\"\n");
        let publish = Publish::based_on(name.parse()?, None, "first", text.as_str());
        let record = Record::Publish(publish).to_json()?;
        client.append("config", &record).await?;
    }
    Ok(())
}

fn start(
    role: ProcessRole,
    bound: Sockets,
    log: SocketAddr,
    vm_list: SocketAddr,
    number: u64,
) -> Result<Process, BoxError> {
    let counters = bound.links.counters.clone();
    let own = bound.identity.node().address;
    let log = LogClient::new(log, &ClientSettings::default());
    let feed = ConfigFeed::start(own, log, Links::new(bound.links), FeedSettings::default());
    let answers = Arc::new(AtomicU64::new(0));
    let answer_count = Arc::clone(&answers);
    let status = status(number)?;
    let statuses = move || {
        answer_count.fetch_add(1, Relaxed);
        vec![status.clone()]
    };
    let is_agent = role == ProcessRole::Agent;
    let hooks = GossipHooks {
        statuses: is_agent.then_some(Arc::new(statuses)),
        ..GossipHooks::default()
    };
    let gossip = Gossip::start(
        bound.udp,
        bound.identity,
        VmList::new(vm_list, &ClientSettings::default()),
        feed.clone(),
        GossipSettings::default(),
        hooks,
    );
    Ok(Process {
        role,
        counters,
        answers,
        gossip,
        _feed: feed,
    })
}

/// Spreads weight versions of `count` models, numbered from `from`, as trainers would announce
/// them.
fn spread_weights(gossip: &Gossip, from: u64, count: u64) -> Result<(), BoxError> {
    for number in from..from + count {
        gossip.spread(GossipMessage::Weights {
            customer: format!("customer-{number}").parse()?,
            service: "redacteurs".parse()?,
            target: WeightTarget::serve(WeightVersion {
                epoch: 0,
                version: 1,
            }),
        });
    }
    Ok(())
}

async fn measure(phase: &str, processes: &[Process], window: Duration) {
    let read = |process: &Process| {
        let traffic = process.counters.snapshot();
        let answers = process.answers.load(Relaxed);
        (
            traffic.control_sent_bytes,
            traffic.control_received_bytes,
            answers,
        )
    };
    let before: Vec<_> = processes.iter().map(read).collect();
    let start = Instant::now();
    tokio::time::sleep(window).await;
    let seconds = start.elapsed().as_secs_f64();
    let after: Vec<_> = processes.iter().map(read).collect();
    for role in [ProcessRole::Entry, ProcessRole::Agent] {
        let of_role = || {
            let pairs = processes.iter().zip(before.iter().zip(&after));
            pairs.filter(|(process, _)| process.role == role)
        };
        let per_s = |of: fn(&(u64, u64, u64)) -> u64| -> Vec<f64> {
            of_role()
                .map(|(_, (b, a))| (of(a) - of(b)) as f64 / seconds)
                .collect()
        };
        let sent = per_s(|counts| counts.0);
        let received = per_s(|counts| counts.1);
        let answers = per_s(|counts| counts.2);
        println!(
            "{phase} {role:?} {:.0} {:.0} {:.0} {:.0} {:.1}",
            mean(&sent),
            max(&sent),
            mean(&received),
            max(&received),
            mean(&answers)
        );
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Status of an agent. Three pools share the agents; each pool hosts a model and a service without
/// weights.
fn status(number: u64) -> Result<Status, BoxError> {
    let pool = number % POOLS;
    let hosted = |service: String, weights| -> Result<HostedService, BoxError> {
        Ok(HostedService {
            customer: format!("customer-{pool}").parse()?,
            service: service.parse()?,
            weights,
        })
    };
    Ok(Status {
        failure_domain: domain(number).parse()?,
        region: region(number).parse()?,
        leaving: false,
        hosted: vec![
            hosted("redacteurs".to_owned(), Some(WeightVersion::default()))?,
            hosted(format!("guichet-{pool}"), None)?,
        ],
        part: 0,
        parts: 1,
        load: Load::default(),
        endpoint_life: 0,
    })
}

fn common(log: SocketAddr, vm_list: SocketAddr, number: u64) -> Result<CommonSettings, BoxError> {
    Ok(CommonSettings {
        inner_listen: loopback(),
        admin_listen: loopback(),
        log,
        vm_list,
        failure_domain: domain(number).parse()?,
        region: region(number).parse()?,
        keys: vec![SharedKey([7; 32])],
        metrics: None,
        log_level: LogLevel::Error,
        settle_ms: 0,
        drain_ms: 1_000,
        log_retention_ms: 3_600_000,
    })
}

fn vm(address: SocketAddr, role: ProcessRole, number: u64) -> Result<Vm, BoxError> {
    Ok(Vm {
        address,
        role: match role {
            ProcessRole::Entry => VmRole::Entry,
            ProcessRole::Agent => VmRole::Agent,
        },
        failure_domain: domain(number).parse()?,
        region: region(number).parse()?,
        state: VmState::Live,
    })
}

fn domain(number: u64) -> &'static str {
    DOMAINS[number as usize % DOMAINS.len()]
}

fn region(number: u64) -> &'static str {
    if number as usize % DOMAINS.len() < DOMAINS.len() / 2 {
        "bretagne"
    } else {
        "kochi"
    }
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn free_address() -> Result<SocketAddr, BoxError> {
    Ok(TcpListener::bind(loopback())?.local_addr()?)
}
