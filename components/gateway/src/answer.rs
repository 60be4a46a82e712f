//! Produces the client's response from an attempt whose response head has arrived.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use config::ServiceKind;
use futures_util::stream;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use link::CallEvent;
use protocol::Head;
use recovery::Delivered;
use types::{Cause, Failure, RunState};

use crate::admission::{Admitted, admit};
use crate::attempt::{Attempt, ReplicaConstraints};
use crate::body::{AnswerInterrupted, Body, full, streamed};
use crate::completion;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::rejection::Rejection;
use crate::retried_call::RetriedCall;
use crate::trace::Trace;

/// Answers of idempotent calls with a content length up to this limit are buffered before they
/// are sent to the caller, so that an interrupted answer can be requested again. Longer answers
/// are streamed.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;

/// A request in progress with the resources that it holds.
pub struct ActiveRequest {
    /// The call to the endpoint with all its attempts.
    pub retried_call: RetriedCall,
    /// Limits, queue slot and drain guard of the request.
    pub admitted: Admitted,
    /// Records metrics and the log line at the end of the request.
    pub trace: Trace,
}

impl ActiveRequest {
    /// Admits a request or refuses it.
    pub async fn admit(
        gateway: &Arc<Gateway>,
        job: Job,
        arrived_ms: u64,
    ) -> Result<ActiveRequest, Failure> {
        let mut trace = Trace::new(gateway.metrics.clone(), &job, arrived_ms);
        let admitted = match admit(gateway, &job).await {
            Ok(admitted) => admitted,
            Err(failure) => {
                trace.record_failure(failure);
                return Err(failure);
            }
        };
        let account = Arc::clone(&admitted.account);
        let retried_call = RetriedCall::new(
            Arc::clone(gateway),
            account,
            job,
            ReplicaConstraints::default(),
        );
        Ok(ActiveRequest {
            retried_call,
            admitted,
            trace,
        })
    }

    /// Sends the request to an endpoint and returns the endpoint's answer.
    pub async fn relay(mut self, body: Bytes) -> Result<Response<Body>, Rejection> {
        let answered = self.fetch_answer(&body).await;
        match answered {
            Ok((head, Content::Buffered(bytes))) => {
                self.trace.record_first_byte();
                self.trace.record_answer(head.status);
                self.refund_unused_tokens(&bytes);
                response(&head, full(bytes))
            }
            Ok((head, Content::Streaming(attempt))) => {
                let status = head.status;
                response(&head, self.stream_rest(status, *attempt))
            }
            Err(failure) => {
                self.trace.record_failure(failure);
                if failure.run == RunState::NotRun {
                    self.admitted.refund_unused(0);
                }
                Err(failure.into())
            }
        }
    }

    /// Returns the unused part of the reserved tokens if the answer is a completion that states
    /// its token usage.
    pub fn refund_unused_tokens(&mut self, answer: &[u8]) {
        if self.retried_call.job.service.kind == ServiceKind::Model
            && let Some(tokens) = completion::used_tokens(answer)
        {
            self.admitted.refund_unused(tokens);
        }
    }

    async fn fetch_answer(&mut self, body: &Bytes) -> Result<(Head, Content), Failure> {
        loop {
            let (head, mut attempt) = self.retried_call.send(body).await?;
            if !self.retried_call.job.idempotent || !is_short(&head) {
                return Ok((head, Content::Streaming(Box::new(attempt))));
            }
            match read_answer(&mut attempt).await {
                Ok(bytes) => return Ok((head, Content::Buffered(bytes))),
                // No byte of this answer was sent to the caller.
                Err(failure) => self.retried_call.retry(failure, Delivered::Nothing).await?,
            };
        }
    }

    /// Streams the rest of an answer as it arrives. Dropping the stream cancels the call; an
    /// interrupted answer closes the caller's connection.
    pub fn stream_rest(self, status: u16, attempt: Attempt) -> Body {
        let deadline_at_ms = self.retried_call.job.deadline_at_ms;
        let state = AnswerStream {
            request: self,
            attempt,
            status,
        };
        let parts = stream::unfold(Some(state), |state| async { state?.next().await });
        streamed(parts, deadline_at_ms)
    }
}

enum Content {
    Buffered(Bytes),
    Streaming(Box<Attempt>),
}

struct AnswerStream {
    request: ActiveRequest,
    attempt: Attempt,
    status: u16,
}

impl AnswerStream {
    async fn next(mut self) -> Option<(Result<Bytes, AnswerInterrupted>, Option<Self>)> {
        loop {
            match self.attempt.next().await {
                CallEvent::Accepted | CallEvent::Started | CallEvent::Head(_) => {}
                CallEvent::Chunk(bytes) => {
                    self.request.trace.record_first_byte();
                    return Some((Ok(bytes), Some(self)));
                }
                CallEvent::End => {
                    self.request.trace.record_answer(self.status);
                    return None;
                }
                CallEvent::Failed(failure) => {
                    self.request.trace.record_failure(failure);
                    return Some((Err(AnswerInterrupted::CallFailed(failure)), None));
                }
            }
        }
    }
}

fn is_short(head: &Head) -> bool {
    let stated = head
        .headers
        .iter()
        .find(|(name, _)| CONTENT_LENGTH == name.as_str());
    let bytes = stated.and_then(|(_, value)| value.parse::<usize>().ok());
    bytes.is_some_and(|bytes| bytes <= BUFFERED_BYTES_MAX)
}

async fn read_answer(attempt: &mut Attempt) -> Result<Bytes, Failure> {
    let mut bytes = BytesMut::new();
    loop {
        match attempt.next().await {
            CallEvent::Accepted | CallEvent::Started | CallEvent::Head(_) => {}
            CallEvent::Chunk(chunk) => bytes.extend_from_slice(&chunk),
            CallEvent::End => return Ok(bytes.freeze()),
            CallEvent::Failed(failure) => return Err(failure),
        }
    }
}

/// Builds a response with the status and headers of an endpoint's answer.
pub fn response(head: &Head, body: Body) -> Result<Response<Body>, Rejection> {
    let bad = || Failure::new(RunState::Failed, Cause::EndpointError);
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).map_err(|_| bad())?;
    for (name, value) in &head.headers {
        let name = HeaderName::try_from(name).map_err(|_| bad())?;
        let value = HeaderValue::try_from(value).map_err(|_| bad())?;
        response.headers_mut().append(name, value);
    }
    Ok(response)
}
