//! Admits requests: checks the drain state of the process, the customer's limits and the
//! service's gate.

use std::sync::Arc;
use std::time::Duration;

use leaving::WorkGuard;
use limits::{InProgress, Permit, Request};
use node::now_ms;
use types::{Cause, Failure};

use crate::accounts::Account;
use crate::gateway::Gateway;
use crate::job::Job;

/// Resources that a request holds while it is in progress. Dropping the value releases them.
#[derive(Debug)]
pub struct Admitted {
    pub account: Arc<Account>,
    in_progress: InProgress,
    _permit: Option<Permit>,
    _working: WorkGuard,
}

impl Admitted {
    /// Returns the tokens to the customer's limit that the request reserved and did not use.
    pub fn refund_unused(&mut self, tokens: u32) {
        self.in_progress.refund_unused(tokens);
    }
}

/// Admits a request or refuses it; waits for a slot if the service is busy.
pub async fn admit(gateway: &Gateway, job: &Job) -> Result<Admitted, Failure> {
    let working = gateway.drain.admit(now_ms())?;
    let account = find_account(gateway, job)?;
    let tokens = job.work.tokens();
    let in_progress = account
        .customer
        .admit(job.class, tokens, now_ms(), rand::random())?;
    enter_gate(gateway, job, account, in_progress, working).await
}

/// Admits a request like [`admit`], but waits in arrival order until the customer's limits
/// permit it. Used for the runs of training steps: a refused run would be retried, and every
/// retry would compete with the customer's other calls and could be refused again.
pub async fn admit_in_turn(gateway: &Gateway, job: &Job) -> Result<Admitted, Failure> {
    let account = find_account(gateway, job)?;
    let left = Duration::from_millis(job.left_ms(now_ms()));
    let turn = account
        .customer
        .admit_in_turn(job.class, job.work.tokens(), now_ms);
    let entered = tokio::time::timeout(left, turn).await;
    let in_progress = entered.map_err(|_| Failure::not_run(Cause::DeadlinePassed))?;
    let working = gateway.drain.admit(now_ms())?;
    enter_gate(gateway, job, account, in_progress, working).await
}

fn find_account(gateway: &Gateway, job: &Job) -> Result<Arc<Account>, Failure> {
    let account = gateway.accounts.get(&job.payer);
    // The configuration changed after the last refresh. The next refresh adds the account.
    account.ok_or(Failure::not_run(Cause::NoEndpoint))
}

async fn enter_gate(
    gateway: &Gateway,
    job: &Job,
    account: Arc<Account>,
    mut in_progress: InProgress,
    working: WorkGuard,
) -> Result<Admitted, Failure> {
    let permit = match acquire_permit(gateway, job, &account).await {
        Ok(permit) => permit,
        Err(failure) => {
            in_progress.refund_unused(0);
            return Err(failure);
        }
    };
    Ok(Admitted {
        account,
        in_progress,
        _permit: permit,
        _working: working,
    })
}

async fn acquire_permit(
    gateway: &Gateway,
    job: &Job,
    account: &Account,
) -> Result<Option<Permit>, Failure> {
    let service = &job.service;
    let Some(state) = gateway.services.get(&service.owner, &service.name) else {
        return Ok(None);
    };
    let request = Request {
        customer: job.payer.clone(),
        weight: account.weight(),
        class: job.class,
        cost: job.work.tokens().max(1),
        deadline_ms: job.deadline_at_ms,
    };
    let permit = state.gate.admit(request, rand::random()).await?;
    Ok(Some(permit))
}
