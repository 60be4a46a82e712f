//! What a reader of a shard says of a claim.

use derive::{key, value};
use types::{CallId, Cause, Failure, RunState};

use crate::ClaimSettings;

/// Where a record stands in its stream.
#[key]
pub struct RecordPosition {
    /// Offset of the line in the log.
    pub offset: u64,
    /// Position in the line.
    pub index: u32,
}

/// What a submission with a key is to do.
#[value]
pub enum Verdict {
    /// Its claim is the first: it alone may run.
    Won,
    /// Another submission of the key may be running.
    Running,
    /// The key's call was answered whole.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Where the answer is recorded; read the line there and take
        /// [`crate::Line::outcome`]. `None` when it was too large.
        position: Option<RecordPosition>,
    },
    /// The key's call ended without a whole answer.
    Failed(Failure),
    /// The winner is gone; whether the call ran will never be known.
    Lost,
    /// The key was used for another request.
    KeyReused,
}

impl Verdict {
    /// The final answer, where the verdict alone is one.
    pub fn failure(&self, settings: &ClaimSettings) -> Option<Failure> {
        match self {
            Verdict::Won
            | Verdict::Answered {
                position: Some(_), ..
            } => None,
            Verdict::Running => Some(
                Failure::new(RunState::Unknown, Cause::ClaimTaken)
                    .retry_after(settings.running_retry_after_ms),
            ),
            // It ran and was answered, but the answer is not to be had again.
            Verdict::Answered { position: None, .. } => {
                Some(Failure::new(RunState::Failed, Cause::TooLarge))
            }
            Verdict::Failed(failure) => Some(*failure),
            Verdict::Lost => Some(Failure::new(RunState::Unknown, Cause::ClaimTaken)),
            Verdict::KeyReused => Some(Failure::not_run(Cause::KeyReused)),
        }
    }
}

/// A claim that was read, with its verdict.
#[value]
pub struct ClaimVerdict {
    /// The claim.
    pub claim: CallId,
    /// What its holder is to do.
    pub verdict: Verdict,
}
