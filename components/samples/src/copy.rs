//! What a step's home entry sends to the second one. Applying one twice, late or out
//! of order changes nothing that was settled.

use std::sync::Arc;

use derive::wire;
use types::WeightVersion;

use crate::sample::Sample;
use crate::step::{Step, StepDigest, StepKey};

/// Cuts a queue into parts of at most `bytes_max` each; what is larger goes alone.
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

/// One message from home to second home.
#[wire]
pub enum CopyMessage {
    /// The post, with the trainer's cursor as it came.
    Post {
        /// The step with its prompts.
        step: Arc<Step>,
        /// The trainer's sealed cursor, if it sent one.
        cursor: Option<String>,
        /// Newest version that the trainer is known to have.
        trainer_version: WeightVersion,
        /// How long ago the trainer last posted or fetched it, in milliseconds.
        #[serde(default)]
        unused_ms: u64,
    },
    /// A finished (and scored) sample.
    Finished {
        /// Its step.
        key: StepKey,
        /// Digest of the post that it belongs to.
        digest: StepDigest,
        /// The sample.
        sample: Arc<Sample>,
    },
    /// The trainer fetched from the step; sent now and then.
    Fetched {
        /// The step.
        key: StepKey,
        /// Digest of the post that it belongs to.
        digest: StepDigest,
        /// Whether the reply, together with what the trainer had, was the whole step.
        complete: bool,
    },
}

impl CopyMessage {
    /// Bytes of the texts in it.
    pub fn text_bytes(&self) -> usize {
        match self {
            CopyMessage::Post { step, .. } => step.prompt_bytes(),
            CopyMessage::Finished { sample, .. } => sample.text.len(),
            CopyMessage::Fetched { .. } => 0,
        }
    }
}
