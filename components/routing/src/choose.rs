//! Choice of a replica for one call: samples a few candidates at random and takes the one with
//! the lowest score.
//!
//! Candidates are a few random replicas of the entry's own failure domain, a few random replicas
//! of all failure domains, and up to two replicas that cache the prompt's prefix. The number of
//! scores is therefore constant, however many replicas the service has. All replicas are scanned
//! only if sampling finds no eligible one.

use quick_error::quick_error;
use types::{Cause, Failure, NodeId, WeightVersion};

use crate::counters::{Outstanding, Work};
use crate::ejection::{self, EjectionState, Outcome};
use crate::prefix::PrefixMatches;
use crate::random::SplitMix64;
use crate::score::score;
use crate::settings::Policy;
use crate::table::{ReplicaState, Table};

/// Random draws per wanted candidate; a draw that hits an excluded replica or a candidate that
/// was already drawn is wasted.
const TRIES_PER_CANDIDATE: usize = 3;
/// Maximum number of candidates that are compared for one call.
const CANDIDATES_MAX: usize = 12;
/// Maximum number of candidates that are added because they cache the prompt's prefix.
const PREFIX_CANDIDATES_MAX: usize = 2;

/// What a call requires of its replica.
#[derive(Clone, Debug, Default)]
pub struct Requirements<'a> {
    /// Size of the call in tokens.
    pub work: Work,
    /// Replicas that are excluded because the call was already sent to them.
    pub tried: &'a [NodeId],
    /// Lowest weight version that may answer the call; `None` accepts every version.
    pub min_version: Option<WeightVersion>,
    /// Whether the call may probe a half-open replica. Set only for calls that may be retried,
    /// because the probe may fail.
    pub may_probe: bool,
    /// Replicas that cache a prefix of the call's prompt.
    pub prefix: PrefixMatches,
}

quick_error! {
    /// Why no replica could be chosen for a call. The call was not run.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ChoiceError {
        /// The service has no replica.
        Empty {
            display("the service has no replica")
        }
        /// Every replica is draining.
        Leaving {
            display("every replica is leaving")
        }
        /// No replica has the required weight version or a later one.
        Version(wanted: WeightVersion) {
            display("no replica has weight version {} or later", wanted)
        }
        /// The call was already sent to every replica that meets its other requirements.
        Tried {
            display("every replica has been tried")
        }
    }
}

impl From<ChoiceError> for Failure {
    fn from(error: ChoiceError) -> Failure {
        Failure::not_run(match error {
            ChoiceError::Empty | ChoiceError::Tried => Cause::NoEndpoint,
            ChoiceError::Leaving => Cause::Leaving,
            ChoiceError::Version(_) => Cause::Stale,
        })
    }
}

/// The replica chosen for one call. The call counts as outstanding there until this is dropped.
#[derive(Debug)]
pub struct Choice {
    /// Address and incarnation of the replica's agent.
    pub node: NodeId,
    /// Weight version in the replica's last status; `None` for a plain service.
    pub weights: Option<WeightVersion>,
    /// Whether the replica is ejected and was chosen because every eligible replica is.
    pub is_last_resort: bool,
    /// Guard of the call's outstanding work on the replica's counters.
    pub outstanding: Outstanding,
}

impl Choice {
    /// Ends the call and records its outcome for the ejection of the replica. `table` is the
    /// current table of the service, not necessarily the one the replica was chosen from.
    pub fn finish(self, table: &Table, outcome: Outcome, now_ms: u64) {
        let probe = self.outstanding.is_probe();
        let health = &self.outstanding.counters().health;
        ejection::record_outcome(table, health, probe, outcome, now_ms);
    }
}

/// Chooses a replica of `table` for a call. `random` seeds the sampling of candidates.
pub fn choose_replica(
    table: &Table,
    requirements: &Requirements<'_>,
    random: u64,
    now_ms: u64,
) -> Result<Choice, ChoiceError> {
    let mut chooser = Chooser {
        table,
        requirements,
        now_ms,
        rng: SplitMix64::new(random),
        candidates: [(0, 0.0); CANDIDATES_MAX],
        count: 0,
    };
    chooser.collect_candidates();
    if let Some(choice) = chooser.choose_cheapest() {
        return Ok(choice);
    }
    chooser.choose_last_resort()
}

struct Chooser<'a> {
    table: &'a Table,
    requirements: &'a Requirements<'a>,
    now_ms: u64,
    rng: SplitMix64,
    /// Position in the table and score.
    candidates: [(usize, f64); CANDIDATES_MAX],
    count: usize,
}

