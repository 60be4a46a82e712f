//! Keeps calls that crash endpoints from crashing more of them. One task owns the record;
//! every attempt asks it before its hand-over and tells it how it ended.

use std::net::SocketAddr;

use node::now_ms;
use quarantine::{
    AttemptId, CallDigest, CondemnedCall, CopyPlacement, DigestStatus, EndpointCrash,
    StartDecision, SuspectSettings, Suspects, Verdict,
};
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Failure};

/// Time between two looks for records whose time is over.
const EXPIRE_EVERY_MS: u64 = 10_000;

enum Order {
    Enter(
        CallDigest,
        SocketAddr,
        CopyPlacement,
        oneshot::Sender<StartDecision>,
    ),
    Complete(AttemptId),
    Leave(AttemptId),
    Lost(AttemptId, oneshot::Sender<Verdict>),
    Heard(CallDigest, u32),
    HeardCrash(SocketAddr, EndpointCrash),
    Standing(CallDigest, oneshot::Sender<DigestStatus>),
}

/// What came up here and the other processes are to know.
pub enum Found {
    /// A call is condemned.
    Condemned(CondemnedCall),
    /// An endpoint crashed.
    Crashed(EndpointCrash),
}

/// Handle to the record; clones share one state.
///
/// The queue has no bound of its own: an attempt has at most two orders in it, and
/// admission bounds the attempts. A bound would lose the end of a call, which would then
/// count as in flight for ever.
#[derive(Clone)]
pub struct Quarantine {
    orders: mpsc::UnboundedSender<Order>,
}

/// What an attempt is told.
pub enum Entered {
    /// It may go.
    Run(InFlight),
    /// Not to this endpoint now.
    Elsewhere,
    /// To none now; ask again.
    Wait {
        /// When, in milliseconds from now.
        wait_ms: u32,
    },
    /// It is refused.
    Refused(Failure),
}

/// An attempt that the record knows as in flight; dropped, it is known to have ended.
pub struct InFlight {
    run: Option<AttemptId>,
    orders: mpsc::UnboundedSender<Order>,
}

impl Quarantine {
    /// Starts the owner. What it finds goes into `found`.
    pub fn start(found: mpsc::UnboundedSender<Found>) -> Quarantine {
        let (orders, inbox) = mpsc::unbounded_channel();
        tokio::spawn(own(inbox, found));
        Quarantine { orders }
    }

    /// Asks for an endpoint.
    pub async fn enter(
        &self,
        digest: CallDigest,
        endpoint: SocketAddr,
        copies: CopyPlacement,
    ) -> Entered {
        let (answer, answered) = oneshot::channel();
        let internal = Entered::Refused(Failure::not_run(Cause::Internal));
        let order = Order::Enter(digest, endpoint, copies, answer);
        if self.orders.send(order).is_err() {
            return internal;
        }
        match answered.await {
            Ok(StartDecision::Start(run)) => Entered::Run(InFlight {
                run: Some(run),
                orders: self.orders.clone(),
            }),
            Ok(StartDecision::OtherEndpoint) => Entered::Elsewhere,
            Ok(StartDecision::Wait { wait_ms }) => Entered::Wait { wait_ms },
            Ok(StartDecision::Refuse(failure)) => Entered::Refused(failure),
            Err(_) => internal,
        }
    }

    /// The final answer to a call that is condemned, where no endpoint is to be had for it.
    pub async fn refusal(&self, digest: CallDigest) -> Option<Failure> {
        let (answer, answered) = oneshot::channel();
        self.orders.send(Order::Standing(digest, answer)).ok()?;
        match answered.await.ok()? {
            DigestStatus::Condemned { left_ms } => {
                Some(Failure::not_run(Cause::Quarantined).retry_after(left_ms))
            }
            DigestStatus::Clear | DigestStatus::Suspect { .. } => None,
        }
    }

    /// Another process has condemned this.
    pub fn heard(&self, digest: CallDigest, left_ms: u32) {
        // The owner is gone only when the process ends.
        let _ = self.orders.send(Order::Heard(digest, left_ms));
    }

    /// Another entry had these calls in flight at a crash.
    pub fn heard_crash(&self, entry: SocketAddr, crashed: EndpointCrash) {
        // The owner is gone only when the process ends.
        let _ = self.orders.send(Order::HeardCrash(entry, crashed));
    }
}

impl InFlight {
    /// The whole answer came.
    pub fn complete(mut self) {
        if let Some(run) = self.run.take() {
            let _ = self.orders.send(Order::Complete(run));
        }
    }

    /// The endpoint crashed under it; gives the final answer, if that is one.
    pub async fn lost(mut self) -> Option<Failure> {
        let run = self.run.take()?;
        let (answer, answered) = oneshot::channel();
        self.orders.send(Order::Lost(run, answer)).ok()?;
        match answered.await.ok()? {
            Verdict::Retry => None,
            Verdict::Final(failure) => Some(failure),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            let _ = self.orders.send(Order::Leave(run));
        }
    }
}

async fn own(mut inbox: mpsc::UnboundedReceiver<Order>, found: mpsc::UnboundedSender<Found>) {
    let mut suspects = Suspects::new(SuspectSettings::default());
    let mut expire_at_ms = now_ms() + EXPIRE_EVERY_MS;
    while let Some(order) = inbox.recv().await {
        let now_ms = now_ms();
        take(&mut suspects, order, now_ms);
        for told in suspects.take_condemned() {
            log::warn!(event = "call-condemned", left_ms = told.left_ms; "");
            // The reader is gone only when the process ends.
            let _ = found.send(Found::Condemned(told));
        }
        for crashed in suspects.take_crashes() {
            log::info!(
                event = "endpoint-crashed", agent:% = crashed.endpoint,
                in_flight = crashed.in_flight.len(); ""
            );
            let _ = found.send(Found::Crashed(crashed));
        }
        if now_ms >= expire_at_ms {
            expire_at_ms = now_ms + EXPIRE_EVERY_MS;
            suspects.expire(now_ms);
        }
    }
}

fn take(suspects: &mut Suspects, order: Order, now_ms: u64) {
    match order {
        Order::Enter(digest, endpoint, copies, answer) => {
            let entry = suspects.try_start(digest, endpoint, copies, now_ms);
            // The one who asked may have gone; then its run never began.
            if let Err(StartDecision::Start(run)) = answer.send(entry) {
                suspects.record_end(run, now_ms);
            }
        }
        Order::Complete(run) => suspects.record_success(run),
        Order::Leave(run) => suspects.record_end(run, now_ms),
        Order::Lost(run, answer) => {
            let _ = answer.send(suspects.record_crash(run, now_ms));
        }
        Order::Standing(digest, answer) => {
            suspects.condemn_if_sole_cause(digest, now_ms);
            let _ = answer.send(suspects.status(digest, now_ms));
        }
        Order::Heard(digest, left_ms) => suspects.record_peer_verdict(digest, left_ms, now_ms),
        Order::HeardCrash(entry, crashed) => suspects.record_peer_crash(entry, &crashed, now_ms),
    }
}
