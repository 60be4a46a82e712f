//! Limit on this process's calls in flight at one replica, adapted by additive increase and
//! multiplicative decrease.
//!
//! The limit begins at the number of the replica's slots, so that nothing waits before the replica
//! shows that it is full. A refusal halves it and pauses the replica for a moment: where each of many
//! processes has few calls in flight, their limits alone don't keep a replica from being full.
//! Answers that take much longer than those of the same route at this replica under light load lower
//! it by a fifth. Every other answer raises it. Several calls that were in flight together show the same state of the replica, so a call that
//! was sent before the last decrease causes no further one.

/// Pause after the first refusal in a row, in milliseconds; it doubles with each further one.
const PAUSE_MS: u64 = 10;
/// Refusals in a row after which the pause does not grow any more.
const PAUSE_DOUBLINGS_MAX: u32 = 4;
/// Unit of the stored limit, so that it can rise by less than one call.
const CALL: u64 = 1_000;
/// Factor on the limit after a refusal, in thousandths.
const REFUSED_THOUSANDTHS: u64 = 500;
/// Factor on the limit after slow answers, in thousandths.
const SLOW_THOUSANDTHS: u64 = 800;
/// Answers for each call of the limit that raise it by one. Every increase ends with a refused call
/// once the replica is full, so a faster rise makes refusals about as frequent as answers under a
/// flood.
const ANSWERS_PER_INCREASE: u64 = 10;
/// Mean duration of answers, relative to those under light load, above which the replica counts as
/// congested, in thousandths.
const CONGESTED_THOUSANDTHS: u64 = 2_000;
/// Highest relative duration that one answer can show, in thousandths. A single slow answer does
/// not reach [`CONGESTED_THOUSANDTHS`].
const RATIO_MAX_THOUSANDTHS: u64 = 6_000;
/// Weight of the newest answer in the moving average, in thousandths.
const EWMA_WEIGHT_THOUSANDTHS: u64 = 100;
/// Shorter references count as this one: at a few milliseconds the network and the scheduler decide
/// the ratio.
const REFERENCE_US_MIN: u64 = 10_000;
/// Answers of which the mean is taken for the reference. The work of calls varies by half of its
/// mean, so the lowest of many such means lies a quarter below the mean at most.
const MEAN_ANSWERS: u64 = 10;
/// Mean duration, relative to the shortest one, that varying work explains without load.
const MEAN_OF_SHORTEST: u64 = 4;
/// A route's reference is that of the last one to two windows of this length.
const WINDOW_MS: u64 = 30_000;
/// Routes whose reference is kept for one replica.
const ROUTES_MAX: usize = 32;

/// Duration of a route's answers at one replica while the replica is lightly loaded: the lowest
/// mean of [`MEAN_ANSWERS`] answers in a row, but no more than a multiple of the shortest answer. The
/// shortest alone would be no reference, because the work of calls varies; the mean alone would be
/// none at a replica that was never lightly loaded.
#[derive(Debug)]
struct LightLoadDuration {
    route: Box<str>,
    sum_us: u64,
    answers: u64,
    window_began_ms: u64,
    current_us: Option<u64>,
    previous_us: Option<u64>,
    shortest_us: u64,
}

impl LightLoadDuration {
    fn record(&mut self, took_us: u64, now_ms: u64) {
        if now_ms >= self.window_began_ms + WINDOW_MS {
            self.previous_us = self.current_us.take().or(self.previous_us);
            self.window_began_ms = now_ms;
            self.shortest_us = u64::MAX;
        }
        self.shortest_us = self.shortest_us.min(took_us);
        self.sum_us += took_us;
        self.answers += 1;
        if self.answers == MEAN_ANSWERS {
            let mean_us = self.sum_us / MEAN_ANSWERS;
            self.current_us = Some(self.current_us.map_or(mean_us, |us| us.min(mean_us)));
            (self.sum_us, self.answers) = (0, 0);
        }
    }

    /// `None` before the first mean.
    fn us(&self) -> Option<u64> {
        let known = self.current_us.into_iter().chain(self.previous_us);
        let by_shortest_us = self.shortest_us.saturating_mul(MEAN_OF_SHORTEST);
        known
            .min()
            .map(|us| us.min(by_shortest_us).max(REFERENCE_US_MIN))
    }
}

/// Limit on this process's calls in flight at one replica.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    /// The limit in thousandths of a call; `None` while it is the number of slots.
    limit: Option<u64>,
    changed_ms: u64,
    decreased_ms: u64,
    /// Refusals since the last answer.
    refusals: u32,
    paused_until_ms: u64,
    /// Moving average of the relative duration of answers, in thousandths; 0 before the first.
    ratio: u64,
    light_load: Vec<LightLoadDuration>,
}

