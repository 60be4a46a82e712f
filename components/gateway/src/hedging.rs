//! The head of an answer, from a second copy of the call where the first is slow.
//!
//! A replica that has become slow keeps its calls until load moves away from it; the ones
//! it has are late meanwhile, and a late answer loses the bid. Only interactive calls of
//! plain services that may run twice get a second copy: one of a completion would have
//! an engine generate twice. It is paid from the customer's retries, so a whole service
//! that slows down is not sent twice the load.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use config::ServiceKind;
use futures_util::future::{BoxFuture, Either, FutureExt, select};
use node::now_ms;
use protocol::Head;
use routing::hedge::{HedgeCandidate, HedgeDecision, decide_hedge};
use telemetry::Label;
use types::{Class, Failure};

use crate::attempt::{Attempt, ReplicaConstraints};
use crate::retried_call::RetriedCall;
use crate::services::ServiceState;

/// How long the copy that lost goes on before it is cancelled.
const LOSER_CANCEL_DELAY: Duration = Duration::from_millis(1_000);

type HeadResult = Result<(Head, Attempt), Failure>;

async fn wait_for_head(mut attempt: Attempt) -> HeadResult {
    let head = attempt.head().await?;
    Ok((head, attempt))
}

impl RetriedCall {
    /// Waits for the head of the answer to `first`. The copy that answers first wins.
    pub(crate) async fn head_with_hedge(&mut self, first: Attempt, body: &Bytes) -> HeadResult {
        let Some(state) = self.hedgeable_state() else {
            return wait_for_head(first).await;
        };
        let sent_at_ms = now_ms();
        let first = wait_for_head(first).boxed();
        match self.wait_until_hedge_due(first, &state, sent_at_ms).await {
            Either::Left(answered) => {
                let now_ms = now_ms();
                if answered.is_ok() {
                    state.latencies.record(now_ms - sent_at_ms, now_ms);
                }
                answered
            }
            // Not counted: the wait before the second copy would make the next one longer.
            Either::Right(first) => self.send_hedge(first, body).await,
        }
    }

    /// The service's state, if this request may have two copies out.
    fn hedgeable_state(&self) -> Option<Arc<ServiceState>> {
        let job = &self.job;
        let service = &job.service;
        let may = job.idempotent && job.class == Class::Interactive;
        let may = may && service.kind == ServiceKind::Plain;
        may.then(|| self.gateway.services.get(&service.owner, &service.name))?
    }

    /// The first copy's answer, or the copy when it is time for a second one.
    async fn wait_until_hedge_due(
        &self,
        mut first: BoxFuture<'static, HeadResult>,
        state: &ServiceState,
        sent_at_ms: u64,
    ) -> Either<HeadResult, BoxFuture<'static, HeadResult>> {
        let settings = &self.gateway.hedging;
        loop {
            let now_ms = now_ms();
            let slow = HedgeCandidate {
                sent_at_ms,
                deadline_ms: self.job.deadline_at_ms,
                may_run_twice: true,
            };
            let spend = || self.account.retry_budget.try_spend(now_ms);
            match decide_hedge(slow, &state.latencies, settings, now_ms, spend) {
                HedgeDecision::Never => return Either::Left(first.await),
                HedgeDecision::Send => return Either::Right(first),
                HedgeDecision::RecheckAt(at_ms) => {
                    let wait = Duration::from_millis(at_ms - now_ms);
                    if let Ok(answered) = tokio::time::timeout(wait, &mut first).await {
                        return Either::Left(answered);
                    }
                }
            }
        }
    }

    /// Sends the second copy to another replica; the first answer of the two.
    async fn send_hedge(
        &mut self,
        first: BoxFuture<'static, HeadResult>,
        body: &Bytes,
    ) -> HeadResult {
        let constraints = ReplicaConstraints {
            exclude: self.nodes.clone(),
            strict: true,
            ..self.constraints.clone()
        };
        let start = Attempt::start(&self.gateway, &self.job, body.clone(), &constraints);
        let (second, first) = match select(first, start.boxed()).await {
            Either::Left((answered, _)) => return answered,
            Either::Right((Ok(second), first)) => (second, first),
            // No other replica takes it; the first copy is still out.
            Either::Right((Err(_), first)) => return first.await,
        };
        self.endpoints.push(second.address());
        self.nodes.push(second.node());
        let label = Label::of(&self.job.payer, self.job.class);
        self.gateway.metrics.count("hedges_total", label, 1);
        match select(first, wait_for_head(second).boxed()).await {
            Either::Left((answered, other)) | Either::Right((answered, other)) => {
                first_success(answered, other).await
            }
        }
    }
}

/// One copy's answer, or the other's where that one failed. The copy that lost is given
/// up a little later: cancelled at once, its replica would look idle to the choice, which
/// would send it the next call too.
async fn first_success(answered: HeadResult, other: BoxFuture<'static, HeadResult>) -> HeadResult {
    let Err(failure) = answered else {
        tokio::spawn(tokio::time::timeout(LOSER_CANCEL_DELAY, other));
        return answered;
    };
    let outcome = other.await;
    // Neither failure hides that the other copy may have run.
    outcome.map_err(|last| Failure {
        run: last.run.max(failure.run),
        ..last
    })
}
