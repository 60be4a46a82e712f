//! Keeps calls that crash replicas from crashing more of them.
//!
//! Every attempt of a call asks [`SuspectCalls`] before it is sent, and reports how it ended. When a
//! replica crashes, the calls that this front had there are written to the index. All fronts read the
//! reports, also those that start later, and come to the same verdict about the call that was in
//! flight at each of several crashes. The verdicts are decided in `quarantine`.
//!
//! Items of steps are never suspected: they crash no replicas by themselves, and an item that waits
//! because replicas crashed under it makes its step late. A run that broke off shows a crash to the
//! calls that were in flight at its replica.
//!
//! A replica counts as crashed if it closes a connection without an answer and refuses the next one,
//! if a check after an unanswered call shows that it has ended ([`crate::replica_checks`]), or if its
//! record shows a later start. The loss of a whole machine closes no connection, and makes no call
//! a suspect.
//!
//! Without the store, each front knows only the crashes that it saw itself.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use derive::key;
use dispatch::Replica;
use hyper::{Method, StatusCode};
use index::{INDEX_PARTITION, INDEX_TOPIC, LogRecord};
use platform::replica;
use quarantine::{
    AttemptId, CallDigest, CopyPlacement, CrashReport, DigestBuilder, EndpointNames, KeptReports,
    StartDecision, SuspectSettings, Suspects,
};
use tokio::sync::Notify;

use crate::clock::now_ms;
use crate::metrics;
use crate::peers::{AddressState, Member, check_address, incarnation};
use crate::replica_checks::ReplicaChecks;
use crate::state::{Front, lock};
use crate::writer::{RetriedRecords, append_records, encode_each};

/// Time within which the reports of the other fronts about a crash arrive, in milliseconds: a front
/// whose clients don't wait for records reads the index each half second.
const SETTLE_MS: u64 = 1_000;
/// Longest time until a record of the store is read, in milliseconds.
const READ_LAG_MS: u64 = 1_000;
/// How long an attempt without an answer is remembered, in milliseconds. The crash of its replica
/// becomes known within three heartbeats and the time to read their absence.
const UNANSWERED_RETENTION_MS: u64 = 10_000;
/// A caller that gives up so shortly before the deadline, in milliseconds, has waited for it.
const DEADLINE_MARGIN_MS: u64 = 50;
/// By how much the clocks of a replica's machine and of this one may differ, in milliseconds.
const CLOCK_SKEW_MS: u64 = 500;
/// Retry-After of a suspect whose reports are awaited, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;
/// Longest time between two removals of expired records, in milliseconds.
const UPKEEP_MS_MAX: u64 = 10_000;
/// Part of a long body that is digested without a pause for other tasks, in bytes.
const DIGEST_PIECE_BYTES: usize = 64 * 1024;
/// Number of calls that the log line about a crash names.
const LOGGED_CALLS_MAX: usize = 8;

/// The calls in flight of this front, and what all fronts know of crashes.
pub struct SuspectCalls {
    suspects: Mutex<Suspects<Arc<str>>>,
    /// Reports that stand in the index.
    kept: Mutex<KeptReports>,
    /// Name under which this process reports crashes. Another process of the same node has another
    /// one, so that a front learns from its own reports of before a restart.
    reporter: String,
    /// Notified when there are crashes to report.
    crashed: Notify,
    /// Health checks of replicas that left calls without an answer.
    pub checks: ReplicaChecks,
    /// How long a replica may go on with a call whose caller has left, in milliseconds.
    recent_attempt_ms: u64,
}

/// Answer to an attempt that asks to start.
pub enum StartPermission {
    /// The attempt may start at the replica.
    Start(InFlightAttempt),
    /// Another replica may run the call.
    OtherReplica,
    /// The call may run once another copy of it has ended, as it is a suspect.
    AfterOtherCopy,
    /// No replica may run the call now.
    Refused(SuspectRefusal),
}

/// Why no replica may run a call now.
pub struct SuspectRefusal {
    /// Whether the call is known to crash replicas; otherwise it is suspected.
    pub condemned: bool,
    pub retry_after_ms: u32,
}

impl SuspectRefusal {
    /// Name of the reason in log lines and metrics.
    pub fn reason(&self) -> &'static str {
        match self.condemned {
            true => "crashes-replicas",
            false => "may-crash-replicas",
        }
    }
}

