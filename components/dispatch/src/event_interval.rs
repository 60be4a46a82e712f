//! How fast a model replica generates events, compared with the others.
//!
//! The events of a long item are generated one after the other over seconds, and a trainer waits
//! for the last item of a group. On a replica that has become slow, such an item delays the end of
//! its step. The item is therefore moved: another replica continues after its last event and only
//! has to read the text again, which takes a few milliseconds.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::decay::decayed;

/// Slowness of a replica that is as fast as the others, in thousandths.
const BASELINE_THOUSANDTHS: u64 = 1_000;
/// Weight of a new interval in the moving average, in hundredths. A replica that has become slow is
/// recognised after about four events of one run.
const EWMA_WEIGHT_HUNDREDTHS: u64 = 20;
/// Cap on one interval, as a multiple of the average: a single long interval does not make a
/// replica slow, several in a row do.
const INTERVAL_FACTOR_MAX: u64 = 2;
/// Time in which the excess slowness of a replica without events halves, so that a replica that was
/// slow receives items again.
const DECAY_HALF_LIFE_MS: u64 = 4_000;
/// Smallest gain for which an item is moved. A move costs about 60 ms and a connection: the event
/// in progress is lost, the request travels to the other replica, and that replica reads the text
/// again. When the replicas are full, each move also takes a slot from a waiting item.
const GAIN_MS_MIN: u64 = 700;
/// How much faster the target of a move must be, in hundredths. Fuller replicas are up to a seventh
/// slower than emptier ones, and a single long interval shows as a fifth.
const SPEEDUP_MIN_HUNDREDTHS: u64 = 125;

/// Moving average of the interval between the events that a replica generates.
#[derive(Debug, Default)]
pub struct EventInterval {
    mean_us: AtomicU64,
    recorded_ms: AtomicU64,
}

impl EventInterval {
    /// Records the interval between two events of one run.
    pub fn record(&self, interval_us: u64, now_ms: u64) {
        let mean_us = match self.mean_us.load(Ordering::Relaxed) {
            0 => interval_us,
            // A replica that loads weights pauses once for about a second and continues at its
            // former speed, so a single interval is capped.
            mean_us => {
                let counted_us = interval_us.min(mean_us * INTERVAL_FACTOR_MAX);
                (mean_us * (100 - EWMA_WEIGHT_HUNDREDTHS) + counted_us * EWMA_WEIGHT_HUNDREDTHS)
                    / 100
            }
        };
        self.mean_us.store(mean_us, Ordering::Relaxed);
        self.recorded_ms.store(now_ms, Ordering::Relaxed);
    }

    /// The average interval in microseconds; 0 before the first interval.
    pub fn mean_us(&self) -> u64 {
        self.mean_us.load(Ordering::Relaxed)
    }

    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.recorded_ms.load(Ordering::Relaxed))
    }
}

/// Slowness of a replica compared with `typical_us`, in thousandths; 1,000 for a replica that is as
/// fast as the others, or if either interval is not known.
pub fn slowness(interval: &EventInterval, typical_us: u64, now_ms: u64) -> u64 {
    let mean_us = interval.mean_us();
    if mean_us == 0 || typical_us == 0 {
        return BASELINE_THOUSANDTHS;
    }
    let now = mean_us * BASELINE_THOUSANDTHS / typical_us;
    decayed(
        now,
        BASELINE_THOUSANDTHS,
        interval.age_ms(now_ms),
        DECAY_HALF_LIFE_MS,
    )
}

/// Whether a text should continue at a replica of slowness `there` instead of `here`. `left_ms` is
/// the time that it needs at a replica of normal speed.
pub fn is_worth_moving(left_ms: u64, here: u64, there: u64) -> bool {
    let gained_ms = left_ms * here.saturating_sub(there) / BASELINE_THOUSANDTHS;
    gained_ms >= GAIN_MS_MIN && here * 100 >= there * SPEEDUP_MIN_HUNDREDTHS
}
