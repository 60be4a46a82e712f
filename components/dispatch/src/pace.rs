//! How fast a model replica makes events, against its like.
//!
//! A long item is made one event after the other for seconds, and a trainer waits for the
//! last item of a group. On a replica that turned slow such an item ends a step late, so it
//! is moved: another replica goes on behind its last event and only reads the text again,
//! which takes a few milliseconds.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::fade::faded;

/// Slowness of a replica like the others, in thousandths.
const EVEN: u64 = 1_000;
/// Share of a new pause in the mean, in hundredths: a replica that turned slow is known
/// after some four events of one run.
const SHARE: u64 = 20;
/// Most that one pause counts, in times the mean, so that a single long one does not make a
/// replica slow; several in a row do.
const LONGEST: u64 = 2;
/// How fast a replica's slowness is forgotten while it runs nothing, in milliseconds for half
/// of it, so that one that was slow gets items again.
const FORGET_HALF_MS: u64 = 4_000;
/// Least time that a move must gain, in milliseconds. It costs some 60, and a connection: the
/// event that was being made, a way, and the text that is read again. Where replicas are full
/// each move takes a place from an item that waits.
const GAIN_MS_MIN: u64 = 700;
/// A replica that takes a moved item must be this much faster, in hundredths: fuller replicas are
/// up to a seventh slower than emptier ones, and a single long pause shows as a fifth.
const FASTER: u64 = 125;

/// Mean pause between the events that a replica makes.
#[derive(Debug, Default)]
pub struct EventInterval {
    mean_us: AtomicU64,
    seen_ms: AtomicU64,
}

impl EventInterval {
    /// Takes the pause between two events of one run.
    pub fn record(&self, pause_us: u64, now_ms: u64) {
        let mean_us = match self.mean_us.load(Ordering::Relaxed) {
            0 => pause_us,
            // A replica that loads weights pauses once for a second and goes on as before.
            mean_us => {
                let counted_us = pause_us.min(mean_us * LONGEST);
                (mean_us * (100 - SHARE) + counted_us * SHARE) / 100
            }
        };
        self.mean_us.store(mean_us, Ordering::Relaxed);
        self.seen_ms.store(now_ms, Ordering::Relaxed);
    }

    /// The mean pause in microseconds; 0 before the first.
    pub fn mean_us(&self) -> u64 {
        self.mean_us.load(Ordering::Relaxed)
    }

    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.seen_ms.load(Ordering::Relaxed))
    }
}

/// Slowness against `typical_us`, in thousandths; 1,000 for one like the others.
pub fn slowness(pace: &EventInterval, typical_us: u64, now_ms: u64) -> u64 {
    let mean_us = pace.mean_us();
    if mean_us == 0 || typical_us == 0 {
        return EVEN;
    }
    let now = mean_us * EVEN / typical_us;
    faded(now, EVEN, pace.age_ms(now_ms), FORGET_HALF_MS)
}

/// Whether a text that takes `left_ms` more at a replica like the others should go on at a replica
/// of slowness `there` instead of `here`.
pub fn is_worth_moving(left_ms: u64, here: u64, there: u64) -> bool {
    let gained_ms = left_ms * here.saturating_sub(there) / EVEN;
    gained_ms >= GAIN_MS_MIN && here * 100 >= there * FASTER
}
