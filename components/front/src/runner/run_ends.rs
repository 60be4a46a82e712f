//! What follows from the end of a run: the text is finished, or the item waits for another run or is
//! listed as errored.

use derive::key;

use super::*;

/// Distinguishes the runs of an item at this front.
#[key]
pub(super) struct RunNumber(pub(super) u64);

/// A run that has ended.
pub(super) struct EndedRun {
    pub(super) key: ItemKey,
    pub(super) number: RunNumber,
    pub(super) replica: ReplicaId,
    /// Admission state of the incarnation at which the run was. Another incarnation may have taken
    /// its place when the end is handled.
    pub(super) admission: Arc<Admission>,
    pub(super) end: RunEnd,
}

impl Runner {
    /// Handles the end of a run. On several cores it may arrive after the item was dropped or runs
    /// again, as stopping a run takes effect only when its task waits. What such a run has found out
    /// is still true.
    pub(super) fn handle_run_end(&mut self, ended: EndedRun) {
        let EndedRun {
            key,
            number,
            replica,
            admission,
            end,
        } = ended;
        let is_current = |running: &RunningItem| {
            let run = running.replica_run.as_ref();
            run.is_some_and(|run| run.number == number)
        };
        let running = match self.running.get(&key).is_some_and(is_current) {
            true => self.running.remove(&key),
            false => None,
        };
        let is_late = running.is_none();
        let now_ms = now_ms();
        let Some((head, progress)) = self.head_and_progress(key) else {
            return;
        };
        if is_late {
            let counts = self.accepts_late(key, &end);
            log::info!(
                event = "item-run-late", step = key.0.0, item = key.1, replica = &*replica,
                end = end.name(), counts; ""
            );
            let name = "front_runs_late_total";
            self.front.metrics.count(name, metrics::item_label(), 1);
            if !counts {
                return;
            }
        }
        let events = self
            .partials
            .get(&key)
            .map_or(0, |entry| lock(&entry.0).last_event);
        let (step, item) = key;
        self.count_run(&end);
        let crashed = matches!(end, RunEnd::Crashed(_));
        match end {
            RunEnd::Complete(text) => {
                self.timings.record_complete(&self.front, key, now_ms);
                self.lengths.record_complete(&head, item, text.events);
                self.partials.remove(&key);
                self.finish(key, &head, text, progress.failed_rewards);
            }
            RunEnd::NotRun(why) => {
                log::debug!(event = "item-not-run", step = step.0, item, replica = &*replica, why; "");
                admission.record_refusal(now_ms);
                self.note_interrupted(key, replica);
            }
            RunEnd::Interrupted(why) | RunEnd::Silent(why) | RunEnd::Crashed(why) => {
                log::info!(
                    event = "item-broken", step = step.0, item, replica = &*replica,
                    events, crashed, why; ""
                );
                admission.record_refusal(now_ms);
                self.note_interrupted(key, replica);
            }
            RunEnd::PiecesUnreadable => {
                log::debug!(event = "item-unready", step = step.0, item; "");
            }
            RunEnd::Stopped => {
                let stop_cause = running
                    .as_ref()
                    .and_then(|running| running.replica_run.as_ref()?.stop_cause);
                self.log_move(key, &replica, events, stop_cause.unwrap_or("told"));
                self.note_interrupted(key, replica);
            }
            RunEnd::Failed => {
                let failed_here = self.failed_runs.entry(key).or_insert(0);
                *failed_here += 1;
                let failed = progress.failed_runs.max(*failed_here);
                log::info!(event = "item-failed", step = step.0, item, replica = &*replica, failed; "");
                if failed >= head.attempts_max {
                    self.fail_item(key, ErrorCause::Runs);
                } else {
                    self.record_failed_run(key);
                    self.note_interrupted(key, replica);
                }
            }
            RunEnd::Impossible => self.fail_item(key, ErrorCause::Impossible),
        }
    }

    /// Whether the end of a run that is no longer the item's counts: its text is whole, or the replica
    /// has answered, and the item is still to be listed and not being finished.
    fn accepts_late(&self, key: ItemKey, end: &RunEnd) -> bool {
        let is_answer = matches!(
            end,
            RunEnd::Complete(_) | RunEnd::Failed | RunEnd::Impossible
        );
        let index = self.front.index();
        let is_open = index.ledger.get(key.0).is_some_and(|step| {
            let progress = step.progress.get(key.1 as usize);
            step.is_open() && progress.is_some_and(|progress| !progress.listed)
        });
        let running = self.running.get(&key);
        let is_finishing = running.is_some_and(|running| running.replica_run.is_none());
        is_answer && is_open && !is_finishing
    }

    fn log_move(&self, key: ItemKey, replica: &ReplicaId, events: u64, why: &str) {
        let (step, item) = key;
        let moves = self.moves.get(&key);
        match moves.and_then(|moves| moves.planned.as_ref()) {
            Some(planned) => log::info!(
                event = "item-moved", step = step.0, item, replica = &**replica, events, why,
                to = &*planned.to, interval_ms = planned.interval_ms,
                interval_there_ms = planned.interval_there_ms,
                events_left = planned.events_left, gain_ms = planned.gain_ms,
                doubt_ms = planned.doubt_ms; ""
            ),
            None => log::info!(
                event = "item-moved", step = step.0, item, replica = &**replica, events, why; ""
            ),
        }
    }

    fn count_run(&self, end: &RunEnd) {
        let name = match end {
            RunEnd::Complete(_) => "front_runs_whole_total",
            RunEnd::NotRun(_) => "front_runs_refused_total",
            RunEnd::Interrupted(_) | RunEnd::Silent(_) | RunEnd::Crashed(_) => {
                "front_runs_broken_total"
            }
            RunEnd::PiecesUnreadable => "front_runs_unready_total",
            RunEnd::Stopped => "front_runs_moved_total",
            RunEnd::Failed | RunEnd::Impossible => "front_runs_failed_total",
        };
        self.front.metrics.count(name, metrics::item_label(), 1);
    }

    /// Remembers where a run broke off: the next run of the item avoids this replica if it can.
    fn note_interrupted(&mut self, key: ItemKey, replica: ReplicaId) {
        if let Some(entry) = self.partials.get_mut(&key) {
            entry.1 = Some(replica);
        }
    }

    fn head_and_progress(
        &self,
        (step, item): ItemKey,
    ) -> Option<(Arc<StepHead>, steps::ItemProgress)> {
        let index = self.front.index();
        let step = index.ledger.get(step)?;
        Some((Arc::clone(&step.head), *step.progress.get(item as usize)?))
    }

    fn record_failed_run(&self, key: ItemKey) {
        let front = Arc::clone(&self.front);
        tokio::spawn(async move { record_failure(&front, key, FailedPart::Run).await });
    }
}
