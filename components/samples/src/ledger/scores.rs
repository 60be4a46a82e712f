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
        self.bind(wait.place, Arc::new(sample));
    }

    /// The scorer failed or did not answer in time.
    pub fn record_score_failure(&mut self, run: RunId, now_ms: u64) {
        let scores_done = self.scores_done;
        let Some(wait) = self.scoring.get_mut(&run) else {
            return;
        };
        self.tally.score_failures += 1;
        wait.asked = false;
        wait.failures += 1;
        if wait.failures == 1 {
            wait.scores_before = scores_done;
        }
        let place = wait.place;
        let others_scored = scores_done > wait.scores_before;
        if others_scored && wait.failures >= self.settings.score_attempts_max {
            self.tally.unscorable += 1;
            self.run_again(place, now_ms);
            return;
        }
        let pause_ms = self
            .settings
            .score_retry
            .wait_ms(wait.failures, u64::from(place));
        wait.not_before_ms = now_ms + pause_ms;
    }

    /// Samples are scored from here on, or no more. Without a scorer those that wait for
    /// their score would wait for ever; with one, those without would go out unscored.
    pub(super) fn set_scored(&mut self, scored: bool) {
        if scored == self.settings.scored {
            return;
        }
        self.settings.scored = scored;
        if scored {
            self.score_unscored();
            return;
        }
        for (_, wait) in std::mem::take(&mut self.scoring) {
            self.bind(wait.place, wait.sample);
        }
    }

    /// Has the samples scored that the trainer does not have and that were finished while
    /// there was no scorer.
    pub(super) fn score_unscored(&mut self) {
        if !self.settings.scored || self.offered_whole {
            return;
        }
        let places: Vec<u32> = self.received.missing().collect();
        for place in places {
            let finished = self.slots[place as usize].finished();
            let unscored = finished.filter(|sample| sample.score.is_none());
            let Some(sample) = unscored.map(Arc::clone) else {
                continue;
            };
            let run = RunId(self.next_run);
            self.next_run += 1;
            self.wait_for_score(run, place, sample);
        }
    }

    /// Asks for the score of a whole sample.
    pub(super) fn wait_for_score(&mut self, run: RunId, place: u32, sample: Arc<Sample>) {
        self.slot_mut(place).phase = Phase::Scoring;
        self.scoring
            .insert(run, ScoreWait::new(place, Arc::clone(&sample)));
        self.actions.push(Action::Score { run, sample });
    }

    /// Asks again for the scores whose pause is over.
    pub(super) fn ask_scores(&mut self, now_ms: u64) {
        for (&run, wait) in &mut self.scoring {
            if wait.asked || now_ms < wait.not_before_ms {
                continue;
            }
            wait.asked = true;
            self.actions.push(Action::Score {
                run,
                sample: Arc::clone(&wait.sample),
            });
        }
    }

    /// When a score is next to be asked for.
    pub(super) fn score_due_ms(&self) -> Option<u64> {
        let waiting = self.scoring.values().filter(|wait| !wait.asked);
        waiting.map(|wait| wait.not_before_ms).min()
    }
}
