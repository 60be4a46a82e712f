//! Model replicas as the runner sees them.

use super::*;

/// Moves of one item, at most, so that no misjudgement sends it to and fro.
const MOVES_MAX: u32 = 2;

pub(super) struct EngineState {
    pub(super) running: Arc<AtomicU32>,
    pub(super) pace: Arc<Pace>,
    pub(super) admissions: HashMap<Arc<str>, Arc<Admission>>,
    pub(super) prompts: HashMap<Arc<str>, (u64, Vec<u64>)>,
}

impl EngineState {
    pub(super) fn new() -> Self {
        Self {
            running: Arc::default(),
            pace: Arc::default(),
            admissions: HashMap::new(),
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
                let prompts = match state.prompts.get(model) {
                    Some((held, prompts)) if *held == version => prompts.clone(),
                    _ => Vec::new(),
                };
                let unused = member.replica.slots.saturating_sub(running);
                let admission = state.admissions.get(model);
                let free = admission.map_or(unused, |known| known.places(unused, now_ms));
                Engine {
                    version,
                    free,
                    running,
                    slowness: slowness(&state.pace, typical_us, now_ms),
                    prompts,
                }
            })
            .collect()
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
    pub(super) fn move_from_slow(&mut self, members: &[Member], engines: &mut [Engine]) {
        for (key, running) in &mut self.running {
            let Some(at) = running.at.as_mut().filter(|at| !at.stopping) else {
                continue;
            };
            let here = members
                .iter()
                .position(|member| member.replica.id == at.replica);
            let (Some((partial, _)), Some(here)) = (self.partials.get(key), here) else {
                continue;
            };
            let Some(there) = fastest_for(at.min_version, engines) else {
                continue;
            };
            let slow = is_worth_moving(engines[here].slowness, engines[there].slowness);
            let mut partial = locked(partial);
            if slow && partial.moves < MOVES_MAX {
                engines[there].free -= 1;
                partial.moves += 1;
                at.stopping = true;
                at.stop.notify_one();
            }
        }
    }
}

/// The fastest engine with a place for an item that needs this version.
fn fastest_for(min_version: u64, engines: &[Engine]) -> Option<usize> {
    let fits = |engine: &Engine| engine.free > 0 && engine.version >= min_version;
    (0..engines.len())
        .filter(|at| fits(&engines[*at]))
        .min_by_key(|at| engines[*at].slowness)
}
