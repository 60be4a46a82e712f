//! Hedged requests: sends a second copy of a call when the first one is slow.
//!
//! A replica that has become slow keeps its calls until load balancing avoids it. Until then its
//! calls are late, and a late answer loses the bid. Only interactive, idempotent calls of plain
//! services are hedged: a hedged completion would make an engine generate the text twice. Hedges
//! are paid from the customer's retry budget, so that a service that becomes slow as a whole does
//! not receive twice the load.

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

/// How long the losing copy continues before it is cancelled.
const LOSER_CANCEL_DELAY: Duration = Duration::from_millis(1_000);

type HeadResult = Result<(Head, Attempt), Failure>;

async fn wait_for_head(mut attempt: Attempt) -> HeadResult {
    let head = attempt.head().await?;
    Ok((head, attempt))
}

impl RetriedCall {
    /// Waits for the head of the answer to `first` and sends a hedge if it is slow. The copy that
    /// answers first is used.
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
            // Not recorded: the wait before the hedge would raise the threshold for the next one.
            Either::Right(first) => self.send_hedge(first, body).await,
        }
    }

    /// Returns the service's state if this call may be hedged.
    fn hedgeable_state(&self) -> Option<Arc<ServiceState>> {
        let job = &self.job;
        let service = &job.service;
        let may = job.idempotent && job.class == Class::Interactive;
        let may = may && service.kind == ServiceKind::Plain;
        may.then(|| self.gateway.services.get(&service.owner, &service.name))?
    }

    /// Returns the first copy's answer, or the first copy itself when a hedge is due.
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

    /// Sends the second copy to another replica and returns the first answer of the two.
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
            // No other replica accepts the call. The first copy is still in progress.
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

/// Returns the answer of the copy that finished first, or that of the other copy if the first one
/// failed. The losing copy is cancelled with a delay: if it were cancelled at once, its replica
/// would look idle to load balancing and would receive the next call too.
async fn first_success(answered: HeadResult, other: BoxFuture<'static, HeadResult>) -> HeadResult {
    let Err(failure) = answered else {
        tokio::spawn(tokio::time::timeout(LOSER_CANCEL_DELAY, other));
        return answered;
    };
    let outcome = other.await;
    // The result must state that the call may have run if that holds for either copy.
    outcome.map_err(|last| Failure {
        run: last.run.max(failure.run),
        ..last
    })
}
