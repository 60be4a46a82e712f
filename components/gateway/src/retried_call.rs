//! A call with the attempts that `recovery` allows. This is the only place in the process where a
//! call is sent again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
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

/// Base of the randomised delay that a refusal without a delay of its own gets, in milliseconds.
const RETRY_AFTER_BASE_MS: u64 = 500;

/// A call and its attempts so far.
pub struct RetriedCall {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) account: Arc<Account>,
    pub job: Job,
    pub(crate) constraints: ReplicaConstraints,
    pub(crate) endpoints: Vec<SocketAddr>,
    pub(crate) nodes: Vec<NodeId>,
    /// Worst run state of the attempts so far: whether any of them ran or may have run.
    worst_run_state: RunState,
}

impl RetriedCall {
    /// Creates a call that was not sent yet.
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

    /// Starts an attempt with this body.
    async fn start_attempt(&mut self, body: Bytes) -> Result<Attempt, Failure> {
        let started = Attempt::start(&self.gateway, &self.job, body, &self.constraints).await;
        let attempt = started.map_err(|failure| self.final_failure(failure))?;
        self.endpoints.push(attempt.address());
        self.nodes.push(attempt.node());
        Ok(attempt)
    }

    /// Decides whether to retry after a failed attempt and waits for the backoff delay. Errors when
    /// the failure is final.
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
            lost_endpoints: self.job.lost_endpoints.load(Ordering::Relaxed),
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

    /// Sends attempts until one returns a response head or the call has finally failed.
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

    /// Returns the failure for the caller with the worst run state of all attempts. A refusal of
    /// the last attempt says nothing about earlier ones, which may have run; the caller would
    /// otherwise repeat a call that ran.
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

/// Adds a randomised retry delay to a refusal without one, if a retry may succeed.
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
