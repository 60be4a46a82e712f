//! Checks of endpoints at which attempts ended without an answer.
//!
//! The end of a connection doesn't tell whether the process behind it has ended: the address of a
//! crashed endpoint may refuse connections, accept and close them, or be answered by the next
//! incarnation, and an overloaded endpoint closes connections too. After an unanswered attempt the
//! endpoint is therefore asked for its health. It has ended if its address refuses connections or
//! another endpoint answers there. It has also ended if it closes each connection without an answer
//! and has not announced itself for so long that an announcement would have been read; an overloaded
//! endpoint goes on announcing itself. An endpoint that doesn't respond at all may be cut off or lost
//! with its machine; nothing is concluded from that.

use std::collections::BTreeMap;

use derive::{key, value};

/// Shortest time from a check without a verdict to the next one of the same endpoint, in milliseconds.
/// A check takes one of its slots, and where many connections are lost each of them would ask.
const INTERVAL_MS_MIN: u64 = 500;
/// Time between the first two requests for an endpoint's health, in milliseconds.
const RETRY_MS: u64 = 200;
/// Longest time between two of them.
const RETRY_MS_MAX: u64 = 400;
/// Number of closed connections in a row after which an endpoint counts as ended.
const CLOSED_MIN: u32 = 2;
/// Longest time between two readings of the announcements, in milliseconds, for which their absence
/// says something about an endpoint.
const READ_GAP_MS_MAX: u64 = 1_500;
/// Time after which the last announcement of an endpoint is forgotten, in milliseconds.
const HEARD_RETENTION_MS: u64 = 60_000;

/// What came of a request for an endpoint's health.
#[key]
pub enum CheckOutcome {
    /// The endpoint answered.
    Answered,
    /// Another endpoint answered.
    OtherEndpoint,
    /// The address refused the connection.
    Refused,
    /// The connection was closed without an answer.
    Closed,
    /// Nothing came within the timeout.
    Unreachable,
}

impl CheckOutcome {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::OtherEndpoint => "other-replica",
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::Unreachable => "unreachable",
        }
    }
}

/// What is known of an endpoint after a check.
#[key]
pub enum CheckVerdict {
    /// The endpoint is asked again.
    Open,
    /// Nothing shows that the endpoint has ended, and it is not asked again.
    Dismissed,
    /// The endpoint has ended.
    Ended {
        /// When it had ended at the latest, in milliseconds of the process's clock.
        by_ms: u64,
    },
}

#[value]
struct Check {
    due_ms: u64,
    /// When the endpoint closed the first of the connections of this check.
    first_closed_ms: Option<u64>,
    /// Number of connections that the endpoint closed.
    closed: u32,
}

/// The open checks of a process, and when it last heard of each endpoint. `E` identifies an
/// incarnation of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointChecks<E> {
    /// Time within which the announcement of a running endpoint is read, in milliseconds.
    silence_ms: u64,
    checks: BTreeMap<E, Check>,
    /// When each endpoint was last heard of.
    heard_ms: BTreeMap<E, u64>,
    /// When the last check of an endpoint ended without a verdict.
    dismissed_ms: BTreeMap<E, u64>,
    /// Since when the announcements have been read without a gap.
    reading_since_ms: u64,
    read_ms: Option<u64>,
}

impl<E: Clone + Ord> EndpointChecks<E> {
    /// No checks. A running endpoint announces itself so that each announcement is read within
    /// `silence_ms` of the last one.
    pub fn new(silence_ms: u64) -> Self {
        Self {
            silence_ms,
            checks: BTreeMap::new(),
            heard_ms: BTreeMap::new(),
            dismissed_ms: BTreeMap::new(),
            reading_since_ms: 0,
            read_ms: None,
        }
    }

    /// Records that the announcements were read up to `now_ms`.
    pub fn record_reading(&mut self, now_ms: u64) {
        let has_gap = self.has_reading_gap(now_ms);
        if has_gap {
            self.reading_since_ms = now_ms;
        }
        self.read_ms = Some(now_ms);
    }

    /// Records that an announcement of an endpoint was read.
    pub fn record_heard(&mut self, endpoint: &E, now_ms: u64) {
        self.heard_ms.insert(endpoint.clone(), now_ms);
    }

