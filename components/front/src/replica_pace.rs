//! The pace of a model replica, shared by the runner and the tasks of the runs.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use dispatch::ReplicaId;
use pace::{LevelChange, PaceEstimate, PoolPace, ReplicaPace};

use crate::state::lock;

/// Pace of a replica in one life.
pub struct SharedPace {
    /// Number of items that this front runs at the replica.
    running: Arc<AtomicU32>,
    state: Mutex<PaceState>,
}

/// What [`SharedPace`] protects.
#[derive(Default)]
pub struct PaceState {
    pub replica: ReplicaPace,
    pub pool: PoolPace,
    /// Whether this front has observed the replica itself.
    has_recorded: bool,
    /// When the replica became slower than its steady pace; `None` while it is not.
    slower_since_ms: Option<u64>,
    /// When the replica last returned to its steady pace; 0 if never.
    recovered_ms: u64,
}

impl SharedPace {
    /// The pace of a replica with `running` items of this front, before any event.
    pub fn new(running: Arc<AtomicU32>) -> Self {
        Self {
            running,
            state: Mutex::default(),
        }
    }

    /// The state; the guard must not be held across an await.
    pub fn state(&self) -> std::sync::MutexGuard<'_, PaceState> {
        lock(&self.state)
    }

    /// Pace of a run that shares the replica with `running - 1` others.
    pub fn estimate(&self, running: u32, now_ms: u64) -> PaceEstimate {
        let state = self.state();
        state.replica.estimate(&state.pool, running, now_ms)
    }

    /// When the replica last returned to its steady pace; 0 if never.
    pub fn recovered_ms(&self) -> u64 {
        self.state().recovered_ms
    }

    /// Continues from the pace that another front observed; false if this front has observed the
    /// replica itself.
    pub fn restore(&self, pace: ReplicaPace) -> bool {
        let mut state = self.state();
        if !state.has_recorded {
            state.replica = pace;
        }
        !state.has_recorded
    }

    /// Records the interval between two events of a run at the replica.
    pub fn record(&self, replica: &ReplicaId, interval_us: u64, now_ms: u64) {
        let running = self.running.load(Ordering::Relaxed).max(1);
        let mut state = self.state();
        let pool = state.pool;
        state.has_recorded = true;
        let Some(change) = state.replica.record(&pool, interval_us, running, now_ms) else {
            return;
        };
        let estimate = state.replica.estimate(&pool, running, now_ms);
        let (interval_ms, steady_ms) = (estimate.interval_us / 1_000, estimate.steady_us / 1_000);
        match change {
            LevelChange::Slower => {
                let since_ms = estimate.deviates_since_ms.unwrap_or(now_ms);
                state.slower_since_ms = Some(since_ms);
                drop(state);
                log::info!(
                    event = "replica-slower", replica = &**replica, interval_ms, steady_ms,
                    since_ms = now_ms.saturating_sub(since_ms); ""
                );
            }
            LevelChange::Recovered => {
                state.recovered_ms = now_ms;
                let since_ms = state.slower_since_ms.take().unwrap_or(now_ms);
                drop(state);
                log::info!(
                    event = "replica-recovered", replica = &**replica, interval_ms, steady_ms,
                    since_ms = now_ms.saturating_sub(since_ms); ""
                );
            }
        }
    }
}
