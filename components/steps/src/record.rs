//! Records of the index: small, one for each thing that must outlive every process.

use derive::{key, wire, wire_key};

/// Offset of the record that accepted a step; names the step in all later records.
#[wire_key]
pub struct StepId(pub u64);

/// Consecutive records that hold the items of a step.
#[wire]
pub struct DataRange {
    /// Partition of the topic for data.
    pub partition: u32,
    /// Offset of the first record.
    pub offset: u64,
    /// Number of records, one an item.
    pub count: u32,
}

/// Place of one record in the topic for data.
#[wire_key]
pub struct DataLocation {
    /// Partition of the topic for data.
    pub partition: u32,
    /// Offset of the record.
    pub offset: u64,
    /// Its length.
    pub bytes: u32,
}

/// What is kept in memory of an item.
#[wire]
pub struct ItemHead {
    /// The trainer's id of the item.
    pub id: String,
    /// Number of its group, counted in the order of first appearance.
    pub group: u16,
    /// Tokens of its prompt and its longest output.
    pub tokens: u32,
    /// The trainer's guess at its output tokens; 0 without one.
    pub hint_tokens: u32,
}

/// An accepted step.
#[wire]
pub struct StepHead {
    /// The trainer's id of the step.
    pub id: String,
    /// The customer that submitted it; none where no key was asked for.
    pub customer: Option<String>,
    /// Digest of what was submitted, so that a repetition is told from another step.
    pub digest: [u8; 16],
    /// Host of the route.
    pub host: String,
    /// Prefix of the route's paths; with the host it names the route.
    pub prefix: String,
    /// Model that is trained.
    pub model: String,
    /// Number of the step, counted by the trainer.
    pub number: u64,
    /// Oldest version of the weights that may make a token.
    pub min_version: u64,
    /// Whether one version must make a whole text.
    pub single_version: bool,
    /// Whole groups that the trainer waits for.
    pub groups_wanted: u32,
    /// Attempts of an item, and of its reward call, that may fail.
    pub attempts_max: u32,
    /// When all results are due, in milliseconds after the submission.
    pub due_ms: u64,
    /// When an item may be given up, in milliseconds after the submission.
    pub retention_ms: u64,
    /// Heads of the items, in the order of their data.
    pub items: Vec<ItemHead>,
    /// Where the items' data lies.
    pub data: Vec<DataRange>,
    /// Names the replicas that may run the items.
    pub pool: String,
    /// Shards among which its groups are dealt.
    pub shards: u16,
}

/// Output tokens of an item whose trainer gives no hint.
const TOKENS_GUESS: u32 = 600;

impl ItemHead {
    /// Output tokens to expect.
    pub fn expected_tokens(&self) -> u32 {
        match self.hint_tokens {
            0 => TOKENS_GUESS,
            hint => hint,
        }
    }
}

impl StepHead {
    /// Output tokens to expect of all its items.
    pub fn expected_tokens(&self) -> u64 {
        let tokens = self.items.iter().map(ItemHead::expected_tokens);
        tokens.map(u64::from).sum()
    }

    /// Place of an item's data: partition and offset.
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

/// Why an item has no text.
#[wire_key]
pub enum ErrorCause {
    /// The replica says that it can never be done.
    Impossible,
    /// Its runs failed as often as is allowed.
    Runs,
    /// Its reward call failed as often as is allowed.
    Reward,
    /// Its time is up.
    GivenUp,
}

/// How an item ended.
#[wire]
pub enum ResultState {
    /// With a text and its score.
    Succeeded {
        /// Versions of the weights that made the text, ascending.
        versions: Vec<u64>,
        /// The scorer's signature.
        score: String,
        /// Where the text lies.
        text: DataLocation,
    },
    /// Without.
    Errored(ErrorCause),
}

/// A piece of a text that is not whole yet, so that another process can go on behind it.
#[wire]
pub struct SavedPiece {
    /// Random id of the piece.
    pub id: u64,
    /// Id of the piece that it goes on from; 0 for the first. A piece of another run names
    /// another one, so pieces of two runs are never joined.
    pub after: u64,
    /// Last event in it.
    pub last_event: u64,
    /// Versions of the weights that made the text up to here, ascending.
    pub versions: Vec<u64>,
    /// Where its text lies.
    pub text: DataLocation,
}

/// What of an item failed.
#[key]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum FailedPart {
    /// A run at a replica of the model.
    Run,
    /// The reward call.
    Reward,
}

/// A record of the index.
#[wire]
pub enum StepRecord {
    /// A step is accepted.
    Accepted(Box<StepHead>),
    /// An item has a result.
    Listed {
        /// Its step.
        step: StepId,
        /// Its number in the step.
        item: u32,
        /// How it ended.
        state: ResultState,
    },
    /// A part of an item failed at a replica; counted over all processes.
    Failed {
        /// Its step.
        step: StepId,
        /// Its number in the step.
        item: u32,
        /// What failed.
        part: FailedPart,
    },
    /// The trainer ended a step.
    Ended {
        /// The step.
        step: StepId,
    },
    /// The next piece of an item's text, while it is made.
    Saved {
        /// Its step.
        step: StepId,
        /// Its number in the step.
        item: u32,
        /// The piece.
        piece: SavedPiece,
    },
    /// A process that leaves goes on with items that it runs.
    #[serde(rename = "Kept")]
    Reserved {
        /// The items: their step, their number in it.
        items: Vec<(StepId, u32)>,
        /// How long nobody else need run them, in milliseconds; 0 from now on.
        for_ms: u32,
    },
}
