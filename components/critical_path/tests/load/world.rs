//! Steps, texts and replicas through time, without a network: each tick, running texts progress and
//! their events are recorded as a front does it, and a planner places and moves texts.

use std::ops::Range;

use dispatch::{Engine, EventInterval, Run, WaitingItem, WaitingRank, slowness, text_left_ms};
use lengths::LengthModel;
use pace::{PoolPace, ReplicaPace};

use critical_path::{GroupView, MoveCause, Policy, ReplicaView, RunView, StepView, TextView, plan};

pub const SLOTS: u32 = 6;
pub const FAST_US: u64 = 47_000;
const TICK_US: u64 = 5_000;
const PLAN_TICKS: u64 = 10;
/// From stopping a run to the first work of the next one.
const START_US: u64 = 60_000;
/// From acceptance until the texts may start: the data of the items is read.
const READ_US: u64 = 60_000;
/// The reward call, and listing the result.
const SCORE_US: u64 = 100_000;
const PER_RUN_THOUSANDTHS: u64 = 10;
const TOKENS_PER_EVENT: u32 = 80;
const DUE_MS: i64 = 7_500;
const FIXED_REST_MS: u64 = 4_000;

/// What decides placements and moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planner {
    Plan(Policy),
    /// The same with the assumption that every deviation lasts for [`FIXED_REST_MS`] more.
    PlanWithFixedRest(Policy),
    /// `dispatch::place` and `dispatch::runs_to_move`.
    Dispatch,
    /// The same without the limit on moves.
    DispatchWithoutCap,
    /// The longest text on the fastest replica, without moves.
    LongestOnFastest,
}

#[derive(Clone, Debug)]
pub struct SimReplica {
    pub base_us: u64,
    /// From, until and factor of periods in which the replica is slower.
    pub slow: Vec<(u64, u64, f64)>,
    /// From and until of periods in which the replica loads weights: no run progresses.
    pub loads: Vec<(u64, u64)>,
    pace: ReplicaPace,
    recovered_us: u64,
}

impl SimReplica {
    pub fn new(base_us: u64) -> Self {
        Self {
            base_us,
            slow: Vec::new(),
            loads: Vec::new(),
            pace: ReplicaPace::default(),
            recovered_us: 0,
        }
    }

    fn is_loading(&self, now_us: u64) -> bool {
        let mut loads = self.loads.iter();
        loads.any(|(from_ms, until_ms)| (from_ms * 1_000..until_ms * 1_000).contains(&now_us))
    }

    fn interval_us(&self, running: u64, now_us: u64) -> f64 {
        let slow = self.slow.iter();
        let factor = slow
            .filter(|(from_ms, until_ms, _)| (from_ms * 1_000..until_ms * 1_000).contains(&now_us))
            .map(|(_, _, factor)| *factor)
            .fold(1.0, f64::max);
        let shared = (1_000 + PER_RUN_THOUSANDTHS * running.saturating_sub(1)) as f64 / 1_000.0;
        self.base_us as f64 * factor * shared
    }
}

/// A text of a step to submit.
#[derive(Clone, Copy, Debug)]
pub struct Text {
    pub group: usize,
    pub events: u64,
    pub hint_tokens: u32,
}

/// A step to submit.
#[derive(Clone, Debug)]
pub struct Step {
    pub accepted_ms: u64,
    pub due_in_ms: i64,
    pub groups: usize,
    pub groups_wanted: u32,
    pub texts: Vec<Text>,
}

impl Step {
    pub fn new(accepted_ms: u64, groups: usize, groups_wanted: u32, texts: Vec<Text>) -> Self {
        Self {
            accepted_ms,
            due_in_ms: DUE_MS,
            groups,
            groups_wanted,
            texts,
        }
    }

