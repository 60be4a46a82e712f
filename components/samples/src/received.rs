//! The trainer's side of delivery.
//!
//! The trainer accepts a reply only if its fetch carried the cursor and the version that the
//! trainer has now, and it stores the samples and the new cursor together in one checkpoint.
//! Two fetches with the same cursor at two homes that do not know of each other return two
//! replies: the first accepted one advances the cursor, so the second is refused. A trainer
//! that moves to new weights while a fetch is open refuses the reply, because the staleness
//! of its samples was checked against the previous version.

use derive::value;
use quick_error::quick_error;
use types::WeightVersion;

quick_error! {
    /// Why a reply is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReplyError {
        /// The trainer accepted another reply after it sent the fetch; it has to fetch again.
        Superseded {
            display("reply is for an earlier cursor; fetch again with the current cursor")
        }
        /// The trainer changed its weights after it sent the fetch; it has to fetch again.
        OtherVersion {
            display("reply was checked against another version; fetch again with the current version")
        }
    }
}

/// A reply that the trainer received, with the cursor and version of its fetch.
#[value]
pub struct ReceivedReply<S> {
    /// Sealed cursor that the fetch carried.
    pub base: String,
    /// Trainer's version that the fetch carried.
    pub trainer_version: WeightVersion,
    /// Samples that the fetch's cursor listed as missing.
    pub samples: Vec<S>,
    /// Sealed cursor of the reply, for the next fetch.
    pub next: String,
}

/// Samples, cursor and version of a trainer, which must be stored together in its checkpoint.
#[value]
pub struct TrainerState<S> {
    cursor: String,
    version: WeightVersion,
    samples: Vec<S>,
}

impl<S> TrainerState<S> {
    /// Creates the state from the cursor in the response to the post and the trainer's version.
    pub fn new(cursor: String, version: WeightVersion) -> Self {
        Self {
            cursor,
            version,
            samples: Vec::new(),
        }
    }

    /// Sealed cursor for the next fetch, or for a post of a step that no entry holds any more.
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    /// Weight version of the trainer.
    pub fn version(&self) -> WeightVersion {
        self.version
    }

    /// Records that the trainer moved to other weights.
    pub fn advance(&mut self, version: WeightVersion) {
        self.version = version;
    }

    /// All samples of the accepted replies.
    pub fn samples(&self) -> &[S] {
        &self.samples
    }

    /// Accepts the whole reply and advances the cursor, or refuses the reply.
    pub fn accept(&mut self, reply: ReceivedReply<S>) -> Result<(), ReplyError> {
        if reply.base != self.cursor {
            return Err(ReplyError::Superseded);
        }
        if reply.trainer_version != self.version {
            return Err(ReplyError::OtherVersion);
        }
        self.samples.extend(reply.samples);
        self.cursor = reply.next;
        Ok(())
    }
}