/// How an attempt ended that has neither an answer nor a known crash.
#[key]
enum Unanswered {
    /// Its caller gave it up before the deadline.
    Abandoned,
    /// The replica closed the connection.
    Lost,
    /// The replica stayed silent.
    TimedOut,
}

impl Unanswered {
    /// Name in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Self::Abandoned => "abandoned",
            Self::Lost => "lost",
            Self::TimedOut => "timed-out",
        }
    }
}

/// An attempt that counts as in flight. Dropping it records its end without an answer.
pub struct InFlightAttempt {
    id: Option<AttemptId>,
    calls: Arc<SuspectCalls>,
    digest: CallDigest,
    member: Member,
    /// Name of the replica's incarnation.
    endpoint: Arc<str>,
    began_ms: u64,
    /// When the replica stops work on it, in milliseconds of [`now_ms`].
    deadline_ms: u64,
    /// How it ended, if that is known already.
    unanswered: Option<Unanswered>,
}

impl SuspectCalls {
    /// No known crashes. `node` names this front, and `random` its process. The index keeps its
    /// records for `log_retention_ms`, and replicas write theirs each `heartbeat_ms`.
    pub fn new(node: &str, random: u64, log_retention_ms: u64, heartbeat_ms: u64) -> Self {
        let defaults = SuspectSettings::default();
        let settings = SuspectSettings {
            settle_ms: SETTLE_MS,
            endpoint_names: EndpointNames::Incarnations,
            unanswered_retention_ms: UNANSWERED_RETENTION_MS,
            retry_wait_ms: RETRY_AFTER_MS,
            ..defaults
        };
        Self {
            suspects: Mutex::new(Suspects::new(settings)),
            kept: Mutex::new(KeptReports::new(
                log_retention_ms,
                defaults.suspect_retention_ms,
            )),
            reporter: format!("{node}/{random:016x}"),
            crashed: Notify::new(),
            checks: ReplicaChecks::new(heartbeat_ms + READ_LAG_MS),
            recent_attempt_ms: defaults.recent_attempt_ms,
        }
    }

    /// Answer to a call that no replica may run now; `None` if some replica may. An owed call is
    /// delayed where another one is refused.
    pub fn check(self: &Arc<Self>, digest: CallDigest, is_owed: bool) -> Option<StartPermission> {
        let mut suspects = lock(&self.suspects);
        let decision = match is_owed {
            true => suspects.decide_owed_at_any_endpoint(digest, now_ms()),
            false => suspects.decide_at_any_endpoint(digest, now_ms()),
        };
        log_condemned(&mut suspects);
        Some(self.denial(&suspects, digest, decision?))
    }

    /// Asks for permission to send a call to a replica, which stops work on it at `deadline_ms`.
    /// `is_owed` as for [`Self::check`].
    pub fn try_start(
        self: &Arc<Self>,
        digest: CallDigest,
        member: &Member,
        deadline_ms: u64,
        is_owed: bool,
    ) -> StartPermission {
        let mut suspects = lock(&self.suspects);
        let endpoint = endpoint_name(&member.replica);
        let decision = match is_owed {
            true => suspects.try_start_owed(digest, &endpoint, now_ms()),
            false => suspects.try_start(digest, &endpoint, CopyPlacement::Unlimited, now_ms()),
        };
        log_condemned(&mut suspects);
        match decision {
            StartDecision::Start(id) => StartPermission::Start(self.in_flight_attempt(
                id,
                digest,
                member,
                endpoint,
                deadline_ms,
            )),
            denied => self.denial(&suspects, digest, denied),
        }
    }

    /// Answer to an attempt that may not start.
    fn denial(
        &self,
        suspects: &Suspects<Arc<str>>,
        digest: CallDigest,
        decision: StartDecision,
    ) -> StartPermission {
        match decision {
            StartDecision::Start(_) | StartDecision::OtherEndpoint => StartPermission::OtherReplica,
            StartDecision::Wait { .. } if suspects.is_running(digest) => {
                StartPermission::AfterOtherCopy
            }
            StartDecision::Wait { wait_ms } => StartPermission::Refused(SuspectRefusal {
                condemned: false,
                retry_after_ms: wait_ms,
            }),
            StartDecision::Refuse(failure) => StartPermission::Refused(SuspectRefusal {
                condemned: true,
                retry_after_ms: failure.retry_after_ms.unwrap_or(RETRY_AFTER_MS),
            }),
        }
    }

