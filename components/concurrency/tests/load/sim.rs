//! Calls of several fronts at the replicas of one service, in simulated time and without a network.
//!
//! A step is one millisecond. A replica runs a fixed number of calls at once, queues a few more and
//! refuses the rest. Callers that are refused return after the time that the front states, until
//! their deadline.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use concurrency::{
    Admitted, Arrival, Arrived, BACKGROUND_MAX, ConcurrencyLimit, RefusalReason, ReplicaUse,
    ServiceQueue, has_room, usable,
};
use dispatch::{
    AttemptOutcome, CallFailure, Candidate, InFlightCall, NextAction, ReplicaLoad, TypicalDuration,
    choose_replica, next_action,
};
use limits::Ticket;
use types::{Class, CustomerName};

const SEEDS: std::ops::Range<u64> = 7..10;
/// Calls that a replica runs at once, and calls that it queues beyond them.
pub const SLOTS: usize = 6;
const QUEUED_MAX: usize = 2;
/// Number of replicas that one call may be sent to.
const ATTEMPTS_MAX: u32 = 3;
/// Retry-After of a call that no replica ran, without the queue.
const BUSY_RETRY_AFTER_MS: u64 = 60;

/// Calls of one customer on one route.
#[derive(Clone)]
pub struct Traffic {
    pub customer: &'static str,
    pub class: Class,
    pub per_s: f64,
    pub service_ms: u64,
    pub deadline_ms: u64,
    /// Fronts that receive the calls.
    pub fronts: std::ops::Range<usize>,
    /// When the calls are made.
    pub during_ms: std::ops::Range<u64>,
    /// Whether a refused caller returns.
    pub returns: bool,
}

/// State of a replica at some time.
#[derive(Clone, Copy, PartialEq)]
pub enum Health {
    /// Answers in this many thousandths of the usual time.
    Serves(u64),
    /// Refuses connections; its record is still there.
    Down,
    /// Accepts calls and never answers.
    Silent,
}

/// How fronts admit calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    /// Calls are sent at once, as where replicas do not report their start.
    Unqueued,
    /// Limits, queue and budget of this crate.
    Queued,
}

#[derive(Clone)]
pub struct Scenario {
    pub fronts: usize,
    pub replicas: usize,
    pub health: fn(usize, u64) -> Health,
    pub traffic: Vec<Traffic>,
    pub duration_ms: u64,
}

/// How the calls of one `Traffic` ended.
#[derive(Default, Debug)]
pub struct Outcome {
    pub calls: usize,
    pub answered: usize,
    /// Ended as not run, after all returns of the caller.
    pub refused: usize,
    pub timed_out: usize,
    /// Answers of the front that told the caller to return.
    pub refusals: usize,
    /// Requests that were sent to a replica.
    pub sent: usize,
    latencies_ms: Vec<u64>,
}

impl Outcome {
    fn add(&mut self, other: &Outcome) {
        self.calls += other.calls;
        self.answered += other.answered;
        self.refused += other.refused;
        self.timed_out += other.timed_out;
        self.refusals += other.refusals;
        self.sent += other.sent;
        self.latencies_ms.extend(&other.latencies_ms);
    }

    /// Time from the first arrival to the answer, in milliseconds; the quantile is in thousandths.
    pub fn latency_ms(&self, quantile: usize) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let at = (sorted.len() * quantile / 1_000).min(sorted.len().saturating_sub(1));
        sorted.get(at).copied().unwrap_or_default()
    }

    pub fn answered_permille(&self) -> usize {
        self.answered * 1_000 / self.calls.max(1)
    }
}

/// A pseudo-random sequence (splitmix64).
pub struct RandomSequence(pub u64);

