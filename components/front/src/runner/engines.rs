//! Model replicas as the runner sees them.

use super::*;

pub(super) struct EngineState {
    pub(super) running: Arc<AtomicU32>,
    pub(super) pace: Arc<Pace>,
    pub(super) refused_until_ms: HashMap<Arc<str>, u64>,
    pub(super) prompts: HashMap<Arc<str>, (u64, Vec<u64>)>,
}

impl EngineState {
    pub(super) fn new() -> Self {
        Self {
            running: Arc::default(),
            pace: Arc::default(),
            refused_until_ms: HashMap::new(),
            prompts: HashMap::new(),
        }
    }
}

/// A place at a replica, given back when dropped.
pub(super) struct Place(pub(super) Arc<AtomicU32>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Runner {
    pub(super) fn engines_for(
        &mut self,
        members: &[Member],
        model: &str,
        now_ms: u64,
    ) -> Vec<Engine> {
        let listed: HashSet<&ReplicaId> = members.iter().map(|member| &member.replica.id).collect();
        self.engines
            .retain(|id, state| listed.contains(id) || state.running.load(Ordering::Relaxed) > 0);
        for member in members {
            let id = Arc::clone(&member.replica.id);
            self.engines.entry(id).or_insert_with(EngineState::new);
        }
        let typical_us = self.typical_us(members);
        members
            .iter()
            .map(|member| {
                let state = &self.engines[&member.replica.id];
                let running = state.running.load(Ordering::Relaxed);
                let version = member.replica.version_of(model).unwrap_or(0);
                let refused = state
                    .refused_until_ms
                    .get(model)
                    .is_some_and(|at| now_ms < *at);
                let prompts = match state.prompts.get(model) {
                    Some((held, prompts)) if *held == version => prompts.clone(),
                    _ => Vec::new(),
                };
                let free = member.replica.slots.saturating_sub(running);
                Engine {
                    version,
                    free: if refused { 0 } else { free },
                    running,
                    slowness: slowness(&state.pace, typical_us, now_ms),
                    prompts,
                }
            })
            .collect()
    }

    /// The middle one of the replicas' mean pauses between events.
    fn typical_us(&self, members: &[Member]) -> u64 {
        let mut paces: Vec<u64> = members
            .iter()
            .filter_map(|member| self.engines.get(&member.replica.id))
            .map(|state| state.pace.mean_us())
            .filter(|mean_us| *mean_us > 0)
            .collect();
        paces.sort_unstable();
        paces.get(paces.len() / 2).copied().unwrap_or(0)
    }

    /// Stops runs on slow replicas as far as the places that are left on fast ones go.
    pub(super) fn move_from_slow(
        &mut self,
        members: &[Member],
        engines: &[Engine],
        min_version: u64,
    ) {
        let mut room: u32 = 0;
        let mut fastest = u64::MAX;
        for engine in engines
            .iter()
            .filter(|engine| engine.version >= min_version)
        {
            if engine.free > 0 {
                fastest = fastest.min(engine.slowness);
            }
        }
        for engine in engines
            .iter()
            .filter(|engine| engine.version >= min_version)
        {
            if engine.slowness * 10 <= fastest.saturating_mul(12) {
                room += engine.free;
            }
        }
        for at in self
            .running
            .values_mut()
            .filter_map(|running| running.at.as_mut())
        {
            let here = members
                .iter()
                .position(|member| member.replica.id == at.replica);
            let slow = here.is_some_and(|here| is_worth_moving(engines[here].slowness, fastest));
            if room > 0 && slow && !at.stopping {
                room -= 1;
                at.stopping = true;
                at.stop.notify_one();
            }
        }
    }
}
