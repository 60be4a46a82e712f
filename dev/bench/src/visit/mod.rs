//! A visit to a running site: each kind of call that its callers make, two training steps
//! with new weights between them, and what must hold of all that.

mod acts;
mod lot;
mod opinions;
mod report;
mod training;

use std::net::SocketAddr;

use derive::value;

pub use report::{Line, Report};

use crate::caller::Caller;
use crate::error::BenchError;
use crate::site::Site;
use crate::status;

/// Settings of a visit.
#[value]
pub struct VisitSettings {
    /// Where.
    pub site: Site,
    /// Public addresses of the entries, two at least.
    pub entries: Vec<SocketAddr>,
    /// Admin addresses of the entries.
    pub admins: Vec<SocketAddr>,
    /// Plain services of the stand-ins, where runs are counted.
    pub services: Vec<SocketAddr>,
    /// Replicas that each entry must see first.
    pub replicas: usize,
    /// Longest wait for them.
    pub wait_ms: u64,
    /// Names the calls, so that two visits don't use the same keys.
    pub seed: u64,
}

/// What the parts of a visit share.
struct Visit {
    settings: VisitSettings,
    callers: Vec<Caller>,
    report: Report,
}

impl Visit {
    /// The caller of the entry whose turn it is.
    fn caller(&self, turn: usize) -> &Caller {
        &self.callers[turn % self.callers.len()]
    }

    /// Name of a call.
    fn name(&self, number: u64) -> String {
        format!("v{}-{number}", self.settings.seed)
    }
}

/// Makes the visit.
pub async fn run(settings: VisitSettings) -> Result<Report, BenchError> {
    status::await_replicas(&settings.admins, settings.replicas, settings.wait_ms).await?;
    let mut visit = Visit {
        callers: settings.entries.iter().copied().map(Caller::new).collect(),
        report: Report::default(),
        settings,
    };
    acts::run(&mut visit).await?;
    opinions::run(&mut visit).await?;
    training::run(&mut visit).await?;
    lot::run(&mut visit).await?;
    Ok(visit.report)
}
