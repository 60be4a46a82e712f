//! One stream of requests: a customer, a kind of call, a rate.

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
use crate::ask::{self, Opinion, Plain};
use crate::caller::Ask;
use crate::reply::{Ending, Reply};
use crate::site::Act;

/// Requests of one stream that are under way at most; the rest is counted as not offered.
const UNDER_WAY_MAX: usize = 4_000;
/// Times that a caller sends a call with an idempotency key.
const SENT_MAX: u32 = 4;
const PAUSE: Duration = Duration::from_millis(300);
/// How long after the end of a slice its requests may take.
const GRACE: Duration = Duration::from_secs(5);

/// What a stream asks for.
#[value]
pub enum What {
    /// Calls of a plain service.
    Act(Act),
    /// Streamed completions of at most so many tokens.
    Completion {
        /// Beginning of the prompts.
        prompt: &'static str,
        /// Longest answer.
        max_tokens: u32,
    },
}

/// A stream of requests.
#[value]
pub struct Stream {
    /// Customer that asks.
    pub customer: String,
    /// Class that its requests have.
    pub class: Class,
    /// Bearer token.
    pub token: String,
    /// The service, with its owner where that is another customer.
    pub service: String,
    /// What it asks for.
    pub what: What,
    /// Mean requests in a thousand seconds.
    pub per_ks: u64,
    /// Time that a caller gives.
    pub deadline_ms: u64,
}

impl Stream {
    /// What it is called in tables.
    pub fn label(&self) -> Label {
        Label {
            customer: self.customer.clone(),
            class: self.class,
            what: match &self.what {
                What::Act(act) => act.title,
                What::Completion { .. } => "completion",
            },
        }
    }

    fn ask(&self, name: &str) -> Ask {
        let deadline = Duration::from_millis(self.deadline_ms);
        match &self.what {
            What::Act(act) => {
                let plain = Plain {
                    service: &self.service,
                    token: &self.token,
                    act,
                    name,
                };
                ask::plain(&plain, deadline)
            }
            What::Completion { prompt, max_tokens } => {
                let opinion = Opinion {
                    model: &self.service,
                    token: &self.token,
                    prompt: &format!("{prompt} {name}"),
                    max_tokens: *max_tokens,
                    stream: true,
                };
                ask::opinion(&opinion, deadline)
            }
        }
    }

    fn runs_once(&self) -> bool {
        matches!(&self.what, What::Act(act) if act.once)
    }
}

/// When and how a stream runs.
pub struct Drive {
    /// Entries.
    pub balancer: Arc<Balancer>,
    /// How the rate rises now and then.
    pub bursts: Bursts,
    /// Length of the part at the beginning that is not counted.
    pub warm_up: Duration,
    /// Length with that part.
    pub lasts: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Names the calls, apart from every other drive's.
    pub prefix: String,
    /// Takes what became of each request.
    pub events: UnboundedSender<Event>,
}

/// Sends the stream's requests when they are due and waits for the last answers.
pub async fn drive(stream: Stream, drive: Drive) {
    let stream = Arc::new(stream);
    let label = Arc::new(stream.label());
    let began = Instant::now();
    let per_s = stream.per_ks as f64 / 1_000.0;
    let arrivals = Arrivals::new(per_s, drive.bursts, drive.seed);
    let warm_up = drive.warm_up;
    let mut under_way = JoinSet::new();
    for (number, at) in arrivals.take_while(|at| *at < drive.lasts).enumerate() {
        sleep_until(began + at).await;
        while under_way.try_join_next().is_some() {}
        if under_way.len() >= UNDER_WAY_MAX {
            let _ = drive.events.send(Event::NotOffered(label.clone()));
            continue;
        }
        let name = format!("{}-{number}", drive.prefix);
        let (stream, label) = (stream.clone(), label.clone());
        let (balancer, events) = (drive.balancer.clone(), drive.events.clone());
        under_way.spawn(async move {
            let (reply, sent) = request(&stream, &balancer, &name).await;
            if at < warm_up {
                return;
            }
            let _ = events.send(Event::Ended {
                label,
                // From the moment when it was due: a generator that lags must not hide it.
                took: (began + at).elapsed(),
                in_time: (began + at).elapsed() <= Duration::from_millis(stream.deadline_ms),
                tag: stream.runs_once().then_some(name),
                sent,
                reply,
            });
        });
    }
    let _ = timeout(GRACE + Duration::from_millis(stream.deadline_ms), async {
        while under_way.join_next().await.is_some() {}
    })
    .await;
}

/// One request; a call with an idempotency key is sent again while its outcome is in
/// doubt, as its caller may.
async fn request(stream: &Stream, balancer: &Balancer, name: &str) -> (Reply, u32) {
    let began = Instant::now();
    let mut sent = 1;
    loop {
        let reply = balancer.ask(stream.ask(name)).await;
        let in_doubt = matches!(reply.ending, Ending::Unknown | Ending::Lost);
        let wait = reply.retry_after_s.map_or(PAUSE, Duration::from_secs);
        let in_time = (began.elapsed() + wait).as_millis() < u128::from(stream.deadline_ms);
        if !stream.runs_once() || !in_doubt || !in_time || sent == SENT_MAX {
            return (reply, sent);
        }
        tokio::time::sleep(wait).await;
        sent += 1;
    }
}
