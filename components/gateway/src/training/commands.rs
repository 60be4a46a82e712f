//! What the owner of the ledgers is asked and told.

use std::net::SocketAddr;
use std::sync::Arc;

use config::Service;
use samples::{Completion, CopyMessage, Fault, PartialSample, RunId, Score, Step, StepKey};
use tokio::sync::oneshot;
use types::WeightVersion;
use weights::ModelKey;

use super::StepStatus;
use crate::rejection::Rejection;

/// A step that a trainer posts.
pub struct Post {
    /// Its model.
    pub model: Arc<Service>,
    /// The step.
    pub step: Arc<Step>,
    /// The trainer's newest cursor, if it has one.
    pub cursor: Option<String>,
    /// The trainer's own version.
    pub trainer_version: WeightVersion,
}

/// A fetch of a trainer.
pub struct Fetch {
    /// Its step.
    pub key: StepKey,
    /// The trainer's newest cursor.
    pub cursor: String,
    /// The trainer's own version.
    pub trainer_version: WeightVersion,
    /// Most samples that are wanted.
    pub max: u32,
    /// How long to wait for a first one, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a fetch, as it goes into a reply.
pub struct Reply {
    /// Samples with their age.
    pub offers: Vec<samples::Offer>,
    /// The next cursor, as text.
    pub cursor: String,
    /// Slots in it.
    pub received: u32,
    /// Slots of the step.
    pub total: u32,
    /// Whether nothing is missing then.
    pub complete: bool,
}

/// What became of a run.
pub enum RunReport {
    /// It made tokens.
    Progress {
        /// Tokens so far.
        tokens: u64,
        /// Version of the latest.
        stamp: Option<WeightVersion>,
    },
    /// It has its whole result.
    Finished(Completion),
    /// It ended without.
    Failed(RunFault, Option<PartialSample>),
}

/// Why a run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunFault {
    /// As the ledger sees it.
    pub fault: Fault,
    /// Its replica, or the way there, is at fault.
    pub at_replica: bool,
}

impl RunFault {
    /// A fault that says nothing of the replica.
    pub fn not_at_replica(fault: Fault) -> Self {
        Self {
            fault,
            at_replica: false,
        }
    }
}

/// One order.
pub enum Command {
    /// Take a step; gives the cursor to fetch with.
    Post(Box<Post>, oneshot::Sender<Result<String, Rejection>>),
    /// Give samples.
    Fetch(Fetch, oneshot::Sender<Result<Reply, Rejection>>),
    /// Take what the other home sends.
    ApplyCopies(Vec<CopyMessage>),
    /// A run reports.
    RunReport(StepKey, RunId, RunReport),
    /// The scorer answered, or failed.
    Scored(StepKey, RunId, Option<Score>),
    /// A version came in force.
    Announce(ModelKey, WeightVersion),
    /// Another home has taken a step's post, or the copy was lost.
    CopyResult {
        /// The step.
        key: StepKey,
        /// The other home.
        to: SocketAddr,
        /// Whether it has it.
        delivered: bool,
    },
    /// Tell the state.
    Status(oneshot::Sender<Vec<StepStatus>>),
}
