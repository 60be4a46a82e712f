//! A stream of requests: one customer sends one kind of request at a given mean rate.

use std::sync::Arc;
use std::time::Duration;

use derive::value;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};
use types::Class;

use super::balancer::Balancer;
use super::tally::{Event, Label};
use crate::arrivals::{Arrivals, Bursts};
use crate::caller::OutgoingRequest;
use crate::reply::{Ending, Reply};
use crate::requests::{self, CompletionCall, ServiceCall};
use crate::site::CallKind;

/// Bound on the requests of one stream in progress; requests beyond it count as not offered.
const IN_PROGRESS_MAX: usize = 4_000;
/// Most attempts for a call with an idempotency key, including the first.
const ATTEMPTS_MAX: u32 = 4;
/// Delay before a retry if the answer has no `retry-after`.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time beyond the deadline for which the end of a stream waits for its last requests.
const DRAIN_GRACE: Duration = Duration::from_secs(5);

/// Kind of requests that a stream sends.
#[value]
pub enum RequestKind {
    /// Calls of a plain service.
    Call(CallKind),
    /// Streamed completions.
    Completion {
        /// Beginning of the prompts; the name of the request follows.
        prompt: &'static str,
        /// Upper bound of a completion's length in tokens.
        max_tokens: u32,
    },
}

/// Definition of a stream of requests.
#[value]
pub struct Stream {
    /// Customer that sends the requests.
    pub customer: String,
    /// Class that the configuration assigns to the requests.
    pub class: Class,
    /// Bearer token of the customer's callers.
    pub token: String,
    /// Name of the service, as `owner.service` if another customer owns it.
    pub service: String,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Mean number of requests in 1,000 seconds.
    pub rate_per_ks: u64,
    /// Deadline that the callers state for each request.
    pub deadline_ms: u64,
}

impl Stream {
    /// Group in which the tables list the stream's requests.
    pub fn label(&self) -> Label {
        Label {
            customer: self.customer.clone(),
            class: self.class,
            kind: match &self.kind {
                RequestKind::Call(kind) => kind.title,
                RequestKind::Completion { .. } => "completion",
            },
        }
    }

    fn request(&self, name: &str) -> OutgoingRequest {
        let deadline = Duration::from_millis(self.deadline_ms);
        match &self.kind {
            RequestKind::Call(kind) => {
                let call = ServiceCall {
                    service: &self.service,
                    token: &self.token,
                    kind,
                    name,
                };
                requests::service_request(&call, deadline)
            }
            RequestKind::Completion { prompt, max_tokens } => {
                let call = CompletionCall {
                    model: &self.service,
                    token: &self.token,
                    prompt: &format!("{prompt} {name}"),
                    max_tokens: *max_tokens,
                    stream: true,
                };
                requests::completion_request(&call, deadline)
            }
        }
    }

    fn is_at_most_once(&self) -> bool {
        matches!(&self.kind, RequestKind::Call(kind) if kind.at_most_once)
    }
}

/// Parameters of a stream's run within a slice.
pub struct StreamRun {
    /// Distributes the requests over the entries.
    pub balancer: Arc<Balancer>,
    /// Bursts of the arrivals.
    pub bursts: Bursts,
    /// Time at the start whose requests are not counted.
    pub warm_up: Duration,
    /// Time in which requests are sent, including the warm-up.
    pub duration: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Prefix of the names of the calls, unique among all runs.
    pub prefix: String,
    /// Receives the outcome of each request.
    pub events: UnboundedSender<Event>,
}

/// Sends the stream's requests when they are due and waits for the last answers.
pub async fn run_stream(stream: Stream, run: StreamRun) {
    let stream = Arc::new(stream);
    let label = Arc::new(stream.label());
    let started = Instant::now();
    let per_s = stream.rate_per_ks as f64 / 1_000.0;
    let arrivals = Arrivals::new(per_s, run.bursts, run.seed);
    let warm_up = run.warm_up;
    let mut in_progress = JoinSet::new();
    for (number, at) in arrivals.take_while(|at| *at < run.duration).enumerate() {
        sleep_until(started + at).await;
        while in_progress.try_join_next().is_some() {}
        if in_progress.len() >= IN_PROGRESS_MAX {
            let _ = run.events.send(Event::NotOffered(label.clone()));
            continue;
        }
        let name = format!("{}-{number}", run.prefix);
        let (stream, label) = (stream.clone(), label.clone());
        let (balancer, events) = (run.balancer.clone(), run.events.clone());
        in_progress.spawn(async move {
            let (reply, attempts) = send_with_retries(&stream, &balancer, &name).await;
            if at < warm_up {
                return;
            }
            let _ = events.send(Event::Ended {
                label,
                // Measured from the moment when the request was due: otherwise a load generator
                // that lags behind would hide part of the latency.
                latency: (started + at).elapsed(),
                within_deadline: (started + at).elapsed()
                    <= Duration::from_millis(stream.deadline_ms),
                tag: stream.is_at_most_once().then_some(name),
                attempts,
                reply,
            });
        });
    }
    let _ = timeout(
        DRAIN_GRACE + Duration::from_millis(stream.deadline_ms),
        async { while in_progress.join_next().await.is_some() {} },
    )
    .await;
}

/// Sends one request. A call with an idempotency key is retried within its deadline while it is
/// unknown whether it ran, as callers of the service may do.
async fn send_with_retries(stream: &Stream, balancer: &Balancer, name: &str) -> (Reply, u32) {
    let started = Instant::now();
    let mut attempts = 1;
    loop {
        let reply = balancer.send(stream.request(name)).await;
        let is_unknown = matches!(reply.ending, Ending::Unknown | Ending::Lost);
        let wait = reply.retry_after_s.map_or(RETRY_DELAY, Duration::from_secs);
        let within_deadline =
            (started.elapsed() + wait).as_millis() < u128::from(stream.deadline_ms);
        if !stream.is_at_most_once() || !is_unknown || !within_deadline || attempts == ATTEMPTS_MAX
        {
            return (reply, attempts);
        }
        tokio::time::sleep(wait).await;
        attempts += 1;
    }
}
