//! Messages from a step's first home to its second. Applying a message twice, late or out of
//! order does not change a slot that is already finished or delivered.

use std::sync::Arc;

use derive::wire;
use types::WeightVersion;

use crate::sample::Sample;
use crate::step::{Step, StepDigest, StepKey};

/// Splits a queue into batches of at most `bytes_max` bytes each. A larger item gets a batch of
/// its own.
pub fn split_batches<T>(
    items: Vec<T>,
    bytes_of: impl Fn(&T) -> usize,
    bytes_max: usize,
) -> Vec<Vec<T>> {
    let mut batches: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for item in items {
        let item_bytes = bytes_of(&item);
        match batches.last_mut() {
            Some(batch) if bytes + item_bytes <= bytes_max => {
                bytes += item_bytes;
                batch.push(item);
            }
            _ => {
                bytes = item_bytes;
                batches.push(vec![item]);
            }
        }
    }
    batches
}

/// A message from a step's first home to its second.
#[wire]
pub enum CopyMessage {
    /// The post, with the trainer's cursor unchanged.
    Post {
        /// Posted step, including the prompts.
        step: Arc<Step>,
        /// Trainer's sealed cursor; `None` if the trainer has sent none.
        cursor: Option<String>,
        /// Newest version that the trainer has announced or named in a post or fetch.
        trainer_version: WeightVersion,
        /// Time since the trainer last posted or fetched the step.
        #[serde(default)]
        unused_ms: u64,
    },
    /// A finished sample, scored if the service has a scorer.
    Finished {
        /// Step of the sample.
        key: StepKey,
        /// Digest of the post; a message for another post is ignored.
        digest: StepDigest,
        /// Sample, bound to its slot at the first home.
        sample: Arc<Sample>,
    },
    /// The trainer fetched from the step. Sent at most once per minute, and for each reply that
    /// completes the step.
    Fetched {
        /// Fetched step.
        key: StepKey,
        /// Digest of the post; a message for another post is ignored.
        digest: StepDigest,
        /// Whether the trainer's cursor and the reply together cover the whole step.
        complete: bool,
    },
}

impl CopyMessage {
    /// Total size of the prompts or the sample's text in the message.
    pub fn text_bytes(&self) -> usize {
        match self {
            CopyMessage::Post { step, .. } => step.prompt_bytes(),
            CopyMessage::Finished { sample, .. } => sample.text.len(),
            CopyMessage::Fetched { .. } => 0,
        }
    }
}
