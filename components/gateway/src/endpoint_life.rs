//! Whether an endpoint crashed under a call, or only the connection to it broke.
//!
//! A connection that is cut is no crash: taken for one, two of them would have a common
//! consultation refused for minutes. The agent looks at its endpoint as soon as a call has
//! lost it and tells the entries; they wait a moment for that.

use std::time::Duration;

use node::{Gossip, now_ms};
use types::{CustomerName, NodeId, ServiceName};

use crate::gateway::Gateway;
use crate::job::Job;

/// How long the agent's news is waited for, in milliseconds.
const CRASH_REPORT_TIMEOUT_MS: u64 = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long news that is late still counts, in milliseconds.
const LATE_CRASH_REPORT_TIMEOUT_MS: u64 = 3_000;

/// The life of an endpoint at the hand-over of a call.
#[derive(Clone)]
pub struct EndpointLife {
    gossip: Gossip,
    owner: CustomerName,
    service: ServiceName,
    node: NodeId,
    life: Option<u32>,
}

impl EndpointLife {
    /// The life known now.
    pub fn current(gateway: &Gateway, job: &Job, node: NodeId) -> Self {
        let mut life = Self {
            gossip: gateway.gossip.clone(),
            owner: job.service.owner.clone(),
            service: job.service.name.clone(),
            node,
            life: None,
        };
        life.life = life.newest();
        life
    }

    /// Waits for news that the life is over; false when none comes. An endpoint that is
    /// down is not listed.
    pub async fn has_ended(&self) -> bool {
        self.wait_for_end(CRASH_REPORT_TIMEOUT_MS).await
    }

    /// The same for news that comes after the caller has his answer.
    pub async fn has_ended_late(&self) -> bool {
        self.wait_for_end(LATE_CRASH_REPORT_TIMEOUT_MS).await
    }

    async fn wait_for_end(&self, wait_ms: u64) -> bool {
        let until_ms = now_ms() + wait_ms;
        loop {
            if self.newest() != self.life {
                return true;
            }
            if now_ms() >= until_ms {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn newest(&self) -> Option<u32> {
        let snapshot = self.gossip.snapshot();
        let replicas = snapshot.replicas_with_leaving(&self.owner, &self.service);
        let mut replicas = replicas.iter();
        let replica = replicas.find(|replica| replica.node == self.node)?;
        Some(replica.endpoint_life)
    }
}
