//! Requests scores of finished samples.
//!
//! A sample of a scored service is never delivered without its score. While the scorer
//! fails for every sample, the sample waits and the request is retried with exponential
//! backoff, since a new sample would fail as well and cost a run. If other samples are
//! scored in the meantime and the requests for this sample have failed
//! [`crate::LedgerSettings::score_attempts_max`] times, the cause is the sample: it is
//! dropped and its slot is run again. A late score is still accepted while its sample waits.

use std::sync::Arc;

use super::Ledger;
use super::state::{Action, Phase, RunId, ScoreWait};
use crate::sample::{Sample, Score};

impl Ledger {
    /// Records the score of the sample that `run` generated.
    pub fn record_score(&mut self, run: RunId, score: Score) {
        let Some(wait) = self.scoring.remove(&run) else {
            return;
        };
        self.scores_done += 1;
        let sample = Sample {
            score: Some(score),
            ..Sample::clone(&wait.sample)
        };
        self.bind(wait.position, Arc::new(sample));
    }

    /// Records that a score request failed or timed out, and schedules the next one.
    pub fn record_score_failure(&mut self, run: RunId, now_ms: u64) {
        let scores_done = self.scores_done;
        let Some(wait) = self.scoring.get_mut(&run) else {
            return;
        };
        self.tally.score_failures += 1;
        wait.is_requested = false;
        wait.failures += 1;
        if wait.failures == 1 {
            wait.scores_done_before = scores_done;
        }
        let position = wait.position;
        let others_scored = scores_done > wait.scores_done_before;
        if others_scored && wait.failures >= self.settings.score_attempts_max {
            self.tally.unscorable += 1;
            self.requeue(position, now_ms);
            return;
        }
        let delay_ms = self
            .settings
            .score_retry
            .delay_ms(wait.failures, u64::from(position));
        wait.not_before_ms = now_ms + delay_ms;
    }

    /// Turns scoring on or off. When scoring is turned off, samples that wait for a score are
    /// bound without one, since no score will arrive. When it is turned on, finished samples
    /// without a score are sent to the scorer, since they would be delivered unscored.
    pub(super) fn set_scored(&mut self, scored: bool) {
        if scored == self.settings.scored {
            return;
        }
        self.settings.scored = scored;
        if scored {
            self.request_missing_scores();
            return;
        }
        for (_, wait) in std::mem::take(&mut self.scoring) {
            self.bind(wait.position, wait.sample);
        }
    }

    /// Requests scores for samples that finished while the service had no scorer and that the
    /// trainer does not have.
    pub(super) fn request_missing_scores(&mut self) {
        if !self.settings.scored || self.offered_all {
            return;
        }
        let positions: Vec<u32> = self.received.missing().collect();
        for position in positions {
            let finished = self.slots[position as usize].finished();
            let unscored = finished.filter(|sample| sample.score.is_none());
            let Some(sample) = unscored.map(Arc::clone) else {
                continue;
            };
            let run = RunId(self.next_run);
            self.next_run += 1;
            self.request_score(run, position, sample);
        }
    }

    /// Moves a slot to scoring and requests the score of its finished sample.
    pub(super) fn request_score(&mut self, run: RunId, position: u32, sample: Arc<Sample>) {
        self.slot_mut(position).phase = Phase::Scoring;
        self.scoring
            .insert(run, ScoreWait::new(position, Arc::clone(&sample)));
        self.actions.push(Action::Score { run, sample });
    }

    /// Repeats the failed score requests whose backoff has elapsed.
    pub(super) fn retry_scores(&mut self, now_ms: u64) {
        for (&run, wait) in &mut self.scoring {
            if wait.is_requested || now_ms < wait.not_before_ms {
                continue;
            }
            wait.is_requested = true;
            self.actions.push(Action::Score {
                run,
                sample: Arc::clone(&wait.sample),
            });
        }
    }

    /// When the next score request is due.
    pub(super) fn score_due_ms(&self) -> Option<u64> {
        let waiting = self.scoring.values().filter(|wait| !wait.is_requested);
        waiting.map(|wait| wait.not_before_ms).min()
    }
}
