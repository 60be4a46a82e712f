//! Asks replicas for their health after attempts ended there without an answer, and records the
//! crash of those that have ended. `quarantine` decides whom to ask and what an answer means.
//!
//! Without the checks, a crash is noticed only if a connection to the replica happens to be refused
//! soon enough: not where the address of a crashed replica accepts connections, and not where the
//! client left before the crash and no other call goes there.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform::replica::{self, Health};
use quarantine::{CheckOutcome, CheckVerdict, EndpointChecks};
use tokio::sync::Notify;

use crate::clock::now_ms;
use crate::peers::{AddressState, Member, check_address};
use crate::state::{Front, lock};
use crate::suspects::{endpoint_name, is_draining, is_expected_to_run};

/// Timeout for the connection of a check, and again for its answer, in milliseconds. A replica
/// answers once it has a free slot, so a busy one may take longer; nothing follows from that.
const TIMEOUT_MS: u64 = 500;
/// Longest time between two removals of what is known of former replicas, in milliseconds.
const UPKEEP_MS: u64 = 10_000;

/// A replica at which an attempt ended without an answer.
struct CheckRequest {
    member: Member,
    due_ms: u64,
}

/// The checks of this front.
pub struct ReplicaChecks {
    checks: Mutex<EndpointChecks<Arc<str>>>,
    requests: Mutex<Vec<CheckRequest>>,
    /// Notified when there are requests, or when a check is due at another time.
    changed: Notify,
}

impl ReplicaChecks {
    /// No checks. The heartbeats of a running replica are read at intervals of `silence_ms` at most.
    pub fn new(silence_ms: u64) -> Self {
        Self {
            checks: Mutex::new(EndpointChecks::new(silence_ms)),
            requests: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Has a replica checked at `due_ms` if it is to run on.
    pub fn request(&self, member: Member, due_ms: u64) {
        lock(&self.requests).push(CheckRequest { member, due_ms });
        self.changed.notify_one();
    }

    /// Records that a heartbeat of a replica was read.
    pub fn record_heartbeat(&self, endpoint: &Arc<str>, now_ms: u64) {
        lock(&self.checks).record_heard(endpoint, now_ms);
    }

    /// Records that the replicas' records were read up to `now_ms`.
    pub fn record_reading(&self, now_ms: u64) {
        lock(&self.checks).record_reading(now_ms);
    }

    fn next_in(&self, now_ms: u64) -> Duration {
        let due_ms = lock(&self.checks).next_due_ms();
        let due_in_ms = due_ms.map_or(UPKEEP_MS, |due_ms| due_ms.saturating_sub(now_ms));
        Duration::from_millis(due_in_ms.min(UPKEEP_MS))
    }
}

/// Makes the checks until the process ends.
pub async fn run(front: Arc<Front>) {
    let checks = &front.suspects.checks;
    // The replicas of the open checks.
    let mut members: HashMap<Arc<str>, Member> = HashMap::new();
    loop {
        tokio::select! {
            () = checks.changed.notified() => {}
            () = tokio::time::sleep(checks.next_in(now_ms())) => {}
        }
        let requests = std::mem::take(&mut *lock(&checks.requests));
        for CheckRequest { member, due_ms } in requests {
            if is_expected_to_run(&front, &member) {
                let endpoint = endpoint_name(&member.replica);
                lock(&checks.checks).schedule(&endpoint, due_ms);
                members.insert(endpoint, member);
            }
        }
        let now_ms = now_ms();
        let due = lock(&checks.checks).take_due(now_ms, 2 * TIMEOUT_MS);
        for endpoint in due {
            let is_needed = |member: &&Member| {
                !is_draining(&front, member) && front.suspects.has_unanswered_at(&endpoint)
            };
            match members.get(&endpoint).filter(is_needed) {
                Some(member) => {
                    tokio::spawn(check(Arc::clone(&front), member.clone(), endpoint));
                }
                None => lock(&checks.checks).cancel(&endpoint),
            }
        }
        let mut open = lock(&checks.checks);
        open.expire(now_ms);
        members.retain(|endpoint, _| open.contains(endpoint));
    }
}

/// Asks a replica for its health, and records the crash if it has ended.
async fn check(front: Arc<Front>, member: Member, endpoint: Arc<str>) {
    let sent_ms = now_ms();
    let outcome = outcome(&front, &member).await;
    let checks = &front.suspects.checks;
    let now_ms = now_ms();
    let verdict = lock(&checks.checks).record(&endpoint, outcome, sent_ms, now_ms);
    let has_ended = matches!(verdict, CheckVerdict::Ended { .. });
    log::info!(
        event = "replica-checked", replica = &*endpoint, address:% = member.replica.address,
        outcome = outcome.as_str(), has_ended, took_ms = now_ms - sent_ms; ""
    );
    if let CheckVerdict::Ended { by_ms } = verdict {
        front.suspects.record_down(&endpoint, by_ms);
    }
    checks.changed.notify_one();
}

async fn outcome(front: &Front, member: &Member) -> CheckOutcome {
    let routes = front.routes.load();
    let service = routes
        .as_ref()
        .and_then(|routes| routes.services.get(&member.replica.service));
    let Some(path) = service.and_then(|service| service.health_path.as_deref()) else {
        return match check_address(&member.replica).await {
            AddressState::Accepts => CheckOutcome::Answered,
            AddressState::Refuses => CheckOutcome::Refused,
            AddressState::Unreachable => CheckOutcome::Unreachable,
        };
    };
    let within = Duration::from_millis(TIMEOUT_MS);
    match replica::check_health(&member.replica, path, within).await {
        Health::Answers => CheckOutcome::Answered,
        Health::AnotherAnswers => CheckOutcome::OtherEndpoint,
        Health::Refuses => CheckOutcome::Refused,
        Health::Closes => CheckOutcome::Closed,
        Health::Silent => CheckOutcome::Unreachable,
    }
}
