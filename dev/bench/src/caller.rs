//! A caller of one entry, or of an endpoint asked directly. It sends every request once.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use adapters::sse::{Parser, Transcript};
use adapters::{AnswerHead, Body, Endpoint, EndpointSettings, PlatformError, Request};
use bytes::Bytes;
use derive::value;
use types::WeightVersion;

use crate::reply::{Ending, Problem, Reply};

const LINE_BYTES_MAX: usize = 1 << 20;
const TEXT_BYTES_MAX: usize = 1 << 20;
const IDLE_MAX: usize = 256;
/// How much longer than the deadline that it states a caller waits.
const PATIENCE_MS: u64 = 2_000;
const PROBLEM: &str = "application/problem+json";
const EVENTS: &str = "text/event-stream";

/// A request of a caller.
#[value]
pub struct Ask {
    /// Method.
    pub method: &'static str,
    /// Path with query.
    pub path: String,
    /// Headers, the token among them.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Time that the caller gives.
    pub deadline_ms: u64,
}

/// A caller of one address.
#[derive(Clone)]
pub struct Caller {
    endpoint: Endpoint,
}

impl Caller {
    /// A caller of this address.
    pub fn new(address: SocketAddr) -> Caller {
        let settings = EndpointSettings {
            idle_connections_max: IDLE_MAX,
            ..EndpointSettings::default()
        };
        Caller {
            endpoint: Endpoint::new(address, settings),
        }
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Sends the request and reads its answer to the end.
    pub async fn ask(&self, ask: Ask) -> Reply {
        let began = Instant::now();
        let mut received = Received::default();
        let ended = self.exchange(ask, began, &mut received).await;
        received.reply(ended, began)
    }

    async fn exchange(
        &self,
        ask: Ask,
        began: Instant,
        received: &mut Received,
    ) -> Result<AnswerHead, PlatformError> {
        let request = Request {
            headers: ask.headers,
            body: ask.body,
            ..Request::new(ask.method, ask.path)
        };
        let wait_ms = ask.deadline_ms + PATIENCE_MS;
        let response = self.endpoint.send(request, wait_ms).await?;
        received.status = response.head.status;
        let read = received.read(response.body, began).await;
        read.map(|()| response.head)
    }
}

/// What came so far.
#[derive(Default)]
struct Received {
    status: u16,
    body: Vec<u8>,
    first_byte: Option<Duration>,
}

impl Received {
    async fn read(&mut self, mut body: Body, began: Instant) -> Result<(), PlatformError> {
        while let Some(bytes) = body.next().await? {
            self.first_byte.get_or_insert_with(|| began.elapsed());
            self.body.extend_from_slice(&bytes);
        }
        Ok(())
    }

    fn reply(self, ended: Result<AnswerHead, PlatformError>, began: Instant) -> Reply {
        let latency = began.elapsed();
        let mut reply = Reply {
            ending: Ending::Lost,
            status: self.status,
            cause: String::new(),
            retry_after_s: None,
            body: Bytes::from(self.body),
            versions: BTreeSet::new(),
            sent: !matches!(ended, Err(PlatformError::NotSent(_))),
            replayed: false,
            first_byte: self.first_byte.unwrap_or(latency),
            latency,
        };
        match ended {
            Ok(head) => judge(&mut reply, &head),
            Err(error) => broken(&mut reply, &error),
        }
        reply
    }
}

fn judge(reply: &mut Reply, head: &AnswerHead) {
    let content_type = head.header("content-type").unwrap_or_default();
    reply.replayed = head.header("idempotency-replayed").is_some();
    reply.retry_after_s = head
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    if content_type.starts_with(PROBLEM) {
        let problem = Problem::parse(&reply.body);
        reply.ending = Ending::of_outcome(&problem.outcome);
        reply.cause = problem.cause;
    } else if reply.status != 200 {
        reply.ending = Ending::Failed;
        reply.cause = format!("status-{}", reply.status);
    } else if content_type.starts_with(EVENTS) {
        judge_stream(reply);
    } else {
        reply.ending = Ending::Whole;
        reply.versions = stamped(&reply.body);
    }
}

fn judge_stream(reply: &mut Reply) {
    let Some(transcript) = transcript(&reply.body) else {
        reply.cause = "short-stream".to_owned();
        return;
    };
    reply.ending = Ending::Whole;
    reply.versions = transcript.versions.into_iter().collect();
}

/// The whole completion in a stream, if it is whole.
pub fn transcript(body: &[u8]) -> Option<Transcript> {
    let mut parser = Parser::new(LINE_BYTES_MAX);
    let mut transcript = Transcript::default();
    let read = parser.push(body, |piece| transcript.add(&piece, TEXT_BYTES_MAX));
    (read.is_ok() && parser.is_complete()).then_some(transcript)
}

fn broken(reply: &mut Reply, error: &PlatformError) {
    match Problem::in_stream(&reply.body) {
        Some(problem) => {
            reply.ending = Ending::of_outcome(&problem.outcome);
            reply.cause = problem.cause;
        }
        None => reply.cause = error.to_string().replace([' ', ':'], "-"),
    }
}

fn stamped(body: &[u8]) -> BTreeSet<WeightVersion> {
    #[derive(serde::Deserialize)]
    struct Stamps {
        #[serde(default)]
        weight_versions: Vec<String>,
    }
    let stamps: Option<Stamps> = serde_json::from_slice(body).ok();
    let versions = stamps.map(|stamps| stamps.weight_versions);
    let versions = versions.unwrap_or_default().into_iter();
    versions
        .filter_map(|version| version.parse().ok())
        .collect()
}
