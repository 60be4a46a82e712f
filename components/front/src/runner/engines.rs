//! Model replicas as the runner sees them.

use super::contests::Contest;
use super::*;

pub(super) struct EngineState {
    /// When the replica started, where it says so.
    pub(super) born_ms: Option<u64>,
    pub(super) running: Arc<AtomicU32>,
    pub(super) pace: Arc<EventInterval>,
    pub(super) admissions: HashMap<Arc<str>, Arc<Admission>>,
    /// Versions that it had at the last look, by model.
    pub(super) versions: HashMap<Arc<str>, u64>,
}

impl EngineState {
    pub(super) fn new() -> Self {
        Self {
            born_ms: None,
            running: Arc::default(),
            pace: Arc::default(),
            admissions: HashMap::new(),
            versions: HashMap::new(),
        }
    }

    /// Takes in which versions it has: a load that ended is no reason to hold items back.
    fn note_versions(&mut self, member: &Member, models: &[Arc<str>]) {
        for model in models {
            let version = member.replica.version_of(model).unwrap_or(0);
            let before = self.versions.insert(Arc::clone(model), version);
            let renewed = before.is_some_and(|before| before != version);
            if let Some(admission) = self.admissions.get(model).filter(|_| renewed) {
                admission.reset();
            }
        }
    }

    /// Items of a model that it takes, where `free` places are free.
    fn open(&self, model: &str, free: u32, now_ms: u64) -> u32 {
        let admission = self.admissions.get(model);
        admission.map_or(free, |known| known.usable_slots(free, now_ms))
    }
}

fn versions(member: &Member, models: &[Arc<str>]) -> Vec<u64> {
    let version = |model: &Arc<str>| member.replica.version_of(model).unwrap_or(0);
    models.iter().map(version).collect()
}

