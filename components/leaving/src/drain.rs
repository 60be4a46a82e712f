//! The drain of one process, from the first notice to its exit.
//!
//! An entry stays behind the platform's balancer for a while after it says that it is
//! not ready, and the balancer goes on sending it requests; so it takes new work for
//! `settle_ms` more. An agent is told about by membership, which needs no such time: its
//! `settle_ms` is 0, and it refuses new work as soon as any source says that it leaves.
//! Refused work is "not run", with a time to come back. Work in progress always
//! finishes, up to `finish_ms_max`; only then does the process exit.
//!
//! All methods take `&self` and atomics hold the state, so that the request path asks
//! without waiting for anyone.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use derive::{key, value};
use types::{Cause, Failure};

use crate::{WorkCounter, WorkGuard};

const NOT_STARTED: u64 = u64::MAX;

/// Times of a drain.
#[value]
#[derive(Copy)]
pub struct DrainSettings {
    /// How long new work is still taken after readiness went false, in milliseconds: the
    /// lag of the platform's balancer for an entry, 0 for an agent.
    pub settle_ms: u64,
    /// Longest time for the work in progress after new work is refused, in milliseconds.
    /// Not below the longest deadline that the process accepts, or calls would be cut off.
    pub finish_ms_max: u64,
    /// When a refused caller may come back, in milliseconds.
    pub retry_after_ms: u32,
}

impl DrainSettings {
    /// For an entry behind a balancer that notices within 8 s.
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

    /// Longest time from the first notice to the last new work, in milliseconds.
    pub fn leave_within_ms(&self) -> u64 {
        self.settle_ms
    }
}

/// How far a drain has come.
#[key]
pub enum Phase {
    /// No notice yet; ready.
    Serving,
    /// Not ready, but new work is still taken.
    Settling,
    /// New work is refused; the work in progress finishes.
    Finishing,
}

/// What the process does next.
#[key]
pub enum DrainAction {
    /// Nothing until this time; ask again then, or when a piece of work ends.
    WaitUntil {
        /// On the process's monotonic clock.
        at_ms: u64,
    },
    /// Nothing until the first notice.
    Serve,
    /// Exit now.
    Exit {
        /// Pieces of work that did not finish within the longest time.
        cut_off: usize,
    },
}

/// The drain of this process.
#[derive(Debug)]
pub struct Drain {
    settings: DrainSettings,
    progress: WorkCounter,
    started_ms: AtomicU64,
    closed: AtomicBool,
}

impl Drain {
    /// A process that serves.
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            progress: WorkCounter::default(),
            started_ms: AtomicU64::new(NOT_STARTED),
            closed: AtomicBool::new(false),
        }
    }

    /// Takes the first notice: a signal, an operator's order, the VM list or a rumour.
    /// True for the first one only, which the process then tells others about.
    pub fn start(&self, now_ms: u64) -> bool {
        self.started_ms
            .compare_exchange(NOT_STARTED, now_ms, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    /// How far the drain has come.
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

    /// Whether the balancer may send new work.
    pub fn is_ready(&self) -> bool {
        self.started_ms.load(Ordering::SeqCst) == NOT_STARTED
    }

    /// Whether others should be told that this process is leaving.
    pub fn is_leaving(&self) -> bool {
        !self.is_ready()
    }

    /// Takes new work in, or refuses it as not run.
    pub fn admit(&self, now_ms: u64) -> Result<WorkGuard, Failure> {
        // Counted first, asked after. The other way round, a thread that stops between
        // the two would let `step` see an empty count, and the process would exit under
        // a request that it had already admitted: a cut connection for the caller.
        let working = self.progress.begin();
        match self.phase(now_ms) {
            Phase::Serving | Phase::Settling => Ok(working),
            Phase::Finishing => Err(self.refusal()),
        }
    }

    /// The answer to work that comes too late.
    pub fn refusal(&self) -> Failure {
        Failure::not_run(Cause::Leaving).retry_after(self.settings.retry_after_ms)
    }

    /// Work in progress, for guards that do not come from [`Drain::admit`].
    pub fn work_counter(&self) -> &WorkCounter {
        &self.progress
    }

    /// What to do next. Ask at the time that the last answer named and whenever a piece
    /// of work ends after the notice.
    pub fn next_action(&self, now_ms: u64) -> DrainAction {
        let started_ms = self.started_ms.load(Ordering::SeqCst);
        let settled_ms = started_ms.saturating_add(self.settings.settle_ms);
        match self.phase(now_ms) {
            Phase::Serving => DrainAction::Serve,
            Phase::Settling => DrainAction::WaitUntil { at_ms: settled_ms },
            Phase::Finishing => self.finish(settled_ms, now_ms),
        }
    }

    fn finish(&self, settled_ms: u64, now_ms: u64) -> DrainAction {
        // A request may be admitted with a time that was read before the process was
        // frozen. Once closed, its `admit` refuses whatever time it brings; and the
        // count is read after closing, so an earlier one is seen here.
        self.closed.store(true, Ordering::SeqCst);
        let left = self.progress.count();
        let last_ms = settled_ms.saturating_add(self.settings.finish_ms_max);
        if left == 0 || now_ms >= last_ms {
            return DrainAction::Exit { cut_off: left };
        }
        DrainAction::WaitUntil { at_ms: last_ms }
    }
}
