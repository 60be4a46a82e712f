//! What happens to runs: progress, results, failures, swaps of weights.

use std::net::SocketAddr;
use std::sync::Arc;

use types::WeightVersion;

use super::Ledger;
use super::state::{Action, Completion, Fault, PartialSample, Phase, Run, RunId, ScoreWait};
use crate::provenance::Provenance;
use crate::sample::{Sample, staleness};
use crate::swap::{RunInProgress, RunPlan, SwapContext, plan_run};

impl Ledger {
    /// A run has made `tokens` in all by now; `stamp` is the version on its latest chunk.
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
            state.token_ms = now_ms;
        }
        if stamp.is_none_or(|version| !state.versions.insert(version)) {
            return;
        }
        let place = state.place;
        let state_to = state.to;
        let lag = staleness(&state.versions, self.newest);
        let old = lag.is_none_or(|lag| lag > self.settings.staleness_bound);
        if old {
            self.abandon_run(run, place);
            self.slow_down(place, state_to, now_ms);
        }
    }

    /// A run has its whole result. The first one of a slot is bound; the others are
    /// cancelled, and a result that comes later belongs to no run any more.
    pub fn record_completion(&mut self, run: RunId, completion: Completion, now_ms: u64) {
        let Some(state) = self.runs.get(&run).cloned() else {
            return;
        };
        let place = state.place;
        let Provenance::Known(versions) = completion.provenance else {
            self.tally.unknown_origin += 1;
            self.end_run(run, place);
            self.restart_if_alone(place);
            self.slow_down(place, state.to, now_ms);
            return;
        };
        let Some(slot) = self.step.slot(place) else {
            return;
        };
        let sample = Sample {
            slot,
            text: completion.text,
            versions,
            score: None,
        };
        if !self.keeps(&sample) {
            self.abandon_run(run, place);
            self.slow_down(place, state.to, now_ms);
            return;
        }
        let duration_ms = now_ms.saturating_sub(state.started_ms);
        self.pace.record(duration_ms, completion.tokens);
        self.end_run(run, place);
        self.release(place);
        self.settle(run, place, sample);
    }

    /// A run ended without a whole result.
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
        let place = state.place;
        self.end_run(run, place);
        if state.resumed && fault == Fault::Quarantined {
            self.start_afresh(place);
            return;
        }
        self.note_fault(&state, fault);
        if !self.slots[place as usize].runs.is_empty() {
            return;
        }
        let wait_ms = self.fault_wait_ms(place, fault);
        let slot = self.slot_mut(place);
        slot.phase = Phase::Pending;
        slot.not_before_ms = now_ms + wait_ms;
        let usable = partial.filter(|p| p.provenance.versions().is_some());
        if usable.is_some() {
            slot.partial = usable;
        }
        self.pending.insert(place);
    }

    /// An engine refuses to go on from tokens: not all take them, and none takes as many as
    /// the sample may have, which a run leaves whose engine died before its last word. Tried
    /// again with them, the slot would be refused for ever.
    fn start_afresh(&mut self, place: u32) {
        self.tally.failed += 1;
        self.slot_mut(place).partial = None;
        self.restart_if_alone(place);
    }

    /// Plans every run against the newest version.
    pub(super) fn plan_swap(&mut self, now_ms: u64) {
        let news = SwapContext {
            announced: self.newest,
            staleness_bound: self.settings.staleness_bound,
            next_in_ms: self.next_news_ms.map(|ms| ms.saturating_sub(now_ms)),
        };
        let plans: Vec<(RunId, u32, RunPlan)> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.stopping)
            .map(|(&id, run)| {
                (
                    id,
                    run.place,
                    plan_run(&self.in_progress(run, now_ms), &news),
                )
            })
            .collect();
        for (run, place, plan) in plans {
            match plan {
                RunPlan::Keep => {}
                RunPlan::Resume => self.stop(run),
                RunPlan::Abandon => self.abandon_run(run, place),
            }
        }
    }

    /// Asks for a run to be stopped, to go on elsewhere from its tokens.
    pub(super) fn stop(&mut self, run: RunId) {
        if let Some(state) = self.runs.get_mut(&run) {
            state.stopping = true;
            self.actions.push(Action::Stop { run });
        }
    }

    fn in_progress(&self, run: &Run, now_ms: u64) -> RunInProgress {
        let elapsed_ms = now_ms.saturating_sub(run.started_ms);
        let left = u64::from(self.step.max_tokens).saturating_sub(run.tokens);
        // Until it ends, a run is taken to use half of the tokens that it still may.
        let remaining_ms = (elapsed_ms * left / 2).checked_div(run.tokens);
        RunInProgress {
            oldest: run.versions.first().copied(),
            remaining_ms,
            survives_swap: self.settings.survives_swap,
        }
    }

    /// A run is too old. A hedge beside it may be younger and goes on.
    fn abandon_run(&mut self, run: RunId, place: u32) {
        self.tally.abandoned += 1;
        self.actions.push(Action::Cancel { run });
        self.end_run(run, place);
        self.restart_if_alone(place);
    }

    /// A replica made something that can't be used, as one that missed a swap or stamps
    /// nothing does each time. Without a pause the slot would be run there at full speed.
    fn slow_down(&mut self, place: u32, replica: SocketAddr, now_ms: u64) {
        let failures = self.slots[place as usize].failures + 1;
        let wait_ms = self.settings.run_retry.wait_ms(failures, u64::from(place));
        let slot = self.slot_mut(place);
        slot.failures = failures;
        slot.avoid = Some(replica);
        slot.not_before_ms = now_ms + wait_ms;
    }

    fn end_run(&mut self, run: RunId, place: u32) {
        self.runs.remove(&run);
        self.slot_mut(place).runs.retain(|&other| other != run);
    }

    fn restart_if_alone(&mut self, place: u32) {
        if self.slots[place as usize].runs.is_empty() {
            self.run_again(place, 0);
        }
    }

    fn settle(&mut self, run: RunId, place: u32, sample: Sample) {
        let slot = self.slot_mut(place);
        slot.partial = None;
        slot.failures = 0;
        slot.blocked = false;
        let sample = Arc::new(sample);
        if !self.settings.scored {
            self.bind(place, sample);
            return;
        }
        self.wait_for_score(run, place, sample);
    }

    fn note_fault(&mut self, run: &Run, fault: Fault) {
        let slot = self.slot_mut(run.place);
        slot.avoid = Some(run.to);
        match fault {
            Fault::Moved => slot.moves += 1,
            Fault::Quarantined => {
                slot.failures += 1;
                slot.blocked = true;
            }
            Fault::Refused | Fault::Lost => slot.failures += 1,
        }
        self.tally.failed += u64::from(fault != Fault::Moved);
    }

    fn fault_wait_ms(&self, place: u32, fault: Fault) -> u64 {
        let failures = self.slots[place as usize].failures;
        match fault {
            Fault::Moved => 0,
            // The loss of one endpoint says nothing of the next one.
            Fault::Lost if failures == 1 => 0,
            Fault::Refused | Fault::Lost => {
                self.settings.run_retry.wait_ms(failures, u64::from(place))
            }
            Fault::Quarantined => self.settings.blocked_retry_ms,
        }
    }
}

impl ScoreWait {
    pub(super) fn new(place: u32, sample: Arc<Sample>) -> Self {
        Self {
            place,
            sample,
            asked: true,
            failures: 0,
            not_before_ms: 0,
            scores_before: 0,
        }
    }
}
