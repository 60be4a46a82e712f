//! Prevents calls that crash endpoints from crashing more of them.
//!
//! One task owns the record of suspect calls. Every attempt asks it for permission before it is
//! sent, and reports how it ended.

use std::net::SocketAddr;

use node::now_ms;
use quarantine::{
    AttemptId, CallDigest, CondemnedCall, CopyPlacement, DigestStatus, EndpointCrash,
    StartDecision, SuspectSettings, Suspects, Verdict,
};
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Failure};

use crate::endpoint_life::LATE_CRASH_REPORT_TIMEOUT_MS;

/// Interval at which expired records are removed.
const EXPIRE_INTERVAL_MS: u64 = 10_000;

enum Command {
    TryStart(
        CallDigest,
        SocketAddr,
        CopyPlacement,
        oneshot::Sender<StartDecision>,
    ),
    RecordSuccess(AttemptId),
    RecordError(AttemptId),
    RecordEnd(AttemptId),
    RecordDown(SocketAddr),
    RecordCrash(AttemptId, oneshot::Sender<Verdict>),
    RecordPeerVerdict(CallDigest, u32),
    RecordPeerCrash(SocketAddr, EndpointCrash),
    QueryStatus(CallDigest, oneshot::Sender<DigestStatus>),
}

/// Local event that other processes must learn.
pub enum QuarantineEvent {
    /// A call was condemned.
    Condemned(CondemnedCall),
    /// An endpoint crashed with calls of this entry in flight.
    Crashed(EndpointCrash),
}

/// Handle to the owner of the record; clones share one state.
///
/// The command queue needs no bound: an attempt has at most two commands in the queue, and
/// admission limits the attempts. With a bound, the end of a call could be dropped, and the call
/// would count as in flight forever.
#[derive(Clone)]
pub struct Quarantine {
    commands: mpsc::UnboundedSender<Command>,
}

/// Answer to an attempt that asks to start.
pub enum StartPermission {
    /// The attempt may start at the endpoint.
    Start(InFlightAttempt),
    /// The attempt must not start at this endpoint now; another endpoint may accept it.
    OtherEndpoint,
    /// The attempt must not start anywhere now.
    Wait {
        /// Delay before asking again, in milliseconds.
        wait_ms: u32,
    },
    /// The attempt is refused.
    Refused(Failure),
}

/// An attempt that is recorded as in flight. Dropping the value records its end.
pub struct InFlightAttempt {
    id: Option<AttemptId>,
    commands: mpsc::UnboundedSender<Command>,
}

impl Quarantine {
    /// Starts the owner task. Events are sent to `events`.
    pub fn start(events: mpsc::UnboundedSender<QuarantineEvent>) -> Quarantine {
        let (commands, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run_owner(inbox, events));
        Quarantine { commands }
    }

    /// Asks for permission to start an attempt at an endpoint.
    pub async fn try_start(
        &self,
        digest: CallDigest,
        endpoint: SocketAddr,
        copies: CopyPlacement,
    ) -> StartPermission {
        let (answer, answered) = oneshot::channel();
        let internal = StartPermission::Refused(Failure::not_run(Cause::Internal));
        let command = Command::TryStart(digest, endpoint, copies, answer);
        if self.commands.send(command).is_err() {
            return internal;
        }
        match answered.await {
            Ok(StartDecision::Start(id)) => StartPermission::Start(InFlightAttempt {
                id: Some(id),
                commands: self.commands.clone(),
            }),
            Ok(StartDecision::OtherEndpoint) => StartPermission::OtherEndpoint,
            Ok(StartDecision::Wait { wait_ms }) => StartPermission::Wait { wait_ms },
            Ok(StartDecision::Refuse(failure)) => StartPermission::Refused(failure),
            Err(_) => internal,
        }
    }

    /// Returns the final failure if the call is condemned.
    pub async fn refusal(&self, digest: CallDigest) -> Option<Failure> {
        let (answer, answered) = oneshot::channel();
        self.commands
            .send(Command::QueryStatus(digest, answer))
            .ok()?;
        match answered.await.ok()? {
            DigestStatus::Condemned { left_ms } => {
                Some(Failure::not_run(Cause::Quarantined).retry_after(left_ms))
            }
            DigestStatus::Clear | DigestStatus::Suspect { .. } => None,
        }
    }