    /// Has the endpoint asked for its health at `due_ms`, unless it is asked earlier. It is asked later
    /// if a check of it ended shortly before.
    pub fn schedule(&mut self, endpoint: &E, due_ms: u64) {
        let dismissed_ms = self.dismissed_ms.get(endpoint);
        let due_ms = dismissed_ms.map_or(due_ms, |at_ms| due_ms.max(at_ms + INTERVAL_MS_MIN));
        let check = self.checks.entry(endpoint.clone()).or_insert(Check {
            due_ms,
            first_closed_ms: None,
            closed: 0,
        });
        check.due_ms = check.due_ms.min(due_ms);
    }

    /// Ends the check of an endpoint without a verdict.
    pub fn cancel(&mut self, endpoint: &E) {
        self.checks.remove(endpoint);
    }

    /// Whether a check of the endpoint is open.
    pub fn contains(&self, endpoint: &E) -> bool {
        self.checks.contains_key(endpoint)
    }

    /// When the next endpoint is to be asked.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.checks.values().map(|check| check.due_ms).min()
    }

    /// Endpoints to ask now. Each is due again after `timeout_ms` if no outcome is recorded.
    pub fn take_due(&mut self, now_ms: u64, timeout_ms: u64) -> Vec<E> {
        let due = self.checks.iter_mut();
        let due = due.filter(|(_, check)| check.due_ms <= now_ms);
        due.map(|(endpoint, check)| {
            check.due_ms = now_ms + timeout_ms;
            endpoint.clone()
        })
        .collect()
    }

    /// Records what came of a request that was sent to an endpoint at `sent_ms`.
    pub fn record(
        &mut self,
        endpoint: &E,
        outcome: CheckOutcome,
        sent_ms: u64,
        now_ms: u64,
    ) -> CheckVerdict {
        let silence_ms = self.silence_ms;
        let is_silent = self.is_silent(endpoint, now_ms);
        let Some(check) = self.checks.get_mut(endpoint) else {
            return CheckVerdict::Dismissed;
        };
        let by_ms = check.first_closed_ms.unwrap_or(sent_ms);
        let verdict = match outcome {
            CheckOutcome::Refused | CheckOutcome::OtherEndpoint => CheckVerdict::Ended { by_ms },
            CheckOutcome::Answered | CheckOutcome::Unreachable => CheckVerdict::Dismissed,
            CheckOutcome::Closed => {
                check.first_closed_ms = Some(by_ms);
                check.closed += 1;
                check.due_ms = now_ms + (RETRY_MS * u64::from(check.closed)).min(RETRY_MS_MAX);
                match check.closed >= CLOSED_MIN && is_silent {
                    true => CheckVerdict::Ended { by_ms },
                    false if by_ms + 2 * silence_ms <= now_ms => CheckVerdict::Dismissed,
                    false => CheckVerdict::Open,
                }
            }
        };
        if verdict != CheckVerdict::Open {
            self.checks.remove(endpoint);
        }
        if verdict == CheckVerdict::Dismissed {
            self.dismissed_ms.insert(endpoint.clone(), now_ms);
        }
        verdict
    }

    /// Forgets endpoints that were last heard of long ago; to be called periodically.
    pub fn expire(&mut self, now_ms: u64) {
        self.heard_ms
            .retain(|_, heard_ms| *heard_ms + HEARD_RETENTION_MS > now_ms);
        self.dismissed_ms
            .retain(|_, at_ms| *at_ms + INTERVAL_MS_MIN > now_ms);
    }

    /// Whether an announcement of the endpoint would have been read if it ran.
    fn is_silent(&self, endpoint: &E, now_ms: u64) -> bool {
        let heard_ms = self.heard_ms.get(endpoint).copied().unwrap_or_default();
        let since_ms = heard_ms.max(self.reading_since_ms);
        !self.has_reading_gap(now_ms) && since_ms + self.silence_ms <= now_ms
    }

    fn has_reading_gap(&self, now_ms: u64) -> bool {
        self.read_ms
            .is_none_or(|read_ms| read_ms + READ_GAP_MS_MAX <= now_ms)
    }
}
