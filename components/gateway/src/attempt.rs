//! One attempt of a request at one replica.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use link::{Call, CallEvent};
use node::now_ms;
use protocol::Head;
use routing::{Ask, Choice, NoChoice, Outcome, Table};
use types::{Cause, Failure, NodeId, RunState, WeightVersion};

use crate::gateway::Gateway;
use crate::job::Job;

/// What an attempt may be sent to.
#[derive(Clone, Debug, Default)]
pub struct Where {
    /// Replicas not to be taken, unless there is no other.
    pub exclude: Vec<NodeId>,
    /// Not even then.
    pub only: bool,
    /// Lowest weight version that will do.
    pub at_least: Option<WeightVersion>,
}

/// An attempt in progress. Dropped before its last event, it is cancelled.
pub struct Attempt {
    call: Call,
    /// Taken when the attempt has ended.
    choice: Option<Choice>,
    table: Arc<Table>,
    node: NodeId,
}

impl Attempt {
    /// Chooses a replica and sends the call.
    pub fn start(
        gateway: &Gateway,
        job: &Job,
        body: Bytes,
        place: &Where,
    ) -> Result<Attempt, Failure> {
        let now_ms = now_ms();
        if job.left_ms(now_ms) == 0 {
            return Err(Failure::not_run(Cause::DeadlinePassed));
        }
        let service = &job.service;
        let state = gateway.services.get(&service.owner, &service.name);
        let state = state.ok_or(Failure::not_run(Cause::NoEndpoint))?;
        let table = state.table();
        let choice = choose(gateway, job, &table, place, now_ms)?;
        let node = choice.node;
        let open = job.open(gateway.links.next_id(), body, now_ms);
        log::debug!(
            event = "attempt-started", request_id = job.request_id.as_str(),
            call = open.id.to_string(), agent = node.to_string(); ""
        );
        Ok(Attempt {
            call: gateway.links.call(node.address, open),
            choice: Some(choice),
            table,
            node,
        })
    }

    /// The replica.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Address of the replica's agent.
    pub fn address(&self) -> SocketAddr {
        self.node.address
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> CallEvent {
        let event = self.call.next().await;
        match &event {
            CallEvent::Accepted | CallEvent::Started => {}
            CallEvent::Head(_) | CallEvent::Chunk(_) => {
                if let Some(choice) = &self.choice {
                    choice.outstanding.begun();
                }
            }
            CallEvent::End => self.settle(Outcome::Answered),
            CallEvent::Failed(failure) => self.settle(says(*failure)),
        }
        event
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

    fn settle(&mut self, outcome: Outcome) {
        if let Some(choice) = self.choice.take() {
            choice.finish(&self.table, outcome, now_ms());
        }
    }
}

/// What a failure says about the replica.
fn says(failure: Failure) -> Outcome {
    match failure.cause {
        Cause::LinkLost
        | Cause::EndpointLost
        | Cause::Truncated
        | Cause::EndpointError
        | Cause::Internal => Outcome::Failed,
        Cause::NotHosted | Cause::QueueFull | Cause::Leaving => Outcome::Answered,
        _ => Outcome::Unsaid,
    }
}

/// Chooses a replica that still takes work. Those that failed this request already are
/// passed over unless there is no other.
fn choose(
    gateway: &Gateway,
    job: &Job,
    table: &Table,
    place: &Where,
    now_ms: u64,
) -> Result<Choice, Failure> {
    match choose_but(gateway, job, table, place, &place.exclude, now_ms) {
        Err(NoChoice::Tried) if !place.only && !place.exclude.is_empty() => {
            let again = choose_but(gateway, job, table, place, &[], now_ms);
            again.map_err(Failure::from)
        }
        other => other.map_err(Failure::from),
    }
}

fn choose_but(
    gateway: &Gateway,
    job: &Job,
    table: &Table,
    place: &Where,
    exclude: &[NodeId],
    now_ms: u64,
) -> Result<Choice, NoChoice> {
    let service = &job.service;
    let snapshot = gateway.gossip.snapshot();
    let mut tried = exclude.to_vec();
    loop {
        let ask = Ask {
            work: job.work,
            tried: &tried,
            at_least: place.at_least,
            may_probe: job.idempotent,
            ..Ask::default()
        };
        let choice = routing::choose(table, &ask, rand::random(), now_ms)?;
        // The table is as old as the last tick and the request may have waited. The
        // newest view says whether the replica has begun to leave since.
        if snapshot.takes_work(&service.owner, &service.name, choice.node) {
            return Ok(choice);
        }
        tried.push(choice.node);
    }
}
