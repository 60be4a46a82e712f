//! The trainer's side of delivery.
//!
//! A reply counts only with its cursor, and only if it was asked with the cursor and the
//! version that the trainer holds now. Two fetches with one cursor, at two homes that don't know of each
//! other, bring two replies; the first one taken moves the cursor on, and the second no
//! longer fits. A trainer that moves to new weights while a fetch is open drops its reply,
//! whose samples were judged by the version before. Samples and cursor have to be stored together, in one checkpoint.

use derive::value;
use quick_error::quick_error;
use types::WeightVersion;

quick_error! {
    /// Why a reply may not be taken.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReplyError {
        /// Another reply was taken since the fetch was sent; fetch again.
        Superseded {
            display("the reply answers an earlier cursor; fetch again with the current one")
        }
        /// The trainer has other weights than when it sent the fetch; fetch again.
        OtherVersion {
            display("the reply was judged by another version; fetch again with the current one")
        }
    }
}

/// A reply as the trainer sees it.
#[value]
pub struct ReceivedReply<S> {
    /// Text of the cursor that the fetch carried.
    pub base: String,
    /// Version that the fetch carried.
    pub trainer_version: WeightVersion,
    /// Samples of the reply.
    pub samples: Vec<S>,
    /// Text of the cursor that came with them.
    pub next: String,
}

/// What a trainer has received, to be kept whole in its checkpoint.
#[value]
pub struct TrainerState<S> {
    cursor: String,
    version: WeightVersion,
    samples: Vec<S>,
}

impl<S> TrainerState<S> {
    /// From the cursor that the post gave, at the trainer's version.
    pub fn new(cursor: String, version: WeightVersion) -> Self {
        Self {
            cursor,
            version,
            samples: Vec::new(),
        }
    }

    /// Cursor for the next fetch, and for a post after a loss.
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    /// The trainer's version.
    pub fn version(&self) -> WeightVersion {
        self.version
    }

    /// The trainer has other weights from here on.
    pub fn advance(&mut self, version: WeightVersion) {
        self.version = version;
    }

    /// Every sample taken.
    pub fn samples(&self) -> &[S] {
        &self.samples
    }

    /// Takes a reply whole, or not at all.
    pub fn take(&mut self, reply: ReceivedReply<S>) -> Result<(), ReplyError> {
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
