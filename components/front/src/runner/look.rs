//! What the runner does when it looks at the steps: stops, starts and moves runs.

use platform::store::StoreError;
use steps::SavedPiece;

use super::contests::{Candidate, Contest};
use super::*;

impl Runner {
    pub(super) fn look(&mut self) {
        let now_ms = now_ms();
        self.stop_what_ended(now_ms);
        self.save(now_ms);
        if self.front.drain.is_leaving() {
            return;
        }
        let index_age_ms = self.front.index_age_ms(now_ms);
        if index_age_ms.is_none_or(|age_ms| age_ms >= INDEX_AGE_MS_MAX) {
            return;
        }
        let Some(routes) = self.front.routes.load_full() else {
            return;
        };
        for contest in self.contests(&routes, now_ms) {
            self.start(contest, now_ms);
        }
    }

    /// Stops items that are listed, whose step was ended, or that belong to another front.
    fn stop_what_ended(&mut self, now_ms: u64) {
        let front = Arc::clone(&self.front);
        let leaving = self.is_handing_over(now_ms);
        let overtaken = self.overtaken();
        let index = front.index();
        let wanted = |key: &Key, whole: bool| {
            index.ledger.get(key.0).is_some_and(|step| {
                // A whole text is scored and written whoever has the shard now.
                let shard = step.shard(key.1);
                let may_finish = front.may_finish(&step.head, shard) && !overtaken.contains(key);
                let mine = whole || !leaving && may_finish;
                let progress = step.progress.get(key.1 as usize);
                !step.ended && mine && progress.is_some_and(|item| !item.listed)
            })
        };
        self.running
            .retain(|key, running| wanted(key, running.at.is_none()));
        // A leaving front still saves what its runs made.
        self.partials.retain(|key, _| wanted(key, leaving));
        self.failed_runs.retain(|key, _| wanted(key, false));
        self.stages
            .keep_only(&front, |key| wanted(key, true), now_ms);
        self.data
            .retain(|step, _| index.ledger.get(*step).is_some_and(Step::is_open));
    }

    /// Places waiting items and moves running ones away from slow replicas.
    fn start(&mut self, contest: Contest, now_ms: u64) {
        let table = self.front.replicas.load_full();
        self.forget_gone(&table);
        let members = contest.members(&table, |replica| self.runs_at(replica));
        let mut engines = self.engines_for(&members, &contest.models, now_ms);
        let waiting: Vec<WaitingItem> = contest
            .waiting
            .iter()
            .map(|item| self.as_it_waits(item, &members, &engines))
            .collect();
        for Placement { item, engine } in place(&waiting, &mut engines) {
            self.start_one(&contest.waiting[item], &members[engine].0);
        }
        self.move_runs(&contest, &members, &mut engines, now_ms);
    }

    fn as_it_waits(
        &mut self,
        item: &Candidate,
        members: &[(Member, bool)],
        engines: &[Engine],
    ) -> WaitingItem {
        let broke_at = self.partials.get(&item.key).and_then(|(_, at)| at.as_ref());
        let avoid = broke_at.and_then(|broke_at| {
            members
                .iter()
                .position(|(member, _)| member.replica.id == *broke_at)
        });
        let mut waiting = WaitingItem {
            avoid,
            ..item.waiting.clone()
        };
        if has_lost_version(&waiting, engines) {
            self.restart_text(item.key);
            waiting.only_version = None;
        }
        waiting
    }

    /// Throws away what there is of a text: it has to be made by one version, and no replica
    /// has the one that began it.
    fn restart_text(&mut self, key: Key) {
        let (step, item) = (key.0.0, key.1);
        log::info!(event = "text-restarted", step, item; "");
        let held = self.partials.entry(key).or_default();
        lock(&held.0).discard();
    }

    fn start_one(&mut self, item: &Candidate, member: &Member) {
        let (step, number) = item.key;
        let Some(data) = self
            .data
            .get(&step)
            .and_then(|data| data.get(number as usize))
            .cloned()
        else {
            return;
        };
        let replica = Arc::clone(&member.replica.id);
        let admission = self.admission(&replica, &item.head.model);
        admission.record_attempt(now_ms());
        let state = self
            .engines
            .entry(Arc::clone(&replica))
            .or_insert_with(EngineState::new);
        state.running.fetch_add(1, Ordering::Relaxed);
        let place = Place(Arc::clone(&state.running));
        let held = self.partials.entry(item.key).or_default();
        held.1 = None;
        let partial = Arc::clone(&held.0);
        let known = self.front.index().ledger.get(step).map(|step| {
            let saved = step.pieces(number).to_vec();
            (saved, step.read_ms)
        });
        let Some((saved, accepted_ms)) = known else {
            return;
        };
        self.stages
            .sent(&self.front, item.key, accepted_ms, now_ms());
        let spec = RunSpec {
            id: item.head.items[number as usize].id.clone(),
            customer: item.head.customer.clone(),
            host: item.head.host.clone(),
            data,
            member: member.clone(),
            min_version: item.head.min_version,
            single_version: item.head.single_version,
            left_ms: item.left_ms,
            pace: Arc::clone(&state.pace),
            admission,
            stop: Arc::new(Notify::new()),
            heard_ms: Arc::new(AtomicU64::new(now_ms())),
        };
        let at = RunningAt {
            replica: Arc::clone(&replica),
            stop: Arc::clone(&spec.stop),
            stopping: None,
            min_version: item.head.min_version,
            single_version: item.head.single_version,
            model: item.head.model.as_str().into(),
            expected_tokens: item.head.items[number as usize].expected_tokens(),
            heard_ms: Arc::clone(&spec.heard_ms),
        };
        log::debug!(
            event = "item-started", id = spec.id, step = step.0, item = number,
            replica = &*replica, from_event = lock(&partial).last_event; ""
        );
        let (key, news) = (item.key, self.news.clone());
        let front = Arc::clone(&self.front);
        let task = tokio::spawn(async move {
            let end = match take_up(&front, &partial, &saved).await {
                true => run_item::run(&spec, &partial).await,
                false => RunEnd::Unready,
            };
            drop(place);
            // The runner ends with the process only.
            let _ = news.send(News::Ran(key, replica, end));
        });
        self.running.insert(
            key,
            Running {
                abort: task.abort_handle(),
                at: Some(at),
                _working: self.front.drain.work_counter().begin(),
            },
        );
    }
}

/// Goes on from what another process saved, where this one has nothing of the text; false if it
/// can't be read now. A store that refuses it takes no result either, so that an item that was
/// begun from its first event would end late for nothing.
async fn take_up(front: &Front, partial: &SharedPartial, saved: &[SavedPiece]) -> bool {
    let begun = {
        let partial = lock(partial);
        partial.discarded || partial.last_event > 0
    };
    if saved.is_empty() || begun {
        return true;
    }
    match partial::restore(front, saved).await {
        Ok(restored) => {
            *lock(partial) = restored;
            true
        }
        Err(error) => {
            let lost = matches!(error, StoreError::Gone(_) | StoreError::Malformed(_));
            log::info!(event = "pieces-not-read", lost, error:% = error; "");
            if !lost {
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
            lost
        }
    }
}
