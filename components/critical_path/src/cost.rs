//! Time that texts take at replicas.

use pace::PoolPace;

use crate::ends::StepEnds;
use crate::{ReplicaView, TextView};

/// Interval between events while nothing is known of the pool. Only differences matter, and there
/// are none then.
const DEFAULT_INTERVAL_US: u64 = 48_000;
/// Slowdown by each further run while the pool's own is not known, in thousandths. Without it, a
/// replica would be filled before the next one gets its first text.
const DEFAULT_PER_RUN_THOUSANDTHS: u64 = 10;
/// Cost of a move: the event in progress is lost, the request travels to the other replica over a
/// connection of its own, and that replica reads the text again.
pub(crate) const MOVE_COST_US: u64 = 60_000;

/// Speed of a replica at some number of runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    steady_us: u64,
    /// Difference of the present interval to the steady one. Replicas deviate to longer intervals
    /// only.
    deviation_us: u64,
    rest: DeviationRest,
    /// Number of events until the steady interval applies.
    deviating_events: u64,
}

/// Expected rest of a deviation; 0 without one.
#[derive(Clone, Copy, Debug, Default)]
struct DeviationRest {
    left_us: u64,
    /// Standard deviation of `left_us`.
    doubt_us: u64,
}

impl Speed {
    fn new(interval_us: u64, steady_us: u64, rest: DeviationRest) -> Self {
        match rest.left_us > 0 && interval_us > steady_us {
            true => Self {
                steady_us,
                deviation_us: interval_us - steady_us,
                rest,
                deviating_events: rest.left_us / interval_us,
            },
            false => Self::steady(interval_us),
        }
    }

    fn steady(interval_us: u64) -> Self {
        Self {
            steady_us: interval_us,
            deviation_us: 0,
            rest: DeviationRest::default(),
            deviating_events: 0,
        }
    }

    /// Time to generate `events` events.
    pub(crate) fn duration_us(&self, events: u64) -> u64 {
        let deviating = events.min(self.deviating_events);
        events * self.steady_us + deviating * self.deviation_us
    }

    /// How much earlier `events` events are generated if the deviation is shorter than expected by
    /// half of its standard deviation. Its end is either near or seconds away, so the standard
    /// deviation exceeds the mean until most short deviations have ended.
    pub(crate) fn deviation_doubt_us(&self, events: u64) -> u64 {
        let short_us = self.rest.left_us.saturating_sub(self.rest.doubt_us / 2);
        let deviating = events.min(self.deviating_events);
        let certain = events.min(short_us / self.interval_us().max(1));
        deviating.saturating_sub(certain) * self.deviation_us
    }

    /// Time that the whole deviation adds to a text.
    pub(crate) fn whole_deviation_us(&self) -> u64 {
        self.deviating_events * self.deviation_us
    }

    pub(crate) fn interval_us(&self) -> u64 {
        self.steady_us + self.deviation_us
    }

    pub(crate) fn steady_us(&self) -> u64 {
        self.steady_us
    }

    fn scaled(&self, from_thousandths: u64, to_thousandths: u64) -> Self {
        let scale = |interval_us: u64| (interval_us * to_thousandths / from_thousandths).max(1);
        Self::new(scale(self.interval_us()), scale(self.steady_us), self.rest)
    }
}

/// Costs of one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaCost {
    /// Speed with one more run than now.
    pub(crate) next: Speed,
    /// Speed with the present runs.
    pub(crate) now: Speed,
    /// Time by which one more run delays the longest needed text at the replica.
    presence_us: u64,
    /// Time to complete the longest needed text at the replica.
    longest_needed_us: u64,
    runs: u64,
    pub(crate) doubt_thousandths: u64,
    pub(crate) deviates_for_ms: Option<u64>,
}

impl ReplicaCost {
    pub(crate) fn presence_us(&self) -> u64 {
        self.presence_us
    }

    /// Expected end of a text of `events` events that starts now, with the delay that it causes.
    pub(crate) fn start_us(&self, events: u64) -> u64 {
        self.next.duration_us(events) + self.presence_us
    }
}

