//! Finds out that this process was frozen.
//!
//! After a pause of its VM or a stop signal, a process finds frames in its socket buffers
//! whose stated time left was true when they were sent, and beliefs that were true when
//! they were read. A heartbeat of its own makes the pause visible: whoever takes work in
//! subtracts the pause, and whoever gives an order asks when it last looked.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::now_ms;

/// Time between two beats.
const BEAT: Duration = Duration::from_millis(100);
/// A longer gap between two beats is a pause; a shorter one is only a busy machine.
const PAUSE_MIN_MS: u64 = 1_000;
/// How long after a pause old frames may still come out of the socket buffers. A caller
/// gives up a silent connection sooner than it takes to empty them.
const BACKLOG_MS: u64 = 1_000;

/// Heartbeat of this process. Clones share one state.
#[derive(Clone, Debug)]
pub struct PauseDetector(Arc<Beats>);

#[derive(Debug)]
struct Beats {
    last_ms: AtomicU64,
    pause_ms: AtomicU64,
    woke_ms: AtomicU64,
}

impl PauseDetector {
    /// A pulse that beats at `now_ms` for the first time.
    pub fn new(now_ms: u64) -> Self {
        Self(Arc::new(Beats {
            last_ms: AtomicU64::new(now_ms),
            pause_ms: AtomicU64::new(0),
            woke_ms: AtomicU64::new(0),
        }))
    }

    /// A pulse that a task of the running tokio runtime keeps beating.
    pub fn start() -> Self {
        let pulse = Self::new(now_ms());
        let beating = pulse.clone();
        tokio::spawn(async move {
            loop {
                beating.beat(now_ms());
                tokio::time::sleep(BEAT).await;
            }
        });
        pulse
    }

    /// One beat; notes a pause when the last beat is long ago.
    pub fn beat(&self, now_ms: u64) {
        let last_ms = self.0.last_ms.swap(now_ms, Ordering::AcqRel);
        let gap_ms = now_ms.saturating_sub(last_ms);
        if gap_ms >= PAUSE_MIN_MS {
            self.0.pause_ms.store(gap_ms, Ordering::Release);
            self.0.woke_ms.store(now_ms, Ordering::Release);
        }
    }

    /// Age that something just read from a socket may have, in milliseconds: the pause
    /// that this process is waking from, else 0.
    pub fn arrival_age_ms(&self, now_ms: u64) -> u64 {
        let gap_ms = now_ms.saturating_sub(self.0.last_ms.load(Ordering::Acquire));
        if gap_ms >= PAUSE_MIN_MS {
            return gap_ms;
        }
        let pause_ms = self.0.pause_ms.load(Ordering::Acquire);
        let since_wake_ms = now_ms.saturating_sub(self.0.woke_ms.load(Ordering::Acquire));
        if pause_ms > 0 && since_wake_ms < BACKLOG_MS {
            pause_ms
        } else {
            0
        }
    }
}
