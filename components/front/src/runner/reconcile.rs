//! A pass of the runner over the steps: stops unwanted items, saves partial texts, and starts and
//! moves runs.

use platform::store::StoreError;
use steps::SavedPiece;

use super::pool_queues::{PoolQueue, QueuedItem};
use super::*;

impl Runner {
    /// Brings the running items in line with the steps in the index. Starts no runs while the front
    /// shuts down, before the first configuration, or while its copy of the index is too old.
    pub(super) fn reconcile(&mut self) {
        let now_ms = now_ms();
        self.stop_unwanted(now_ms);
        self.save_texts(now_ms);
        if self.front.drain.is_leaving() {
            return;
        }
        let index_age_ms = self.front.index_copy.age_ms(now_ms);
        if index_age_ms.is_none_or(|age_ms| age_ms >= INDEX_AGE_MS_MAX) {
            return;
        }
        // Taken before the configuration, which may be replaced by a newer one in between.
        let routes_as_of_ms = self.front.operator_copy.as_of_ms();
        let Some(routes) = self.front.routes.load_full() else {
            return;
        };
        log::debug!(event = "steps-considered", routes_version = routes.version; "");
        self.keep_knowledge(&routes, now_ms);
        for queue in self.pool_queues(&routes, routes_as_of_ms, now_ms) {
            self.place_items(queue, &routes, now_ms);
        }
    }

    /// Stops and forgets items that are listed, whose step was ended, or that another front runs.
    fn stop_unwanted(&mut self, now_ms: u64) {
        let front = Arc::clone(&self.front);
        let must_stop_runs = self.must_stop_runs(now_ms);
        let superseded_items = self.superseded_items();
        let mut censored: Vec<(ItemKey, u64)> = Vec::new();
        let index = front.index();
        let drop_cause = |key: &ItemKey, regardless_of_owner: bool| {
            let Some(step) = index.ledger.get(key.0).filter(|step| !step.ended) else {
                return Some("step-ended");
            };
            let progress = step.progress.get(key.1 as usize);
            if progress.is_none_or(|item| item.listed) {
                return Some("listed");
            }
            if regardless_of_owner {
                return None;
            }
            if must_stop_runs {
                return Some("leaving");
            }
            if superseded_items.contains(key) {
                return Some("runs-elsewhere");
            }
            let may_finish = front.may_finish(&step.head, step.shard(key.1));
            (!may_finish).then_some("shard-lost")
        };
        let is_wanted = |key: &ItemKey, regardless_of_owner: bool| {
            drop_cause(key, regardless_of_owner).is_none()
        };
        // A complete text is scored and written even if another front owns its shard now.
        self.running.retain(|key, running| {
            let cause = drop_cause(key, running.replica_run.is_none());
            if let (Some(why), Some(run)) = (cause, &running.replica_run) {
                log::info!(
                    event = "item-run-dropped", step = key.0.0, item = key.1,
                    replica = &*run.replica, why; ""
                );
            }
            cause.is_none()
        });
        // Texts of runs that were stopped by the shutdown still have to be saved.
        self.partials.retain(|key, (partial, _)| {
            let is_kept = is_wanted(key, must_stop_runs);
            let events = if is_kept { 0 } else { lock(partial).last_event };
            if events > 0 {
                censored.push((*key, events));
            }
            is_kept
        });
        for (key, events) in censored {
            if let Some(step) = index.ledger.get(key.0) {
                self.lengths.record_censored(&step.head, key.1, events);
            }
        }
        self.moves.retain(|key, _| is_wanted(key, false));
        self.last_texts.record_closed(&front, &index.ledger);
        self.failed_runs.retain(|key, _| is_wanted(key, false));
        self.timings
            .retain(&front, |key| is_wanted(key, true), now_ms);
        self.data
            .retain(|step, _| index.ledger.get(*step).is_some_and(Step::is_open));
    }

    /// Starts runs of the queue's items on replicas with free slots, then moves runs away from
    /// stalled and slow replicas.
    fn place_items(&mut self, queue: PoolQueue, routes: &Routes, now_ms: u64) {
        let table = self.front.replicas.load_full();
        self.remove_gone(&table);
        let members = queue.members(&table, |replica| self.has_runs_at(replica));
        if queue.reports_start(&table) {
            let services = queue.services.iter();
            let mut services = services.filter_map(|service| routes.services.get(service));
            let tokens_per_event = services.next().map_or(1, |known| known.tokens_per_event);
            self.plan_queue(&queue, &members, tokens_per_event, now_ms);
            return;
        }
        let mut engines = self.engines_for(&members, &queue.models, None, now_ms);
        let waiting: Vec<WaitingItem> = queue
            .waiting
            .iter()
            .map(|item| self.prepare_waiting(item, &members, &engines))
            .collect();
        for Placement { item, engine } in place(&waiting, &mut engines) {
            self.start_run(&queue.waiting[item], &members[engine].0);
        }
        self.move_runs(&queue, &members, &mut engines, now_ms);
    }

