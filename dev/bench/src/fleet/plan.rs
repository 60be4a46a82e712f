//! Where the processes of a fleet listen and with which settings they run.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use adapters::{Vm, VmRole, VmState};
use routing::Policy;

use super::process::Program;
use super::standins::{Endpoint, EndpointKind};
use super::{FleetSettings, Programs};
use crate::error::BenchError;
use crate::ports;

const PORTS_PER_ENTRY: usize = 3;
const PORTS_PER_AGENT: usize = 2;

/// Place of one process.
pub(super) struct Place {
    pub(super) failure_domain: &'static str,
    pub(super) inner: SocketAddr,
    pub(super) admin: SocketAddr,
    /// An entry's address for callers; unused for agents.
    pub(super) public: SocketAddr,
    name: String,
    role: VmRole,
}

/// Places of all processes.
pub(super) struct Plan {
    pub(super) entries: Vec<Place>,
    pub(super) agents: Vec<Place>,
    region: &'static str,
}

/// Settings that all processes share.
pub(super) struct Common {
    pub(super) log: SocketAddr,
    pub(super) vm_list: SocketAddr,
    pub(super) customer: &'static str,
    pub(super) region: &'static str,
    pub(super) key_file: PathBuf,
    pub(super) directory: PathBuf,
}

impl Plan {
    pub(super) fn new(settings: &FleetSettings) -> Result<Plan, BenchError> {
        let agents = settings.engines + settings.services + settings.scorers;
        let count = settings.entries.len() * PORTS_PER_ENTRY + agents * PORTS_PER_AGENT;
        let count = u16::try_from(count).map_err(|_| BenchError::NoPorts(u16::MAX))?;
        let seed = settings.seed.wrapping_add(u64::from(std::process::id()));
        let mut next = ports::free(count, seed)?;
        let domains = settings.site.failure_domains;
        let mut take = || {
            next += 1;
            SocketAddr::from((Ipv4Addr::LOCALHOST, next - 1))
        };
        let mut place = |number: usize, role: VmRole, what: &str| {
            let (inner, admin) = (take(), take());
            let public = if role == VmRole::Entry { take() } else { inner };
            Place {
                failure_domain: domains[number % domains.len()],
                inner,
                admin,
                public,
                name: format!("{what}-{number}"),
                role,
            }
        };
        let entries = (0..settings.entries.len())
            .map(|number| place(number, VmRole::Entry, "entry"))
            .collect();
        let pools = [
            ("engine", settings.engines),
            ("service", settings.services),
            ("scorer", settings.scorers),
        ];
        let mut agents = Vec::new();
        for (what, count) in pools {
            agents.extend((0..count).map(|number| place(number, VmRole::Agent, what)));
        }
        Ok(Plan {
            entries,
            agents,
            region: settings.site.region,
        })
    }

    /// The VM list of the fleet.
    pub(super) fn vms(&self) -> Vec<Vm> {
        let vm = |place: &Place| {
            Some(Vm {
                address: place.inner,
                role: place.role,
                failure_domain: place.failure_domain.parse().ok()?,
                region: self.region.parse().ok()?,
                state: VmState::Live,
            })
        };
        self.entries
            .iter()
            .chain(&self.agents)
            .filter_map(vm)
            .collect()
    }
}

/// How an agent is started.
pub(super) fn agent(
    programs: &Programs,
    common: &Common,
    place: &Place,
    endpoint: &Endpoint,
) -> Program {
    let (kind, fencing) = match endpoint.kind {
        EndpointKind::Engine => ("model", "checked"),
        EndpointKind::Plain => ("plain", "ignored"),
    };
    let mut line = vec![programs.agent.to_string_lossy().into_owned()];
    line.extend(shared(common, place));
    line.extend(flag("endpoint", endpoint.address));
    line.extend(flag("endpoint-kind", kind));
    line.extend(flag("pool", endpoint.pool));
    line.extend(flag("customers", common.customer));
    line.extend(flag("fencing", fencing));
    program(line, common, place)
}

/// How an entry is started.
pub(super) fn entry(
    programs: &Programs,
    common: &Common,
    place: &Place,
    policy: Option<Policy>,
) -> Program {
    let mut line = match policy {
        None => vec![programs.entry.to_string_lossy().into_owned()],
        Some(policy) => {
            let bench = programs.bench.to_string_lossy().into_owned();
            let mut line = vec![bench, "entry".to_owned()];
            line.extend(flag("policy", policy.as_str()));
            line
        }
    };
    line.extend(shared(common, place));
    line.extend(flag("listen", place.public));
    program(line, common, place)
}

fn shared(common: &Common, place: &Place) -> Vec<String> {
    let flags = [
        flag("inner-listen", place.inner),
        flag("admin-listen", place.admin),
        flag("log", common.log),
        flag("vm-list", common.vm_list),
        flag("failure-domain", place.failure_domain),
        flag("region", common.region),
        flag("key-file", common.key_file.display()),
    ];
    flags.concat()
}

fn flag(name: &str, value: impl ToString) -> Vec<String> {
    vec![format!("--{name}"), value.to_string()]
}

fn program(line: Vec<String>, common: &Common, place: &Place) -> Program {
    Program {
        line,
        admin: place.admin,
        log_file: common.directory.join(format!("{}.log", place.name)),
    }
}