    /// Records that an endpoint has crashed shortly after attempts there were cancelled.
    pub fn record_down(&self, endpoint: SocketAddr) {
        // The owner ends only with the process.
        let _ = self.commands.send(Command::RecordDown(endpoint));
    }

    /// Records that another process has condemned a call.
    pub fn record_peer_verdict(&self, digest: CallDigest, left_ms: u32) {
        // The owner ends only with the process.
        let _ = self
            .commands
            .send(Command::RecordPeerVerdict(digest, left_ms));
    }

    /// Records that another entry had these calls in flight when an endpoint crashed.
    pub fn record_peer_crash(&self, entry: SocketAddr, crashed: EndpointCrash) {
        // The owner ends only with the process.
        let _ = self.commands.send(Command::RecordPeerCrash(entry, crashed));
    }
}

impl InFlightAttempt {
    /// Records that the complete answer arrived.
    pub fn record_success(mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.commands.send(Command::RecordSuccess(id));
        }
    }

    /// Records that the endpoint answered with an error.
    pub fn record_error(mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.commands.send(Command::RecordError(id));
        }
    }

    /// Records that the endpoint crashed during the attempt. Returns the failure if it is final.
    pub async fn record_crash(mut self) -> Option<Failure> {
        let id = self.id.take()?;
        let (answer, answered) = oneshot::channel();
        self.commands.send(Command::RecordCrash(id, answer)).ok()?;
        match answered.await.ok()? {
            Verdict::Retry => None,
            Verdict::Final(failure) => Some(failure),
        }
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let _ = self.commands.send(Command::RecordEnd(id));
        }
    }
}

async fn run_owner(
    mut inbox: mpsc::UnboundedReceiver<Command>,
    events: mpsc::UnboundedSender<QuarantineEvent>,
) {
    let mut suspects = Suspects::new(SuspectSettings {
        unanswered_retention_ms: LATE_CRASH_REPORT_TIMEOUT_MS,
        ..SuspectSettings::default()
    });
    let mut expire_at_ms = now_ms() + EXPIRE_INTERVAL_MS;
    while let Some(command) = inbox.recv().await {
        let now_ms = now_ms();
        handle(&mut suspects, command, now_ms);
        for condemned in suspects.take_condemned() {
            log::warn!(event = "call-condemned", left_ms = condemned.left_ms; "");
            // The receiver ends only with the process.
            let _ = events.send(QuarantineEvent::Condemned(condemned));
        }
        for crashed in suspects.take_crashes() {
            log::info!(
                event = "endpoint-crashed", agent:% = crashed.endpoint,
                in_flight = crashed.in_flight.len(); ""
            );
            let _ = events.send(QuarantineEvent::Crashed(crashed));
        }
        if now_ms >= expire_at_ms {
            expire_at_ms = now_ms + EXPIRE_INTERVAL_MS;
            suspects.expire(now_ms);
        }
    }
}

fn handle(suspects: &mut Suspects, command: Command, now_ms: u64) {
    match command {
        Command::TryStart(digest, endpoint, copies, answer) => {
            let entry = suspects.try_start(digest, &endpoint, copies, now_ms);
            // The caller was cancelled before the answer arrived, so its attempt never started.
            if let Err(StartDecision::Start(id)) = answer.send(entry) {
                suspects.record_end(id, now_ms);
            }
        }
        Command::RecordSuccess(id) => suspects.record_success(id),
        Command::RecordError(id) => suspects.record_error(id),
        Command::RecordEnd(id) => suspects.record_end(id, now_ms),
        Command::RecordDown(endpoint) => suspects.record_endpoint_down(&endpoint, now_ms, now_ms),
        Command::RecordCrash(id, answer) => {
            let _ = answer.send(suspects.record_crash(id, now_ms));
        }
        Command::QueryStatus(digest, answer) => {
            suspects.condemn_if_sole_cause(digest, now_ms);
            let _ = answer.send(suspects.status(digest, now_ms));
        }
        Command::RecordPeerVerdict(digest, left_ms) => {
            suspects.record_peer_verdict(digest, left_ms, now_ms)
        }
        Command::RecordPeerCrash(entry, crashed) => {
            suspects.record_peer_crash(entry, &crashed, now_ms)
        }
    }
}
