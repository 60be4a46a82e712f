//! Assigns addresses and failure domains to the processes of a fleet and builds their command
//! lines.

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

/// Address, failure domain and role of one process.
pub(super) struct ProcessPlan {
    pub(super) failure_domain: &'static str,
    pub(super) inner: SocketAddr,
    pub(super) admin: SocketAddr,
    /// An entry's address for callers; equal to `inner` for agents.
    pub(super) public: SocketAddr,
    name: String,
    role: VmRole,
}

/// Plans of all processes.
pub(super) struct Plan {
    pub(super) entries: Vec<ProcessPlan>,
    pub(super) agents: Vec<ProcessPlan>,
    region: &'static str,
}

/// Settings that are the same for all processes.
pub(super) struct SharedSettings {
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
        let mut next = ports::find_free(count, seed)?;
        let domains = settings.site.failure_domains;
        let mut next_address = || {
            next += 1;
            SocketAddr::from((Ipv4Addr::LOCALHOST, next - 1))
        };
        let mut plan_process = |number: usize, role: VmRole, kind: &str| {
            let (inner, admin) = (next_address(), next_address());
            let public = if role == VmRole::Entry {
                next_address()
            } else {
                inner
            };
            ProcessPlan {
                failure_domain: domains[number % domains.len()],
                inner,
                admin,
                public,
                name: format!("{kind}-{number}"),
                role,
            }
        };
        let entries = (0..settings.entries.len())
            .map(|number| plan_process(number, VmRole::Entry, "entry"))
            .collect();
        let pools = [
            ("engine", settings.engines),
            ("service", settings.services),
            ("scorer", settings.scorers),
        ];
        let mut agents = Vec::new();
        for (kind, count) in pools {
            agents.extend((0..count).map(|number| plan_process(number, VmRole::Agent, kind)));
        }
        Ok(Plan {
            entries,
            agents,
            region: settings.site.region,
        })
    }

    /// Entries of the VM list, one for each process.
    pub(super) fn vms(&self) -> Vec<Vm> {
        let vm = |process: &ProcessPlan| {
            Some(Vm {
                address: process.inner,
                role: process.role,
                failure_domain: process.failure_domain.parse().ok()?,
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

/// Command line of an agent.
pub(super) fn agent_program(
    programs: &Programs,
    common: &SharedSettings,
    process: &ProcessPlan,
    endpoint: &Endpoint,
) -> Program {
    let (kind, fencing) = match endpoint.kind {
        EndpointKind::Engine => ("model", "checked"),
        EndpointKind::Plain => ("plain", "ignored"),
    };
    let mut command_line = vec![programs.agent.to_string_lossy().into_owned()];
    command_line.extend(shared_flags(common, process));
    command_line.extend(flag("endpoint", endpoint.address));
    command_line.extend(flag("endpoint-kind", kind));
    command_line.extend(flag("pool", endpoint.pool));
    command_line.extend(flag("customers", common.customer));
    command_line.extend(flag("fencing", fencing));
    program(command_line, common, process)
}

/// Command line of an entry.
pub(super) fn entry_program(
    programs: &Programs,
    common: &SharedSettings,
    process: &ProcessPlan,
    policy: Option<Policy>,
) -> Program {
    let mut command_line = match policy {
        None => vec![programs.entry.to_string_lossy().into_owned()],
        Some(policy) => {
            let bench = programs.bench.to_string_lossy().into_owned();
            let mut command_line = vec![bench, "entry".to_owned()];
            command_line.extend(flag("policy", policy.as_str()));
            command_line
        }
    };
    command_line.extend(shared_flags(common, process));
    command_line.extend(flag("listen", process.public));
    program(command_line, common, process)
}

fn shared_flags(common: &SharedSettings, process: &ProcessPlan) -> Vec<String> {
    let flags = [
        flag("inner-listen", process.inner),
        flag("admin-listen", process.admin),
        flag("log", common.log),
        flag("vm-list", common.vm_list),
        flag("failure-domain", process.failure_domain),
        flag("region", common.region),
        flag("key-file", common.key_file.display()),
    ];
    flags.concat()
}

fn flag(name: &str, value: impl ToString) -> Vec<String> {
    vec![format!("--{name}"), value.to_string()]
}

fn program(command_line: Vec<String>, common: &SharedSettings, process: &ProcessPlan) -> Program {
    Program {
        command_line,
        admin: process.admin,
        log_file: common.directory.join(format!("{}.log", process.name)),
    }
}
