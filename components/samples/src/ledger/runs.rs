//! Events of runs: progress, results, failures and weight swaps.

use std::net::SocketAddr;
use std::sync::Arc;

use types::WeightVersion;

use super::Ledger;
use super::state::{Action, Completion, Fault, PartialSample, Phase, Run, RunId, ScoreWait};
use crate::provenance::Provenance;
use crate::sample::{Sample, staleness};
use crate::swap::{RunInProgress, RunPlan, SwapContext, plan_run};

impl Ledger {
    /// Records that a run has generated `tokens` tokens in total. `stamp` is the version on the
    /// latest chunk. Abandons the run if that version makes the sample too stale.
    pub fn record_progress(
        &mut self,
        run: RunId,
        tokens: u64,
        stamp: Option<WeightVersion>,
        now_ms: u64,
    ) {
        let Some(state) = self.runs.get_mut(&run) else {
            return;
        };
        if tokens > state.tokens {
            state.tokens = tokens;
            state.last_token_ms = now_ms;
        }
        if stamp.is_none_or(|version| !state.versions.insert(version)) {
            return;
        }
        let position = state.position;
        let replica = state.to;
        let lag = staleness(&state.versions, self.newest_version);
        let is_stale = lag.is_none_or(|lag| lag > self.settings.staleness_bound);
        if is_stale {
            self.abandon_run(run, position);
            self.back_off(position, replica, now_ms);
        }
    }

    /// Records the complete result of a run. The first result of a slot is bound, and the
    /// slot's other runs are cancelled. Later results of those are ignored, since their run
    /// numbers are no longer known.
    pub fn record_completion(&mut self, run: RunId, completion: Completion, now_ms: u64) {
        let Some(state) = self.runs.get(&run).cloned() else {
            return;
        };
        let position = state.position;
        let Provenance::Known(versions) = completion.provenance else {
            self.tally.unknown_origin += 1;
            self.remove_run(run, position);
            self.requeue_if_last(position);
            self.back_off(position, state.to, now_ms);
            return;
        };
        let Some(slot) = self.step.slot(position) else {
            return;
        };
        let sample = Sample {
            slot,
            text: completion.text,
            versions,
            score: None,
        };
        if !self.is_fresh(&sample) {
            self.abandon_run(run, position);
            self.back_off(position, state.to, now_ms);
            return;
        }
        let duration_ms = now_ms.saturating_sub(state.started_ms);
        self.run_timings.record(duration_ms, completion.tokens);
        self.remove_run(run, position);
        self.cancel_slot(position);
        self.complete_slot(run, position, sample);
    }

    /// Records that a run ended without a complete result, and queues the slot again unless
    /// another run of the slot continues.
    pub fn record_failure(
        &mut self,
        run: RunId,
        fault: Fault,
        partial: Option<PartialSample>,
        now_ms: u64,
    ) {
        let Some(state) = self.runs.get(&run).cloned() else {
            return;
        };
        let position = state.position;
        self.remove_run(run, position);
        if state.resumed && fault == Fault::Quarantined {
            self.restart_without_partial(position);
            return;
        }
        self.record_fault(&state, fault);
        if !self.slots[position as usize].runs.is_empty() {
            return;
        }
        let delay_ms = self.fault_delay_ms(position, fault);
        let slot = self.slot_mut(position);
        slot.phase = Phase::Pending;
        slot.not_before_ms = now_ms + delay_ms;
        let usable = partial.filter(|p| p.provenance.versions().is_some());
        if usable.is_some() {
            slot.partial = usable;
        }
        self.pending.insert(position);
    }

    /// Runs a slot from its prompt because an engine refused to resume from the partial
    /// sample. Not every engine accepts tokens to resume from, and none accepts as many as
    /// `max_tokens`, which is how many remain if an engine dies between the last token and the
    /// end of its response. A retry with the same tokens would be refused every time.
    fn restart_without_partial(&mut self, position: u32) {
        self.tally.failed += 1;
        self.slot_mut(position).partial = None;
        self.requeue_if_last(position);
    }