/// Costs of all replicas.
#[derive(Debug)]
pub(crate) struct ReplicaCosts {
    replicas: Vec<ReplicaCost>,
    per_run_thousandths: u64,
    /// Speed of a replica at the pool's typical pace.
    typical: Speed,
}

impl ReplicaCosts {
    pub(crate) fn new(pool: &PoolPace, replicas: &[ReplicaView]) -> Self {
        let typical_us = known_or(pool.interval_us, DEFAULT_INTERVAL_US);
        let per_run_thousandths = known_or(pool.per_run_thousandths, DEFAULT_PER_RUN_THOUSANDTHS);
        let costs = replicas
            .iter()
            .map(|view| replica_cost(view, typical_us, per_run_thousandths));
        Self {
            replicas: costs.collect(),
            per_run_thousandths,
            typical: Speed::steady(typical_us),
        }
    }

    pub(crate) fn of(&self, replica: usize) -> &ReplicaCost {
        &self.replicas[replica]
    }

    /// Time until a text is complete: at its replica if it runs, else at a replica of typical speed
    /// that has a slot at once.
    pub(crate) fn end_us(&self, text: &TextView) -> u64 {
        match &text.run {
            Some(run) => self.of(run.replica).now.duration_us(text.left.mean),
            None => self.typical.duration_us(text.left.mean),
        }
    }

    /// Time until a text is complete if it runs at a replica of typical speed.
    pub(crate) fn reachable_us(&self, text: &TextView) -> u64 {
        let move_us = text.run.as_ref().map_or(0, |_| MOVE_COST_US);
        self.typical.duration_us(text.left.mean) + move_us
    }

    /// Records the needed runs in progress, which a further run at their replica delays.
    pub(crate) fn add_needed_runs(&mut self, texts: &[TextView], ends: &StepEnds) {
        for (at, text) in texts.iter().enumerate() {
            if let Some(run) = &text.run
                && ends.is_needed(text)
            {
                self.add_needed(run.replica, ends.text_us(at));
            }
        }
    }

    fn add_needed(&mut self, replica: usize, end_us: u64) {
        let per_run_thousandths = self.per_run_thousandths;
        let cost = &mut self.replicas[replica];
        cost.longest_needed_us = cost.longest_needed_us.max(end_us);
        cost.presence_us = cost.longest_needed_us * per_run_thousandths / 1_000;
    }

    /// Records that a text of `events` events will run at a replica.
    pub(crate) fn add_run(&mut self, replica: usize, events: u64, needed: bool) {
        let end_us = self.replicas[replica].next.duration_us(events);
        if needed {
            self.add_needed(replica, end_us);
        }
        let per_run_thousandths = self.per_run_thousandths;
        let cost = &mut self.replicas[replica];
        cost.now = cost.next;
        cost.runs += 1;
        let factor = |runs: u64| 1_000 + per_run_thousandths * runs;
        cost.next = cost.next.scaled(factor(cost.runs - 1), factor(cost.runs));
    }
}

fn replica_cost(view: &ReplicaView, typical_us: u64, per_run_thousandths: u64) -> ReplicaCost {
    let interval_us = known_or(view.pace.interval_us, typical_us);
    let steady_us = known_or(view.pace.steady_us, interval_us);
    let rest = match view.deviates_for_ms {
        Some(_) => DeviationRest {
            left_us: view.pace.deviation_left_ms * 1_000,
            doubt_us: view.pace.deviation_left_doubt_ms * 1_000,
        },
        None => DeviationRest::default(),
    };
    let next = Speed::new(interval_us, steady_us, rest);
    let runs = u64::from(view.engine.running);
    let factor = |runs: u64| 1_000 + per_run_thousandths * runs;
    ReplicaCost {
        next,
        now: next.scaled(factor(runs), factor(runs.saturating_sub(1))),
        presence_us: 0,
        longest_needed_us: 0,
        runs,
        doubt_thousandths: view.pace.doubt_thousandths,
        deviates_for_ms: view.deviates_for_ms,
    }
}

fn known_or(value: u64, default: u64) -> u64 {
    match value {
        0 => default,
        known => known,
    }
}
