//! Drains one process, from the first notice to its exit.
//!
//! An entry stays behind the platform's load balancer for a while after it reports that it is not
//! ready, and the balancer keeps sending requests to it. The entry therefore accepts new work for
//! another `settle_ms`. Membership spreads the notice of a leaving agent without such a lag, so an
//! agent's `settle_ms` is 0, and it refuses new work as soon as any source says that it leaves.
//! Refused work is reported as "not run" with a time to retry. The process exits when all work in
//! progress has finished, or after `finish_ms_max`.
//!
//! All methods take `&self` and the state is held in atomics, so that requests never block on the
//! drain.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use derive::{key, value};
use types::{Cause, Failure};

use crate::{WorkCounter, WorkGuard};

const NOT_STARTED: u64 = u64::MAX;

/// Time limits of a drain.
#[value]
#[derive(Copy)]
pub struct DrainSettings {
    /// How long new work is still accepted after the process reports that it is not ready: the lag
    /// of the platform's load balancer for an entry, 0 for an agent.
    pub settle_ms: u64,
    /// Longest time for the work in progress after new work is refused. It must not be below the
    /// longest deadline that the process accepts; otherwise calls would be cut off.
    pub finish_ms_max: u64,
    /// When the caller of refused work may retry.
    pub retry_after_ms: u32,
}

impl DrainSettings {
    /// For an entry behind a load balancer that notices within 8 s.
    pub const ENTRY: Self = Self {
        settle_ms: 8_000,
        finish_ms_max: 600_000,
        retry_after_ms: 500,
    };

    /// For an agent.
    pub const AGENT: Self = Self {
        settle_ms: 0,
        finish_ms_max: 600_000,
        retry_after_ms: 100,
    };

    /// Longest time from the first notice to the last new work that is accepted.
    pub fn leave_within_ms(&self) -> u64 {
        self.settle_ms
    }
}

/// Phase of a drain.
#[key]
pub enum Phase {
    /// No notice yet; the process is ready.
    Serving,
    /// The process is not ready, but still accepts new work.
    Settling,
    /// New work is refused; the work in progress finishes.
    Finishing,
}

/// What the process does next.
#[key]
pub enum DrainAction {
    /// Wait until this time, or until a piece of work ends; then call [`Drain::next_action`] again.
    WaitUntil {
        /// Time on the process's monotonic clock.
        at_ms: u64,
    },
    /// Continue to serve until the first notice.
    Serve,
    /// Exit now.
    Exit {
        /// Number of pieces of work that did not finish within the longest time.
        cut_off: usize,
    },
}

/// The drain of this process.
#[derive(Debug)]
pub struct Drain {
    settings: DrainSettings,
    work: WorkCounter,
    started_ms: AtomicU64,
    closed: AtomicBool,
}

impl Drain {
    /// Creates the drain of a process that serves.
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            work: WorkCounter::default(),
            started_ms: AtomicU64::new(NOT_STARTED),
            closed: AtomicBool::new(false),
        }
    }

    /// Starts the drain at the first notice: a signal, an operator's order, the VM list or a gossip
    /// message. Returns true for the first notice only; the process then notifies others.
    pub fn start(&self, now_ms: u64) -> bool {
        self.started_ms
            .compare_exchange(NOT_STARTED, now_ms, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    /// The current phase.
    pub fn phase(&self, now_ms: u64) -> Phase {
        let started_ms = self.started_ms.load(Ordering::SeqCst);
        if started_ms == NOT_STARTED {
            return Phase::Serving;
        }
        let settled_ms = started_ms.saturating_add(self.settings.settle_ms);
        if now_ms < settled_ms && !self.closed.load(Ordering::SeqCst) {
            return Phase::Settling;
        }
        Phase::Finishing
    }

    /// Whether the load balancer may send new work.
    pub fn is_ready(&self) -> bool {
        self.started_ms.load(Ordering::SeqCst) == NOT_STARTED
    }

    /// Whether other processes should be notified that this process is leaving.
    pub fn is_leaving(&self) -> bool {
        !self.is_ready()
    }

    /// Accepts new work, or refuses it as not run.
    pub fn admit(&self, now_ms: u64) -> Result<WorkGuard, Failure> {
        // The work is counted before the phase is checked. In the reverse order, a thread that is
        // suspended between the two steps would let `next_action` see a count of 0, and the process
        // would exit during a request that it had already admitted; the caller would see a cut
        // connection.
        let working = self.work.begin();
        self.check(now_ms).map(|()| working)
    }

    /// Like [`Drain::admit`], for work that the caller has already counted with
    /// [`Drain::work_counter`].
    pub fn check(&self, now_ms: u64) -> Result<(), Failure> {
        match self.phase(now_ms) {
            Phase::Serving | Phase::Settling => Ok(()),
            Phase::Finishing => Err(self.refusal()),
        }
    }

    /// The failure for work that arrives too late.
    pub fn refusal(&self) -> Failure {
        Failure::not_run(Cause::Leaving).retry_after(self.settings.retry_after_ms)
    }

    /// Counter of the work in progress, for guards that do not come from [`Drain::admit`].
    pub fn work_counter(&self) -> &WorkCounter {
        &self.work
    }

    /// Returns what to do next. To be called at the time that the last result named, and whenever a
    /// piece of work ends after the first notice.
    pub fn next_action(&self, now_ms: u64) -> DrainAction {
        let started_ms = self.started_ms.load(Ordering::SeqCst);
        let settled_ms = started_ms.saturating_add(self.settings.settle_ms);
        match self.phase(now_ms) {
            Phase::Serving => DrainAction::Serve,
            Phase::Settling => DrainAction::WaitUntil { at_ms: settled_ms },
            Phase::Finishing => self.finish(settled_ms, now_ms),
        }
    }

    /// When the process exits at the latest; `None` before the first notice.
    pub fn last_ms(&self) -> Option<u64> {
        let started_ms = self.started_ms.load(Ordering::SeqCst);
        let settings = &self.settings;
        let drain_ms = settings.settle_ms.saturating_add(settings.finish_ms_max);
        (started_ms != NOT_STARTED).then(|| started_ms.saturating_add(drain_ms))
    }

    fn finish(&self, settled_ms: u64, now_ms: u64) -> DrainAction {
        // A request may be admitted with a time that was read before the process was suspended.
        // Once `closed` is set, `admit` refuses work whatever time the caller passes. The count is
        // read after `closed` is set, so work that was admitted before is counted here.
        self.closed.store(true, Ordering::SeqCst);
        let remaining = self.work.count();
        let last_ms = settled_ms.saturating_add(self.settings.finish_ms_max);
        if remaining == 0 || now_ms >= last_ms {
            return DrainAction::Exit { cut_off: remaining };
        }
        DrainAction::WaitUntil { at_ms: last_ms }
    }
}