    fn in_flight_attempt(
        self: &Arc<Self>,
        id: AttemptId,
        digest: CallDigest,
        member: &Member,
        endpoint: Arc<str>,
        deadline_ms: u64,
    ) -> InFlightAttempt {
        InFlightAttempt {
            id: Some(id),
            calls: Arc::clone(self),
            digest,
            member: member.clone(),
            endpoint,
            began_ms: now_ms(),
            deadline_ms,
            unanswered: None,
        }
    }

    /// Records that a heartbeat of a replica was read.
    pub fn record_heartbeat(&self, replica: &Replica, now_ms: u64) {
        let endpoint = endpoint_name(replica);
        self.checks.record_heartbeat(&endpoint, now_ms);
        let written_ms = now_ms.saturating_sub(READ_LAG_MS);
        lock(&self.suspects).record_running(&endpoint, written_ms);
    }

    /// Whether calls ended at a replica without an answer while it is not known whether it crashed.
    pub fn has_unanswered_at(&self, endpoint: &Arc<str>) -> bool {
        lock(&self.suspects).has_unanswered_at(endpoint, now_ms())
    }

    /// Records that a replica that was to run on has ended, at `by_ms` at the latest.
    pub fn record_down(&self, endpoint: &Arc<str>, by_ms: u64) {
        lock(&self.suspects).record_endpoint_down(endpoint, by_ms, now_ms());
        self.crashed.notify_one();
    }

    /// Records that a replica has restarted under its id, at `started_ms`. A draining one was to end.
    pub fn record_restart(&self, former: &Replica, started_ms: u64) {
        if former.draining {
            return;
        }
        let now_ms = now_ms();
        let ended_by_ms = now_ms.min(started_ms.saturating_add(CLOCK_SKEW_MS));
        let endpoint = endpoint_name(former);
        lock(&self.suspects).record_restart(&endpoint, ended_by_ms, now_ms);
        self.crashed.notify_one();
    }

    /// Applies the report of a crash that was read from the index. `utc_ms` is the current time.
    pub fn apply(&self, report: &CrashReport, utc_ms: u64) {
        let mut kept = lock(&self.kept);
        if kept.is_expired(report, utc_ms) {
            return;
        }
        kept.record(report, now_ms(), rand::random());
        drop(kept);
        if report.reporter == self.reporter {
            return;
        }
        log::info!(
            event = "replica-crash-heard", replica = report.endpoint, front = report.reporter,
            calls = names(&report.in_flight), in_flight = report.in_flight.len(); ""
        );
        let reporter = report.reporter.as_str().into();
        lock(&self.suspects).record_peer_crash(reporter, &report.crash(), now_ms());
        // A call of this front at the replica is reported too.
        self.crashed.notify_one();
    }

    /// Time until [`Self::upkeep`] is due.
    fn next_upkeep_in(&self, now_ms: u64) -> Duration {
        let due_ms = lock(&self.kept).next_due_ms();
        let due_in_ms = due_ms.map(|due_ms| due_ms.saturating_sub(now_ms));
        Duration::from_millis(due_in_ms.unwrap_or(UPKEEP_MS_MAX).min(UPKEEP_MS_MAX))
    }

    /// Removes expired records. Returns the reports that have to be written to the index again.
    fn upkeep(&self, now_ms: u64, utc_ms: u64) -> Vec<CrashReport> {
        lock(&self.suspects).expire(now_ms);
        lock(&self.kept).take_due(now_ms, utc_ms, rand::random())
    }

    fn take_reports(&self, utc_ms: u64) -> Vec<CrashReport> {
        let crashes = lock(&self.suspects).take_crashes();
        let report = |crash| CrashReport::new(&self.reporter, crash, utc_ms);
        crashes.into_iter().map(report).collect()
    }
}

impl InFlightAttempt {
    /// Records that the replica ran the call and answered.
    pub fn record_success(mut self) {
        if let Some(id) = self.id.take() {
            lock(&self.calls.suspects).record_success(id);
        }
    }

