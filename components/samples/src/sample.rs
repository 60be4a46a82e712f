//! A finished sample and its staleness for the trainer.

use std::collections::BTreeSet;

use derive::wire;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use types::WeightVersion;

use crate::step::Slot;

quick_error! {
    /// Why a number is not a valid score.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ScoreError {
        /// The number is NaN or infinite.
        NotFinite {
            display("score is NaN or infinite")
        }
    }
}

/// Score of a sample; always finite.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Score(f64);

// `Eq` requires that every value equals itself, which holds for finite numbers.
impl Eq for Score {}

impl Score {
    /// Creates a score; fails unless `number` is finite.
    pub fn new(number: f64) -> Result<Self, ScoreError> {
        if number.is_finite() {
            Ok(Self(number))
        } else {
            Err(ScoreError::NotFinite)
        }
    }

    /// The score as a number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Score {
    type Error = ScoreError;

    fn try_from(number: f64) -> Result<Self, ScoreError> {
        Self::new(number)
    }
}

impl From<Score> for f64 {
    fn from(score: Score) -> f64 {
        score.0
    }
}

/// A complete sample with the weight versions that generated it.
#[wire]
pub struct Sample {
    /// Slot that the sample fills.
    pub slot: Slot,
    /// Generated text, without the prompt.
    pub text: String,
    /// Every weight version that generated a part of the text; never empty.
    pub versions: BTreeSet<WeightVersion>,
    /// Score from the service's scorer; `None` if the service has none or the score is still
    /// pending.
    pub score: Option<Score>,
}

impl Sample {
    /// Staleness of the sample for a trainer at `trainer_version`; see [`staleness`].
    pub fn staleness(&self, trainer_version: WeightVersion) -> Option<u64> {
        staleness(&self.versions, trainer_version)
    }
}

/// Number of versions that the oldest of `versions` lags behind the trainer's own; 0 if all are
/// newer.
///
/// `None` if a version is of another epoch. A roll-back may give old weights a new number, so
/// versions of two epochs cannot be compared and never satisfy a staleness bound. `None` also
/// for an empty set.
pub fn staleness(
    versions: &BTreeSet<WeightVersion>,
    trainer_version: WeightVersion,
) -> Option<u64> {
    let same_epoch = |version: &WeightVersion| version.epoch == trainer_version.epoch;
    if !versions.iter().all(same_epoch) {
        return None;
    }
    let oldest = versions.first()?;
    Some(trainer_version.version.saturating_sub(oldest.version))
}
