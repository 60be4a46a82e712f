//! A client of one address: an entry, or an endpoint that is called directly. It never retries, so
//! that a measurement shows each single answer.

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
const IDLE_CONNECTIONS_MAX: usize = 256;
/// Time that a caller waits beyond the deadline it states, so that an answer that the system sends
/// at the deadline still arrives.
const DEADLINE_GRACE_MS: u64 = 2_000;
const PROBLEM_TYPE: &str = "application/problem+json";
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// A request as a caller sends it.
#[value]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path with the query.
    pub path: String,
    /// Headers, including the authorization.
    pub headers: Vec<(String, String)>,
    /// Body; empty for a request without one.
    pub body: Bytes,
    /// Deadline that the caller states, in milliseconds from the sending.
    pub deadline_ms: u64,
}

/// A client of one address; clones share its connections.
#[derive(Clone)]
pub struct Caller {
    endpoint: Endpoint,
}

impl Caller {
    /// Creates a client of this address without connecting yet.
    pub fn new(address: SocketAddr) -> Caller {
        let settings = EndpointSettings {
            idle_connections_max: IDLE_CONNECTIONS_MAX,
            ..EndpointSettings::default()
        };
        Caller {
            endpoint: Endpoint::new(address, settings),
        }
    }

    /// Address that the requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Sends the request and reads its answer to the end.
    pub async fn send(&self, request: OutgoingRequest) -> Reply {
        let started = Instant::now();
        let mut received = Received::default();
        let ended = self.exchange(request, started, &mut received).await;
        received.reply(ended, started)
    }

    async fn exchange(
        &self,
        outgoing: OutgoingRequest,
        started: Instant,
        received: &mut Received,
    ) -> Result<AnswerHead, PlatformError> {
        let request = Request {
            headers: outgoing.headers,
            body: outgoing.body,
            ..Request::new(outgoing.method, outgoing.path)
        };
        let timeout_ms = outgoing.deadline_ms + DEADLINE_GRACE_MS;
        let response = self.endpoint.send(request, timeout_ms).await?;
        received.status = response.head.status;
        let read = received.read(response.body, started).await;
        read.map(|()| response.head)
    }
}

/// The part of an answer that has been received so far.
#[derive(Default)]
struct Received {
    status: u16,
    body: Vec<u8>,
    first_byte: Option<Duration>,
}

impl Received {
    async fn read(&mut self, mut body: Body, started: Instant) -> Result<(), PlatformError> {
        while let Some(bytes) = body.next().await? {
            self.first_byte.get_or_insert_with(|| started.elapsed());
            self.body.extend_from_slice(&bytes);
        }
        Ok(())
    }

    fn reply(self, ended: Result<AnswerHead, PlatformError>, started: Instant) -> Reply {
        let latency = started.elapsed();
        let mut reply = Reply {
            ending: Ending::Lost,
            status: self.status,
            cause: String::new(),
            retry_after_s: None,
            body: Bytes::from(self.body),
            versions: BTreeSet::new(),
            may_have_left: !matches!(ended, Err(PlatformError::NotSent(_))),
            replayed: false,
            first_byte: self.first_byte.unwrap_or(latency),
            latency,
        };
        match ended {
            Ok(head) => classify_answer(&mut reply, &head),
            Err(error) => classify_error(&mut reply, &error),
        }
        reply
    }
}

fn classify_answer(reply: &mut Reply, head: &AnswerHead) {
    let content_type = head.header("content-type").unwrap_or_default();
    reply.replayed = head.header("idempotency-replayed").is_some();
    reply.retry_after_s = head
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    if content_type.starts_with(PROBLEM_TYPE) {
        let problem = Problem::parse(&reply.body);
        reply.ending = Ending::from_outcome(&problem.outcome);
        reply.cause = problem.cause;
    } else if reply.status != 200 {
        reply.ending = Ending::Failed;
        reply.cause = format!("status-{}", reply.status);
    } else if content_type.starts_with(EVENT_STREAM_TYPE) {
        classify_stream(reply);
    } else {
        reply.ending = Ending::Whole;
        reply.versions = weight_versions(&reply.body);
    }
}

fn classify_stream(reply: &mut Reply) {
    let Some(transcript) = parse_complete_stream(&reply.body) else {
        reply.cause = "short-stream".to_owned();
        return;
    };
    reply.ending = Ending::Whole;
    reply.versions = transcript.versions.into_iter().collect();
}

/// Parses a stream of completion events; `None` if the stream is malformed or incomplete.
pub fn parse_complete_stream(body: &[u8]) -> Option<Transcript> {
    let mut parser = Parser::new(LINE_BYTES_MAX);
    let mut transcript = Transcript::default();
    let read = parser.push(body, |piece| transcript.add(&piece, TEXT_BYTES_MAX));
    (read.is_ok() && parser.is_complete()).then_some(transcript)
}

fn classify_error(reply: &mut Reply, error: &PlatformError) {
    match Problem::in_stream(&reply.body) {
        Some(problem) => {
            reply.ending = Ending::from_outcome(&problem.outcome);
            reply.cause = problem.cause;
        }
        None => reply.cause = error.to_string().replace([' ', ':'], "-"),
    }
}

fn weight_versions(body: &[u8]) -> BTreeSet<WeightVersion> {
    #[derive(serde::Deserialize)]
    struct Versions {
        #[serde(default)]
        weight_versions: Vec<String>,
    }
    let answer: Option<Versions> = serde_json::from_slice(body).ok();
    let versions = answer.map(|answer| answer.weight_versions);
    let versions = versions.unwrap_or_default().into_iter();
    versions
        .filter_map(|version| version.parse().ok())
        .collect()
}
