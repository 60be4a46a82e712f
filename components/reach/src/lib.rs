//! Tracks whether a dependency that many tasks call is reachable, and ends calls and pauses that
//! its recovery has made pointless.
//!
//! The failure that this handles: a dependency does not answer for some seconds and then serves
//! again. If each task noticed this by itself, at the end of its own timeout and of its own pause
//! after that, the last tasks would continue seconds after the first. Here the first successful
//! call notifies all tasks: pauses end, and calls that began before the recovery are abandoned
//! after a grace period. The outcome of an abandoned call is unknown, as after any timeout; how to
//! handle this is up to the caller.

mod timeout;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::watch;

pub use timeout::{ReadTimeout, read_timeout};

/// Time that a call from before the recovery still has. A dependency that is slow but alive answers
/// within 240 ms; a call that it has lost is never answered.
const GRACE_MS: u64 = 300;

/// What an error shows about the dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The dependency serves calls.
    Available,
    /// The dependency is unreachable.
    Unavailable,
    /// The error shows neither. A refusal for exceeding a budget of calls arrives while other calls
    /// are served, so the next successful call is not a recovery after which earlier calls are
    /// abandoned.
    Unknown,
}

/// Reachability of one dependency, shared by the tasks that call it.
#[derive(Debug)]
pub struct Reachability {
    unreachable: AtomicBool,
    recoveries: watch::Sender<u64>,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            unreachable: AtomicBool::new(false),
            recoveries: watch::Sender::new(0),
        }
    }
}

impl Reachability {
    /// Whether the last call that gave evidence found the dependency unreachable.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.load(Ordering::Relaxed)
    }

    /// Number of times that the dependency has become reachable again.
    pub fn recoveries(&self) -> u64 {
        *self.recoveries.borrow()
    }

    /// Makes a call. Returns `None` if the dependency has recovered since the call began and the
    /// call was abandoned. `availability_of` says what an error shows about the dependency.
    pub async fn call<T, E>(
        &self,
        call: impl Future<Output = Result<T, E>>,
        availability_of: impl Fn(&E) -> Availability,
    ) -> Option<Result<T, E>> {
        let outcome = self.call_untracked(call).await?;
        let availability = outcome
            .as_ref()
            .map_or_else(availability_of, |_| Availability::Available);
        match availability {
            Availability::Unavailable => self.unreachable.store(true, Ordering::Relaxed),
            Availability::Available => self.record_answer(),
            Availability::Unknown => {}
        }
        Some(outcome)
    }

    /// Makes a call whose outcome does not update the reachability, because the dependency may
    /// serve this kind of call and refuse others. Returns `None` if the call was abandoned after a
    /// recovery.
    pub async fn call_untracked<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        let mut recoveries = self.recoveries.subscribe();
        tokio::select! {
            biased;
            outcome = call => Some(outcome),
            () = recovery_grace_expired(&mut recoveries) => None,
        }
    }

    /// Waits for `pause`, or until the dependency recovers.
    pub async fn pause(&self, pause: Duration) {
        let mut recoveries = self.recoveries.subscribe();
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // The sender lives as long as `self`, so `changed` cannot fail.
            _ = recoveries.changed() => {}
        }
    }

    fn record_answer(&self) {
        if self.unreachable.swap(false, Ordering::Relaxed) {
            self.recoveries.send_modify(|recoveries| *recoveries += 1);
        }
    }
}

async fn recovery_grace_expired(recoveries: &mut watch::Receiver<u64>) {
    // The sender lives as long as the call, so `changed` cannot fail.
    let _ = recoveries.changed().await;
    tokio::time::sleep(Duration::from_millis(GRACE_MS)).await;
}
