//! What the ledger knows of slots and runs, and what it asks of its driver.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use derive::{key, value};
use types::WeightVersion;

use crate::copy::CopyMessage;
use crate::provenance::Provenance;
use crate::sample::Sample;
use crate::step::Slot;
use crate::straggler::StragglerSettings;

const DOUBLINGS_MAX: u32 = 16;

/// Exponential pace of retries.
#[value]
pub struct RetryBackoff {
    /// After the first failure.
    pub initial_ms: u64,
    /// At most.
    pub max_ms: u64,
}

impl RetryBackoff {
    /// Wait after `failures` in a row. Slots that fail together are spread by `salt`.
    pub(super) fn delay_ms(&self, failures: u32, salt: u64) -> u64 {
        let doublings = failures.saturating_sub(1).min(DOUBLINGS_MAX);
        let bound_ms = self
            .initial_ms
            .saturating_mul(1 << doublings)
            .min(self.max_ms);
        let half_ms = bound_ms / 2;
        half_ms + mix(salt.wrapping_add(u64::from(failures) << 32)) % (half_ms + 1)
    }
}

/// Bounds of a step's ledger.
#[value]
pub struct LedgerSettings {
    /// Versions that a sample may lag behind its trainer.
    pub staleness_bound: u64,
    /// Samples go through a scorer and are not delivered without a score.
    pub scored: bool,
    /// Engines go on with a run over a switch of weights.
    pub survives_swap: bool,
    /// Pace of retries of a run that failed.
    pub run_retry: RetryBackoff,
    /// Wait of a slot whose call was refused for good.
    pub blocked_retry_ms: u64,
    /// Pace of retries at the scorer.
    pub score_retry: RetryBackoff,
    /// Scores that fail for one sample, while others succeed, before it is run again.
    pub score_attempts_max: u32,
    /// Late runs.
    pub straggler: StragglerSettings,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            staleness_bound: 0,
            scored: false,
            survives_swap: true,
            run_retry: RetryBackoff {
                initial_ms: 100,
                max_ms: 10_000,
            },
            blocked_retry_ms: 60_000,
            score_retry: RetryBackoff {
                initial_ms: 200,
                max_ms: 15_000,
            },
            score_attempts_max: 5,
            straggler: StragglerSettings::default(),
        }
    }
}

/// Number of a run within a ledger.
#[key]
pub struct RunId(pub u64);

/// What a run that was stopped or lost leaves for the next one.
#[value]
pub struct PartialSample {
    /// Text so far.
    pub text: String,
    /// Its tokens, for the engine.
    pub tokens: Vec<u32>,
    /// Where they come from.
    pub provenance: Provenance,
}

/// A run to start.
#[value]
pub struct Start {
    /// Its number, for everything that is said of it.
    pub run: RunId,
    /// Its slot.
    pub slot: Slot,
    /// Where; an agent's address.
    pub to: SocketAddr,
    /// Seed: the same for hedges and resumes of one sample, so that which of them ends
    /// first says little of its length.
    pub seed: u64,
    /// Go on from here.
    pub resume: Option<PartialSample>,
    /// It runs beside a slow one.
    pub hedge: bool,
}

/// What the driver does for the ledger.
#[value]
pub enum Action {
    /// Start a run.
    Start(Start),
    /// Cancel a run; nothing more that it brings is used.
    Cancel {
        /// The run.
        run: RunId,
    },
    /// Stop a run and report it as failed with [`Fault::Moved`] and its partial text.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Ask the scorer for this sample and report under the run's number.
    Score {
        /// The run that made the sample.
        run: RunId,
        /// The sample.
        sample: Arc<Sample>,
    },
    /// Send this to the second home.
    Copy(CopyMessage),
}

/// A whole result of a run.
#[value]
pub struct Completion {
    /// Text, the partial that it went on from included.
    pub text: String,
    /// Tokens that this run made.
    pub tokens: u64,
    /// Origin, that of the partial included.
    pub provenance: Provenance,
}

/// Why a run ended without a whole result.
#[key]
pub enum Fault {
    /// It never reached the engine, which is full, leaving or not hosting the model.
    Refused,
    /// The endpoint or the way to it was lost, or the answer was cut.
    Lost,
    /// The call is refused for good because it crashes endpoints.
    Quarantined,
    /// Stopped on request of the ledger.
    Moved,
}

/// A replica that can take runs.
#[value]
pub struct Replica {
    /// Its agent.
    pub address: SocketAddr,
    /// Runs that it can take now.
    pub free_runs: u32,
    /// Version that it serves, if known.
    pub version: Option<WeightVersion>,
}

/// Room for runs of one step, as the driver grants it at this moment.
#[value]
pub struct RunCapacity {
    /// Runs of the step in progress at most.
    pub in_progress_max: u32,
    /// Replicas of the model.
    pub replicas: Vec<Replica>,
}

#[value]
pub(super) enum Phase {
    /// The trainer has it and nothing is kept of it.
    Idle,
    Pending,
    Running,
    Scoring,
    Finished(Arc<Sample>),
}

#[value]
pub(super) struct SlotState {
    pub phase: Phase,
    pub runs: Vec<RunId>,
    pub partial: Option<PartialSample>,
    /// Replica that the next run should avoid.
    pub avoid_replica: Option<SocketAddr>,
    /// Samples begun for the slot; the seed depends on it.
    pub attempt: u32,
    pub failures: u32,
    pub moves: u32,
    pub not_before_ms: u64,
    pub is_blocked: bool,
    /// Age at the last offer, counted when the sample has arrived.
    pub offered_staleness: Option<u64>,
}

impl SlotState {
    pub fn new(phase: Phase) -> Self {
        Self {
            phase,
            runs: Vec::new(),
            partial: None,
            avoid_replica: None,
            attempt: 0,
            failures: 0,
            moves: 0,
            not_before_ms: 0,
            is_blocked: false,
            offered_staleness: None,
        }
    }

    pub fn finished(&self) -> Option<&Arc<Sample>> {
        match &self.phase {
            Phase::Finished(sample) => Some(sample),
            _ => None,
        }
    }
}

#[value]
pub(super) struct Run {
    pub position: u32,
    pub to: SocketAddr,
    pub hedge: bool,
    /// It went on from tokens of an earlier one.
    pub resumed: bool,
    pub started_ms: u64,
    pub last_token_ms: u64,
    pub tokens: u64,
    /// Versions stamped so far, those of the partial included.
    pub versions: BTreeSet<WeightVersion>,
    /// The driver was asked to stop it.
    pub is_stopping: bool,
}

#[value]
pub(super) struct ScoreWait {
    pub position: u32,
    pub sample: Arc<Sample>,
    pub is_requested: bool,
    pub failures: u32,
    pub not_before_ms: u64,
    /// Scores that had succeeded when this one first failed.
    pub scores_done_before: u64,
}

/// SplitMix64's finaliser: spreads neighbouring numbers.
pub(super) fn mix(number: u64) -> u64 {
    let z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
