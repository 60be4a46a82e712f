//! A caller. It sends every request once, on a connection of its own.

use std::net::SocketAddr;

use adapters::{AnswerHead, Endpoint, EndpointSettings, PlatformError};
use derive::{key, value};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::{ProofError, TestRequest};

/// Longest exchange; only a request that hangs for good takes it.
const DEADLINE_MS: u64 = 40_000;
const OK: u16 = 200;

/// How a request ended, as its caller sees it.
#[key]
pub enum Ending {
    /// A whole answer.
    Complete,
    /// A refusal that says that it did not run.
    NotRun,
    /// An answer that says that it may have run.
    Unknown,
    /// An answer that says that it ran and failed.
    Failed,
    /// An answer that began and visibly broke off.
    Interrupted,
    /// An answer that ends as if it were over, and is not whole or another's.
    Truncated,
    /// A connection that ended without a word.
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

/// What a caller got.
#[value]
pub struct Answer {
    /// How it ended.
    pub ending: Ending,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Cause that the system stated.
    pub cause: String,
    /// Whether a time to come back was stated.
    pub has_retry_after: bool,
    /// The body as far as it came.
    pub body: Vec<u8>,
}

#[derive(Default, Deserialize)]
struct Problem {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    cause: String,
}

/// A request under way.
pub struct Pending {
    task: JoinHandle<Answer>,
    bytes: watch::Receiver<usize>,
}

impl Pending {
    /// Waits until so many bytes of the answer's body have come, or its end.
    pub async fn wait_for_bytes(&mut self, bytes: usize) {
        // The sender is gone when the answer has ended.
        let _ = self.bytes.wait_for(|got| *got >= bytes).await;
    }

    /// Whether the answer has not ended.
    pub fn is_pending(&self) -> bool {
        !self.task.is_finished()
    }

    /// Goes away: closes the connection.
    pub fn abandon(self) {
        self.task.abort();
    }

    /// Waits for the end.
    pub async fn answer(self) -> Result<Answer, ProofError> {
        self.task
            .await
            .map_err(|_| ProofError::Ended("the caller".to_owned()))
    }
}

/// A caller of one entry.
pub struct Caller(SocketAddr);

impl Caller {
    /// A caller of the entry at this public address.
    pub fn new(entry: SocketAddr) -> Caller {
        Caller(entry)
    }

    /// Sends a request; `text` is the text that a whole completion must have.
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
        // A short answer with a clean end is the worst: its caller takes it for whole.
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

/// The problem document that is the body, or the last event of a stream.
fn problem(body: &[u8]) -> Option<Problem> {
    let text = String::from_utf8_lossy(body);
    let document = match text.split_once("event: error\ndata: ") {
        Some((_, event)) => event.lines().next().unwrap_or_default(),
        None => &text,
    };
    let problem: Problem = serde_json::from_str(document).ok()?;
    (!problem.outcome.is_empty()).then_some(problem)
}
