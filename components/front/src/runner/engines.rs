//! State of the model replicas that the runner places items on.

use super::pool_queues::PoolQueue;
use super::replica_pace::SharedPace;
use super::*;
use dispatch::MoveCause;

/// What this front knows of a model replica.
pub(super) struct EngineState {
    /// When the replica started, if its record says so; tells restarts under the same id apart.
    pub(super) started_ms: Option<u64>,
    /// Number of items that this front runs at the replica.
    pub(super) running: Arc<AtomicU32>,
    pub(super) event_interval: Arc<EventInterval>,
    pub(super) pace: Arc<SharedPace>,
    /// Whether the replica accepts items, by model.
    pub(super) admissions: HashMap<Arc<str>, Arc<Admission>>,
    /// Versions of the weights in the replica's last record, by model; 0 for none.
    pub(super) versions: HashMap<Arc<str>, u64>,
}

impl EngineState {
    pub(super) fn new() -> Self {
        let running = Arc::default();
        Self {
            started_ms: None,
            event_interval: Arc::default(),
            pace: Arc::new(SharedPace::new(Arc::clone(&running))),
            running,
            admissions: HashMap::new(),
            versions: HashMap::new(),
        }
    }

    /// Updates the versions. A new version ends the load that the replica refused items for, so
    /// items of the model are admitted again.
    fn update_versions(&mut self, member: &Member, models: &[Arc<str>]) {
        for model in models {
            let version = member.replica.version_of(model).unwrap_or(0);
            let previous = self.versions.insert(Arc::clone(model), version);
            let has_changed = previous.is_some_and(|previous| previous != version);
            if let Some(admission) = self.admissions.get(model).filter(|_| has_changed) {
                admission.reset();
            }
        }
    }

    /// How many of `free_slots` slots items of a model may use.
    fn usable_slots(&self, model: &str, free_slots: u32, now_ms: u64) -> u32 {
        let admission = self.admissions.get(model);
        admission.map_or(free_slots, |known| known.usable_slots(free_slots, now_ms))
    }
}

fn versions(member: &Member, models: &[Arc<str>]) -> Vec<u64> {
    let version = |model: &Arc<str>| member.replica.version_of(model).unwrap_or(0);
    models.iter().map(version).collect()
}

