//! A finished sample, and how old it is for its trainer.

use std::collections::BTreeSet;

use derive::wire;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use types::WeightVersion;

use crate::step::Slot;

quick_error! {
    /// Why a number is not a score.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ScoreError {
        /// NaN or infinite.
        NotFinite {
            display("a score is a finite number")
        }
    }
}

/// A score; always finite.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Score(f64);

// A finite number equals itself, which is all that `Eq` adds.
impl Eq for Score {}

impl Score {
    /// Checks that `number` is finite.
    pub fn new(number: f64) -> Result<Self, ScoreError> {
        if number.is_finite() {
            Ok(Self(number))
        } else {
            Err(ScoreError::NotFinite)
        }
    }

    /// The number.
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

/// A sample with its origin.
#[wire]
pub struct Sample {
    /// Where it belongs.
    pub slot: Slot,
    /// Text that the engines generated.
    pub text: String,
    /// Every weight version that generated a part of it; never empty.
    pub versions: BTreeSet<WeightVersion>,
    /// Its score, if the service has a scorer.
    pub score: Option<Score>,
}

impl Sample {
    /// How old it is for a trainer at `trainer_version`; see [`staleness`].
    pub fn staleness(&self, trainer_version: WeightVersion) -> Option<u64> {
        staleness(&self.versions, trainer_version)
    }
}

/// Versions between the oldest of `versions` and the trainer's own; 0 when all are newer.
///
/// `None` when a version is of another epoch: a roll-back may give old weights a new
/// number, so versions of two epochs can't be compared and no bound is kept by them.
/// `None` also for an empty set, which says nothing.
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