    /// Earliest possible time from acceptance to the last needed result: the longest text of each
    /// needed group at the fastest pace, reading and scoring.
    fn bound_ms(&self) -> u64 {
        let mut groups = vec![0; self.groups];
        for text in &self.texts {
            groups[text.group] = text.events.max(groups[text.group]);
        }
        groups.sort_unstable();
        let events = groups[self.groups_wanted as usize - 1];
        (events * FAST_US + READ_US + START_US + SCORE_US) / 1_000
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting { from_us: u64 },
    Running,
    Complete,
    Dropped,
}

#[derive(Clone, Debug)]
struct SimText {
    step: usize,
    text: Text,
    state: State,
    replica: usize,
    generated: u64,
    /// Part of the current event.
    progress: f64,
    begins_us: u64,
    last_event_us: Option<u64>,
    progress_us: u64,
    planned: Option<usize>,
    avoid: Option<usize>,
    left_replicas: Vec<(usize, u64)>,
    slow_moves: u32,
}

/// A move that a planner decided.
#[derive(Clone, Copy, Debug)]
struct Moved {
    text: usize,
    at_us: u64,
    to: Option<usize>,
    stalled: bool,
}

pub struct World {
    planner: Planner,
    replicas: Vec<SimReplica>,
    intervals: Vec<EventInterval>,
    steps: Vec<Step>,
    ended_us: Vec<Option<u64>>,
    /// Texts in the order of their steps.
    texts: Vec<SimText>,
    /// Range of the texts of each step.
    texts_of: Vec<Range<usize>>,
    moves: Vec<Moved>,
    starts: Vec<(u64, usize)>,
    lengths: LengthModel,
    pool: PoolPace,
    now_us: u64,
}

/// What a run measured.
#[derive(Clone, Debug)]
pub struct Measured {
    /// From acceptance to the last needed result, by step.
    pub last_ms: Vec<u64>,
    /// Lower bound of that.
    pub bound_ms: Vec<u64>,
    /// Moves other than those of stalled runs, per 100 texts.
    pub moves_per_100: f64,
    /// Moves of stalled runs, per 100 texts.
    pub stalled_per_100: f64,
    /// Most moves of one text within a second.
    pub moves_per_second_max: usize,
    /// Time and replica of each start of a run.
    pub starts: Vec<(u64, usize)>,
}

impl Measured {
    /// Steps that are late although the bound allows them to be in time.
    pub fn late(&self, limit_ms: u64) -> usize {
        let steps = self.last_ms.iter().zip(&self.bound_ms);
        steps
            .filter(|(last_ms, bound_ms)| **last_ms > limit_ms && **bound_ms <= limit_ms)
            .count()
    }

    pub fn mean_ms(&self) -> u64 {
        self.last_ms.iter().sum::<u64>() / self.last_ms.len() as u64
    }

    /// Mean time beyond the bound.
    pub fn excess_ms(&self) -> u64 {
        self.excess_ms_of(|_| true)
    }

    /// The same for some of the steps.
    pub fn excess_ms_of(&self, is_counted: impl Fn(usize) -> bool) -> u64 {
        let times = self.last_ms.iter().zip(&self.bound_ms).enumerate();
        let counted = times.filter(|(step, _)| is_counted(*step));
        let excess: Vec<u64> = counted
            .map(|(_, (last_ms, bound_ms))| last_ms.saturating_sub(*bound_ms))
            .collect();
        excess.iter().sum::<u64>() / excess.len() as u64
    }
}

impl World {
    pub fn new(planner: Planner, replicas: Vec<SimReplica>, steps: Vec<Step>) -> Self {
        let texts = steps.iter().enumerate().flat_map(|(at, step)| {
            let from_us = step.accepted_ms * 1_000 + READ_US;
            step.texts.iter().map(move |text| SimText {
                step: at,
                text: *text,
                state: State::Waiting { from_us },
                replica: 0,
                generated: 0,
                progress: 0.0,
                begins_us: 0,
                last_event_us: None,
                progress_us: 0,
                planned: None,
                avoid: None,
                left_replicas: Vec::new(),
                slow_moves: 0,
            })
        });
        let mut next = 0;
        let range = |step: &Step| {
            let from = next;
            next += step.texts.len();
            from..next
        };
        Self {
            planner,
            texts_of: steps.iter().map(range).collect(),
            intervals: replicas.iter().map(|_| EventInterval::default()).collect(),
            texts: texts.collect(),
            ended_us: vec![None; steps.len()],
            replicas,
            steps,
            moves: Vec::new(),
            starts: Vec::new(),
            lengths: LengthModel::new(TOKENS_PER_EVENT),
            pool: PoolPace::default(),
            now_us: 0,
        }
    }

    /// Runs until all steps have ended; steps before `from` only teach the estimates.
    pub fn run(mut self, from: usize) -> Measured {
        let mut tick = 0;
        while self.ended_us.iter().any(Option::is_none) {
            assert!(tick < 60_000, "steps do not end");
            self.now_us = tick * TICK_US;
            self.progress();
            self.end_steps();
            if tick % PLAN_TICKS == 0 {
                self.plan();
            }
            tick += 1;
        }
        self.measured(from)
    }

