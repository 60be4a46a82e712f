//! Placement and moves by the critical path of steps, for pools whose replicas report their start.
//!
//! The runner stops a run first and places the item in a later pass, when the run has ended. Until
//! then, the slot that the move was planned for is kept free.

use critical_path::{GroupView, Policy, ReplicaView, RunView, StepView, TextView, plan};
use pace::PoolPace;

use super::item_moves::PlannedMove;
use super::pool_queues::{PoolQueue, QueuedItem};
use super::replica_pace::SharedPace;
use super::*;

/// How waiting items are assigned to replicas.
const POLICY: Policy = Policy::EarliestFinish;
/// Interval of passes that can only move runs: nothing waits, or no slot is free.
const MOVES_INTERVAL_MS: u64 = 50;
/// Interval of computing the pace of a pool.
const POOL_PACE_INTERVAL_MS: u64 = 200;

/// Pace of a pool, and when it was computed and used.
#[derive(Default)]
pub(super) struct PoolState {
    pace: PoolPace,
    computed_ms: u64,
    planned_ms: u64,
}

/// Steps of a queue with the groups of this front's shards.
struct OwnedSteps {
    views: Vec<StepView>,
    /// Index of a step in `views`.
    indices: HashMap<StepId, usize>,
    /// Index of a group in its step's view, by number of the group.
    groups: Vec<Vec<Option<usize>>>,
}

impl OwnedSteps {
    /// Index of an item's step and group.
    fn position(&self, key: &ItemKey, head: &StepHead) -> Option<(usize, usize)> {
        let step = *self.indices.get(&key.0)?;
        let group = usize::from(head.items.get(key.1 as usize)?.group);
        Some((step, (*self.groups[step].get(group)?)?))
    }
}

impl Runner {
    /// Starts and moves runs of a queue's items.
    pub(super) fn plan_queue(
        &mut self,
        queue: &PoolQueue,
        members: &[(Member, bool)],
        tokens_per_event: u32,
        now_ms: u64,
    ) {
        if queue.waiting.is_empty() && self.running.is_empty() {
            return;
        }
        for model in &queue.models {
            self.lengths.prepare(model, tokens_per_event);
        }
        let pool = self.pool_pace(queue, members, now_ms);
        let stalled_ms = stall_threshold_ms(pool.interval_us);
        let mut engines = self.engines_for(members, &queue.models, Some(stalled_ms), now_ms);
        let numbers: HashMap<&ReplicaId, usize> = members
            .iter()
            .enumerate()
            .map(|(number, (member, _))| (&member.replica.id, number))
            .collect();
        self.keep_planned_slots(queue, &numbers, &mut engines);
        if !self.is_plan_due(queue, &engines, now_ms) {
            return;
        }
        let steps = self.owned_steps(queue, now_ms);
        let mut waiting: Vec<(&QueuedItem, TextView)> = Vec::new();
        for item in &queue.waiting {
            let prepared = self.prepare_waiting(item, members, &engines);
            waiting.extend(
                self.waiting_view(item, &prepared, &steps, &numbers)
                    .map(|view| (item, view)),
            );
        }
        let running = self.running_views(queue, &steps, &numbers, now_ms);
        let mut replicas = self.replica_views(members, engines, now_ms);
        let texts: Vec<TextView> = waiting
            .iter()
            .map(|(_, view)| view.clone())
            .chain(running.iter().map(|(_, view)| view.clone()))
            .collect();
        let plan = plan(
            POLICY,
            &pool,
            &steps.views,
            &texts,
            &mut replicas,
            stalled_ms,
        );
        for Placement { item, engine } in plan.placements {
            self.start_run(waiting[item].0, &members[engine].0);
        }
        for planned in plan.moves {
            let (key, view) = &running[planned.text - waiting.len()];
            let Some(run) = &view.run else { continue };
            let interval_ms = |replica: usize| replicas[replica].pace.interval_us / 1_000;
            let planned_move = PlannedMove {
                to: Arc::clone(&members[planned.to].0.replica.id),
                interval_ms: interval_ms(run.replica),
                interval_there_ms: interval_ms(planned.to),
                events_left: view.left.mean,
                gain_ms: planned.gain_ms,
                doubt_ms: planned.doubt_ms,
            };
            let from = Arc::clone(&members[run.replica].0.replica.id);
            let moves = self.moves.entry(*key).or_default();
            moves.record(from, planned_move, now_ms);
            self.stop_run(*key, planned.cause.as_str());
        }
    }

