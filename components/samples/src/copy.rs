//! What a step's home entry sends to the second one. Applying one twice, late or out
//! of order changes nothing that was settled.

use std::sync::Arc;

use derive::wire;
use types::WeightVersion;

use crate::sample::Sample;
use crate::step::{Step, StepDigest, StepKey};

/// One message from home to second home.
#[wire]
pub enum Copy {
    /// The post, with the trainer's cursor as it came.
    Post {
        /// The step with its prompts.
        step: Arc<Step>,
        /// The trainer's sealed cursor, if it sent one.
        cursor: Option<String>,
        /// Newest version that the trainer is known to have.
        trainer_version: WeightVersion,
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
}
