//! Scores of finished samples.
//!
//! A sample of a scored service is never delivered without its score. While the scorer
//! as a whole fails, the sample waits and the score is asked for again with a growing
//! pause: a new sample would fare no better and cost a run. If other samples are scored
//! meanwhile and this one has failed often enough, the fault is in the sample; it is
//! given up and the slot is run again. A score that comes late still counts, as long as
//! its sample waits.

use std::sync::Arc;

use super::Ledger;
use super::state::{Action, Phase, RunId, ScoreWait};
use crate::sample::{Sample, Score};

impl Ledger {
    /// The scorer answered for the sample that `run` made.
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

    /// The scorer failed or did not answer in time.
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

    /// Samples are scored from here on, or no more. Without a scorer those that wait for
    /// their score would wait for ever; with one, those without would go out unscored.
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

    /// Has the samples scored that the trainer does not have and that were finished while
    /// there was no scorer.
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

    /// Asks for the score of a whole sample.
    pub(super) fn request_score(&mut self, run: RunId, position: u32, sample: Arc<Sample>) {
        self.slot_mut(position).phase = Phase::Scoring;
        self.scoring
            .insert(run, ScoreWait::new(position, Arc::clone(&sample)));
        self.actions.push(Action::Score { run, sample });
    }

    /// Asks again for the scores whose pause is over.
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

    /// When a score is next to be asked for.
    pub(super) fn score_due_ms(&self) -> Option<u64> {
        let waiting = self.scoring.values().filter(|wait| !wait.is_requested);
        waiting.map(|wait| wait.not_before_ms).min()
    }
}
