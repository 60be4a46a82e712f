//! Records a log line, a counter and latencies for each request.

use std::sync::Arc;

use node::now_ms;
use telemetry::{Label, Metrics};
use types::{Class, CustomerName, Failure};

use crate::job::Job;

/// Records the end of a request exactly once. Dropping the value before an end was recorded
/// records a cancellation by the caller.
pub struct Trace {
    metrics: Metrics,
    request_id: String,
    customer: CustomerName,
    service: Arc<config::Service>,
    class: Class,
    started_ms: u64,
    first_byte_ms: Option<u64>,
    ended: bool,
}

impl Trace {
    /// Starts recording a request that began at `started_ms`.
    pub fn new(metrics: Metrics, job: &Job, started_ms: u64) -> Self {
        Self {
            metrics,
            request_id: job.request_id.clone(),
            customer: job.payer.clone(),
            service: Arc::clone(&job.service),
            class: job.class,
            started_ms,
            first_byte_ms: None,
            ended: false,
        }
    }

    /// Ends this trace without recording; another trace records the rest of the request.
    pub fn transfer(mut self) {
        self.ended = true;
    }

    /// Records the time until the first byte of the answer.
    pub fn record_first_byte(&mut self) {
        if self.first_byte_ms.is_some() {
            return;
        }
        let took_ms = now_ms().saturating_sub(self.started_ms);
        self.first_byte_ms = Some(took_ms);
        let label = Label::of(&self.customer, self.class);
        self.metrics.record("request_first_byte_ms", label, took_ms);
    }

    /// Records that the answer is complete.
    pub fn record_answer(&mut self, status: u16) {
        self.finish("answered", "", Some(status));
    }

    /// Records that the recorded answer of an earlier submission was replayed.
    pub fn record_replay(&mut self) {
        self.finish("answered", "replayed", None);
    }

    /// Records that there is no complete answer.
    pub fn record_failure(&mut self, failure: Failure) {
        self.finish(failure.run.as_str(), failure.cause.as_str(), None);
    }

    fn finish(&mut self, outcome: &'static str, cause: &'static str, status: Option<u16>) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let took_ms = now_ms().saturating_sub(self.started_ms);
        let label = Label::of(&self.customer, self.class);
        self.metrics.record("request_ms", label, took_ms);
        self.metrics.count(counter(outcome), label, 1);
        log::info!(
            event = "request-ended", request_id = self.request_id.as_str(),
            customer = self.customer.as_str(), owner = self.service.owner.as_str(),
            service = self.service.name.as_str(), class = self.class.as_str(),
            outcome, cause, status = status.unwrap_or(0),
            first_byte_ms = self.first_byte_ms.unwrap_or(took_ms), took_ms; ""
        );
    }
}

fn counter(outcome: &str) -> &'static str {
    match outcome {
        "answered" => "requests_answered_total",
        "not-run" => "requests_not_run_total",
        "unknown" => "requests_unknown_total",
        "cancelled" => "requests_cancelled_total",
        _ => "requests_failed_total",
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.finish("cancelled", "cancelled", None);
    }
}
