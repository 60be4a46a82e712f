//! Checks the samples of a step against the guarantees of the training API.

use std::collections::BTreeSet;

use derive::value;
use types::WeightVersion;

use super::messages::Sample;
use crate::engine::versions_in;

/// A violated guarantee. Its variants are printed under their names.
#[value]
pub enum SampleFault {
    /// A sample was received twice.
    Doubled {
        /// Number of the step.
        step: u64,
        /// Number of the group within the step, from 0.
        group: u32,
        /// Number of the sample within the group, from 0.
        index: u32,
    },
    /// A sample is outside the groups and samples of the step.
    Unasked {
        /// Number of the step.
        step: u64,
        /// Number of the group within the step, from 0.
        group: u32,
        /// Number of the sample within the group, from 0.
        index: u32,
    },
    /// The step was reported as complete before all samples were received.
    Missing {
        /// Number of the step.
        step: u64,
        /// Samples received.
        received: usize,
        /// Samples requested.
        total: usize,
    },
    /// A sample names no versions, or others than those that generated its text.
    WrongVersions {
        /// Number of the step.
        step: u64,
        /// Versions that the sample names.
        named: Vec<String>,
        /// Versions that generated the text.
        told: Vec<String>,
    },
    /// A sample exceeds the staleness bound or is of another epoch, as after a rollback.
    TooOld {
        /// Number of the step.
        step: u64,
        /// Oldest version of the sample.
        oldest: String,
        /// Version of the trainer when it fetched the sample.
        trainer: String,
    },
    /// The staleness that the sample states is not that of its oldest version.
    WrongStaleness {
        /// Number of the step.
        step: u64,
        /// Staleness that the sample states.
        named: u64,
        /// Versions that the oldest version is behind the trainer's.
        real: u64,
    },
}

/// Received samples of a step.
pub struct Ledger {
    step: u64,
    groups: u32,
    samples: u32,
    staleness_bound: u64,
    texts_contain_versions: bool,
    received: BTreeSet<(u32, u32)>,
}

impl Ledger {
    /// Creates the ledger of a step with `groups` groups of `samples` samples each.
    pub fn new(step: u64, groups: u32, samples: u32, staleness_bound: u64) -> Ledger {
        Ledger {
            step,
            groups,
            samples,
            staleness_bound,
            texts_contain_versions: true,
            received: BTreeSet::new(),
        }
    }

    /// Does not compare named versions with texts, for engines that write no versions into them.
    pub fn ignoring_texts(self) -> Ledger {
        Ledger {
            texts_contain_versions: false,
            ..self
        }
    }

    /// Number of distinct samples received.
    pub fn received(&self) -> usize {
        self.received.len()
    }

    /// Records a sample that a trainer on version `trainer` fetched, and returns the violations.
    pub fn record(&mut self, sample: &Sample, trainer: WeightVersion) -> Vec<SampleFault> {
        let mut faults = Vec::new();
        faults.extend(self.check_slot(sample));
        faults.extend(self.check_versions(sample));
        faults.extend(self.check_staleness(sample, trainer));
        faults
    }

    /// Checks a step that was reported as complete.
    pub fn check_complete(&self) -> Option<SampleFault> {
        let total = self.groups as usize * self.samples as usize;
        (self.received.len() != total).then_some(SampleFault::Missing {
            step: self.step,
            received: self.received.len(),
            total,
        })
    }

    fn check_slot(&mut self, sample: &Sample) -> Option<SampleFault> {
        let (step, group, index) = (self.step, sample.group, sample.index);
        if group >= self.groups || index >= self.samples {
            return Some(SampleFault::Unasked { step, group, index });
        }
        let doubled = !self.received.insert((group, index));
        doubled.then_some(SampleFault::Doubled { step, group, index })
    }

    fn check_versions(&self, sample: &Sample) -> Option<SampleFault> {
        let named: BTreeSet<_> = sample
            .parsed_versions()
            .unwrap_or_default()
            .into_iter()
            .collect();
        let told: BTreeSet<_> = versions_in(&sample.text).into_iter().collect();
        let is_correct = !named.is_empty() && (!self.texts_contain_versions || named == told);
        (!is_correct).then(|| SampleFault::WrongVersions {
            step: self.step,
            named: sample.versions.clone(),
            told: told.iter().map(WeightVersion::to_string).collect(),
        })
    }

    fn check_staleness(&self, sample: &Sample, trainer: WeightVersion) -> Option<SampleFault> {
        let oldest = sample.parsed_versions()?.into_iter().min()?;
        let staleness = trainer.version.saturating_sub(oldest.version);
        if oldest.epoch != trainer.epoch || staleness > self.staleness_bound {
            return Some(SampleFault::TooOld {
                step: self.step,
                oldest: oldest.to_string(),
                trainer: trainer.to_string(),
            });
        }
        (sample.staleness != staleness).then_some(SampleFault::WrongStaleness {
            step: self.step,
            named: sample.staleness,
            real: staleness,
        })
    }
}
