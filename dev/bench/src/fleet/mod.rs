//! A site under test: stand-ins in this process, entries and agents as processes of their
//! own. Everything ends when the fleet is dropped.

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
use directory::Directory;
use plan::Plan;

const REPLICAS_WAIT_MS: u64 = 30_000;

/// Settings of a fleet.
#[value]
pub struct FleetSettings {
    /// Whose.
    pub site: Site,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Scorers.
    pub scorers: usize,
    /// Routing policy of each entry; `None` runs the shipped program as it is.
    pub entries: Vec<Option<Policy>>,
    /// Time that one call of a plain service takes.
    pub service_ms: u64,
    /// Time scale of the engines.
    pub scale_permille: u32,
    /// Age of the engines' load reports.
    pub report_lag_ms: u64,
    /// Time that one append to the log takes.
    pub append_ms: u64,
    /// Chooses the ports.
    pub seed: u64,
}

/// A running process of the fleet.
pub struct Member {
    /// Its failure domain.
    pub failure_domain: &'static str,
    /// Address for callers; an agent's is its inner one.
    pub address: SocketAddr,
    process: Mutex<Process>,
}

impl Member {
    /// The process.
    pub fn process(&self) -> MutexGuard<'_, Process> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its admin address.
    pub fn admin(&self) -> SocketAddr {
        self.process().admin()
    }
}

/// A running fleet. The processes end before the stand-ins and the directory.
pub struct Fleet {
    /// The entries, in the order of the settings.
    pub entries: Vec<Member>,
    /// The agents: of engines, of plain services, of scorers.
    pub agents: Vec<Member>,
    /// The stand-ins.
    pub standins: Standins,
    _directory: Directory,
}

impl Fleet {
    /// Starts it and waits until every process answers at its admin address.
    pub async fn start(settings: &FleetSettings) -> Result<Fleet, BenchError> {
        let directory = Directory::new()?;
        let plan = Plan::new(settings)?;
        let standins = Standins::start(settings, plan.vms()).await?;
        let programs = programs()?;
        let common = plan::Common {
            log: standins.log.address,
            vm_list: standins.vms.address,
            customer: settings.site.customer,
            region: settings.site.region,
            key_file: directory.key_file()?,
            directory: directory.path().to_owned(),
        };
        let endpoints = standins.endpoints();
        let mut agents = Vec::new();
        for (place, endpoint) in plan.agents.iter().zip(&endpoints) {
            let program = plan::agent(&programs, &common, place, endpoint);
            agents.push(start(place, place.inner, program)?);
        }
        let mut entries = Vec::new();
        for (place, policy) in plan.entries.iter().zip(&settings.entries) {
            let program = plan::entry(&programs, &common, place, *policy);
            entries.push(start(place, place.public, program)?);
        }
        let fleet = Fleet {
            entries,
            agents,
            standins,
            _directory: directory,
        };
        for member in fleet.members() {
            up(member).await?;
        }
        Ok(fleet)
    }

    /// All processes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().chain(&self.agents)
    }

    /// Admin addresses of all processes.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.members().map(Member::admin).collect()
    }

    /// Waits until every entry sees its subset of each service's replicas.
    pub async fn complete(&self) -> Result<(), BenchError> {
        let admins: Vec<SocketAddr> = self.entries.iter().map(Member::admin).collect();
        let subset = MemberSettings::default().subset_size;
        let standins = &self.standins;
        let pools = [&standins.engines, &standins.services, &standins.scorers];
        let replicas = pools.iter().map(|pool| pool.len().min(subset)).sum();
        status::await_replicas(&admins, replicas, REPLICAS_WAIT_MS).await
    }
}

fn start(
    place: &plan::Place,
    address: SocketAddr,
    program: process::Program,
) -> Result<Member, BenchError> {
    Ok(Member {
        failure_domain: place.failure_domain,
        address,
        process: Mutex::new(Process::start(program)?),
    })
}

async fn up(member: &Member) -> Result<(), BenchError> {
    let admin = member.admin();
    process::up(admin).await
}

/// The programs that a fleet is made of.
struct Programs {
    bench: PathBuf,
    entry: PathBuf,
    agent: PathBuf,
}

/// They lie beside this one.
fn programs() -> Result<Programs, BenchError> {
    let bench = std::env::current_exe()?;
    Ok(Programs {
        entry: bench.with_file_name("hornbeamrock-entry"),
        agent: bench.with_file_name("hornbeamrock-agent"),
        bench,
    })
}
