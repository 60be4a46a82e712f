//! Verdicts of a shard's reader on claims.

use derive::{key, value};
use types::{CallId, Cause, Failure, RunState};

use crate::ClaimSettings;

/// Position of a record in its stream.
#[key]
pub struct RecordPosition {
    /// Offset of the record's line in the log.
    pub offset: u64,
    /// Index of the record in the line.
    pub index: u32,
}

/// Verdict on a submission with a key.
#[value]
pub enum Verdict {
    /// Its claim is the first of the key, so this submission alone may run the call.
    Won,
    /// Another submission holds the key, and its call may be running.
    Running,
    /// The key's call was answered completely.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Position of the recorded answer: read the line at its offset and call
        /// [`crate::Line::outcome`]. `None` if the answer was too large to be recorded.
        position: Option<RecordPosition>,
    },
    /// The key's call ended without a complete answer.
    Failed(Failure),
    /// The time limit of the call passed without a record of its end; whether it ran will never be
    /// known.
    Lost,
    /// The key was used before with a different request.
    KeyReused,
}

impl Verdict {
    /// The failure to answer with; `None` if the submission may run or the recorded answer has to
    /// be read.
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
            // The call ran and was answered, but the answer was not recorded and cannot be
            // repeated.
            Verdict::Answered { position: None, .. } => {
                Some(Failure::new(RunState::Failed, Cause::TooLarge))
            }
            Verdict::Failed(failure) => Some(*failure),
            Verdict::Lost => Some(Failure::new(RunState::Unknown, Cause::ClaimTaken)),
            Verdict::KeyReused => Some(Failure::not_run(Cause::KeyReused)),
        }
    }
}

/// The verdict on a claim that was read.
#[value]
pub struct ClaimVerdict {
    /// Identifier of the claim.
    pub claim: CallId,
    /// Verdict for the claim's holder.
    pub verdict: Verdict,
}
