//! One attempt of a call at one replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use link::{Call, CallEvent};
use node::now_ms;
use protocol::Head;
use quarantine::CopyPlacement;
use routing::{Choice, ChoiceError, Outcome, Requirements, Table};
use tokio::runtime::Handle;
use types::{Cause, Class, Failure, NodeId, RunState, WeightVersion};

use crate::endpoint_life::EndpointLife;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::suspects::{InFlightAttempt, Quarantine, StartPermission};

/// Delay before the next choice when all remaining replicas are isolating a suspect call, in
/// milliseconds.
const ISOLATION_RETRY_MS: u64 = 100;
/// Lowest status of the errors that an endpoint may answer with before it runs a call.
const SERVER_ERROR_MIN: u16 = 500;

/// Constraints on the replica of an attempt.
#[derive(Clone, Debug, Default)]
pub struct ReplicaConstraints {
    /// Replicas to avoid, for example those where an earlier attempt failed.
    pub exclude: Vec<NodeId>,
    /// If true, excluded replicas are not chosen even if no other replica is available.
    pub strict: bool,
    /// Minimum weight version of the replica; `None` accepts any version.
    pub min_version: Option<WeightVersion>,
}

/// An attempt in progress. Dropping it before its last event cancels the call.
pub struct Attempt {
    call: Call,
    /// Status of the answer; `None` before its head has arrived.
    status: Option<u16>,
    /// `None` once the attempt has ended.
    reservation: Option<Reservation>,
    table: Arc<Table>,
    node: NodeId,
    life: EndpointLife,
    quarantine: Quarantine,
    /// [`Job::lost_endpoints`].
    lost_endpoints: Arc<AtomicU32>,
}

/// Resources of an attempt in progress.
struct Reservation {
    choice: Choice,
    in_flight: InFlightAttempt,
}

impl Attempt {
    /// Chooses a replica and sends the call to it.
    pub async fn start(
        gateway: &Gateway,
        job: &Job,
        body: Bytes,
        constraints: &ReplicaConstraints,
    ) -> Result<Attempt, Failure> {
        let (table, reservation) = reserve_replica(gateway, job, constraints).await?;
        let node = reservation.choice.node;
        let life = EndpointLife::current(gateway, job, node);
        let links = gateway.links_for(job.idempotent);
        let open = job.open(links.next_id(), body, now_ms());
        log::debug!(
            event = "attempt-started", request_id = job.request_id.as_str(),
            call = open.id.to_string(), agent = node.to_string(); ""
        );
        Ok(Attempt {
            call: links.call(node.address, open),
            status: None,
            reservation: Some(reservation),
            table,
            node,
            life,
            quarantine: gateway.quarantine.clone(),
            lost_endpoints: Arc::clone(&job.lost_endpoints),
        })
    }

    /// Returns the chosen replica.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Returns the address of the replica's agent.
    pub fn address(&self) -> SocketAddr {
        self.node.address
    }

    /// Waits for the next event of the call.
    pub async fn next(&mut self) -> CallEvent {
        let event = self.call.next().await;
        match event {
            CallEvent::Accepted | CallEvent::Started => {}
            CallEvent::Head(_) | CallEvent::Chunk(_) => {
                if let CallEvent::Head(head) = &event {
                    self.status = Some(head.status);
                }
                if let Some(reservation) = &self.reservation {
                    reservation.choice.outstanding.record_answer_start();
                }
            }
            CallEvent::End => {
                let is_error = self.status.is_some_and(|status| status >= SERVER_ERROR_MIN);
                match self.finish(Outcome::Answered) {
                    Some(in_flight) if is_error => in_flight.record_error(),
                    Some(in_flight) => in_flight.record_success(),
                    None => {}
                }
            }
            CallEvent::Failed(failure) => {
                return CallEvent::Failed(self.handle_failure(failure).await);
            }
        }
        event
    }

    async fn handle_failure(&mut self, failure: Failure) -> Failure {
        let in_flight = self.finish(replica_outcome(failure));
        let is_lost = failure.cause == Cause::EndpointLost;
        if is_lost && failure.run == RunState::NotRun {
            // The agent knows that its endpoint is down.
            self.lost_endpoints.fetch_add(1, Ordering::Relaxed);
            return failure;
        }
        let Some(in_flight) = in_flight.filter(|_| is_lost) else {
            return failure;
        };
        if self.life.has_ended().await {
            self.lost_endpoints.fetch_add(1, Ordering::Relaxed);
            return in_flight.record_crash().await.unwrap_or(failure);
        }
        // The crash report may arrive after the wait above. An ignored crash would let a call that
        // crashes endpoints exceed the limit on such crashes.
        let life = self.life.clone();
        tokio::spawn(async move {
            if life.has_ended_late().await {
                in_flight.record_crash().await;
            }
        });
        failure
    }

    /// Waits for the status and headers of the answer.
    pub async fn head(&mut self) -> Result<Head, Failure> {
        loop {
            match self.next().await {
                CallEvent::Accepted | CallEvent::Started => {}
                CallEvent::Head(head) => return Ok(head),
                CallEvent::Failed(failure) => return Err(failure),
                CallEvent::Chunk(_) | CallEvent::End => {
                    return Err(Failure::new(RunState::Failed, Cause::EndpointError));
                }
            }
        }
    }