/// A slot at a replica, counted in [`EngineState::running`] until the guard is dropped.
pub(super) struct SlotGuard(pub(super) Arc<AtomicU32>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Runner {
    /// The placement's view of the replicas of a pool. The flag of a member says whether another
    /// front owns the replica's shard. `stalled_ms` is the silence after which a run counts as
    /// stalled; `None` derives it from the replicas' mean intervals.
    pub(super) fn engines_for(
        &mut self,
        members: &[(Member, bool)],
        models: &[Arc<str>],
        stalled_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Engine> {
        for (member, _) in members {
            let id = Arc::clone(&member.replica.id);
            let state = self.engines.entry(id).or_insert_with(EngineState::new);
            state.started_ms = state.started_ms.or(member.replica.started_ms);
        }
        for (member, _) in members {
            if let Some(state) = self.engines.get_mut(&member.replica.id) {
                state.update_versions(member, models);
            }
        }
        let typical_interval_us = self.typical_interval_us(members);
        self.typical_interval_us = typical_interval_us;
        let stalled_ms = stalled_ms.unwrap_or_else(|| stall_threshold_ms(typical_interval_us));
        let stalled = self.replicas_with_stalled_runs(stalled_ms, now_ms);
        members
            .iter()
            .map(|(member, foreign)| {
                let state = &self.engines[&member.replica.id];
                let running = state.running.load(Ordering::Relaxed);
                let free_slots = match stalled.contains(&member.replica.id) {
                    true => 0,
                    false => member.replica.slots.saturating_sub(running),
                };
                Engine {
                    foreign: *foreign,
                    versions: versions(member, models),
                    model_slots: models
                        .iter()
                        .map(|model| state.usable_slots(model, free_slots, now_ms))
                        .collect(),
                    free_slots,
                    running,
                    slowness: slowness(&state.event_interval, typical_interval_us, now_ms),
                }
            })
            .collect()
    }

    /// Removes the state of replicas that are no longer listed, and resets that of restarted ones.
    /// Keeps the state of listed replicas without usable weights.
    pub(super) fn remove_gone(&mut self, table: &Arc<ReplicaTable>) {
        if Arc::ptr_eq(table, &self.table) {
            return;
        }
        self.table = Arc::clone(table);
        let listed: HashSet<&ReplicaId> = table.iter().map(|member| &member.replica.id).collect();
        self.engines
            .retain(|id, state| listed.contains(id) || state.running.load(Ordering::Relaxed) > 0);
        // A replica that restarted under its id shares neither the event interval nor the refusals
        // of its former process.
        for member in table.iter() {
            let started_ms = member.replica.started_ms;
            let has_restarted =
                |state: &EngineState| state.started_ms.is_some() && state.started_ms != started_ms;
            match self.engines.get_mut(&member.replica.id) {
                Some(state) if has_restarted(state) => *state = EngineState::new(),
                _ => {}
            }
            if let Some(state) = self.engines.get_mut(&member.replica.id) {
                state.started_ms = started_ms;
            }
        }
    }

    pub(super) fn has_runs_at(&self, replica: &ReplicaId) -> bool {
        let state = self.engines.get(replica);
        state.is_some_and(|state| state.running.load(Ordering::Relaxed) > 0)
    }

    /// Admission state of a replica for a model; created if the replica is new.
    pub(super) fn admission(&mut self, replica: &ReplicaId, model: &str) -> Arc<Admission> {
        let state = self
            .engines
            .entry(Arc::clone(replica))
            .or_insert_with(EngineState::new);
        Arc::clone(state.admissions.entry(model.into()).or_default())
    }

    /// Median of the replicas' mean intervals between events; 0 if none is known yet.
    fn typical_interval_us(&self, members: &[(Member, bool)]) -> u64 {
        let mut intervals: Vec<u64> = members
            .iter()
            .filter_map(|(member, _)| self.engines.get(&member.replica.id))
            .map(|state| state.event_interval.mean_us())
            .filter(|mean_us| *mean_us > 0)
            .collect();
        intervals.sort_unstable();
        intervals.get(intervals.len() / 2).copied().unwrap_or(0)
    }

    /// Replicas with a run of this front that has produced no event for `threshold_ms`.
    fn replicas_with_stalled_runs(&self, threshold_ms: u64, now_ms: u64) -> HashSet<&ReplicaId> {
        let runs = self
            .running
            .values()
            .filter_map(|running| running.replica_run.as_ref());
        runs.filter(|run| run.silent_ms(now_ms) >= threshold_ms)
            .map(|run| &run.replica)
            .collect()
    }

    /// Stops stalled runs, and runs at slow replicas, that can continue faster at another replica
    /// with a free slot.
    pub(super) fn move_runs(
        &mut self,
        queue: &PoolQueue,
        members: &[(Member, bool)],
        engines: &mut [Engine],
        now_ms: u64,
    ) {
        let threshold_ms = stall_threshold_ms(self.typical_interval_us);
        let numbers: HashMap<&ReplicaId, usize> = members
            .iter()
            .enumerate()
            .map(|(number, (member, _))| (&member.replica.id, number))
            .collect();
        let (keys, runs): (Vec<ItemKey>, Vec<Run>) = self
            .running
            .iter()
            .filter_map(|(key, running)| {
                let run = running
                    .replica_run
                    .as_ref()
                    .filter(|run| run.stop_cause.is_none())?;
                let engine = *numbers.get(&run.replica)?;
                let model = queue.model_number(&run.model)?;
                Some((*key, self.movable_run(key, run, engine, model, now_ms)?))
            })
            .unzip();
        for (run, cause) in runs_to_move(&runs, engines, threshold_ms) {
            if cause == MoveCause::Slow
                && let Some((partial, _)) = self.partials.get(&keys[run])
            {
                lock(partial).slow_moves += 1;
            }
            self.stop_run(keys[run], cause.as_str());
        }
    }

    /// The placement's view of a run; `None` if the item has no text any more.
    fn movable_run(
        &self,
        key: &ItemKey,
        run: &ReplicaRun,
        engine: usize,
        model: usize,
        now_ms: u64,
    ) -> Option<Run> {
        let partial = lock(&self.partials.get(key)?.0);
        let left_ms = text_left_ms(
            run.expected_tokens,
            partial.last_event,
            self.typical_interval_us,
        );
        let initial_version = partial.versions.first().copied();
        Some(Run {
            engine,
            model,
            left_ms,
            silent_ms: run.silent_ms(now_ms),
            min_version: run.min_version,
            only_version: initial_version.filter(|_| run.single_version),
            slow_moves: partial.slow_moves,
        })
    }

    /// Stops a run, so that the item resumes at another replica.
    pub(super) fn stop_run(&mut self, key: ItemKey, cause: &'static str) {
        let run = self
            .running
            .get_mut(&key)
            .and_then(|running| running.replica_run.as_mut());
        let Some(run) = run else { return };
        run.stop_cause = Some(cause);
        run.stop.notify_one();
        self.front.moves.count(cause);
    }
}

impl ReplicaRun {
    /// Time since the run was sent or received its last event.
    pub(super) fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_progress_ms.load(Ordering::Relaxed))
    }
}