    /// Keeps, stops or abandons each run for a swap to the newest version.
    pub(super) fn plan_for_swap(&mut self, now_ms: u64) {
        let context = SwapContext {
            announced: self.newest_version,
            staleness_bound: self.settings.staleness_bound,
            next_in_ms: self
                .next_announcement_ms
                .map(|ms| ms.saturating_sub(now_ms)),
        };
        let plans: Vec<(RunId, u32, RunPlan)> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.is_stopping)
            .map(|(&id, run)| {
                (
                    id,
                    run.position,
                    plan_run(&self.run_in_progress(run, now_ms), &context),
                )
            })
            .collect();
        for (run, position, plan) in plans {
            match plan {
                RunPlan::Keep => {}
                RunPlan::Resume => self.stop(run),
                RunPlan::Abandon => self.abandon_run(run, position),
            }
        }
    }

    /// Requests a run to be stopped, so that it resumes on another replica from its tokens.
    pub(super) fn stop(&mut self, run: RunId) {
        if let Some(state) = self.runs.get_mut(&run) {
            state.is_stopping = true;
            self.actions.push(Action::Stop { run });
        }
    }

    fn run_in_progress(&self, run: &Run, now_ms: u64) -> RunInProgress {
        let elapsed_ms = now_ms.saturating_sub(run.started_ms);
        let left = u64::from(self.step.max_tokens).saturating_sub(run.tokens);
        // The remaining length is unknown: assume half of the tokens that are still allowed.
        let remaining_ms = (elapsed_ms * left / 2).checked_div(run.tokens);
        RunInProgress {
            oldest: run.versions.first().copied(),
            remaining_ms,
            survives_swap: self.settings.survives_swap,
        }
    }

    /// Cancels a run that exceeds the staleness bound. Another run of the same slot continues,
    /// since it may be within the bound.
    fn abandon_run(&mut self, run: RunId, position: u32) {
        self.tally.abandoned += 1;
        self.actions.push(Action::Cancel { run });
        self.remove_run(run, position);
        self.requeue_if_last(position);
    }

    /// Delays the next run of a slot and prefers another replica, after a result that cannot be
    /// used. A replica that missed a swap or sends no version stamps returns such results
    /// every time, and without a delay the slot would be run there in a busy loop.
    fn back_off(&mut self, position: u32, replica: SocketAddr, now_ms: u64) {
        let failures = self.slots[position as usize].failures + 1;
        let delay_ms = self
            .settings
            .run_retry
            .delay_ms(failures, u64::from(position));
        let slot = self.slot_mut(position);
        slot.failures = failures;
        slot.avoid_replica = Some(replica);
        slot.not_before_ms = now_ms + delay_ms;
    }

    fn remove_run(&mut self, run: RunId, position: u32) {
        self.runs.remove(&run);
        self.slot_mut(position).runs.retain(|&other| other != run);
    }

    fn requeue_if_last(&mut self, position: u32) {
        if self.slots[position as usize].runs.is_empty() {
            self.requeue(position, 0);
        }
    }

    fn complete_slot(&mut self, run: RunId, position: u32, sample: Sample) {
        let slot = self.slot_mut(position);
        slot.partial = None;
        slot.failures = 0;
        slot.is_blocked = false;
        let sample = Arc::new(sample);
        if !self.settings.scored {
            self.bind(position, sample);
            return;
        }
        self.request_score(run, position, sample);
    }

    fn record_fault(&mut self, run: &Run, fault: Fault) {
        let slot = self.slot_mut(run.position);
        slot.avoid_replica = Some(run.to);
        match fault {
            Fault::Moved => slot.moves += 1,
            Fault::Quarantined => {
                slot.failures += 1;
                slot.is_blocked = true;
            }
            Fault::Refused | Fault::Lost => slot.failures += 1,
        }
        self.tally.failed += u64::from(fault != Fault::Moved);
    }

    fn fault_delay_ms(&self, position: u32, fault: Fault) -> u64 {
        let failures = self.slots[position as usize].failures;
        match fault {
            Fault::Moved => 0,
            // Retry at once: the loss of one endpoint is no sign that the next one fails.
            Fault::Lost if failures == 1 => 0,
            Fault::Refused | Fault::Lost => self
                .settings
                .run_retry
                .delay_ms(failures, u64::from(position)),
            Fault::Quarantined => self.settings.blocked_retry_ms,
        }
    }
}

impl ScoreWait {
    pub(super) fn new(position: u32, sample: Arc<Sample>) -> Self {
        Self {
            position,
            sample,
            is_requested: true,
            failures: 0,
            not_before_ms: 0,
            scores_done_before: 0,
        }
    }
}
