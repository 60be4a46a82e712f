//! What the trainer received, held against the promises.

use std::collections::BTreeSet;

use derive::value;
use types::WeightVersion;

use super::messages::Sample;
use crate::engine::versions_in;

/// A broken promise.
#[value]
pub enum SampleFault {
    /// The same slot came twice.
    Doubled {
        /// Step.
        step: u64,
        /// Group within the step.
        group: u32,
        /// Place within the group.
        index: u32,
    },
    /// A slot that nobody asked for.
    Unasked {
        /// Step.
        step: u64,
        /// Group within the step.
        group: u32,
        /// Place within the group.
        index: u32,
    },
    /// The step was called complete without all its samples.
    Missing {
        /// Step.
        step: u64,
        /// Samples that came.
        received: usize,
        /// Samples that were asked for.
        total: usize,
    },
    /// A sample without versions, or with others than its text tells.
    WrongVersions {
        /// Step.
        step: u64,
        /// Versions named.
        named: Vec<String>,
        /// Versions in the text.
        told: Vec<String>,
    },
    /// A sample older than the bound, or from before a roll-back.
    TooOld {
        /// Step.
        step: u64,
        /// Oldest version in it.
        oldest: String,
        /// Version of the trainer when it asked.
        trainer: String,
    },
    /// The staleness named is not that of the oldest version.
    WrongStaleness {
        /// Step.
        step: u64,
        /// Staleness named.
        named: u64,
        /// Staleness of the oldest version.
        real: u64,
    },
}

/// Samples of one step.
pub struct Ledger {
    step: u64,
    groups: u32,
    samples: u32,
    staleness_bound: u64,
    texts_contain_versions: bool,
    received: BTreeSet<(u32, u32)>,
}

impl Ledger {
    /// An empty ledger of a step.
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

    /// The same ledger for engines whose texts do not tell their versions.
    pub fn ignoring_texts(self) -> Ledger {
        Ledger {
            texts_contain_versions: false,
            ..self
        }
    }

    /// Number of slots that came.
    pub fn received(&self) -> usize {
        self.received.len()
    }

    /// Takes a sample in that came to a trainer on version `trainer`.
    pub fn record(&mut self, sample: &Sample, trainer: WeightVersion) -> Vec<SampleFault> {
        let mut faults = Vec::new();
        faults.extend(self.slot(sample));
        faults.extend(self.versions(sample));
        faults.extend(self.age(sample, trainer));
        faults
    }

    /// Ends the step.
    pub fn check_complete(&self) -> Option<SampleFault> {
        let total = self.groups as usize * self.samples as usize;
        (self.received.len() != total).then_some(SampleFault::Missing {
            step: self.step,
            received: self.received.len(),
            total,
        })
    }

    fn slot(&mut self, sample: &Sample) -> Option<SampleFault> {
        let (step, group, index) = (self.step, sample.group, sample.index);
        if group >= self.groups || index >= self.samples {
            return Some(SampleFault::Unasked { step, group, index });
        }
        let doubled = !self.received.insert((group, index));
        doubled.then_some(SampleFault::Doubled { step, group, index })
    }

    fn versions(&self, sample: &Sample) -> Option<SampleFault> {
        let named: BTreeSet<_> = sample
            .parsed_versions()
            .unwrap_or_default()
            .into_iter()
            .collect();
        let told: BTreeSet<_> = versions_in(&sample.text).into_iter().collect();
        let right = !named.is_empty() && (!self.texts_contain_versions || named == told);
        (!right).then(|| SampleFault::WrongVersions {
            step: self.step,
            named: sample.versions.clone(),
            told: told.iter().map(WeightVersion::to_string).collect(),
        })
    }

    fn age(&self, sample: &Sample, trainer: WeightVersion) -> Option<SampleFault> {
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
