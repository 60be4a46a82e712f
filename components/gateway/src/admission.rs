//! Admission of a request: the process's drain, the customer's limits, the service's gate.

use std::sync::Arc;

use leaving::Working;
use limits::{InProgress, Permit, Request};
use node::now_ms;
use types::{Cause, Failure};

use crate::accounts::Account;
use crate::gateway::Gateway;
use crate::job::Job;

/// Everything that a request holds while it is in progress; dropped, it gives all back.
#[derive(Debug)]
pub struct Admitted {
    /// The customer's account.
    pub account: Arc<Account>,
    in_progress: InProgress,
    _permit: Option<Permit>,
    _working: Working,
}

impl Admitted {
    /// Gives back the tokens that the request did not use.
    pub fn used(&mut self, tokens: u32) {
        self.in_progress.used(tokens);
    }
}

/// Lets a request in, after a wait where its service is busy, or refuses it.
pub async fn admit(gateway: &Gateway, job: &Job) -> Result<Admitted, Failure> {
    let working = gateway.drain.admit(now_ms())?;
    let account = gateway.accounts.get(&job.payer);
    // The configuration is newer than the last tick; the customer is there with the next.
    let account = account.ok_or(Failure::not_run(Cause::NoEndpoint))?;
    let tokens = job.work.tokens();
    let mut in_progress = account.customer.enter(tokens, now_ms(), rand::random())?;
    let permit = match permit(gateway, job, &account).await {
        Ok(permit) => permit,
        Err(failure) => {
            in_progress.used(0);
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

async fn permit(
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