    /// The placement's view of a queued item. Adds the replica to avoid, at which the previous run
    /// broke off, and restarts a text whose version no replica has any more.
    pub(super) fn prepare_waiting(
        &mut self,
        item: &QueuedItem,
        members: &[(Member, bool)],
        engines: &[Engine],
    ) -> WaitingItem {
        let broke_at = self
            .partials
            .get(&item.key)
            .and_then(|(_, replica)| replica.as_ref());
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

    /// Discards a text that a single version must generate, because no replica has the version of
    /// its beginning any more.
    fn restart_text(&mut self, key: ItemKey) {
        let (step, item) = (key.0.0, key.1);
        log::info!(event = "text-restarted", step, item; "");
        let entry = self.partials.entry(key).or_default();
        lock(&entry.0).discard();
    }

    /// Starts a run of an item at a replica in a new task.
    pub(super) fn start_run(&mut self, item: &QueuedItem, member: &Member) {
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
        let slot = SlotGuard(Arc::clone(&state.running));
        let entry = self.partials.entry(item.key).or_default();
        entry.1 = None;
        // A run of the item that was stopped may not have noticed yet, on another thread. Its last
        // events must not reach the text of this one.
        let text = std::mem::take(&mut *lock(&entry.0));
        entry.0 = Arc::new(Mutex::new(text));
        if let Some(moves) = self.moves.get_mut(&item.key) {
            moves.planned = None;
        }
        let partial = Arc::clone(&entry.0);
        let known = self.front.index().ledger.get(step).map(|step| {
            let saved = step.pieces(number).to_vec();
            (saved, step.read_ms)
        });
        let Some((saved, accepted_ms)) = known else {
            return;
        };
        self.timings
            .record_sent(&self.front, item.key, accepted_ms, now_ms());
        let spec = RunSpec {
            id: item.head.items[number as usize].id.clone(),
            customer: item.head.customer.clone(),
            host: item.head.host.clone(),
            data,
            member: member.clone(),
            min_version: item.head.min_version,
            single_version: item.head.single_version,
            left_ms: item.left_ms,
            event_interval: Arc::clone(&state.event_interval),
            pace: Arc::clone(&state.pace),
            admission,
            stop: Arc::new(Notify::new()),
            last_progress_ms: Arc::new(AtomicU64::new(now_ms())),
        };
        self.runs_started += 1;
        let run_number = RunNumber(self.runs_started);
        let replica_run = ReplicaRun {
            number: run_number,
            replica: Arc::clone(&replica),
            stop: Arc::clone(&spec.stop),
            stop_cause: None,
            min_version: item.head.min_version,
            single_version: item.head.single_version,
            model: item.head.model.as_str().into(),
            expected_tokens: item.head.items[number as usize].expected_tokens(),
            last_progress_ms: Arc::clone(&spec.last_progress_ms),
        };
        log::debug!(
            event = "item-started", id = spec.id, step = step.0, item = number,
            replica = &*replica, from_event = lock(&partial).last_event; ""
        );
        let (key, messages) = (item.key, self.messages.clone());
        let front = Arc::clone(&self.front);
        let admission = Arc::clone(&spec.admission);
        let task = tokio::spawn(async move {
            let end = match restore_saved_text(&front, &partial, &saved).await {
                true => run_item::run(&front, &spec, &partial).await,
                false => RunEnd::PiecesUnreadable,
            };
            drop(slot);
            log::debug!(
                event = "item-run-ended", id = spec.id, step = step.0, item = number,
                replica = &*replica, end = end.name(); ""
            );
            // Fails only if the process ends, as the runner runs until then.
            let _ = messages.send(RunnerMessage::RunEnded(EndedRun {
                key,
                number: run_number,
                replica,
                admission,
                end,
            }));
        });
        self.running.insert(
            key,
            RunningItem {
                abort: task.abort_handle(),
                replica_run: Some(replica_run),
                _working: self.front.drain.work_counter().begin(),
            },
        );
    }
}

/// Restores the saved pieces of a text if this front has none of its events. Returns whether the
/// run can start; false while the store refuses to return the pieces. Starting from the first event
/// would gain nothing then, as such a store accepts no results either, and the item would end late.
/// Pieces that no longer exist or are malformed are lost, and the item starts from its first event.
async fn restore_saved_text(
    front: &Front,
    partial: &SharedPartialText,
    saved: &[SavedPiece],
) -> bool {
    let needs_no_pieces = {
        let partial = lock(partial);
        partial.discarded || partial.last_event > 0
    };
    if saved.is_empty() || needs_no_pieces {
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
                tokio::time::sleep(Duration::from_millis(RECONCILE_INTERVAL_MS)).await;
            }
            lost
        }
    }
}
