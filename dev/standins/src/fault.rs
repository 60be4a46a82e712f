//! Faults that a stand-in simulates on request.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive::{wire, wire_key};
use tokio::time::Instant;

/// Kind of fault.
#[wire_key]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Answers 503 without processing the request.
    Outage,
    /// Waits `delay_ms` before it processes the request.
    Slow,
    /// Processes the request, then closes the connection without an answer.
    AnswerLost,
    /// Processes the request and answers `delay_ms` later.
    AnswerLate,
    /// Closes the connection without an answer and processes the request `delay_ms` later.
    Late,
    /// Neither processes nor answers the request; the connection stays open.
    Silent,
    /// Closes the connection without processing the request.
    Reset,
    /// Engine: answers a switch with 500 and keeps the serving version.
    SwapFails,
    /// Crashes when a request contains `text`. A service listens again after `delay_ms`, an engine
    /// after the `restart_ms` of its settings.
    CrashOn,
    /// Ends the answer early: a buffered body breaks off before its `content-length`, a stream ends
    /// after `after` chunks as if it were complete.
    Truncate,
    /// Closes the connection within the answer; in a stream, after `after` chunks.
    Cut,
    /// VM list and load reports: answers with the state of `delay_ms` ago.
    Lag,
    /// Weight store: answers `per_s` requests per second and refuses the others with 429.
    StoreRate,
}

/// A fault, the requests that it affects, and how long it stays active.
#[wire]
pub struct Fault {
    /// Decides which of the fields below apply.
    pub kind: FaultKind,
    /// Requests that the fault affects before it ends; `None` for no limit.
    #[serde(default)]
    pub count: Option<u64>,
    /// Time until the fault ends; `None` for no limit.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// Length of the delay, lag or restart.
    #[serde(default)]
    pub delay_ms: u64,
    /// Prefix of the path and query of the affected requests; empty for all requests.
    #[serde(default)]
    pub path: String,
    /// Text in a request that triggers [`FaultKind::CrashOn`].
    #[serde(default)]
    pub text: String,
    /// Whether the address of a crashed service goes on accepting connections, which are closed.
    #[serde(default)]
    pub accepts: bool,
    /// Chunks that a truncated or cut stream sends.
    #[serde(default)]
    pub after: u64,
    /// Answers per second of [`FaultKind::StoreRate`].
    #[serde(default)]
    pub per_s: u64,
}

impl Fault {
    /// A fault that affects all requests until it is cleared.
    pub fn new(kind: FaultKind) -> Fault {
        Fault {
            kind,
            count: None,
            for_ms: None,
            delay_ms: 0,
            path: String::new(),
            text: String::new(),
            accepts: false,
            after: 0,
            per_s: 0,
        }
    }

    /// Ends the fault after `count` affected requests.
    pub fn times(self, count: u64) -> Fault {
        Fault {
            count: Some(count),
            ..self
        }
    }

    /// Limits the fault to requests whose path and query start with `path`.
    pub fn on(self, path: impl Into<String>) -> Fault {
        Fault {
            path: path.into(),
            ..self
        }
    }

    /// Sets the length of the delay, lag or restart.
    pub fn delayed(self, delay_ms: u64) -> Fault {
        Fault { delay_ms, ..self }
    }

    /// Makes the address of a crashed service accept connections and close them.
    pub fn accepting(self) -> Fault {
        Fault {
            accepts: true,
            ..self
        }
    }

    /// Sets the text that triggers [`FaultKind::CrashOn`].
    pub fn with_text(self, text: impl Into<String>) -> Fault {
        Fault {
            text: text.into(),
            ..self
        }
    }
}

struct ActiveFault {
    fault: Fault,
    ends_at: Option<Instant>,
}

impl ActiveFault {
    fn is_active(&self) -> bool {
        let in_time = self.ends_at.is_none_or(|ends_at| Instant::now() < ends_at);
        in_time && self.fault.count != Some(0)
    }
}

/// The active faults of a stand-in.
#[derive(Default)]
pub(crate) struct Faults {
    active: Mutex<Vec<ActiveFault>>,
}

impl Faults {
    /// Activates a fault. An active fault of the same kind and path is replaced.
    pub(crate) fn set(&self, fault: Fault) {
        let ends_at = fault
            .for_ms
            .map(|ms| Instant::now() + Duration::from_millis(ms));
        let mut active = self.lock();
        active.retain(|other| other.fault.kind != fault.kind || other.fault.path != fault.path);
        active.push(ActiveFault { fault, ends_at });
    }

    /// Deactivates all faults.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Returns the active fault of this kind that affects a request to `path`, and counts the
    /// request.
    pub(crate) fn trigger(&self, kind: FaultKind, path: &str) -> Option<Fault> {
        self.trigger_where(kind, |fault| path.starts_with(&fault.path))
    }

    /// Returns the active fault that crashes the stand-in on `text`, and counts the request.
    pub(crate) fn trigger_crash(&self, text: &str) -> Option<Fault> {
        self.trigger_where(FaultKind::CrashOn, |fault| text.contains(&fault.text))
    }

    fn trigger_where(&self, kind: FaultKind, matches: impl Fn(&Fault) -> bool) -> Option<Fault> {
        let mut active = self.lock();
        active.retain(ActiveFault::is_active);
        let found = active
            .iter_mut()
            .find(|other| other.fault.kind == kind && matches(&other.fault))?;
        if let Some(count) = &mut found.fault.count {
            *count -= 1;
        }
        Some(found.fault.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
