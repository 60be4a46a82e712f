//! A trainer that runs for the duration of a slice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use standins::trainer::{self, TrainerReport, TrainerSettings};
use types::WeightVersion;

use crate::site::Site;

/// Steps of one run of the trainer; a slice consists of several runs.
const STEPS_PER_RUN: u64 = 4;
const GROUPS_PER_STEP: u32 = 8;
const SAMPLES_PER_GROUP: u32 = 8;
const SAMPLE_TOKENS_MAX: u32 = 64;
const TRAIN_MS: u64 = 800;
const ABANDON_AFTER_MS: u64 = 20_000;

/// State of a model's training, continued from slice to slice.
#[derive(Clone, Copy, Debug)]
pub struct TrainingProgress {
    next_step: u64,
    version: WeightVersion,
}

impl TrainingProgress {
    /// State before the first step.
    pub fn new() -> TrainingProgress {
        TrainingProgress {
            next_step: 1,
            version: WeightVersion::default(),
        }
    }
}

impl Default for TrainingProgress {
    fn default() -> Self {
        TrainingProgress::new()
    }
}

/// What the trainer measured in one or several slices.
#[derive(Clone, Debug, Default)]
pub struct TrainingSummary {
    /// Sums over the completed runs.
    pub report: TrainerReport,
    /// Error of each run that the trainer abandoned.
    pub abandoned_runs: Vec<String>,
}

impl TrainingSummary {
    /// Share of the time in which the trainer waited for samples, in thousandths.
    pub fn idle_permille(&self) -> u64 {
        (self.report.idle_ms * 1_000)
            .checked_div(self.report.run_ms)
            .unwrap_or(0)
    }

    /// Staleness, in weight versions, that this share of the samples (in thousandths) does not
    /// exceed.
    pub fn staleness_quantile(&self, permille: u64) -> u64 {
        let wanted = (self.report.samples * permille).div_ceil(1_000);
        let mut seen = 0;
        for (staleness, count) in self.report.by_staleness.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return staleness as u64;
            }
        }
        0
    }

    /// Adds the measurements of another slice.
    pub fn add(&mut self, other: &TrainingSummary) {
        add_report(&mut self.report, &other.report);
        self.abandoned_runs
            .extend(other.abandoned_runs.iter().cloned());
    }
}

fn add_report(sum: &mut TrainerReport, other: &TrainerReport) {
    sum.steps += other.steps;
    sum.samples += other.samples;
    sum.idle_ms += other.idle_ms;
    sum.run_ms += other.run_ms;
    sum.mixed += other.mixed;
    sum.retries += other.retries;
    sum.faults.extend(other.faults.iter().cloned());
    if sum.by_staleness.len() < other.by_staleness.len() {
        sum.by_staleness.resize(other.by_staleness.len(), 0);
    }
    for (count, more) in sum.by_staleness.iter_mut().zip(&other.by_staleness) {
        *count += more;
    }
}

/// Runs the trainer repeatedly until `duration` has passed; the last run may end later.
pub async fn train(
    site: &Site,
    entries: &[SocketAddr],
    progress: &mut TrainingProgress,
    duration: Duration,
) -> TrainingSummary {
    let started = Instant::now();
    let mut summary = TrainingSummary::default();
    while started.elapsed() < duration {
        let run = trainer::run(TrainerSettings {
            entries: entries.to_vec(),
            token: site.trainer_token.to_owned(),
            service: site.model.to_owned(),
            steps: STEPS_PER_RUN,
            first_step: progress.next_step,
            groups: GROUPS_PER_STEP,
            samples: SAMPLES_PER_GROUP,
            max_tokens: SAMPLE_TOKENS_MAX,
            train_ms: TRAIN_MS,
            staleness_bound: site.staleness_bound,
            step_timeout_ms: ABANDON_AFTER_MS,
            version: progress.version,
            ..TrainerSettings::default()
        });
        match run.await {
            Ok(report) => add_report(&mut summary.report, &report),
            Err(error) => summary.abandoned_runs.push(error.to_string()),
        }
        progress.next_step += STEPS_PER_RUN;
        progress.version.version += STEPS_PER_RUN;
    }
    summary
}
