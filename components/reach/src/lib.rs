//! Whether a dependency that many tasks call is within reach, and which calls and pauses its
//! return has left behind.
//!
//! The load that this answers: a dependency swallows calls for some seconds and then serves
//! again. Each task finds out by itself, at the end of its own call's time and of its own
//! pause behind that, so the last ones go on some seconds after the first. Here the first call
//! that comes through tells all: a call that was begun before is given a moment and then given
//! up, and pauses end. Decides nothing about what a given up call means: its outcome is
//! unknown, as after any timeout.

mod timeout;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;

pub use timeout::{ReadTimeout, read_timeout};

/// Time that a call from before the return still gets, in milliseconds. A dependency that is
/// slow and not silent answers within 240, as measured; a call that it swallowed never does.
const GRACE_MS: u64 = 300;

/// What an error says of the dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It serves.
    Available,
    /// It is out of reach.
    Unavailable,
    /// Neither: a refusal for a budget of calls comes while others are served, and the next call
    /// that is served is no recovery that leaves calls behind.
    Unknown,
}

/// Reach of one dependency, shared by the tasks that call it.
#[derive(Debug)]
pub struct Reachability {
    lost: AtomicBool,
    returns: watch::Sender<u64>,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            lost: AtomicBool::new(false),
            returns: watch::Sender::new(0),
        }
    }
}

impl Reachability {
    /// Whether the last call that ended says that the dependency is out of reach.
    pub fn is_unreachable(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// How often the dependency has returned.
    pub fn recoveries(&self) -> u64 {
        *self.returns.borrow()
    }

    /// Makes a call; nothing comes back if the dependency returned meanwhile and the call was
    /// left behind. `sign_of` tells what an error says of the dependency.
    pub async fn call<T, E>(
        &self,
        call: impl Future<Output = Result<T, E>>,
        sign_of: impl Fn(&E) -> Availability,
    ) -> Option<Result<T, E>> {
        let outcome = self.call_untracked(call).await?;
        let sign = outcome
            .as_ref()
            .map_or_else(sign_of, |_| Availability::Available);
        match sign {
            Availability::Unavailable => self.lost.store(true, Ordering::Relaxed),
            Availability::Available => self.answered(),
            Availability::Unknown => {}
        }
        Some(outcome)
    }

    /// Makes a call whose outcome says nothing of the others: the dependency may serve one
    /// kind and refuse the rest. Nothing comes back if the call was left behind.
    pub async fn call_untracked<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        let mut returns = self.returns.subscribe();
        tokio::select! {
            biased;
            outcome = call => Some(outcome),
            () = left_behind(&mut returns) => None,
        }
    }

    /// Waits, until the dependency returns at most.
    pub async fn pause(&self, pause: Duration) {
        let mut returns = self.returns.subscribe();
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // The sender lives as long as `self`.
            _ = returns.changed() => {}
        }
    }

    fn answered(&self) {
        if self.lost.swap(false, Ordering::Relaxed) {
            self.returns.send_modify(|returns| *returns += 1);
        }
    }
}

async fn left_behind(returns: &mut watch::Receiver<u64>) {
    // The sender lives as long as the call.
    let _ = returns.changed().await;
    tokio::time::sleep(Duration::from_millis(GRACE_MS)).await;
}
