//! A visit to a running site: makes each kind of call, runs two training steps with new weights in
//! between, and checks the guarantees of the system.

mod calls;
mod completions;
mod report;
mod scored_sample;
mod training;

use std::net::SocketAddr;

use derive::value;

pub use report::{Check, Report};

use crate::caller::Caller;
use crate::error::BenchError;
use crate::site::Site;
use crate::status;

/// Settings of a visit.
#[value]
pub struct VisitSettings {
    /// Site that is running.
    pub site: Site,
    /// Public addresses of the entries, at least two.
    pub entries: Vec<SocketAddr>,
    /// Admin addresses of the entries.
    pub admins: Vec<SocketAddr>,
    /// Addresses of the stand-in services, which count the runs of each call.
    pub services: Vec<SocketAddr>,
    /// Number of replicas that each entry must see before the visit starts.
    pub replicas: usize,
    /// Longest wait for these replicas.
    pub wait_ms: u64,
    /// Part of the name of each call, so that two visits with different seeds never use the same
    /// idempotency key.
    pub seed: u64,
}

/// State that the parts of a visit share.
struct Visit {
    settings: VisitSettings,
    callers: Vec<Caller>,
    report: Report,
}

impl Visit {
    /// Caller of an entry, selected in rotation.
    fn caller(&self, turn: usize) -> &Caller {
        &self.callers[turn % self.callers.len()]
    }

    /// Name of a call, unique in the visit if the number is.
    fn name(&self, number: u64) -> String {
        format!("v{}-{number}", self.settings.seed)
    }
}

/// Makes the visit and reports all checks, also the failed ones.
pub async fn run(settings: VisitSettings) -> Result<Report, BenchError> {
    status::wait_for_replicas(&settings.admins, settings.replicas, settings.wait_ms).await?;
    let mut visit = Visit {
        callers: settings.entries.iter().copied().map(Caller::new).collect(),
        report: Report::default(),
        settings,
    };
    calls::run(&mut visit).await?;
    completions::run(&mut visit).await?;
    training::run(&mut visit).await?;
    scored_sample::run(&mut visit).await?;
    Ok(visit.report)
}