/// A place at a replica, given back when dropped.
pub(super) struct Place(pub(super) Arc<AtomicU32>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Runner {
    /// The replicas of a contest; a flag says which belong to another front's part first.
    pub(super) fn engines_for(
        &mut self,
        members: &[(Member, bool)],
        models: &[Arc<str>],
        now_ms: u64,
    ) -> Vec<Engine> {
        for (member, _) in members {
            let id = Arc::clone(&member.replica.id);
            self.engines.entry(id).or_insert_with(EngineState::new);
        }
        for (member, _) in members {
            if let Some(state) = self.engines.get_mut(&member.replica.id) {
                state.note_versions(member, models);
            }
        }
        let typical_us = self.typical_us(members);
        self.pause_us = typical_us;
        let full = self.with_stalled_runs(stall_threshold_ms(typical_us), now_ms);
        members
            .iter()
            .map(|(member, foreign)| {
                let state = &self.engines[&member.replica.id];
                let running = state.running.load(Ordering::Relaxed);
                let free = match full.contains(&member.replica.id) {
                    true => 0,
                    false => member.replica.slots.saturating_sub(running),
                };
                Engine {
                    foreign: *foreign,
                    versions: versions(member, models),
                    model_slots: models
                        .iter()
                        .map(|model| state.open(model, free, now_ms))
                        .collect(),
                    free_slots: free,
                    running,
                    slowness: slowness(&state.pace, typical_us, now_ms),
                }
            })
            .collect()
    }

    /// Forgets replicas that are gone. What is known of one that has no weights of use now is kept.
    pub(super) fn forget_gone(&mut self, table: &Arc<ReplicaTable>) {
        if Arc::ptr_eq(table, &self.table) {
            return;
        }
        self.table = Arc::clone(table);
        let listed: HashSet<&ReplicaId> = table.iter().map(|member| &member.replica.id).collect();
        self.engines
            .retain(|id, state| listed.contains(id) || state.running.load(Ordering::Relaxed) > 0);
        // Pace and refusals of a replica that started again under its id are another one's.
        for member in table.iter() {
            let born_ms = member.replica.started_ms;
            let started_again =
                |state: &EngineState| state.born_ms.is_some() && state.born_ms != born_ms;
            match self.engines.get_mut(&member.replica.id) {
                Some(state) if started_again(state) => *state = EngineState::new(),
                _ => {}
            }
            if let Some(state) = self.engines.get_mut(&member.replica.id) {
                state.born_ms = born_ms;
            }
        }
    }

    /// Whether this front has runs at a replica.
    pub(super) fn runs_at(&self, replica: &ReplicaId) -> bool {
        let state = self.engines.get(replica);
        state.is_some_and(|state| state.running.load(Ordering::Relaxed) > 0)
    }

    /// What is known of a replica's willingness to take items of a model.
    pub(super) fn admission(&mut self, replica: &ReplicaId, model: &str) -> Arc<Admission> {
        let state = self
            .engines
            .entry(Arc::clone(replica))
            .or_insert_with(EngineState::new);
        Arc::clone(state.admissions.entry(model.into()).or_default())
    }

    /// The middle one of the replicas' mean pauses between events.
    fn typical_us(&self, members: &[(Member, bool)]) -> u64 {
        let mut paces: Vec<u64> = members
            .iter()
            .filter_map(|(member, _)| self.engines.get(&member.replica.id))
            .map(|state| state.pace.mean_us())
            .filter(|mean_us| *mean_us > 0)
            .collect();
        paces.sort_unstable();
        paces.get(paces.len() / 2).copied().unwrap_or(0)
    }

    /// Replicas at which a run of this front makes nothing.
    fn with_stalled_runs(&self, stalled_ms: u64, now_ms: u64) -> HashSet<&ReplicaId> {
        let runs = self
            .running
            .values()
            .filter_map(|running| running.at.as_ref());
        runs.filter(|at| at.silent_ms(now_ms) >= stalled_ms)
            .map(|at| &at.replica)
            .collect()
    }

    /// Stops the runs that go on better elsewhere.
    pub(super) fn move_runs(
        &mut self,
        contest: &Contest,
        members: &[(Member, bool)],
        engines: &mut [Engine],
        now_ms: u64,
    ) {
        let stalled_ms = stall_threshold_ms(self.pause_us);
        let numbers: HashMap<&ReplicaId, usize> = members
            .iter()
            .enumerate()
            .map(|(number, (member, _))| (&member.replica.id, number))
            .collect();
        let (keys, runs): (Vec<Key>, Vec<Run>) = self
            .running
            .iter()
            .filter_map(|(key, running)| {
                let at = running.at.as_ref().filter(|at| at.stopping.is_none())?;
                let engine = *numbers.get(&at.replica)?;
                let model = contest.model(&at.model)?;
                Some((*key, self.run_at(key, at, engine, model, now_ms)?))
            })
            .unzip();
        for (run, cause) in runs_to_move(&runs, engines, stalled_ms) {
            self.stop_run(keys[run], cause);
        }
    }

    fn run_at(
        &self,
        key: &Key,
        at: &RunningAt,
        engine: usize,
        model: usize,
        now_ms: u64,
    ) -> Option<Run> {
        let partial = lock(&self.partials.get(key)?.0);
        let left_ms = text_left_ms(at.expected_tokens, partial.last_event, self.pause_us);
        let started_under = partial.versions.first().copied();
        Some(Run {
            engine,
            model,
            left_ms,
            silent_ms: at.silent_ms(now_ms),
            min_version: at.min_version,
            only_version: started_under.filter(|_| at.single_version),
            slow_moves: partial.moves,
        })
    }

    fn stop_run(&mut self, key: Key, cause: MoveCause) {
        let at = self
            .running
            .get_mut(&key)
            .and_then(|running| running.at.as_mut());
        let (Some(at), Some((partial, _))) = (at, self.partials.get(&key)) else {
            return;
        };
        if cause == MoveCause::Slow {
            lock(partial).moves += 1;
        }
        at.stopping = Some(cause);
        at.stop.notify_one();
    }
}

impl RunningAt {
    fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms.load(Ordering::Relaxed))
    }
}
