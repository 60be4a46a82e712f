//! Commands to the coordinator's task, and the reports of its runs.

use std::net::SocketAddr;
use std::sync::Arc;

use config::Service;
use samples::{Completion, CopyMessage, Fault, PartialSample, RunId, Score, Step, StepKey};
use tokio::sync::oneshot;
use types::WeightVersion;
use weights::ModelKey;

use super::StepStatus;
use crate::rejection::Rejection;

/// A step posted by a trainer.
pub struct Post {
    pub model: Arc<Service>,
    pub step: Arc<Step>,
    /// The trainer's newest cursor; `None` if it has none.
    pub cursor: Option<String>,
    /// Version that the trainer itself has reached.
    pub trainer_version: WeightVersion,
}

/// A fetch by a trainer.
pub struct Fetch {
    pub key: StepKey,
    /// The trainer's newest cursor.
    pub cursor: String,
    /// Version that the trainer itself has reached.
    pub trainer_version: WeightVersion,
    /// Maximum number of samples in the reply.
    pub max: u32,
    /// Longest wait for the first sample.
    pub wait_ms: u64,
}

/// Reply to a fetch.
pub struct Reply {
    /// Samples with their staleness.
    pub offers: Vec<samples::Offer>,
    /// Sealed cursor for the next fetch.
    pub cursor: String,
    /// Number of slots that the cursor lists as received.
    pub received: u32,
    /// Number of slots of the step.
    pub total: u32,
    /// Whether the cursor lists every slot as received.
    pub complete: bool,
}

/// Report of a run to the coordinator.
pub enum RunReport {
    /// The run has generated tokens.
    Progress {
        /// Tokens generated so far.
        tokens: u64,
        /// Weight version of the latest chunk; `None` if the chunk names no version.
        stamp: Option<WeightVersion>,
    },
    /// The run has ended with a complete result.
    Finished(Completion),
    /// The run has ended without a complete result. The partial sample is what the next run can
    /// resume from.
    Failed(RunFault, Option<PartialSample>),
}

/// Why a run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunFault {
    /// Fault that is reported to the ledger.
    pub fault: Fault,
    /// Whether the replica or the connection to it caused the failure, so that the replica is
    /// ejected.
    pub at_replica: bool,
}

impl RunFault {
    /// A fault that does not count against the replica.
    pub fn not_at_replica(fault: Fault) -> Self {
        Self {
            fault,
            at_replica: false,
        }
    }
}

/// A command to the coordinator's task.
pub enum Command {
    /// Adds a step. Answered with the cursor for the first fetch.
    Post(Box<Post>, oneshot::Sender<Result<String, Rejection>>),
    /// Answered with samples as soon as there are any, or at the end of the wait.
    Fetch(Fetch, oneshot::Sender<Result<Reply, Rejection>>),
    /// Applies copies received from the step's other home.
    ApplyCopies(Vec<CopyMessage>),
    /// Reports the progress or the end of a run.
    RunReport(StepKey, RunId, RunReport),
    /// Reports the score of a run's sample; `None` if the score request failed.
    Scored(StepKey, RunId, Option<Score>),
    /// A version has become active.
    Announce(ModelKey, WeightVersion),
    /// Reports whether a copy of a step's post has reached another home.
    CopyResult {
        key: StepKey,
        /// The other home.
        to: SocketAddr,
        delivered: bool,
    },
    /// Answered with the state of every held step.
    Status(oneshot::Sender<Vec<StepStatus>>),
}
