//! Records about steps in the index topic. They hold all state that must survive the processes,
//! and stay small because every front reads them.

use derive::{key, wire, wire_key};

/// Offset of the [`StepRecord::Accepted`] record; later records refer to the step by it.
#[wire_key]
pub struct StepId(pub u64);

/// Consecutive records of the data topic that hold the data of a step's items.
#[wire]
pub struct DataRange {
    /// Partition of the data topic.
    pub partition: u32,
    /// Offset of the first record.
    pub offset: u64,
    /// Number of records; each holds one item.
    pub count: u32,
}

/// Location of one record in the data topic.
#[wire_key]
pub struct DataLocation {
    /// Partition of the data topic.
    pub partition: u32,
    /// Offset of the record.
    pub offset: u64,
    /// Length of the record in bytes; sizes the read request.
    pub bytes: u32,
}

/// Metadata of an item, which every front keeps in memory.
#[wire]
pub struct ItemHead {
    /// Id that the trainer gave the item; unique within the step.
    pub id: String,
    /// Number of the item's group; groups are numbered by first appearance in the submission.
    pub group: u16,
    /// Prompt tokens plus the maximum number of output tokens.
    pub tokens: u32,
    /// Output tokens that the trainer expects; 0 if the trainer gave no hint.
    pub hint_tokens: u32,
}

/// Metadata of an accepted step.
#[wire]
pub struct StepHead {
    /// Id that the trainer gave the step; unique per customer.
    pub id: String,
    /// Customer that submitted the step; `None` if the configuration requires no key.
    pub customer: Option<String>,
    /// Digest of the submission. It distinguishes a repeated submission from a different step with
    /// the same id.
    pub digest: [u8; 16],
    /// Host of the route.
    pub host: String,
    /// Path prefix of the route; host and prefix together identify the route.
    pub prefix: String,
    /// Model that is trained.
    pub model: String,
    /// Step number in the trainer's own count.
    pub number: u64,
    /// Oldest version of the weights that may generate tokens for this step.
    pub min_version: u64,
    /// Whether a single version of the weights must generate each text.
    pub single_version: bool,
    /// Number of complete groups that the trainer waits for.
    pub groups_wanted: u32,
    /// Failed runs after which an item ends without a text.
    pub attempts_max: u32,
    /// Time from submission until all results are due, in milliseconds.
    pub due_ms: u64,
    /// Time from submission after which an item may be abandoned, in milliseconds.
    pub retention_ms: u64,
    /// Metadata of the items, in the order of their data.
    pub items: Vec<ItemHead>,
    /// Ranges of the data topic that hold the items' data, in the order of the items.
    pub data: Vec<DataRange>,
    /// Pool of replicas that may run the items.
    pub pool: String,
    /// Number of shards among which the step's groups are divided.
    pub shards: u16,
}

/// Expected output tokens of an item without a hint from the trainer.
const DEFAULT_OUTPUT_TOKENS: u32 = 600;

impl ItemHead {
    /// Expected output tokens: the trainer's hint, or a default without one.
    pub fn expected_tokens(&self) -> u32 {
        match self.hint_tokens {
            0 => DEFAULT_OUTPUT_TOKENS,
            hint => hint,
        }
    }
}

impl StepHead {
    /// Expected output tokens of all items together.
    pub fn expected_tokens(&self) -> u64 {
        let tokens = self.items.iter().map(ItemHead::expected_tokens);
        tokens.map(u64::from).sum()
    }

    /// Partition and offset of an item's data; `None` if the step has no such item.
    pub fn data_location(&self, item: usize) -> Option<(u32, u64)> {
        let mut left = item as u64;
        for range in &self.data {
            if left < u64::from(range.count) {
                return Some((range.partition, range.offset + left));
            }
            left -= u64::from(range.count);
        }
        None
    }
}