    /// Steps that were accepted and have not ended.
    fn open_steps(&self) -> Vec<usize> {
        let is_accepted = |at: usize| self.steps[at].accepted_ms * 1_000 <= self.now_us;
        (0..self.steps.len())
            .filter(|at| self.ended_us[*at].is_none() && is_accepted(*at))
            .collect()
    }

    /// Numbers of the texts of open steps.
    fn open_step_texts(&self) -> Vec<usize> {
        let steps = self.open_steps().into_iter();
        steps.flat_map(|at| self.texts_of[at].clone()).collect()
    }

    fn running_at(&self) -> Vec<u32> {
        let mut running = vec![0; self.replicas.len()];
        let open = self.open_step_texts();
        for text in open.iter().map(|at| &self.texts[*at]) {
            if text.state != State::Running {
                continue;
            }
            running[text.replica] += 1;
        }
        running
    }

    fn progress(&mut self) {
        let running = self.running_at();
        let now_us = self.now_us;
        for at in self.open_step_texts() {
            let text = &mut self.texts[at];
            if text.state != State::Running || now_us < text.begins_us {
                continue;
            }
            let replica = &mut self.replicas[text.replica];
            if replica.is_loading(now_us) {
                continue;
            }
            let runs = running[text.replica];
            let interval_us = replica.interval_us(u64::from(runs), now_us);
            text.progress += TICK_US as f64 / interval_us;
            if text.progress < 1.0 {
                continue;
            }
            text.progress -= 1.0;
            text.generated += 1;
            text.progress_us = now_us;
            let event_us = now_us - (text.progress * interval_us) as u64;
            if let Some(previous_us) = text.last_event_us.replace(event_us) {
                let (pool, taken_us) = (&self.pool, event_us.saturating_sub(previous_us));
                let change = replica.pace.record(pool, taken_us, runs, now_us / 1_000);
                if change == Some(pace::LevelChange::Recovered) {
                    replica.recovered_us = now_us;
                }
                self.intervals[text.replica].record(taken_us, now_us / 1_000);
            }
            if text.generated == text.text.events {
                text.state = State::Complete;
                self.lengths
                    .record_complete(text.text.hint_tokens, text.generated);
            }
        }
    }

    fn end_steps(&mut self) {
        for at in self.open_steps() {
            if self.is_ended(at) {
                self.ended_us[at] = Some(self.now_us);
                let open = |text: &&mut SimText| text.state != State::Complete;
                let texts = &mut self.texts[self.texts_of[at].clone()];
                for text in texts.iter_mut().filter(open) {
                    text.state = State::Dropped;
                    if text.generated > 0 {
                        self.lengths
                            .record_censored(text.text.hint_tokens, text.generated);
                    }
                }
            }
        }
    }

    fn complete_groups(&self, step: usize) -> Vec<bool> {
        let mut complete = vec![true; self.steps[step].groups];
        for text in &self.texts[self.texts_of[step].clone()] {
            complete[text.text.group] &= text.state == State::Complete;
        }
        complete
    }

    fn is_ended(&self, step: usize) -> bool {
        let complete = self.complete_groups(step);
        let count = complete.iter().filter(|complete| **complete).count();
        count as u32 >= self.steps[step].groups_wanted
    }

    /// Texts that wait or run now.
    fn open_texts(&self) -> Vec<usize> {
        let is_open = |at: &usize| match self.texts[*at].state {
            State::Waiting { from_us } => self.now_us >= from_us,
            State::Running => true,
            State::Complete | State::Dropped => false,
        };
        let texts = self.open_step_texts().into_iter();
        texts.filter(is_open).collect()
    }

    fn engines(&self) -> Vec<Engine> {
        let now_ms = self.now_us / 1_000;
        let typical_us = self.typical_us();
        let running = self.running_at();
        let engines = running.iter().zip(&self.intervals);
        engines
            .map(|(running, interval)| Engine {
                foreign: false,
                versions: vec![1],
                model_slots: vec![SLOTS.saturating_sub(*running)],
                free_slots: SLOTS.saturating_sub(*running),
                running: *running,
                slowness: slowness(interval, typical_us, now_ms),
            })
            .collect()
    }

    fn typical_us(&self) -> u64 {
        let known = self.intervals.iter().map(EventInterval::mean_us);
        let mut known: Vec<u64> = known.filter(|mean_us| *mean_us > 0).collect();
        known.sort_unstable();
        known.get(known.len() / 2).copied().unwrap_or(0)
    }

