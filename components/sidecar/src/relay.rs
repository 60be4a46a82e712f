//! One exchange with the endpoint, whose answer is relayed to the entry as it arrives.

use adapters::{AnswerHead, Body, Endpoint, Request, Response};
use bytes::Bytes;
use link::AnswerSender;
use protocol::{Head, Open};
use types::{Cause, Failure};

use crate::body::set_model_and_call_id;
use crate::completion::{AnswerFormat, StreamCheck, check_document};
use crate::stage::{Stage, failure_of};

/// Largest part of an answer in one frame, so that calls share their connection fairly.
const PART_BYTES_MAX: usize = 64 * 1024;
/// Largest unary completion, which is buffered until it is checked.
const DOCUMENT_BYTES_MAX: usize = 4 * 1024 * 1024;
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Relays one call to the endpoint and its answer to the entry.
pub struct Relay<'a> {
    endpoint: &'a Endpoint,
    open: &'a Open,
    answer: &'a AnswerSender,
    /// Name of the model at the engine; `None` for a plain service.
    engine_model: Option<&'a str>,
    stage: Stage,
}

impl<'a> Relay<'a> {
    /// Creates the relay of a call of which nothing has been sent yet.
    pub fn new(
        endpoint: &'a Endpoint,
        open: &'a Open,
        answer: &'a AnswerSender,
        engine_model: Option<&'a str>,
    ) -> Self {
        Self {
            endpoint,
            open,
            answer,
            engine_model,
            stage: Stage::NotSent,
        }
    }

    /// Stage that the call has reached at the endpoint.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the call is a model's, so that it can be cancelled at the engine by its id.
    pub fn is_model(&self) -> bool {
        self.engine_model.is_some()
    }

    /// Sends the call and relays the answer. Returns once the answer is complete; ending the
    /// call towards the entry is left to the caller of this function.
    pub async fn run(&mut self, left_ms: u64) -> Result<(), Failure> {
        let request = self.request()?;
        let (stage, answer) = (&mut self.stage, self.answer);
        let before_write = || {
            *stage = Stage::Sent;
            answer.mark_started();
        };
        let sent = self
            .endpoint
            .send_with_callback(request, left_ms, before_write)
            .await;
        let response = sent.map_err(|error| failure_of(&error, self.stage))?;
        self.stage = Stage::Answering;
        let Response { head, body } = response;
        let format = AnswerFormat::of(self.is_model(), &head);
        let relayed = match format {
            AnswerFormat::Document => self.relay_document(head, body).await,
            AnswerFormat::Stream => self.relay_stream(head, body).await,
            AnswerFormat::Opaque => self.relay_opaque(head, body).await,
        };
        relayed.map_err(RelayError::into_failure)
    }

    fn request(&self) -> Result<Request, Failure> {
        let body = match self.engine_model {
            Some(model) => {
                let body = set_model_and_call_id(&self.open.body, model, self.open.id);
                body.map_err(Failure::not_run)?
            }
            None => self.open.body.clone(),
        };
        let mut headers = self.open.headers.clone();
        if !headers
            .iter()
            .any(|(name, _)| name.eq_ignore_ascii_case(REQUEST_ID_HEADER))
        {
            headers.push((REQUEST_ID_HEADER.to_owned(), self.open.request_id.clone()));
        }
        Ok(Request {
            method: self.open.method.clone(),
            path: self.open.path.clone(),
            headers,
            body,
            // The endpoint may close an idle connection just as the request is sent, and then
            // nobody knows whether the call ran. Or an idle connection has stopped carrying data,
            // and the caller waits until the deadline. A new connection within a VM is cheap.
            reuse: false,
        })
    }

    /// Relays a document only once it is complete, so that no caller sees a truncated one.
    async fn relay_document(&self, head: AnswerHead, mut body: Body) -> Result<(), RelayError> {
        let mut document = Vec::new();
        while let Some(bytes) = body.next().await? {
            if document.len() + bytes.len() > DOCUMENT_BYTES_MAX {
                return Err(RelayError::Content(Cause::EndpointError));
            }
            document.extend_from_slice(&bytes);
        }
        let document = Bytes::from(document);
        check_document(&document)?;
        self.answer.send_head(head_of(head)).await;
        send_in_parts(self.answer, document).await;
        Ok(())
    }

    async fn relay_stream(&self, head: AnswerHead, mut body: Body) -> Result<(), RelayError> {
        let mut check = StreamCheck::new();
        self.answer.send_head(head_of(head)).await;
        while let Some(bytes) = body.next().await? {
            check.push(&bytes)?;
            send_in_parts(self.answer, bytes).await;
        }
        Ok(check.finish()?)
    }

    async fn relay_opaque(&self, head: AnswerHead, mut body: Body) -> Result<(), RelayError> {
        self.answer.send_head(head_of(head)).await;
        while let Some(bytes) = body.next().await? {
            send_in_parts(self.answer, bytes).await;
        }
        Ok(())
    }
}

/// Sends bytes in frames small enough to let frames of other calls through in between.
pub async fn send_in_parts(answer: &AnswerSender, mut bytes: Bytes) {
    while !bytes.is_empty() {
        let part = bytes.split_to(bytes.len().min(PART_BYTES_MAX));
        answer.send_chunk(part).await;
    }
}

/// Why an answer that had begun was not relayed to its end.
enum RelayError {
    Exchange(adapters::PlatformError),
    Content(Cause),
}

impl From<adapters::PlatformError> for RelayError {
    fn from(error: adapters::PlatformError) -> Self {
        RelayError::Exchange(error)
    }
}

impl From<Cause> for RelayError {
    fn from(cause: Cause) -> Self {
        RelayError::Content(cause)
    }
}

impl RelayError {
    fn into_failure(self) -> Failure {
        match self {
            RelayError::Exchange(error) => failure_of(&error, Stage::Answering),
            RelayError::Content(cause) => Stage::Answering.failure(cause),
        }
    }
}

fn head_of(head: AnswerHead) -> Head {
    Head {
        status: head.status,
        headers: head.headers,
    }
}