    fn finish(&mut self, outcome: Outcome) -> Option<InFlightAttempt> {
        let reservation = self.reservation.take()?;
        reservation.choice.finish(&self.table, outcome, now_ms());
        Some(reservation.in_flight)
    }
}

impl Drop for Attempt {
    /// A cancelled call may still crash its endpoint. Without the report of such a crash, a caller
    /// that disconnects each time could crash one endpoint after the other.
    fn drop(&mut self) {
        let is_cancelled = self.reservation.take().is_some() && self.status.is_none();
        let Some(runtime) = Handle::try_current().ok().filter(|_| is_cancelled) else {
            return;
        };
        let life = self.life.clone();
        let quarantine = self.quarantine.clone();
        let address = self.node.address;
        runtime.spawn(async move {
            if life.has_ended_after_cancel().await {
                quarantine.record_down(address);
            }
        });
    }
}

/// Classifies a failure for the replica's statistics.
fn replica_outcome(failure: Failure) -> Outcome {
    match failure.cause {
        Cause::LinkLost
        | Cause::EndpointLost
        | Cause::Truncated
        | Cause::EndpointError
        | Cause::Internal => Outcome::Failed,
        Cause::NotHosted | Cause::QueueFull | Cause::Leaving => Outcome::Answered,
        _ => Outcome::Inconclusive,
    }
}

/// Chooses a replica and registers the call as in flight at its endpoint.
async fn reserve_replica(
    gateway: &Gateway,
    job: &Job,
    constraints: &ReplicaConstraints,
) -> Result<(Arc<Table>, Reservation), Failure> {
    let service = &job.service;
    let state = gateway.services.get(&service.owner, &service.name);
    let state = state.ok_or(Failure::not_run(Cause::NoEndpoint))?;
    let mut isolating: Vec<NodeId> = Vec::new();
    loop {
        let now_ms = now_ms();
        if job.left_ms(now_ms) == 0 {
            return Err(Failure::not_run(Cause::DeadlinePassed));
        }
        let table = state.table();
        let choice = match choose(gateway, job, &table, constraints, &isolating, now_ms) {
            // All other replicas are running a suspect call alone. Such runs end soon.
            Err(_) if !isolating.is_empty() && !constraints.strict => {
                isolating.clear();
                pause(job, ISOLATION_RETRY_MS).await;
                continue;
            }
            // A condemned call gets a final refusal here. With a retriable error the caller would
            // repeat it until it crashes the next replica.
            Err(failure) => {
                let refusal = gateway.quarantine.refusal(job.digest).await;
                return Err(refusal.unwrap_or(failure));
            }
            Ok(choice) => choice,
        };
        let node = choice.node;
        let permission =
            gateway
                .quarantine
                .try_start(job.digest, node.address, copy_placement(job));
        match permission.await {
            StartPermission::Start(in_flight) if accepts_work(gateway, job, node) => {
                return Ok((table, Reservation { choice, in_flight }));
            }
            StartPermission::Start(_) => {}
            StartPermission::OtherEndpoint => isolating.push(node),
            StartPermission::Wait { wait_ms } => pause(job, u64::from(wait_ms)).await,
            StartPermission::Refused(failure) => return Err(failure),
        }
    }
}

/// Samples of a group are copies of the same call and must be able to run on several replicas.
fn copy_placement(job: &Job) -> CopyPlacement {
    match job.class {
        Class::Sampling => CopyPlacement::Unlimited,
        _ => CopyPlacement::Limited,
    }
}

async fn pause(job: &Job, wait_ms: u64) {
    let wait_ms = wait_ms.min(job.left_ms(now_ms()));
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}

/// Returns whether the replica accepts work according to the newest membership snapshot. The
/// routing table is only as recent as the last refresh, and the request may have waited since
/// the replica was chosen.
fn accepts_work(gateway: &Gateway, job: &Job, node: NodeId) -> bool {
    let service = &job.service;
    let snapshot = gateway.gossip.snapshot();
    snapshot.accepts_work(&service.owner, &service.name, node)
}

/// Chooses a replica that accepts work and is not in `isolating`. Replicas in
/// `constraints.exclude` are chosen only if there is no other, and never in strict mode.
fn choose(
    gateway: &Gateway,
    job: &Job,
    table: &Table,
    constraints: &ReplicaConstraints,
    isolating: &[NodeId],
    now_ms: u64,
) -> Result<Choice, Failure> {
    let excluded = [&constraints.exclude, isolating].concat();
    let choice = match choose_excluding(gateway, job, table, constraints, excluded, now_ms) {
        Err(ChoiceError::Tried) if !constraints.strict && !constraints.exclude.is_empty() => {
            choose_excluding(gateway, job, table, constraints, isolating.to_vec(), now_ms)
        }
        choice => choice,
    };
    choice.map_err(Failure::from)
}

fn choose_excluding(
    gateway: &Gateway,
    job: &Job,
    table: &Table,
    constraints: &ReplicaConstraints,
    mut tried: Vec<NodeId>,
    now_ms: u64,
) -> Result<Choice, ChoiceError> {
    loop {
        let requirements = Requirements {
            work: job.work,
            tried: &tried,
            min_version: constraints.min_version,
            may_probe: job.idempotent,
            ..Requirements::default()
        };
        let choice = routing::choose_replica(table, &requirements, rand::random(), now_ms)?;
        if accepts_work(gateway, job, choice.node) {
            return Ok(choice);
        }
        tried.push(choice.node);
    }
}
