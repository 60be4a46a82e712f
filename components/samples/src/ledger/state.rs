//! State of slots and runs, and the actions that the ledger requests from its driver, the
//! code that performs them and reports events back.

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

/// Keeps the shift within 64 bits; [`RetryBackoff::max_ms`] usually applies earlier.
const DOUBLINGS_MAX: u32 = 16;

/// Exponential backoff with jitter.
#[value]
pub struct RetryBackoff {
    /// Upper bound of the delay after the first failure; it doubles with each further one.
    pub initial_ms: u64,
    /// Upper bound of the delay after any number of failures.
    pub max_ms: u64,
}

impl RetryBackoff {
    /// Delay after `failures` consecutive failures, between half the bound and the bound.
    /// `salt` spreads the retries of slots that fail together.
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

/// Staleness bound, scoring mode and retry policy of a step's ledger.
#[value]
pub struct LedgerSettings {
    /// Maximum number of versions that a sample may lag behind its trainer.
    pub staleness_bound: u64,
    /// Whether samples are scored; if so, none is delivered without a score.
    pub scored: bool,
    /// Whether engines continue a run across a weight swap.
    pub survives_swap: bool,
    /// Backoff after failed or discarded runs of a slot.
    pub run_retry: RetryBackoff,
    /// Delay before the next run of a slot whose call is quarantined.
    pub blocked_retry_ms: u64,
    /// Backoff after failed requests to the scorer.
    pub score_retry: RetryBackoff,
    /// Failed score requests for one sample, while others succeed, after which its slot is
    /// run again.
    pub score_attempts_max: u32,
    /// When a run counts as a straggler.
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

/// Number of a run; unique within the process if each ledger has its own range
/// ([`crate::Ledger::with_number_range`]).
#[key]
pub struct RunId(pub u64);

/// Output of a run that was stopped or lost, from which the next run resumes.
#[value]
pub struct PartialSample {
    /// Text generated so far, including that of earlier runs.
    pub text: String,
    /// Token ids of the text, which the engine needs to resume.
    pub tokens: Vec<u32>,
    /// Weight versions that generated the tokens.
    pub provenance: Provenance,
}

/// A run to start.
#[value]
pub struct Start {
    /// Identifies the run in all later events and actions.
    pub run: RunId,
    /// Slot that the run generates a sample for.
    pub slot: Slot,
    /// Address of the replica's agent.
    pub to: SocketAddr,
    /// Sampling seed. Hedges and resumes of a sample share it, so their texts have about the
    /// same length and binding the first result does not favour short texts.
    pub seed: u64,
    /// Partial sample to resume from; `None` starts from the prompt.
    pub resume: Option<PartialSample>,
    /// Whether this is a hedge of a slow run of the same slot.
    pub hedge: bool,
}

/// Action that the ledger requests from its driver.
#[value]
pub enum Action {
    /// Start a run.
    Start(Start),
    /// Cancel a run; the ledger ignores its later events.
    Cancel {
        /// Run to cancel.
        run: RunId,
    },
    /// Stop a run and report it as failed with [`Fault::Moved`] and its partial text.
    Stop {
        /// Run to stop.
        run: RunId,
    },
    /// Request a score for this sample and report the result under the run's number.
    Score {
        /// Run that generated the sample.
        run: RunId,
        /// Finished sample without a score.
        sample: Arc<Sample>,
    },
    /// Send this message to the second home.
    Copy(CopyMessage),
}

/// Complete result of a run.
#[value]
pub struct Completion {
    /// Text, including that of the partial sample that the run resumed from.
    pub text: String,
    /// Number of tokens that this run generated, without those of the partial sample.
    pub tokens: u64,
    /// Weight versions that generated the text, including the partial sample's.
    pub provenance: Provenance,
}

/// Why a run ended without a complete result.
#[key]
pub enum Fault {
    /// The run never reached the engine, which is full, leaving or not hosting the model.
    Refused,
    /// The endpoint or the connection to it was lost, or the response was truncated.
    Lost,
    /// The call is quarantined because it crashes endpoints, or the engine rejected it in a
    /// way that a retry would repeat.
    Quarantined,
    /// The ledger requested the stop, to resume the run on another replica.
    Moved,
}

/// A replica that can take runs.
#[value]
pub struct Replica {
    /// Address of the replica's agent.
    pub address: SocketAddr,
    /// Number of further runs that the replica can take now.
    pub free_runs: u32,
    /// Weight version that the replica serves, if known.
    pub version: Option<WeightVersion>,
}

/// Runs that one step may have now, as the driver grants them.
#[value]
pub struct RunCapacity {
    /// Maximum number of runs of the step in progress.
    pub in_progress_max: u32,
    /// Replicas of the model that may take runs.
    pub replicas: Vec<Replica>,
}

#[value]
pub(super) enum Phase {
    /// Nothing to do and no sample held: the trainer has the sample, or the step was dropped.
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
    /// Replica of the last failed run; the next run prefers another.
    pub avoid_replica: Option<SocketAddr>,
    /// Number of restarts from the prompt; the seed depends on it.
    pub attempt: u32,
    pub failures: u32,
    pub moves: u32,
    pub not_before_ms: u64,
    pub is_blocked: bool,
    /// Staleness at the last offer, recorded once a cursor shows that the sample has arrived.
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
    /// Whether the run resumed from the tokens of an earlier one.
    pub resumed: bool,
    pub started_ms: u64,
    pub last_token_ms: u64,
    pub tokens: u64,
    /// Versions stamped so far, including the partial sample's.
    pub versions: BTreeSet<WeightVersion>,
    /// The driver was requested to stop the run.
    pub is_stopping: bool,
}

#[value]
pub(super) struct ScoreWait {
    pub position: u32,
    pub sample: Arc<Sample>,
    pub is_requested: bool,
    pub failures: u32,
    pub not_before_ms: u64,
    /// Number of scores that the ledger had received when this one first failed.
    pub scores_done_before: u64,
}

/// Finaliser of SplitMix64: maps neighbouring numbers to distant ones.
pub(super) fn mix(number: u64) -> u64 {
    let z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