    /// Records that the replica answered with this status.
    pub fn record_answer(mut self, status: StatusCode) {
        if !status.is_server_error() && !replica::promises_not_run(status) {
            return self.record_success();
        }
        if let Some(id) = self.id.take() {
            lock(&self.calls.suspects).record_error(id);
        }
    }

    /// Records that the replica provably did not run the call.
    pub fn record_not_run(mut self) {
        if let Some(id) = self.id.take() {
            lock(&self.calls.suspects).record_not_run(id);
        }
    }

    /// Records that the replica closed the connection without an answer, and has it checked at once.
    pub fn record_lost(mut self) {
        self.unanswered = Some(Unanswered::Lost);
    }

    /// Records that the replica stayed silent. Nothing shows that it has crashed.
    pub fn record_timeout(mut self) {
        self.unanswered = Some(Unanswered::TimedOut);
    }

    fn end_without_answer(&self, now_ms: u64) -> Unanswered {
        let is_before_deadline = now_ms + DEADLINE_MARGIN_MS < self.deadline_ms;
        self.unanswered.unwrap_or(match is_before_deadline {
            true => Unanswered::Abandoned,
            false => Unanswered::TimedOut,
        })
    }

    /// Records that the replica crashed during the attempt.
    pub fn record_crash(mut self) {
        if let Some(id) = self.id.take() {
            // Whether the call may be retried is decided when the next attempt asks to start.
            lock(&self.calls.suspects).record_crash(id, now_ms());
            self.calls.crashed.notify_one();
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let now_ms = now_ms();
            let end = self.end_without_answer(now_ms);
            log::info!(
                event = "attempt-unanswered", call:% = self.digest, replica = &*self.endpoint,
                after_ms = now_ms - self.began_ms, why = end.as_str(); ""
            );
            let check_ms = match end {
                Unanswered::TimedOut => {
                    lock(&self.calls.suspects).record_timeout(id, now_ms);
                    return;
                }
                Unanswered::Lost => now_ms,
                // The replica may go on with the call for a while.
                Unanswered::Abandoned => now_ms + self.calls.recent_attempt_ms,
            };
            lock(&self.calls.suspects).record_end(id, now_ms);
            self.calls.checks.request(self.member.clone(), check_ms);
        }
    }
}

/// Identifies requests with the same content. The customer is a part of it, so that no customer can
/// cause the requests of another one to be refused. Other tasks go on while a long body is digested.
pub async fn content_digest(
    customer: Option<&str>,
    host: &str,
    method: &Method,
    path: &str,
    body: &[u8],
) -> CallDigest {
    let mut builder = head_digest(customer, host, method, path);
    builder.begin_part(body.len());
    for (number, piece) in body.chunks(DIGEST_PIECE_BYTES).enumerate() {
        if number > 0 {
            tokio::task::yield_now().await;
        }
        builder.update(piece);
    }
    builder.finish()
}

/// Begins a digest with all parts but the body.
fn head_digest(customer: Option<&str>, host: &str, method: &Method, path: &str) -> DigestBuilder {
    let mut builder = DigestBuilder::default();
    for part in [customer.unwrap_or_default(), host, method.as_str(), path] {
        builder.add_part(part.as_bytes());
    }
    builder
}

/// What is known of a replica after it closed a connection without an answer.
#[key]
pub enum LossCheck {
    /// Its process has ended, and was not to end.
    Crashed,
    /// It accepts connections.
    Accepts,
    /// It does not respond.
    Unreachable,
    /// It is draining or no longer listed.
    Leaving,
}

impl LossCheck {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "refuses",
            Self::Accepts => "accepts",
            Self::Unreachable => "unreachable",
            Self::Leaving => "leaving",
        }
    }
}

/// Checks a replica that closed a connection without an answer.
async fn check_after_loss(front: &Front, member: &Member) -> LossCheck {
    if !is_expected_to_run(front, member) {
        return LossCheck::Leaving;
    }
    match check_address(&member.replica).await {
        AddressState::Refuses => LossCheck::Crashed,
        AddressState::Accepts => LossCheck::Accepts,
        AddressState::Unreachable => LossCheck::Unreachable,
    }
}

/// Whether a replica that has closed a connection has crashed. Where a replica states no length, the
/// bytes of its answer don't tell whether the answer is complete.
pub async fn has_crashed(front: &Front, member: &Member) -> bool {
    check_after_loss(front, member).await == LossCheck::Crashed
}