    /// Pace of the queue's pool, passed on to its replicas.
    fn pool_pace(
        &mut self,
        queue: &PoolQueue,
        members: &[(Member, bool)],
        now_ms: u64,
    ) -> PoolPace {
        let pool = self.pools.entry(queue.key()).or_default();
        if now_ms < pool.computed_ms + POOL_PACE_INTERVAL_MS {
            return pool.pace;
        }
        let paces: Vec<&Arc<SharedPace>> = members
            .iter()
            .filter_map(|(member, _)| self.engines.get(&member.replica.id))
            .map(|state| &state.pace)
            .collect();
        let mut states: Vec<_> = paces.iter().map(|pace| pace.state()).collect();
        pool.pace = PoolPace::of(states.iter().map(|state| &state.replica));
        pool.computed_ms = now_ms;
        for state in &mut states {
            state.pool = pool.pace;
        }
        pool.pace
    }

    /// Takes the slots of runs that are being stopped to continue at another replica.
    fn keep_planned_slots(
        &self,
        queue: &PoolQueue,
        numbers: &HashMap<&ReplicaId, usize>,
        engines: &mut [Engine],
    ) {
        let is_stopping = |key: &ItemKey| {
            let run = self.running.get(key).map(|running| &running.replica_run);
            run.and_then(Option::as_ref).map(|run| &run.model)
        };
        for (key, moves) in &self.moves {
            let (Some(planned), Some(model)) = (&moves.planned, is_stopping(key)) else {
                continue;
            };
            let target = numbers.get(&planned.to).copied();
            if let (Some(at), Some(model)) = (target, queue.model_number(model))
                && engines[at].has_slot(model)
            {
                engines[at].take_slot(model);
            }
        }
    }

    /// Whether an item could be placed, or runs have not been examined for a while.
    fn is_plan_due(&mut self, queue: &PoolQueue, engines: &[Engine], now_ms: u64) -> bool {
        let pool = self.pools.entry(queue.key()).or_default();
        let may_place =
            !queue.waiting.is_empty() && engines.iter().any(|engine| engine.free_slots > 0);
        let is_due = may_place || now_ms >= pool.planned_ms + MOVES_INTERVAL_MS;
        if is_due {
            pool.planned_ms = now_ms;
        }
        is_due
    }

    /// The plan's view of the queue's steps. A step that is divided into several shards is seen by
    /// the groups that this front owns, of which the same share is wanted.
    fn owned_steps(&self, queue: &PoolQueue, now_ms: u64) -> OwnedSteps {
        let index = self.front.index();
        let mut steps = OwnedSteps {
            views: Vec::new(),
            indices: HashMap::new(),
            groups: Vec::new(),
        };
        for (id, precedence) in &queue.steps {
            let Some(step) = index.ledger.get(*id) else {
                continue;
            };
            let mut groups = Vec::new();
            let mut owned = 0;
            for shard in &step.shard_by_group {
                let is_owned = queue.owns(*shard);
                groups.push(is_owned.then_some(owned));
                owned += usize::from(is_owned);
            }
            let mut views = vec![GroupView { complete: true }; owned];
            for (item, progress) in step.head.items.iter().zip(&step.progress) {
                if let Some(group) = groups[usize::from(item.group)] {
                    views[group].complete &= progress.listed;
                }
            }
            let all = groups.len().max(1) as u64;
            let wanted = u64::from(step.head.groups_wanted) * owned as u64;
            let age_ms = now_ms.saturating_sub(step.read_ms);
            steps.indices.insert(*id, steps.views.len());
            steps.groups.push(groups);
            steps.views.push(StepView {
                turn: precedence.turn,
                rank: precedence.rank,
                age_rank: id.0,
                due_in_ms: step.head.due_ms as i64 - age_ms as i64,
                groups_wanted: wanted.div_ceil(all) as u32,
                groups: views,
            });
        }
        steps
    }

    fn waiting_view(
        &self,
        item: &QueuedItem,
        prepared: &WaitingItem,
        steps: &OwnedSteps,
        numbers: &HashMap<&ReplicaId, usize>,
    ) -> Option<TextView> {
        let (step, group) = steps.position(&item.key, &item.head)?;
        let planned = self.moves.get(&item.key);
        let planned = planned.and_then(|moves| moves.planned.as_ref());
        let hint_tokens = item.head.items[item.key.1 as usize].hint_tokens;
        let generated = self.generated_events(&item.key);
        Some(TextView {
            step,
            group,
            model: prepared.model,
            left: self
                .lengths
                .events_left(&item.head.model, hint_tokens, generated)?,
            min_version: prepared.min_version,
            only_version: prepared.only_version,
            avoid: prepared.avoid,
            planned: planned.and_then(|planned| numbers.get(&planned.to).copied()),
            run: None,
        })
    }