    fn plan(&mut self) {
        let open = self.open_texts();
        match self.planner {
            Planner::Plan(policy) | Planner::PlanWithFixedRest(policy) => {
                self.plan_by_critical_path(policy, &open)
            }
            Planner::Dispatch => self.plan_by_dispatch(&open, true),
            Planner::DispatchWithoutCap => self.plan_by_dispatch(&open, false),
            Planner::LongestOnFastest => self.plan_longest_on_fastest(&open),
        }
    }

    fn step_views(&self) -> Vec<StepView> {
        let steps = self.steps.iter().enumerate();
        steps
            .map(|(at, step)| StepView {
                turn: 0,
                rank: WaitingRank::default(),
                age_rank: at as u64,
                due_in_ms: step.due_in_ms - (self.now_us as i64 / 1_000 - step.accepted_ms as i64),
                groups_wanted: step.groups_wanted,
                groups: match self.ended_us[at] {
                    Some(_) => vec![GroupView { complete: true }; step.groups],
                    None => {
                        let complete = self.complete_groups(at).into_iter();
                        complete.map(|complete| GroupView { complete }).collect()
                    }
                },
            })
            .collect()
    }

    fn text_view(&self, at: usize) -> TextView {
        let text = &self.texts[at];
        let ms_ago = |at_us: u64| (self.now_us - at_us) / 1_000;
        let has_not_recovered =
            |(at, left_us): &&(usize, u64)| self.replicas[*at].recovered_us <= *left_us;
        let left = text.left_replicas.iter().filter(has_not_recovered);
        let run = (text.state == State::Running).then(|| RunView {
            replica: text.replica,
            silent_ms: ms_ago(text.progress_us.min(self.now_us)),
            moved_ms_ago: text.left_replicas.last().map(|left| ms_ago(left.1)),
            left_replicas: left.map(|(at, left_us)| (*at, ms_ago(*left_us))).collect(),
        });
        TextView {
            step: text.step,
            group: text.text.group,
            model: 0,
            left: self
                .lengths
                .events_left(text.text.hint_tokens, text.generated),
            min_version: 1,
            only_version: None,
            avoid: text.avoid,
            planned: text.planned,
            run,
        }
    }

    fn replica_views(&self) -> Vec<ReplicaView> {
        let now_ms = self.now_us / 1_000;
        let engines = self.engines().into_iter().zip(&self.replicas);
        engines
            .map(|(engine, replica)| {
                let mut pace = replica
                    .pace
                    .estimate(&self.pool, engine.running + 1, now_ms);
                if matches!(self.planner, Planner::PlanWithFixedRest(_)) {
                    pace.deviation_left_ms = FIXED_REST_MS;
                    pace.deviation_left_doubt_ms = 0;
                }
                ReplicaView {
                    deviates_for_ms: pace.deviates_since_ms.map(|since_ms| now_ms - since_ms),
                    engine,
                    pace,
                }
            })
            .collect()
    }

    fn plan_by_critical_path(&mut self, policy: Policy, open: &[usize]) {
        self.pool = PoolPace::of(self.replicas.iter().map(|replica| &replica.pace));
        let texts: Vec<TextView> = open.iter().map(|at| self.text_view(*at)).collect();
        let steps = self.step_views();
        let mut replicas = self.replica_views();
        let stalled_ms = dispatch::stall_threshold_ms(self.pool.interval_us);
        let plan = plan(
            policy,
            &self.pool,
            &steps,
            &texts,
            &mut replicas,
            stalled_ms,
        );
        for placement in &plan.placements {
            self.start(open[placement.item], placement.engine);
        }
        for moved in &plan.moves {
            self.stop(Moved {
                text: open[moved.text],
                at_us: self.now_us,
                to: Some(moved.to),
                stalled: moved.cause == MoveCause::Stalled,
            });
        }
    }

    fn waiting_item(&self, at: usize) -> WaitingItem {
        let text = &self.texts[at];
        WaitingItem {
            model: 0,
            turn: 0,
            rank: WaitingRank::default(),
            step_rank: text.step as u64,
            left_ms: self.left_ms(at),
            min_version: 1,
            only_version: None,
            avoid: text.avoid,
        }
    }

    fn left_ms(&self, at: usize) -> u64 {
        let text = &self.texts[at];
        text_left_ms(text.text.hint_tokens, text.generated, self.typical_us())
    }

