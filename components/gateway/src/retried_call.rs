//! A request over as many attempts as `recovery` allows: the only place of the process
//! where a call is sent again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use limits::retry_after_ms;
use node::now_ms;
use protocol::Head;
use recovery::{Delivered, FailedAttempt, Resume, RetryDecision, RetrySettings, decide_retry};
use types::{Cause, Failure, NodeId, RunState};

use crate::accounts::Account;
use crate::attempt::{Attempt, ReplicaConstraints};
use crate::gateway::Gateway;
use crate::job::Job;

/// When a request that found no endpoint may come back, before the spread.
const RETRY_AFTER_BASE_MS: u64 = 500;

/// A request and its attempts so far.
pub struct RetriedCall {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) account: Arc<Account>,
    /// The request.
    pub job: Job,
    pub(crate) constraints: ReplicaConstraints,
    pub(crate) endpoints: Vec<SocketAddr>,
    pub(crate) nodes: Vec<NodeId>,
    /// Whether any attempt so far ran, the worst of them.
    worst_run_state: RunState,
}

impl RetriedCall {
    /// A request that was not sent yet.
    pub fn new(
        gateway: Arc<Gateway>,
        account: Arc<Account>,
        job: Job,
        constraints: ReplicaConstraints,
    ) -> Self {
        account.retry_budget.record_first_attempt();
        Self {
            gateway,
            account,
            job,
            constraints,
            endpoints: Vec::new(),
            nodes: Vec::new(),
            worst_run_state: RunState::NotRun,
        }
    }

    /// Sends an attempt with this body.
    async fn start_attempt(&mut self, body: Bytes) -> Result<Attempt, Failure> {
        let started = Attempt::start(&self.gateway, &self.job, body, &self.constraints).await;
        let attempt = started.map_err(|failure| self.final_failure(failure))?;
        self.endpoints.push(attempt.address());
        self.nodes.push(attempt.node());
        Ok(attempt)
    }

    /// Decides on a failed attempt; waits out the pause before the next one.
    pub async fn retry(
        &mut self,
        failure: Failure,
        delivered: Delivered,
    ) -> Result<Resume, Failure> {
        let now_ms = now_ms();
        self.worst_run_state = self.worst_run_state.max(failure.run);
        let failed_attempt = FailedAttempt {
            failure,
            idempotent: self.job.idempotent,
            delivered,
            endpoints: &self.endpoints,
            deadline_left_ms: self.job.left_ms(now_ms),
        };
        let budget = || self.account.retry_budget.try_spend(now_ms);
        let settings = RetrySettings::default();
        let decision = decide_retry(&settings, &failed_attempt, rand::random(), budget);
        self.log_failed(failure, &decision);
        match decision {
            RetryDecision::Final(failure) => Err(self.final_failure(failure)),
            RetryDecision::Retry {
                after_ms, resume, ..
            } => {
                self.constraints.exclude.clone_from(&self.nodes);
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                Ok(resume)
            }
        }
    }

    /// Sends attempts until one answers with a head, or the request has failed for good.
    pub async fn send(&mut self, body: &Bytes) -> Result<(Head, Attempt), Failure> {
        loop {
            let attempt = self.start_attempt(body.clone()).await?;
            match self.head_with_hedge(attempt, body).await {
                Ok(answered) => return Ok(answered),
                Err(failure) => {
                    self.retry(failure, Delivered::Nothing).await?;
                }
            }
        }
    }

    /// The answer to the caller. An attempt that was refused says nothing of the one
    /// before it, which may have run; the caller would send a request that ran again,
    /// believing that it did not.
    fn final_failure(&self, failure: Failure) -> Failure {
        let run = failure.run.max(self.worst_run_state);
        with_retry_after(Failure { run, ..failure })
    }

    fn log_failed(&self, failure: Failure, decision: &RetryDecision) {
        log::info!(
            event = "attempt-failed", request_id = self.job.request_id.as_str(),
            attempt = self.endpoints.len(), outcome = failure.run.as_str(),
            cause = failure.cause.as_str(),
            again = matches!(decision, RetryDecision::Retry { .. }); ""
        );
    }
}

/// A refusal that says nothing of when to come back gets a time, spread by chance, where
/// coming back may help.
pub fn with_retry_after(failure: Failure) -> Failure {
    let helps = matches!(
        failure.cause,
        Cause::NoEndpoint
            | Cause::NotHosted
            | Cause::Leaving
            | Cause::LinkLost
            | Cause::QueueFull
            | Cause::BudgetSpent
    );
    if failure.run != RunState::NotRun || failure.retry_after_ms.is_some() || !helps {
        return failure;
    }
    failure.retry_after(retry_after_ms(RETRY_AFTER_BASE_MS, rand::random()))
}