impl Chooser<'_> {
    fn collect_candidates(&mut self) {
        match self.table.settings().policy {
            Policy::Random => self.sample_all(1),
            Policy::LeastOutstanding => self.scan_for_least(),
            Policy::TwoChoices | Policy::TwoChoicesReport | Policy::ComputeMemory => {
                self.sample_candidates();
            }
        }
        if self.count == 0 {
            self.scan();
        }
    }

    fn sample_candidates(&mut self) {
        let same_domain = self.table.same_domain();
        let settings = self.table.settings();
        let (draws_same_domain, draws_all) = (settings.draws_same_domain, settings.draws_all);
        if same_domain.is_empty() || same_domain.len() == self.table.replica_states().len() {
            self.sample_all(draws_same_domain + draws_all);
        } else {
            self.sample(draws_same_domain, same_domain.len(), |index| {
                same_domain.get(index).map(|&at| at as usize)
            });
            self.sample_all(draws_all);
        }
        let holders = self.requirements.prefix.iter().take(PREFIX_CANDIDATES_MAX);
        for held in holders {
            if let Some(position) = self.table.position_of_prefix(held.id) {
                self.add_candidate(position);
            }
        }
    }

    fn sample_all(&mut self, wanted: usize) {
        let count = self.table.replica_states().len();
        self.sample(wanted, count, Some);
    }

    fn sample(&mut self, wanted: usize, bound: usize, position: impl Fn(usize) -> Option<usize>) {
        let goal = self.count + wanted;
        for _ in 0..wanted * TRIES_PER_CANDIDATE {
            let index = self.rng.below(bound);
            if let Some(position) = position(index) {
                self.add_candidate(position);
            }
            if self.count >= goal {
                return;
            }
        }
    }

    fn scan(&mut self) {
        let count = self.table.replica_states().len();
        let start = self.rng.below(count);
        for step in 0..count {
            self.add_candidate((start + step) % count);
            if self.count == CANDIDATES_MAX {
                return;
            }
        }
    }

    fn scan_for_least(&mut self) {
        let count = self.table.replica_states().len();
        let start = self.rng.below(count);
        let positions = (0..count).map(|step| (start + step) % count);
        let scores = positions.filter_map(|at| {
            self.score_at(at)
                .map(|candidate_score| (at, candidate_score))
        });
        let least = scores.min_by(|a, b| a.1.total_cmp(&b.1));
        if let (Some(least), Some(first)) = (least, self.candidates.first_mut()) {
            *first = least;
            self.count = 1;
        }
    }

    fn add_candidate(&mut self, position: usize) {
        let mut known = self.candidates.iter().take(self.count);
        if known.any(|&(at, _)| at == position) {
            return;
        }
        let Some(candidate_score) = self.score_at(position) else {
            return;
        };
        if let Some(free) = self.candidates.get_mut(self.count) {
            *free = (position, candidate_score);
            self.count += 1;
        }
    }

    /// Score of the replica at `position`; `None` if the replica is not eligible.
    fn score_at(&self, position: usize) -> Option<f64> {
        let state = self.table.replica_states().get(position)?;
        if !self.is_eligible(state) {
            return None;
        }
        let blocks = match state.replica.prefix_id {
            Some(id) => self.requirements.prefix.cached_blocks(id),
            None => 0,
        };
        Some(score(
            self.table,
            state,
            self.requirements.work,
            blocks,
            self.now_ms,
        ))
    }

    fn is_eligible(&self, state: &ReplicaState) -> bool {
        let ejection_state = state.counters.health.ejection_state(self.now_ms);
        let available = match ejection_state {
            EjectionState::Available => true,
            EjectionState::HalfOpen => self.requirements.may_probe,
            EjectionState::Ejected => false,
        };
        available && exclusion_reason(state, self.requirements).is_none()
    }

    /// Chooses the candidate with the lowest score. A half-open candidate is skipped if another
    /// call has begun to probe it in the meantime.
    fn choose_cheapest(&mut self) -> Option<Choice> {
        let candidates = self.candidates.get_mut(..self.count)?;
        candidates.sort_by(|a, b| a.1.total_cmp(&b.1));
        let candidates = self.candidates.iter().take(self.count);
        candidates
            .filter_map(|&(position, _)| self.table.replica_states().get(position))
            .find_map(|state| self.try_choose(state))
    }

    fn try_choose(&self, state: &ReplicaState) -> Option<Choice> {
        let probe = state.counters.health.is_ejected();
        if probe && !state.counters.health.begin_probe() {
            return None;
        }
        Some(self.build_choice(state, probe, false))
    }

    /// Chooses an ejected replica if all replicas that meet the requirements are ejected.
    /// Ejection is only a suspicion, so an attempt there is better than a certain failure.
    fn choose_last_resort(&mut self) -> Result<Choice, ChoiceError> {
        let states = self.table.replica_states();
        let start = self.rng.below(states.len());
        let (before, after) = states.split_at(start);
        let mut closest = ChoiceError::Empty;
        for state in after.iter().chain(before) {
            match exclusion_reason(state, self.requirements) {
                None => return Ok(self.build_choice(state, false, true)),
                Some(reason) => closest = closer_to_chosen(closest, reason),
            }
        }
        Err(closest)
    }

    fn build_choice(&self, state: &ReplicaState, probe: bool, is_last_resort: bool) -> Choice {
        Choice {
            node: state.replica.node,
            weights: state.replica.weights,
            is_last_resort,
            outstanding: Outstanding::new(
                &state.counters,
                self.requirements.work,
                probe,
                self.now_ms,
            ),
        }
    }
}

fn exclusion_reason(state: &ReplicaState, requirements: &Requirements<'_>) -> Option<ChoiceError> {
    if state.replica.leaving {
        return Some(ChoiceError::Leaving);
    }
    if let Some(wanted) = requirements.min_version
        && state.replica.weights < Some(wanted)
    {
        return Some(ChoiceError::Version(wanted));
    }
    if requirements.tried.contains(&state.replica.node) {
        return Some(ChoiceError::Tried);
    }
    None
}

/// The reason that excluded a replica at the later check, so that the error names the last
/// requirement that no replica met.
fn closer_to_chosen(first: ChoiceError, second: ChoiceError) -> ChoiceError {
    let rank = |reason: &ChoiceError| match reason {
        ChoiceError::Empty => 0,
        ChoiceError::Leaving => 1,
        ChoiceError::Version(_) => 2,
        ChoiceError::Tried => 3,
    };
    if rank(&second) > rank(&first) {
        second
    } else {
        first
    }
}