/// Records for an attempt that its replica closed the connection without an answer. Returns whether
/// the replica has crashed.
pub async fn record_loss(front: &Front, member: &Member, attempt: InFlightAttempt) -> LossCheck {
    let check = check_after_loss(front, member).await;
    match check {
        LossCheck::Crashed => attempt.record_crash(),
        _ => attempt.record_lost(),
    }
    check
}

/// Checks a replica at which a run of an item broke off, for the calls that ended there without an
/// answer. Returns whether the replica has crashed.
pub async fn check_after_broken_run(front: &Front, member: &Member) -> LossCheck {
    let check = check_after_loss(front, member).await;
    match check {
        LossCheck::Crashed => {
            let endpoint = endpoint_name(&member.replica);
            front.suspects.record_down(&endpoint, now_ms());
        }
        _ => front.suspects.checks.request(member.clone(), now_ms()),
    }
    check
}

/// Records that a replica refused a connection. Without this, the crash of a replica by a request
/// whose client has disconnected would go unnoticed.
pub fn record_refused_connection(front: &Front, member: &Member) {
    if is_expected_to_run(front, member) {
        let endpoint = endpoint_name(&member.replica);
        front.suspects.record_down(&endpoint, now_ms());
    }
}

/// Whether the end of a replica is not planned: it is listed and not draining.
pub fn is_expected_to_run(front: &Front, member: &Member) -> bool {
    listed_state(front, member) == Some(false)
}

/// Whether a replica's record says that it is about to end.
pub fn is_draining(front: &Front, member: &Member) -> bool {
    listed_state(front, member) == Some(true)
}

/// Whether the listed record of the same incarnation says that it is draining; `None` without one.
fn listed_state(front: &Front, member: &Member) -> Option<bool> {
    let table = front.replicas.load();
    let mut listed = table.of(&member.replica.service).iter();
    let same = |other: &&Member| incarnation(&other.replica) == incarnation(&member.replica);
    Some(listed.find(same)?.replica.draining)
}

/// Writes reports of crashes to the index until the process ends, and writes those again that the
/// index would lose before they expire.
pub async fn write_reports(front: Arc<Front>) {
    loop {
        let upkeep_in = front.suspects.next_upkeep_in(now_ms());
        tokio::select! {
            () = front.suspects.crashed.notified() => {}
            () = tokio::time::sleep(upkeep_in) => {}
        }
        let now_ms = now_ms();
        let utc_ms = front.meter.utc_ms(now_ms);
        let reports = front.suspects.take_reports(utc_ms);
        for report in &reports {
            log::warn!(
                event = "replica-crashed", replica = report.endpoint,
                calls = names(&report.in_flight), in_flight = report.in_flight.len(); ""
            );
            let label = metrics::call_label(false);
            front.metrics.count("front_replica_crashes_total", label, 1);
        }
        let repeated = front.suspects.upkeep(now_ms, utc_ms);
        for report in &repeated {
            log::info!(
                event = "crash-report-repeated", replica = report.endpoint, front = report.reporter; ""
            );
        }
        let all = reports.into_iter().chain(repeated);
        let records: Vec<LogRecord> = all.map(LogRecord::Crash).collect();
        if records.is_empty() {
            continue;
        }
        let what = RetriedRecords::CrashReports;
        let records = encode_each(&front, what, &records);
        append_records(&front, what, INDEX_TOPIC, INDEX_PARTITION, &records).await;
    }
}

/// Name of a replica's incarnation, the same at all fronts.
pub fn endpoint_name(replica: &Replica) -> Arc<str> {
    match replica.started_ms {
        Some(started_unix_ms) => format!("{}@{started_unix_ms}", replica.id).into(),
        None => Arc::clone(&replica.id),
    }
}

fn log_condemned(suspects: &mut Suspects<Arc<str>>) {
    for condemned in suspects.take_condemned() {
        log::warn!(
            event = "call-condemned", call:% = condemned.digest, left_ms = condemned.left_ms; ""
        );
    }
}

/// Names of calls, as [`LOGGED_CALLS_MAX`] of them appear in a log line.
fn names(calls: &[CallDigest]) -> String {
    let names: Vec<String> = calls
        .iter()
        .take(LOGGED_CALLS_MAX)
        .map(CallDigest::to_string)
        .collect();
    names.join(",")
}
