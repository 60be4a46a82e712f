//! Accepts calls from entries and follows each to its final answer.

use std::sync::Arc;
use std::time::Duration;

use config::ServiceKind;
use link::{AnswerSender, IncomingCall};
use node::{ConfigFeed, now_ms};
use protocol::Open;
use telemetry::Label;
use types::{Cause, Failure};

use crate::agent::Agent;
use crate::gate;
use crate::relay::{Relay, send_in_parts};

/// Starts a task that serves one call; never blocks.
pub fn serve_call(agent: &Arc<Agent>, call: IncomingCall) {
    let arrived_ms = now_ms();
    let age_ms = agent.pulse.arrival_age_ms(arrived_ms);
    let agent = Arc::clone(agent);
    tokio::spawn(async move {
        let IncomingCall { open, answer, .. } = call;
        if ConfigFeed::is_text_call(&open) {
            serve_config_text(&agent, &open, &answer).await;
            return;
        }
        let result = run(&agent, &open, &answer, arrived_ms, age_ms).await;
        match result {
            Ok(()) => answer.finish(),
            Err(failure) => answer.fail(failure),
        }
        record_end(&agent, &open, arrived_ms, result);
    });
}

async fn serve_config_text(agent: &Agent, open: &Open, answer: &AnswerSender) {
    match agent.feed.serve_text(open).await {
        Ok((head, text)) => {
            answer.mark_accepted();
            answer.mark_started();
            answer.send_head(head).await;
            send_in_parts(answer, text).await;
            answer.finish();
        }
        Err(failure) => answer.fail(failure),
    }
}

async fn run(
    agent: &Agent,
    open: &Open,
    answer: &AnswerSender,
    arrived_ms: u64,
    age_ms: u64,
) -> Result<(), Failure> {
    // Held until the end of the call, so that a drain waits for it.
    let _working = agent.drain.admit(now_ms())?;
    if agent.drain.work_counter().count() > agent.limits.calls_max {
        return Err(gate::queue_full());
    }
    let life = agent.health.life();
    let hosting = agent.hosting();
    let local = gate::find_service(open, &hosting, &agent.health.snapshot())?;
    answer.mark_accepted();
    let left_ms = gate::time_left_ms(open, now_ms() - arrived_ms, age_ms)?;
    let is_model = local.service.kind == ServiceKind::Model;
    let engine_model = is_model.then_some(local.engine_model.as_str());
    let mut relay = Relay::new(&agent.endpoint, open, answer, engine_model);
    let result = relay_until(agent, &mut relay, answer, life, left_ms).await;
    if let Err(failure) = result {
        clean_up(agent, &relay, open, failure);
    }
    result
}

async fn relay_until(
    agent: &Agent,
    relay: &mut Relay<'_>,
    answer: &AnswerSender,
    life: u32,
    left_ms: u64,
) -> Result<(), Failure> {
    let cause = tokio::select! {
        biased;
        result = relay.run(left_ms) => return result,
        () = answer.cancelled() => Cause::Cancelled,
        // An endpoint whose VM died sends no TCP reset; without the health check its calls
        // would wait for their deadlines.
        () = agent.health.wait_for_other_life(life) => Cause::EndpointLost,
        // A caller that stops reading blocks the answer beyond the deadline of the exchange
        // and would keep a slot at the endpoint occupied.
        () = tokio::time::sleep(Duration::from_millis(left_ms)) => Cause::DeadlinePassed,
    };
    Err(relay.stage().failure(cause))
}

/// Cleans up after a failed call: requests a health check if the endpoint was lost, and cancels a
/// model's call that may still run.
fn clean_up(agent: &Agent, relay: &Relay<'_>, open: &Open, failure: Failure) {
    if failure.cause == Cause::EndpointLost {
        agent.health.request_check();
    }
    let may_run = failure.run != types::RunState::NotRun;
    if may_run && relay.is_model() {
        let engine = agent.engine.clone();
        let name = open.id.to_string();
        tokio::spawn(async move {
            if let Err(error) = engine.cancel(&name).await {
                log::debug!(event = "cancel-lost", call = name.as_str(), reason:% = error; "");
            }
        });
    }
}

fn record_end(agent: &Agent, open: &Open, arrived_ms: u64, result: Result<(), Failure>) {
    let took_ms = now_ms().saturating_sub(arrived_ms);
    let label = Label::of(&open.customer, open.class);
    let (run, cause) = match result {
        Ok(()) => ("whole", ""),
        Err(failure) => (failure.run.as_str(), failure.cause.as_str()),
    };
    agent.metrics.record("call_ms", label, took_ms);
    agent.metrics.count(counter_name(result), label, 1);
    log::info!(
        event = "call-ended", request_id = open.request_id.as_str(), call:% = open.id,
        customer:% = open.customer, service:% = open.service, outcome = run, cause, took_ms; ""
    );
}

fn counter_name(result: Result<(), Failure>) -> &'static str {
    match result.map_err(|failure| failure.run) {
        Ok(()) => "calls_whole_total",
        Err(types::RunState::NotRun) => "calls_not_run_total",
        Err(types::RunState::Unknown) => "calls_unknown_total",
        Err(types::RunState::Failed) => "calls_failed_total",
    }
}
