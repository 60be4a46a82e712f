//! Limit on this process's calls in flight at one replica, adapted by additive increase and
//! multiplicative decrease.
//!
//! The limit begins at the number of the replica's slots, so that nothing waits before the replica
//! shows that it is full. A refusal halves it and pauses the replica for a moment: where each of many
//! processes has few calls in flight, their limits alone don't keep a replica from being full.
//! Answers that take much longer than the shortest answers of the same route at this replica lower
//! it by a fifth, unless they answer background calls. Every other answer raises it.
//! Several calls that were in flight together show the same state of the replica, so a call that
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
/// Mean duration of answers, relative to the shortest ones, above which the replica counts as
/// congested, in thousandths.
const CONGESTED_THOUSANDTHS: u64 = 3_000;
/// Highest relative duration that one answer can show, in thousandths. A single slow answer does
/// not reach [`CONGESTED_THOUSANDTHS`].
const RATIO_MAX_THOUSANDTHS: u64 = 6_000;
/// Weight of the newest answer in the moving average, in thousandths.
const EWMA_WEIGHT_THOUSANDTHS: u64 = 300;
/// Shorter durations count as this one: at a few milliseconds the network and the scheduler decide
/// the ratio.
const SHORTEST_US_MIN: u64 = 10_000;
/// A route's shortest duration is that of the last one to two windows of this length.
const WINDOW_MS: u64 = 30_000;
/// Routes whose shortest duration is kept for one replica.
const ROUTES_MAX: usize = 32;

#[derive(Debug)]
struct ShortestDuration {
    route: Box<str>,
    window_began_ms: u64,
    current_us: u64,
    previous_us: u64,
}

impl ShortestDuration {
    fn record(&mut self, took_us: u64, now_ms: u64) {
        if now_ms >= self.window_began_ms + WINDOW_MS {
            self.previous_us = self.current_us;
            self.current_us = u64::MAX;
            self.window_began_ms = now_ms;
        }
        self.current_us = self.current_us.min(took_us);
    }

    fn us(&self) -> u64 {
        self.current_us.min(self.previous_us).max(SHORTEST_US_MIN)
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
    shortest: Vec<ShortestDuration>,
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
        if self.ratio > CONGESTED_THOUSANDTHS {
            let limit = self.thousandths(slots, now_ms);
            self.decrease(limit * SLOW_THOUSANDTHS / 1_000, sent_ms, now_ms);
        } else {
            self.increase(slots, now_ms);
        }
    }

    /// Records an answer to a background call. Its duration does not lower the limit: background
    /// calls come in bursts from few processes, no client waits for them, and a limit that is lowered
    /// by their varying durations would let the burst wait at a replica with free slots. A replica
    /// that is full refuses them.
    pub fn record_background_answer(&mut self, slots: u32, now_ms: u64) {
        (self.refusals, self.paused_until_ms) = (0, 0);
        self.increase(slots, now_ms);
    }

    fn increase(&mut self, slots: u32, now_ms: u64) {
        let limit = self.thousandths(slots, now_ms);
        let step = CALL * CALL / (limit.max(CALL) * ANSWERS_PER_INCREASE);
        self.set(limit + step, now_ms);
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

    /// Duration relative to the shortest one of the route, in thousandths.
    fn ratio_of(&mut self, route: &str, took_us: u64, now_ms: u64) -> u64 {
        let known = self
            .shortest
            .iter()
            .position(|known| &*known.route == route);
        let at = known.unwrap_or_else(|| {
            if self.shortest.len() == ROUTES_MAX {
                self.shortest.remove(0);
            }
            self.shortest.push(ShortestDuration {
                route: route.into(),
                window_began_ms: now_ms,
                current_us: u64::MAX,
                previous_us: u64::MAX,
            });
            self.shortest.len() - 1
        });
        let shortest = &mut self.shortest[at];
        shortest.record(took_us, now_ms);
        (took_us * 1_000 / shortest.us()).min(RATIO_MAX_THOUSANDTHS)
    }
}
