//! Detects that this process was suspended.
//!
//! After a pause of its VM or a stop signal, a process reads frames from its socket buffers
//! whose remaining time was computed before the pause, and holds state that may be outdated. A
//! heartbeat within the process reveals the pause, so that a receiver of work can subtract the
//! pause from the remaining time of a call, and a sender of orders can check the age of its state.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::now_ms;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest gap between two heartbeats that counts as a pause; shorter gaps occur on a busy VM.
const PAUSE_MIN_MS: u64 = 1_000;
/// How long after a pause frames from before its end may still be read from the socket buffers.
/// Callers drop a silent connection sooner, so the buffers do not hold more.
const BACKLOG_MS: u64 = 1_000;

/// Detects pauses by the gaps between heartbeats of this process. Clones share one state.
#[derive(Clone, Debug)]
pub struct PauseDetector(Arc<Heartbeats>);

#[derive(Debug)]
struct Heartbeats {
    last_ms: AtomicU64,
    pause_ms: AtomicU64,
    resumed_ms: AtomicU64,
}

impl PauseDetector {
    /// Creates a detector whose first heartbeat is at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self(Arc::new(Heartbeats {
            last_ms: AtomicU64::new(now_ms),
            pause_ms: AtomicU64::new(0),
            resumed_ms: AtomicU64::new(0),
        }))
    }

    /// Creates a detector and spawns a task that records its heartbeats; needs a running tokio
    /// runtime.
    pub fn start() -> Self {
        let detector = Self::new(now_ms());
        let heartbeat = detector.clone();
        tokio::spawn(async move {
            loop {
                heartbeat.record_heartbeat(now_ms());
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        detector
    }

    /// Records a heartbeat, and a pause if the gap since the last heartbeat is long.
    pub fn record_heartbeat(&self, now_ms: u64) {
        let last_ms = self.0.last_ms.swap(now_ms, Ordering::AcqRel);
        let gap_ms = now_ms.saturating_sub(last_ms);
        if gap_ms >= PAUSE_MIN_MS {
            self.0.pause_ms.store(gap_ms, Ordering::Release);
            self.0.resumed_ms.store(now_ms, Ordering::Release);
        }
    }

    /// Upper bound of the time for which data that was just read may have waited in the socket
    /// buffer, in milliseconds: the length of a pause that is just ending, otherwise 0.
    pub fn arrival_age_ms(&self, now_ms: u64) -> u64 {
        let gap_ms = now_ms.saturating_sub(self.0.last_ms.load(Ordering::Acquire));
        if gap_ms >= PAUSE_MIN_MS {
            return gap_ms;
        }
        let pause_ms = self.0.pause_ms.load(Ordering::Acquire);
        let since_resume_ms = now_ms.saturating_sub(self.0.resumed_ms.load(Ordering::Acquire));
        if pause_ms > 0 && since_resume_ms < BACKLOG_MS {
            pause_ms
        } else {
            0
        }
    }
}