impl RandomSequence {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

type CallId = usize;

struct Run {
    call: CallId,
    service_ms: u64,
    ends_ms: u64,
}

#[derive(Default)]
struct Replica {
    running: Vec<Run>,
    queued: VecDeque<Run>,
}

struct Attempt {
    replica: usize,
    sent_ms: u64,
    _in_flight: InFlightCall,
}

struct Call {
    traffic: usize,
    front: usize,
    first_arrived_ms: u64,
    deadline_at_ms: u64,
    tried: Vec<usize>,
    attempts: Vec<Attempt>,
    may_have_run: bool,
    hedge_at_ms: u64,
    /// Whether the call waits for a replica.
    waiting: bool,
    ticket: Option<Ticket>,
}

struct Front {
    loads: Vec<Arc<ReplicaLoad>>,
    /// Usual duration by traffic, as each is a route of its own.
    typical: Vec<TypicalDuration>,
    limits: Vec<ConcurrencyLimit>,
    queue: ServiceQueue,
    waiting: BTreeMap<Ticket, CallId>,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    mode: Mode,
    now_ms: u64,
    /// Arrivals have a sequence of their own, so that they are the same in both modes.
    arrivals: RandomSequence,
    random: RandomSequence,
    replicas: Vec<Replica>,
    fronts: Vec<Front>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    /// Callers that return: when, traffic, first arrival and deadline.
    returning: Vec<(u64, usize, u64, u64)>,
    outcomes: Vec<Outcome>,
}

/// Runs a scenario once for each seed and returns the outcome of each of its traffics, because the
/// quantiles of one run depend on a few calls.
pub fn run(scenario: &Scenario, mode: Mode) -> Vec<Outcome> {
    let mut sums: Vec<Outcome> = scenario
        .traffic
        .iter()
        .map(|_| Outcome::default())
        .collect();
    for seed in SEEDS {
        let outcomes = run_once(scenario, mode, seed);
        sums.iter_mut()
            .zip(&outcomes)
            .for_each(|(sum, outcome)| sum.add(outcome));
    }
    sums
}

fn run_once(scenario: &Scenario, mode: Mode, seed: u64) -> Vec<Outcome> {
    let front = |_| Front {
        loads: (0..scenario.replicas).map(|_| Arc::default()).collect(),
        typical: scenario
            .traffic
            .iter()
            .map(|_| TypicalDuration::new(40))
            .collect(),
        limits: (0..scenario.replicas)
            .map(|_| ConcurrencyLimit::default())
            .collect(),
        queue: ServiceQueue::default(),
        waiting: BTreeMap::new(),
    };
    let mut sim = Sim {
        scenario,
        mode,
        now_ms: 0,
        arrivals: RandomSequence(seed),
        random: RandomSequence(seed + 1_000),
        replicas: (0..scenario.replicas).map(|_| Replica::default()).collect(),
        fronts: (0..scenario.fronts).map(front).collect(),
        calls: BTreeMap::new(),
        next_call: 0,
        returning: Vec::new(),
        outcomes: scenario
            .traffic
            .iter()
            .map(|_| Outcome::default())
            .collect(),
    };
    // Calls that arrive last end within the longest deadline.
    let longest_ms = scenario
        .traffic
        .iter()
        .map(|traffic| traffic.deadline_ms)
        .max();
    for now_ms in 0..scenario.duration_ms + longest_ms.unwrap_or_default() + 1 {
        sim.now_ms = now_ms;
        sim.step();
    }
    sim.outcomes
}

impl Sim<'_> {
    fn step(&mut self) {
        if self.now_ms < self.scenario.duration_ms {
            self.arrivals();
        }
        self.returns();
        self.finish_runs();
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            self.advance(id);
        }
        if self.mode == Mode::Queued {
            (0..self.fronts.len()).for_each(|front| self.admit_waiting(front));
        }
    }

    fn arrivals(&mut self) {
        for at in 0..self.scenario.traffic.len() {
            let traffic = &self.scenario.traffic[at];
            if !traffic.during_ms.contains(&self.now_ms) {
                continue;
            }
            // Up to four arrivals a millisecond, together at the traffic's rate.
            for _ in 0..4 {
                let threshold = traffic.per_s / 4_000.0 * u64::MAX as f64;
                if (self.arrivals.next() as f64) < threshold {
                    self.outcomes[at].calls += 1;
                    self.start(at, self.now_ms, self.now_ms + traffic.deadline_ms);
                }
            }
        }
    }

    fn returns(&mut self) {
        let now_ms = self.now_ms;
        let due = self.returning.extract_if(.., |caller| caller.0 <= now_ms);
        for (_, traffic, first_ms, deadline_ms) in due.collect::<Vec<_>>() {
            self.start(traffic, first_ms, deadline_ms);
        }
    }

    fn start(&mut self, traffic: usize, first_arrived_ms: u64, deadline_at_ms: u64) {
        let fronts = &self.scenario.traffic[traffic].fronts;
        let front = fronts.start + self.random.next() as usize % fronts.len();
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(
            id,
            Call {
                traffic,
                front,
                first_arrived_ms,
                deadline_at_ms,
                tried: Vec::new(),
                attempts: Vec::new(),
                may_have_run: false,
                hedge_at_ms: u64::MAX,
                waiting: true,
                ticket: None,
            },
        );
        self.send_next(id);
    }

    fn is_background(&self, call: &Call) -> bool {
        self.scenario.traffic[call.traffic].class != Class::Interactive
    }

    /// The replica for the next attempt of a call, as `calls.rs` chooses it.
    fn choose(&mut self, id: CallId, with_room: bool) -> Option<usize> {
        let call = &self.calls[&id];
        let front = &self.fronts[call.front];
        let left: Vec<usize> = (0..front.loads.len())
            .filter(|at| !call.tried.contains(at))
            .filter(|at| !with_room || front.loads[*at].background() < BACKGROUND_MAX)
            .collect();
        self.choose_among(id, &left)
    }

    fn choose_among(&mut self, id: CallId, left: &[usize]) -> Option<usize> {
        let call = &self.calls[&id];
        let front = &self.fronts[call.front];
        let candidates: Vec<Candidate<'_>> = left
            .iter()
            .map(|at| Candidate {
                load: &front.loads[*at],
                same_domain: true,
                connected: true,
            })
            .collect();
        let typical_us = front.typical[call.traffic].us();
        choose_replica(&candidates, typical_us, self.random.next(), self.now_ms).map(|at| left[at])
    }

    /// Sends the next attempt of a call that has none in flight.
    fn send_next(&mut self, id: CallId) {
        if self.mode == Mode::Queued {
            return self.ask(id);
        }
        let background = self.is_background(&self.calls[&id]);
        if let Some(replica) = self.choose(id, background) {
            self.send(id, replica);
        } else if !background || self.choose(id, false).is_none() {
            let may_have_run = self.calls[&id].may_have_run;
            self.end(
                id,
                match may_have_run {
                    true => CallFailure::Unknown,
                    false => CallFailure::NotRun,
                },
            );
        }
    }

    fn uses(&self, front: usize) -> Vec<ReplicaUse> {
        let front = &self.fronts[front];
        let replicas = front.loads.iter().zip(&front.limits);
        let replica_use = |(load, limit): (&Arc<ReplicaLoad>, &ConcurrencyLimit)| ReplicaUse {
            limit: limit.calls(SLOTS as u32, self.now_ms),
            paused: limit.is_paused(self.now_ms),
            calls: load.calls(),
            background: load.background(),
            ejected: load.is_ejected(self.now_ms),
        };
        replicas.map(replica_use).collect()
    }

    /// Asks the queue of the front for a replica.
    fn ask(&mut self, id: CallId) {
        let call = &self.calls[&id];
        let front = call.front;
        let traffic = &self.scenario.traffic[call.traffic];
        let typical_ms = self.fronts[front].typical[call.traffic].us() / 1_000;
        let arrival = Arrival {
            customer: CustomerName::new(traffic.customer).expect("a name"),
            class: traffic.class,
            typical_ms: typical_ms as u32,
            deadline_ms: call.deadline_at_ms.saturating_sub(typical_ms),
        };
        let uses = self.uses(front);
        let random = self.random.next();
        let queue = &mut self.fronts[front].queue;
        if call.tried.is_empty() {
            queue.record_first_attempt();
        }
        match queue.arrive(&arrival, &uses, self.now_ms, random) {
            Arrived::Free => self.place(id),
            Arrived::Refused(refusal) => self.refuse(id, refusal.retry_after_ms),
            Arrived::Waiting(ticket) => {
                self.fronts[front].waiting.insert(ticket, id);
                if let Some(call) = self.calls.get_mut(&id) {
                    call.ticket = Some(ticket);
                    call.waiting = true;
                }
                self.admit_waiting(front);
            }
        }
    }

    fn refuse(&mut self, id: CallId, retry_after_ms: u64) {
        let failure = match self.calls[&id].may_have_run {
            true => CallFailure::Unknown,
            false => CallFailure::NotRun,
        };
        self.end_with(id, failure, retry_after_ms);
    }

    fn admit_waiting(&mut self, front: usize) {
        loop {
            let uses = self.uses(front);
            let random = self.random.next();
            let at = &mut self.fronts[front];
            let Some(next) = at.queue.next(&uses, self.now_ms, random) else {
                return;
            };
            let (Admitted::Send(ticket) | Admitted::Refuse(ticket, _)) = next;
            let Some(id) = at.waiting.remove(&ticket) else {
                continue;
            };
            match next {
                Admitted::Send(_) => self.place(id),
                Admitted::Refuse(_, refusal) => self.refuse(id, refusal.retry_after_ms),
            }
        }
    }

    /// Sends an admitted call to a replica with room that has not received it. A retry exceeds the
    /// limit of a replica by one if only replicas that have received it have room.
    fn place(&mut self, id: CallId) {
        let class = self.scenario.traffic[self.calls[&id].traffic].class;
        match self
            .choose_open(id, class)
            .or_else(|| self.choose(id, false))
        {
            Some(replica) => self.send(id, replica),
            None => self.refuse_now(id, RefusalReason::NotTaken),
        }
    }

    fn refuse_now(&mut self, id: CallId, reason: RefusalReason) {
        let front = self.calls[&id].front;
        let (uses, random) = (self.uses(front), self.random.next());
        let refusal = self.fronts[front].queue.refusal(reason, &uses, random);
        self.refuse(id, refusal.retry_after_ms);
    }

    fn choose_open(&mut self, id: CallId, class: Class) -> Option<usize> {
        let call = &self.calls[&id];
        let uses = self.uses(call.front);
        let open: Vec<usize> = usable(&uses)
            .filter(|(at, replica)| !call.tried.contains(at) && has_room(replica, class))
            .map(|(at, _)| at)
            .collect();
        self.choose_among(id, &open)
    }

    fn send(&mut self, id: CallId, replica: usize) {
        let now_ms = self.now_ms;
        let background = self.is_background(&self.calls[&id]);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let front = &self.fronts[call.front];
        let typical_us = front.typical[call.traffic].us();
        let service_ms = self.scenario.traffic[call.traffic].service_ms;
        self.outcomes[call.traffic].sent += 1;
        call.waiting = false;
        call.tried.push(replica);
        let _in_flight = front.loads[replica].begin(typical_us, background);
        call.attempts.push(Attempt {
            replica,
            sent_ms: now_ms,
            _in_flight,
        });
        call.hedge_at_ms = now_ms + hedge_delay_ms(typical_us);
        let health = (self.scenario.health)(replica, now_ms);
        let (speed, silent) = match health {
            Health::Serves(speed) => (speed, false),
            Health::Silent => (1_000, true),
            Health::Down => {
                front.loads[replica].record_failure(now_ms);
                return self.attempt_ended(id, replica, AttemptOutcome::NotRun);
            }
        };
        let service_ms = if silent {
            u64::MAX / 2
        } else {
            service_ms * speed / 1_000
        };
        let run = Run {
            call: id,
            service_ms,
            ends_ms: now_ms + service_ms,
        };
        let at = &mut self.replicas[replica];
        if at.running.len() < SLOTS {
            at.running.push(run);
        } else if at.queued.len() < QUEUED_MAX {
            at.queued.push_back(run);
        } else {
            let front = &mut self.fronts[call.front];
            let running = front.loads[replica].calls();
            front.limits[replica].record_refusal(
                running,
                SLOTS as u32,
                now_ms,
                now_ms,
                self.random.next(),
            );
            self.attempt_ended(id, replica, AttemptOutcome::NotRun);
        }
    }

    fn finish_runs(&mut self) {
        for replica in 0..self.replicas.len() {
            let now_ms = self.now_ms;
            let at = &mut self.replicas[replica];
            let ended: Vec<CallId> = at
                .running
                .extract_if(.., |run| run.ends_ms <= now_ms)
                .map(|run| run.call)
                .collect();
            while at.running.len() < SLOTS
                && let Some(mut run) = at.queued.pop_front()
            {
                run.ends_ms = now_ms + run.service_ms;
                at.running.push(run);
            }
            for call in ended {
                self.attempt_ended(call, replica, AttemptOutcome::Answered);
            }
        }
    }

    fn attempt_ended(&mut self, id: CallId, replica: usize, end: AttemptOutcome) {
        let now_ms = self.now_ms;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(at) = call
            .attempts
            .iter()
            .position(|attempt| attempt.replica == replica)
        else {
            return;
        };
        let attempt = call.attempts.swap_remove(at);
        let front = &mut self.fronts[call.front];
        if end == AttemptOutcome::Answered {
            let took_us = (now_ms - attempt.sent_ms).max(1) * 1_000;
            let route = self.scenario.traffic[call.traffic].customer;
            let limit = &mut front.limits[replica];
            match self.scenario.traffic[call.traffic].class {
                Class::Background => limit.record_background_answer(SLOTS as u32, now_ms),
                _ => limit.record_answer(route, took_us, SLOTS as u32, attempt.sent_ms, now_ms),
            }
            front.queue.record_hold(took_us);
            front.loads[replica].record_success(&front.typical[call.traffic], took_us, now_ms);
        }
        drop(attempt);
        let left_ms = call.deadline_at_ms.saturating_sub(now_ms);
        let has_untried = call.tried.len() < self.scenario.replicas;
        let sent = call.tried.len() as u32;
        // A call that a full replica refused goes on to wait; it is no retry.
        let is_full = end == AttemptOutcome::NotRun
            && (self.scenario.health)(replica, now_ms) != Health::Down;
        let action = next_action(
            end,
            true,
            call.may_have_run,
            sent,
            ATTEMPTS_MAX,
            has_untried,
            left_ms,
        );
        match action {
            NextAction::Deliver => self.answer(id),
            _ if !self.calls[&id].attempts.is_empty() => {}
            NextAction::Retry if is_full || self.spend_retry(id) => self.send_next(id),
            NextAction::Retry => self.refuse_now(id, RefusalReason::BudgetSpent),
            NextAction::Finish(CallFailure::NotRun) if self.mode == Mode::Queued => {
                self.refuse_now(id, RefusalReason::NotTaken);
            }
            NextAction::Finish(failure) => self.end(id, failure),
        }
    }

    /// Hedges, retries and the deadline of a call.
    fn advance(&mut self, id: CallId) {
        let now_ms = self.now_ms;
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if now_ms >= call.deadline_at_ms {
            let failure = match call.tried.is_empty() {
                true => CallFailure::NotRun,
                false => CallFailure::TimedOut,
            };
            return self.end(id, failure);
        }
        if call.ticket.is_some() && call.waiting {
            return;
        }
        if call.waiting {
            if now_ms.is_multiple_of(10) {
                self.send_next(id);
            }
            return;
        }
        let may_hedge = call.attempts.len() == 1 && (call.tried.len() as u32) < ATTEMPTS_MAX;
        if may_hedge && now_ms >= call.hedge_at_ms {
            self.hedge(id);
        }
    }

    fn spend_retry(&self, id: CallId) -> bool {
        let front = &self.fronts[self.calls[&id].front];
        self.mode == Mode::Unqueued || front.queue.try_spend_retry(self.now_ms)
    }

    fn hedge(&mut self, id: CallId) {
        let call = &self.calls[&id];
        let (slow, front, traffic) = (call.tried[0], call.front, call.traffic);
        let sent_ms = call.attempts[0].sent_ms;
        let next = match self.mode {
            Mode::Unqueued => self.choose(id, false),
            Mode::Queued if !self.fronts[front].queue.is_empty() => None,
            // The limit on background calls does not bind hedged requests, which are few.
            Mode::Queued => self.choose_open(id, Class::Interactive),
        };
        let Some(next) = next else {
            return;
        };
        if !self.spend_retry(id) {
            return;
        }
        self.fronts[front].limits[slow].record_late(SLOTS as u32, sent_ms, self.now_ms);
        let typical = &self.fronts[front].typical[traffic];
        let load = &self.fronts[front].loads[slow];
        load.record_hedge(typical, typical.us() * 3, self.now_ms);
        self.send(id, next);
    }

    fn answer(&mut self, id: CallId) {
        if let Some(call) = self.remove(id) {
            let outcome = &mut self.outcomes[call.traffic];
            outcome.answered += 1;
            outcome
                .latencies_ms
                .push(self.now_ms - call.first_arrived_ms);
        }
    }

    fn end(&mut self, id: CallId, failure: CallFailure) {
        self.end_with(id, failure, BUSY_RETRY_AFTER_MS);
    }

    fn end_with(&mut self, id: CallId, failure: CallFailure, retry_after_ms: u64) {
        let Some(call) = self.remove(id) else { return };
        let outcome = &mut self.outcomes[call.traffic];
        if failure != CallFailure::NotRun {
            outcome.timed_out += 1;
            return;
        }
        outcome.refusals += 1;
        let returns_ms = self.now_ms + retry_after_ms;
        let returns = self.scenario.traffic[call.traffic].returns;
        if returns && returns_ms < call.deadline_at_ms {
            let caller = (
                returns_ms,
                call.traffic,
                call.first_arrived_ms,
                call.deadline_at_ms,
            );
            self.returning.push(caller);
        } else {
            outcome.refused += 1;
        }
    }

    /// Removes a call and cancels its attempts at the replicas.
    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        let front = &mut self.fronts[call.front];
        if let Some(ticket) = call.ticket.filter(|_| call.waiting) {
            front.queue.cancel(ticket);
            front.waiting.remove(&ticket);
        }
        for attempt in &call.attempts {
            front
                .queue
                .record_hold((self.now_ms - attempt.sent_ms) * 1_000);
            let at = &mut self.replicas[attempt.replica];
            at.running.retain(|run| run.call != id);
            at.queued.retain(|run| run.call != id);
        }
        Some(call)
    }
}

fn hedge_delay_ms(typical_us: u64) -> u64 {
    (typical_us * 3 / 1_000).max(50)
}