    /// The plan's view of the runs of the queue's steps, except those that are being stopped.
    fn running_views(
        &self,
        queue: &PoolQueue,
        steps: &OwnedSteps,
        numbers: &HashMap<&ReplicaId, usize>,
        now_ms: u64,
    ) -> Vec<(ItemKey, TextView)> {
        let heads: HashMap<StepId, Arc<StepHead>> = {
            let index = self.front.index();
            let ids = steps.indices.keys();
            let steps = ids.filter_map(|id| Some((*id, index.ledger.get(*id)?)));
            steps
                .map(|(id, step)| (id, Arc::clone(&step.head)))
                .collect()
        };
        let view = |(key, running): (&ItemKey, &RunningItem)| {
            let run = running.replica_run.as_ref()?;
            if run.stop_cause.is_some() {
                return None;
            }
            let head = heads.get(&key.0)?;
            let view = self.running_view(key, run, head, (queue, steps, numbers), now_ms)?;
            Some((*key, view))
        };
        self.running.iter().filter_map(view).collect()
    }

    fn running_view(
        &self,
        key: &ItemKey,
        run: &ReplicaRun,
        head: &StepHead,
        (queue, steps, numbers): (&PoolQueue, &OwnedSteps, &HashMap<&ReplicaId, usize>),
        now_ms: u64,
    ) -> Option<TextView> {
        let (step, group) = steps.position(key, head)?;
        let replica = *numbers.get(&run.replica)?;
        let (generated, initial_version) = {
            let partial = lock(&self.partials.get(key)?.0);
            (partial.last_event, partial.versions.first().copied())
        };
        let hint_tokens = head.items[key.1 as usize].hint_tokens;
        let moves = self.moves.get(key);
        Some(TextView {
            step,
            group,
            model: queue.model_number(&run.model)?,
            left: self
                .lengths
                .events_left(&run.model, hint_tokens, generated)?,
            min_version: run.min_version,
            only_version: initial_version.filter(|_| run.single_version),
            avoid: None,
            planned: None,
            run: Some(RunView {
                replica,
                silent_ms: run.silent_ms(now_ms),
                moved_ms_ago: moves.and_then(|moves| moves.moved_ms_ago(now_ms)),
                left_replicas: moves
                    .map_or_else(Vec::new, |moves| self.left_replicas(moves, numbers, now_ms)),
            }),
        })
    }

    /// Replicas that an item was moved away from and that have not recovered since.
    fn left_replicas(
        &self,
        moves: &item_moves::ItemMoves,
        numbers: &HashMap<&ReplicaId, usize>,
        now_ms: u64,
    ) -> Vec<(usize, u64)> {
        let recovered_ms = |replica: &ReplicaId| {
            let state = self.engines.get(replica);
            state.map_or(0, |state| state.pace.recovered_ms())
        };
        let left = moves.left.iter();
        left.filter(|(replica, left_ms)| recovered_ms(replica) <= *left_ms)
            .filter_map(|(replica, left_ms)| {
                let number = *numbers.get(replica)?;
                Some((number, now_ms.saturating_sub(*left_ms)))
            })
            .collect()
    }

    fn replica_views(
        &self,
        members: &[(Member, bool)],
        engines: Vec<Engine>,
        now_ms: u64,
    ) -> Vec<ReplicaView> {
        let view = |((member, _), engine): (&(Member, bool), Engine)| {
            let state = &self.engines[&member.replica.id];
            let pace = state.pace.estimate(engine.running + 1, now_ms);
            ReplicaView {
                deviates_for_ms: pace
                    .deviates_since_ms
                    .map(|since_ms| now_ms.saturating_sub(since_ms)),
                engine,
                pace,
            }
        };
        let views: Vec<ReplicaView> = members.iter().zip(engines).map(view).collect();
        let deviating = views.iter().filter(|view| view.deviates_for_ms.is_some());
        let slower = deviating.count() as u64;
        if self.slower.replace(slower) != slower {
            let label = metrics::item_label();
            let metrics = &self.front.metrics;
            metrics.set_gauge("front_replicas_slower", label, slower);
        }
        views
    }
}