/// Why an item ended without a text.
#[wire_key]
pub enum ErrorCause {
    /// The replica answered that the item can never succeed.
    Impossible,
    /// Runs at replicas failed as often as the route allows.
    Runs,
    /// The reward call failed as often as the route allows.
    Reward,
    /// The retention time of the step passed.
    GivenUp,
    /// The store refused the records of the text for their content.
    Refused,
}

/// Result of an item.
#[wire]
pub enum ResultState {
    /// The item has a text and a score.
    Succeeded {
        /// Versions of the weights that generated the text, ascending.
        versions: Vec<u64>,
        /// Signature that the scorer returned; empty if the item needs no reward.
        score: String,
        /// Location of the text.
        text: DataLocation,
    },
    /// The item ended without a text.
    Errored(ErrorCause),
    /// As [`ResultState::Succeeded`], for a text that is longer than a record of the store.
    SucceededInParts {
        /// Versions of the weights that generated the text, ascending.
        versions: Vec<u64>,
        /// Signature that the scorer returned; empty if the item needs no reward.
        score: String,
        /// Locations of the parts of the text, in their order.
        parts: Vec<DataLocation>,
    },
}

impl ResultState {
    /// Result of an item whose text is stored in these parts.
    pub fn succeeded(versions: Vec<u64>, score: String, parts: Vec<DataLocation>) -> Self {
        match parts[..] {
            [text] => Self::Succeeded {
                versions,
                score,
                text,
            },
            _ => Self::SucceededInParts {
                versions,
                score,
                parts,
            },
        }
    }

    /// Locations of the parts of the text, in their order; empty for an item without a text.
    pub fn parts(&self) -> &[DataLocation] {
        match self {
            Self::Succeeded { text, .. } => std::slice::from_ref(text),
            Self::SucceededInParts { parts, .. } => parts,
            Self::Errored(_) => &[],
        }
    }
}

/// A saved piece of an incomplete text, from which another front can resume the run.
#[wire]
pub struct SavedPiece {
    /// Random id of the piece; never 0.
    pub id: u64,
    /// Id of the preceding piece; 0 for the first piece. Ids are random, so a piece can only follow
    /// a piece of its own run.
    pub after: u64,
    /// Id of the last stream event that the piece contains.
    pub last_event: u64,
    /// Versions of the weights that generated the text up to the end of this piece, ascending.
    pub versions: Vec<u64>,
    /// Location of the piece's text.
    pub text: DataLocation,
}

/// The part of an item's work that failed.
#[key]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum FailedPart {
    /// A run at a replica of the model.
    Run,
    /// The reward call.
    Reward,
}

/// A record about steps in the index topic.
#[wire]
pub enum StepRecord {
    /// A front accepted a step.
    Accepted(Box<StepHead>),
    /// A front wrote the result of an item. The first record of an item counts.
    Listed {
        /// Step of the item.
        step: StepId,
        /// Number of the item in the step, from 0.
        item: u32,
        /// Result of the item.
        state: ResultState,
    },
    /// A run or a reward call failed. All fronts share the count of failures.
    Failed {
        /// Step of the item.
        step: StepId,
        /// Number of the item in the step, from 0.
        item: u32,
        /// The part that failed.
        part: FailedPart,
    },
    /// The trainer ended a step; its remaining items are not run.
    Ended {
        /// Step that ended.
        step: StepId,
    },
    /// A front saved the next piece of a text that is being generated.
    Saved {
        /// Step of the item.
        step: StepId,
        /// Number of the item in the step, from 0.
        item: u32,
        /// Location of the piece and its predecessor.
        piece: SavedPiece,
    },
    /// A front that leaves, or whose shards were reassigned, still runs these items.
    #[serde(rename = "Kept")]
    Reserved {
        /// Step and number of each item.
        items: Vec<(StepId, u32)>,
        /// How long other fronts leave the items alone, in milliseconds from reading the record;
        /// 0 releases them.
        for_ms: u32,
    },
}
