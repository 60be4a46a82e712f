//! A trainer that works through a slice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use standins::trainer::{self, TrainerReport, TrainerSettings};
use types::WeightVersion;

use crate::site::Site;

/// Steps of one run of the trainer; a slice has several.
const STEPS: u64 = 4;
const GROUPS: u32 = 8;
const SAMPLES: u32 = 8;
const MAX_TOKENS: u32 = 64;
const TRAIN_MS: u64 = 800;
const GIVE_UP_MS: u64 = 20_000;

/// Where the training of a model stands, over all slices.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    next_step: u64,
    version: WeightVersion,
}

impl Progress {
    /// Nothing trained yet.
    pub fn new() -> Progress {
        Progress {
            next_step: 1,
            version: WeightVersion::default(),
        }
    }
}

impl Default for Progress {
    fn default() -> Self {
        Progress::new()
    }
}

/// What the trainer of a slice saw.
#[derive(Clone, Debug, Default)]
pub struct Trained {
    /// Sums over its runs.
    pub report: TrainerReport,
    /// Runs that it gave up, and why.
    pub given_up: Vec<String>,
}

impl Trained {
    /// Share of the time that it waited, in thousandths.
    pub fn idle_permille(&self) -> u64 {
        (self.report.idle_ms * 1_000)
            .checked_div(self.report.run_ms)
            .unwrap_or(0)
    }

    /// Staleness below which this share of the samples lies, in thousandths.
    pub fn staleness(&self, permille: u64) -> u64 {
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

    /// Adds another slice's.
    pub fn add(&mut self, other: &Trained) {
        add(&mut self.report, &other.report);
        self.given_up.extend(other.given_up.iter().cloned());
    }
}

fn add(sum: &mut TrainerReport, other: &TrainerReport) {
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

/// Trains until the slice is over.
pub async fn train(
    site: &Site,
    entries: &[SocketAddr],
    progress: &mut Progress,
    lasts: Duration,
) -> Trained {
    let began = Instant::now();
    let mut trained = Trained::default();
    while began.elapsed() < lasts {
        let run = trainer::run(TrainerSettings {
            entries: entries.to_vec(),
            token: site.trainer_token.to_owned(),
            service: site.model.to_owned(),
            steps: STEPS,
            first_step: progress.next_step,
            groups: GROUPS,
            samples: SAMPLES,
            max_tokens: MAX_TOKENS,
            train_ms: TRAIN_MS,
            staleness_bound: site.staleness_bound,
            step_timeout_ms: GIVE_UP_MS,
            version: progress.version,
            ..TrainerSettings::default()
        });
        match run.await {
            Ok(report) => add(&mut trained.report, &report),
            Err(error) => trained.given_up.push(error.to_string()),
        }
        progress.next_step += STEPS;
        progress.version.version += STEPS;
    }
    trained
}
