//! Client of an entry. It sends each request once, on a new connection.

use std::net::SocketAddr;

use adapters::{AnswerHead, Endpoint, EndpointSettings, PlatformError};
use derive::{key, value};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::{ProofError, TestRequest};

/// Time limit of a request; reached only by a request that hangs.
const DEADLINE_MS: u64 = 40_000;
const OK: u16 = 200;

/// How a request ended from the caller's point of view.
#[key]
pub enum Ending {
    /// A complete answer.
    Complete,
    /// A problem document stating that the request did not run.
    NotRun,
    /// A problem document stating that the request may have run.
    Unknown,
    /// A problem document stating that the request ran and failed.
    Failed,
    /// An answer that started and ended with a detectable error.
    Interrupted,
    /// An answer that ended regularly but is incomplete or belongs to another request.
    Truncated,
    /// No answer, or a problem document without a known outcome.
    Lost,
}

impl Ending {
    fn of(outcome: &str) -> Ending {
        match outcome {
            "not-run" => Ending::NotRun,
            "unknown" => Ending::Unknown,
            "failed" => Ending::Failed,
            _ => Ending::Lost,
        }
    }
}

/// Answer to a request, as far as the caller received it.
#[value]
pub struct Answer {
    /// Classification of the answer.
    pub ending: Ending,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// `cause` of the problem document; empty without one.
    pub cause: String,
    /// Whether the answer has a `retry-after` header.
    pub has_retry_after: bool,
    /// The body as far as it was received.
    pub body: Vec<u8>,
}

#[derive(Default, Deserialize)]
struct Problem {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    cause: String,
}

/// A request in progress.
pub struct Pending {
    task: JoinHandle<Answer>,
    bytes: watch::Receiver<usize>,
}

impl Pending {
    /// Waits until at least `bytes` bytes of the answer's body were received, or the answer ended.
    pub async fn wait_for_bytes(&mut self, bytes: usize) {
        // An error means that the sender was dropped because the answer has ended.
        let _ = self.bytes.wait_for(|got| *got >= bytes).await;
    }

    /// Whether the answer is still being received.
    pub fn is_pending(&self) -> bool {
        !self.task.is_finished()
    }

    /// Closes the connection without waiting for the answer.
    pub fn abandon(self) {
        self.task.abort();
    }

    /// Waits until the answer has ended.
    pub async fn answer(self) -> Result<Answer, ProofError> {
        self.task
            .await
            .map_err(|_| ProofError::Ended("the caller's task".to_owned()))
    }
}

/// A client of one entry.
pub struct Caller(SocketAddr);

impl Caller {
    /// Creates a client of the entry at this public address.
    pub fn new(entry: SocketAddr) -> Caller {
        Caller(entry)
    }

    /// Sends a request; `text` is the text that a complete completion must have.
    pub fn send(&self, test_request: TestRequest, text: String) -> Pending {
        let (progress, bytes) = watch::channel(0);
        let endpoint = Endpoint::new(self.0, EndpointSettings::default());
        let task = tokio::spawn(async move {
            let mut body = Vec::new();
            let mut head = None;
            let result =
                receive_answer(&endpoint, &test_request, &mut head, &mut body, &progress).await;
            classify(&test_request, &text, head, body, result.is_ok())
        });
        Pending { task, bytes }
    }
}

async fn receive_answer(
    endpoint: &Endpoint,
    test_request: &TestRequest,
    head: &mut Option<AnswerHead>,
    body: &mut Vec<u8>,
    progress: &watch::Sender<usize>,
) -> Result<(), PlatformError> {
    let mut response = endpoint.send(test_request.request(), DEADLINE_MS).await?;
    *head = Some(response.head);
    while let Some(bytes) = response.body.next().await? {
        body.extend_from_slice(&bytes);
        progress.send_replace(body.len());
    }
    Ok(())
}

fn classify(
    test_request: &TestRequest,
    text: &str,
    head: Option<AnswerHead>,
    body: Vec<u8>,
    is_ended: bool,
) -> Answer {
    let mut answer = Answer {
        ending: Ending::Lost,
        status: 0,
        cause: String::new(),
        has_retry_after: false,
        body,
    };
    let Some(head) = head else {
        return answer;
    };
    answer.status = head.status;
    answer.has_retry_after = head.header("retry-after").is_some();
    answer.ending = match is_ended {
        true if head.status == OK && test_request.is_complete_answer(&answer.body, text) => {
            return complete(answer);
        }
        // The worst failure: the caller takes a truncated answer with a regular end for complete.
        true => Ending::Truncated,
        false => Ending::Interrupted,
    };
    if let Some(problem) = problem(&answer.body) {
        answer.ending = Ending::of(&problem.outcome);
        answer.cause = problem.cause;
    }
    answer
}

fn complete(answer: Answer) -> Answer {
    Answer {
        ending: Ending::Complete,
        ..answer
    }
}

/// Parses the problem document in the body or in the `error` event at the end of a stream.
fn problem(body: &[u8]) -> Option<Problem> {
    let text = String::from_utf8_lossy(body);
    let document = match text.split_once("event: error\ndata: ") {
        Some((_, event)) => event.lines().next().unwrap_or_default(),
        None => &text,
    };
    let problem: Problem = serde_json::from_str(document).ok()?;
    (!problem.outcome.is_empty()).then_some(problem)
}
