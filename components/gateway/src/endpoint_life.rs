//! Determines whether an endpoint crashed during a call or only the connection to it failed.
//!
//! A failed connection must not count as a crash: two such failures would quarantine an ordinary
//! call for minutes. An agent checks its endpoint as soon as a call has lost it and gossips the
//! result to the entries, which wait a short time for this update.

use std::time::Duration;

use node::{Gossip, now_ms};
use types::{CustomerName, NodeId, ServiceName};

use crate::gateway::Gateway;
use crate::job::Job;

/// How long a failed call waits for the agent's update, in milliseconds.
const CRASH_REPORT_TIMEOUT_MS: u64 = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The same where no caller waits for the result.
const CANCELLED_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How long a late update still counts as a crash during the call, in milliseconds.
pub const LATE_CRASH_REPORT_TIMEOUT_MS: u64 = 3_000;

/// The life of an endpoint (the number that its agent raises at every restart) at the time when a
/// call is sent.
#[derive(Clone)]
pub struct EndpointLife {
    gossip: Gossip,
    owner: CustomerName,
    service: ServiceName,
    node: NodeId,
    life: Option<u32>,
}

impl EndpointLife {
    /// Returns the life in the current membership snapshot.
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

    /// Waits for an update that shows that the life has ended; false if none arrives in time. An
    /// endpoint that is down is not listed, which counts as ended.
    pub async fn has_ended(&self) -> bool {
        self.wait_for_end(CRASH_REPORT_TIMEOUT_MS, POLL_INTERVAL)
            .await
    }

    /// Same as [`Self::has_ended`], but with the longer timeout that applies after the caller has
    /// received its answer.
    pub async fn has_ended_late(&self) -> bool {
        self.wait_for_end(LATE_CRASH_REPORT_TIMEOUT_MS, POLL_INTERVAL)
            .await
    }

    /// Same as [`Self::has_ended`] for a call whose caller has disconnected. The endpoint may go on
    /// with the call for a while, and its agent notices a crash at the next periodic check.
    pub async fn has_ended_after_cancel(&self) -> bool {
        self.wait_for_end(LATE_CRASH_REPORT_TIMEOUT_MS, CANCELLED_POLL_INTERVAL)
            .await
    }

    async fn wait_for_end(&self, wait_ms: u64, poll_interval: Duration) -> bool {
        let until_ms = now_ms() + wait_ms;
        loop {
            if self.newest() != self.life {
                return true;
            }
            if now_ms() >= until_ms {
                return false;
            }
            tokio::time::sleep(poll_interval).await;
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
