//! Measurements of a training run.

use std::fmt;

use derive::value;

use super::ledger::SampleFault;

/// Result of a training run; printed as `key=value` lines.
#[value]
#[derive(Default)]
pub struct TrainerReport {
    /// Completed steps.
    pub steps: u64,
    /// Samples received, duplicates included.
    pub samples: u64,
    /// Time spent waiting for samples.
    pub idle_ms: u64,
    /// Duration of the run.
    pub run_ms: u64,
    /// Number of samples by staleness; the first entry counts those of the trainer's version.
    pub by_staleness: Vec<u64>,
    /// Samples that more than one version generated.
    pub mixed: u64,
    /// Requests to entries that were tried again.
    pub retries: u64,
    /// Violated guarantees.
    pub faults: Vec<SampleFault>,
}

impl TrainerReport {
    /// Counts a sample of this staleness and number of versions.
    pub fn count(&mut self, staleness: u64, versions: usize) {
        let staleness = staleness as usize;
        if self.by_staleness.len() <= staleness {
            self.by_staleness.resize(staleness + 1, 0);
        }
        self.by_staleness[staleness] += 1;
        self.samples += 1;
        self.mixed += u64::from(versions > 1);
    }

    /// Mean staleness, in thousandths of a version.
    pub fn staleness_permille(&self) -> u64 {
        let counts = self.by_staleness.iter().enumerate();
        let sum: u64 = counts
            .map(|(staleness, count)| staleness as u64 * count)
            .sum();
        (sum * 1_000).checked_div(self.samples).unwrap_or(0)
    }
}

impl fmt::Display for TrainerReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "steps={}", self.steps)?;
        writeln!(f, "samples={}", self.samples)?;
        writeln!(f, "idle_ms={}", self.idle_ms)?;
        writeln!(f, "run_ms={}", self.run_ms)?;
        writeln!(f, "staleness_mean_permille={}", self.staleness_permille())?;
        for (staleness, count) in self.by_staleness.iter().enumerate() {
            writeln!(f, "staleness.{staleness}={count}")?;
        }
        writeln!(f, "mixed={}", self.mixed)?;
        writeln!(f, "retries={}", self.retries)?;
        writeln!(f, "faults={}", self.faults.len())?;
        for fault in &self.faults {
            writeln!(f, "fault={fault:?}")?;
        }
        Ok(())
    }
}