impl ConcurrencyLimit {
    /// The limit for a replica with `slots` slots: at least 1, at most the slots. What was learnt
    /// from a refusal is valid for seconds only, so the limit also rises by one each second.
    pub fn calls(&self, slots: u32, now_ms: u64) -> u32 {
        let calls = self.thousandths(slots, now_ms) / CALL;
        calls.max(1) as u32
    }

    /// Whether the replica has just refused a call and is to get none now: it is full with the calls
    /// of other processes.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    fn thousandths(&self, slots: u32, now_ms: u64) -> u64 {
        let ceiling = u64::from(slots.max(1)) * CALL;
        let aged = |limit| limit + now_ms.saturating_sub(self.changed_ms);
        self.limit.map_or(ceiling, |limit| aged(limit).min(ceiling))
    }

    /// Records an answer to a call of `route` that was sent at `sent_ms`.
    pub fn record_answer(
        &mut self,
        route: &str,
        took_us: u64,
        slots: u32,
        sent_ms: u64,
        now_ms: u64,
    ) {
        // The answer has left a slot free.
        (self.refusals, self.paused_until_ms) = (0, 0);
        let ratio = self.ratio_of(route, took_us, now_ms);
        self.ratio = match self.ratio {
            0 => ratio,
            mean => {
                (mean * (1_000 - EWMA_WEIGHT_THOUSANDTHS) + ratio * EWMA_WEIGHT_THOUSANDTHS) / 1_000
            }
        };
        let limit = self.thousandths(slots, now_ms);
        if self.ratio > CONGESTED_THOUSANDTHS {
            self.decrease(limit * SLOW_THOUSANDTHS / 1_000, sent_ms, now_ms);
        } else {
            self.set(
                limit + CALL * CALL / (limit.max(CALL) * ANSWERS_PER_INCREASE),
                now_ms,
            );
        }
    }

    /// Records that the replica refused a call that was sent at `sent_ms`, while `running` calls of
    /// this process were in flight there, this one included. The part of the limit that was not in
    /// use says nothing about the replica. `random` spreads the next calls of the processes that
    /// were refused together.
    pub fn record_refusal(
        &mut self,
        running: u32,
        slots: u32,
        sent_ms: u64,
        now_ms: u64,
        random: u64,
    ) {
        let pause_ms = PAUSE_MS << self.refusals.min(PAUSE_DOUBLINGS_MAX);
        self.refusals = self.refusals.saturating_add(1);
        self.paused_until_ms = now_ms + pause_ms / 2 + random % pause_ms;
        let in_use = self
            .thousandths(slots, now_ms)
            .min(u64::from(running) * CALL);
        self.decrease(in_use * REFUSED_THOUSANDTHS / 1_000, sent_ms, now_ms);
    }

    /// Records that a call got no answer in the time in which others do.
    pub fn record_late(&mut self, slots: u32, sent_ms: u64, now_ms: u64) {
        let limit = self.thousandths(slots, now_ms);
        self.decrease(limit * SLOW_THOUSANDTHS / 1_000, sent_ms, now_ms);
    }

    fn decrease(&mut self, limit: u64, sent_ms: u64, now_ms: u64) {
        if self.limit.is_none() || sent_ms > self.decreased_ms {
            self.decreased_ms = now_ms;
            self.set(limit, now_ms);
        }
    }

    fn set(&mut self, limit: u64, now_ms: u64) {
        self.limit = Some(limit.max(CALL));
        self.changed_ms = now_ms;
    }

    /// Duration relative to the route's reference, in thousandths; that of an uncongested replica
    /// while the reference is not known.
    fn ratio_of(&mut self, route: &str, took_us: u64, now_ms: u64) -> u64 {
        let known = self
            .light_load
            .iter()
            .position(|known| &*known.route == route);
        let at = known.unwrap_or_else(|| {
            if self.light_load.len() == ROUTES_MAX {
                self.light_load.remove(0);
            }
            self.light_load.push(LightLoadDuration {
                route: route.into(),
                sum_us: 0,
                answers: 0,
                window_began_ms: now_ms,
                current_us: None,
                previous_us: None,
                shortest_us: u64::MAX,
            });
            self.light_load.len() - 1
        });
        let light_load = &mut self.light_load[at];
        light_load.record(took_us, now_ms);
        let ratio = light_load.us().map(|us| took_us * 1_000 / us);
        ratio.unwrap_or(1_000).min(RATIO_MAX_THOUSANDTHS)
    }
}
