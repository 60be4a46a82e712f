//! Faults that a stand-in shows on demand.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive::{wire, wire_key};
use tokio::time::Instant;

/// What goes wrong.
#[wire_key]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Answers 503 and does nothing.
    Outage,
    /// Waits `delay_ms` before it begins.
    Slow,
    /// Does what was asked, then closes the connection without an answer.
    AnswerLost,
    /// Closes the connection without an answer and does what was asked `delay_ms` later.
    Late,
    /// Does nothing and never answers; the connection stays open.
    Silent,
    /// Engine: answers a switch with 500 and stays on its version.
    SwapFails,
    /// Dies when the request contains `text`; starts again after `delay_ms`.
    CrashOn,
    /// Ends the answer early: a whole one is cut before its stated length, a stream
    /// ends as if it were over, after `after` chunks.
    Truncate,
    /// Closes the connection inside the answer, in a stream after `after` chunks.
    Cut,
    /// VM list and load reports: what they say is `delay_ms` old.
    Lag,
    /// Weight store: gives `per_s` answers a second.
    StoreRate,
}

/// One fault and how long it lasts.
#[wire]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Requests that it hits, if limited.
    #[serde(default)]
    pub count: Option<u64>,
    /// How long it lasts, if limited.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// Length of a delay, lag or restart.
    #[serde(default)]
    pub delay_ms: u64,
    /// Only requests whose path, with the query if there is one, begins so.
    #[serde(default)]
    pub path: String,
    /// Text that crashes.
    #[serde(default)]
    pub text: String,
    /// Chunks of a stream before it ends.
    #[serde(default)]
    pub after: u64,
    /// Answers a second.
    #[serde(default)]
    pub per_s: u64,
}

impl Fault {
    /// A fault without limits.
    pub fn new(kind: FaultKind) -> Fault {
        Fault {
            kind,
            count: None,
            for_ms: None,
            delay_ms: 0,
            path: String::new(),
            text: String::new(),
            after: 0,
            per_s: 0,
        }
    }

    /// The same fault, for this many requests.
    pub fn times(self, count: u64) -> Fault {
        Fault {
            count: Some(count),
            ..self
        }
    }

    /// The same fault, for requests whose path begins so.
    pub fn on(self, path: impl Into<String>) -> Fault {
        Fault {
            path: path.into(),
            ..self
        }
    }

    /// The same fault with a delay, lag or restart of this length.
    pub fn delayed(self, delay_ms: u64) -> Fault {
        Fault { delay_ms, ..self }
    }

    /// The same fault on requests with this text.
    pub fn with_text(self, text: impl Into<String>) -> Fault {
        Fault {
            text: text.into(),
            ..self
        }
    }
}

struct Active {
    fault: Fault,
    until: Option<Instant>,
}

impl Active {
    fn lasts(&self) -> bool {
        let in_time = self.until.is_none_or(|until| Instant::now() < until);
        in_time && self.fault.count != Some(0)
    }
}

/// The faults of one stand-in.
#[derive(Default)]
pub(crate) struct Faults {
    active: Mutex<Vec<Active>>,
}

impl Faults {
    /// Switches a fault on; a new one of a kind and path takes the old one's place.
    pub(crate) fn set(&self, fault: Fault) {
        let until = fault
            .for_ms
            .map(|ms| Instant::now() + Duration::from_millis(ms));
        let mut active = self.lock();
        active.retain(|other| other.fault.kind != fault.kind || other.fault.path != fault.path);
        active.push(Active { fault, until });
    }

    /// Switches all faults off.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// The fault of this kind that hits a request to `path`; counts the hit.
    pub(crate) fn hit(&self, kind: FaultKind, path: &str) -> Option<Fault> {
        self.hit_where(kind, |fault| path.starts_with(&fault.path))
    }

    /// The crash that a request with this text sets off; counts the hit.
    pub(crate) fn crash_on(&self, text: &str) -> Option<Fault> {
        self.hit_where(FaultKind::CrashOn, |fault| text.contains(&fault.text))
    }

    fn hit_where(&self, kind: FaultKind, hits: impl Fn(&Fault) -> bool) -> Option<Fault> {
        let mut active = self.lock();
        active.retain(Active::lasts);
        let found = active
            .iter_mut()
            .find(|other| other.fault.kind == kind && hits(&other.fault))?;
        if let Some(count) = &mut found.fault.count {
            *count -= 1;
        }
        Some(found.fault.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Active>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
