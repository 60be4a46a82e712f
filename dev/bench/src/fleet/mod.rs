//! A site under test. The stand-ins run in this process, the entries and agents as child processes.
//! All of them end when the fleet is dropped.

mod directory;
mod plan;
mod process;
mod publisher;
mod standins;
pub mod texts;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};

use derive::value;
use membership::MemberSettings;
use routing::Policy;

pub use process::Process;
pub use publisher::Publisher;
pub use standins::Standins;

use crate::error::BenchError;
use crate::site::Site;
use crate::status;
use directory::TempDirectory;
use plan::Plan;

const REPLICAS_TIMEOUT_MS: u64 = 30_000;

/// Settings of a fleet.
#[value]
pub struct FleetSettings {
    /// Site with its names, failure domains and region.
    pub site: Site,
    /// Number of model engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub services: usize,
    /// Number of scorers.
    pub scorers: usize,
    /// Routing policy of each entry; `None` runs the shipped program unchanged.
    pub entries: Vec<Option<Policy>>,
    /// Time that a plain service takes for a call.
    pub service_ms: u64,
    /// Factor on the time that the engines take, in thousandths; 0 for engines without delay.
    pub scale_permille: u32,
    /// Age of the load that the engines report.
    pub report_lag_ms: u64,
    /// Time that the log takes for an append.
    pub append_ms: u64,
    /// Seed of the choice of ports.
    pub seed: u64,
}

/// A running entry or agent.
pub struct FleetProcess {
    /// Failure domain that the VM list states for the process.
    pub failure_domain: &'static str,
    /// An entry's public address, or an agent's inner address.
    pub address: SocketAddr,
    process: Mutex<Process>,
}

impl FleetProcess {
    /// Locks the child process.
    pub fn lock(&self) -> MutexGuard<'_, Process> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admin address of the process.
    pub fn admin(&self) -> SocketAddr {
        self.lock().admin()
    }
}

/// A running fleet. Fields drop in their order, so the processes end before the stand-ins stop and
/// the directory is removed.
pub struct Fleet {
    /// Entries in the order of `FleetSettings::entries`.
    pub entries: Vec<FleetProcess>,
    /// Agents of the engines, then of the plain services, then of the scorers.
    pub agents: Vec<FleetProcess>,
    /// Stand-ins of the log, the VM list, the weight store and the endpoints.
    pub standins: Standins,
    _directory: TempDirectory,
}

impl Fleet {
    /// Starts a fleet and waits until every process answers at its admin address.
    pub async fn start(settings: &FleetSettings) -> Result<Fleet, BenchError> {
        let directory = TempDirectory::new()?;
        let plan = Plan::new(settings)?;
        let standins = Standins::start(settings, plan.vms()).await?;
        let programs = locate_programs()?;
        let common = plan::SharedSettings {
            log: standins.log.address,
            vm_list: standins.vms.address,
            customer: settings.site.customer,
            region: settings.site.region,
            key_file: directory.write_key_file()?,
            directory: directory.path().to_owned(),
        };
        let endpoints = standins.endpoints();
        let mut agents = Vec::new();
        for (process_plan, endpoint) in plan.agents.iter().zip(&endpoints) {
            let program = plan::agent_program(&programs, &common, process_plan, endpoint);
            agents.push(start_process(process_plan, process_plan.inner, program)?);
        }
        let mut entries = Vec::new();
        for (process_plan, policy) in plan.entries.iter().zip(&settings.entries) {
            let program = plan::entry_program(&programs, &common, process_plan, *policy);
            entries.push(start_process(process_plan, process_plan.public, program)?);
        }
        let fleet = Fleet {
            entries,
            agents,
            standins,
            _directory: directory,
        };
        for process in fleet.processes() {
            wait_until_live(process).await?;
        }
        Ok(fleet)
    }

    /// All entries and agents.
    pub fn processes(&self) -> impl Iterator<Item = &FleetProcess> {
        self.entries.iter().chain(&self.agents)
    }

    /// Admin addresses of all processes.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.processes().map(FleetProcess::admin).collect()
    }

    /// Waits until every entry sees its full subset of the replicas of each service.
    pub async fn wait_for_replicas(&self) -> Result<(), BenchError> {
        let admins: Vec<SocketAddr> = self.entries.iter().map(FleetProcess::admin).collect();
        let subset = MemberSettings::default().subset_size;
        let standins = &self.standins;
        let pools = [&standins.engines, &standins.services, &standins.scorers];
        let replicas = pools.iter().map(|pool| pool.len().min(subset)).sum();
        status::wait_for_replicas(&admins, replicas, REPLICAS_TIMEOUT_MS).await
    }
}

fn start_process(
    process_plan: &plan::ProcessPlan,
    address: SocketAddr,
    program: process::Program,
) -> Result<FleetProcess, BenchError> {
    Ok(FleetProcess {
        failure_domain: process_plan.failure_domain,
        address,
        process: Mutex::new(Process::start(program)?),
    })
}

async fn wait_until_live(process: &FleetProcess) -> Result<(), BenchError> {
    let admin = process.admin();
    process::wait_until_live(admin).await
}

/// Paths of the programs that a fleet runs.
struct Programs {
    bench: PathBuf,
    entry: PathBuf,
    agent: PathBuf,
}

/// Paths of the programs, which are built into the same folder as this program.
fn locate_programs() -> Result<Programs, BenchError> {
    let bench = std::env::current_exe()?;
    Ok(Programs {
        entry: bench.with_file_name("hornbeamrock-entry"),
        agent: bench.with_file_name("hornbeamrock-agent"),
        bench,
    })
}