    fn plan_by_dispatch(&mut self, open: &[usize], has_cap: bool) {
        let is_waiting = |at: &&usize| self.texts[**at].state != State::Running;
        let waiting: Vec<usize> = open.iter().filter(is_waiting).copied().collect();
        let running: Vec<usize> = open.iter().filter(|at| !is_waiting(at)).copied().collect();
        let items: Vec<WaitingItem> = waiting.iter().map(|at| self.waiting_item(*at)).collect();
        let mut engines = self.engines();
        for placement in dispatch::place(&items, &mut engines) {
            self.start(waiting[placement.item], placement.engine);
        }
        let runs: Vec<Run> = running
            .iter()
            .map(|at| Run {
                engine: self.texts[*at].replica,
                model: 0,
                left_ms: self.left_ms(*at),
                silent_ms: (self.now_us - self.texts[*at].progress_us.min(self.now_us)) / 1_000,
                min_version: 1,
                only_version: None,
                slow_moves: if has_cap {
                    self.texts[*at].slow_moves
                } else {
                    0
                },
            })
            .collect();
        let stalled_ms = dispatch::stall_threshold_ms(self.typical_us());
        for (run, cause) in dispatch::runs_to_move(&runs, &mut engines, stalled_ms) {
            let stalled = cause == dispatch::MoveCause::Stalled;
            self.texts[running[run]].slow_moves += u32::from(!stalled);
            self.stop(Moved {
                text: running[run],
                at_us: self.now_us,
                to: None,
                stalled,
            });
        }
    }

    fn plan_longest_on_fastest(&mut self, open: &[usize]) {
        self.pool = PoolPace::of(self.replicas.iter().map(|replica| &replica.pace));
        let mut views = self.replica_views();
        let mut waiting: Vec<usize> = open.to_vec();
        waiting.retain(|at| self.texts[*at].state != State::Running);
        waiting.sort_by_key(|at| std::cmp::Reverse(self.text_view(*at).left.mean));
        for at in waiting {
            let free = (0..views.len()).filter(|at| views[*at].engine.free_slots > 0);
            let fastest = free.min_by_key(|at| views[*at].pace.interval_us);
            if let Some(fastest) = fastest {
                views[fastest].engine.take_slot(0);
                self.start(at, fastest);
            }
        }
    }

    fn start(&mut self, at: usize, replica: usize) {
        self.starts.push((self.now_us / 1_000, replica));
        let text = &mut self.texts[at];
        *text = SimText {
            state: State::Running,
            replica,
            progress: 0.0,
            begins_us: self.now_us + START_US,
            progress_us: self.now_us,
            last_event_us: None,
            planned: None,
            avoid: None,
            ..text.clone()
        };
    }

    fn stop(&mut self, moved: Moved) {
        let text = &mut self.texts[moved.text];
        text.state = State::Waiting {
            from_us: self.now_us,
        };
        text.avoid = Some(text.replica);
        text.planned = moved.to;
        text.left_replicas.push((text.replica, self.now_us));
        self.moves.push(moved);
    }

    fn measured(&self, from: usize) -> Measured {
        let counted = |moved: &&Moved| self.texts[moved.text].step >= from;
        let moves: Vec<&Moved> = self.moves.iter().filter(counted).collect();
        let texts = self.texts.iter().filter(|text| text.step >= from).count();
        let per_100 = |stalled| {
            let count = moves
                .iter()
                .filter(|moved| moved.stalled == stalled)
                .count();
            count as f64 * 100.0 / texts as f64
        };
        let within_a_second = |moved: &&Moved| {
            let near = |other: &&&Moved| {
                other.text == moved.text
                    && (moved.at_us..moved.at_us + 1_000_000).contains(&other.at_us)
            };
            moves.iter().filter(near).count()
        };
        let last_ms = |at: usize| {
            let ended_us = self.ended_us[at].unwrap_or(u64::MAX);
            (ended_us + SCORE_US) / 1_000 - self.steps[at].accepted_ms
        };
        Measured {
            last_ms: (from..self.steps.len()).map(last_ms).collect(),
            bound_ms: self.steps[from..].iter().map(Step::bound_ms).collect(),
            moves_per_100: per_100(false),
            stalled_per_100: per_100(true),
            moves_per_second_max: moves.iter().map(within_a_second).max().unwrap_or(0),
            starts: self.starts.clone(),
        }
    }
}
