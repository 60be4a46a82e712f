//! From an attempt that has its head to the answer that the caller gets.

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
use crate::attempt::{Attempt, Where};
use crate::body::{AnswerBroken, Body, full, streamed};
use crate::completion;
use crate::exchange::Exchange;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::rejection::Rejection;
use crate::trace::Trace;

/// An answer of a stated length up to this is taken whole before it goes on, so that one
/// that is cut can be asked for again. Longer ones go on as they come.
const COLLECTED_BYTES_MAX: usize = 64 * 1024;

/// A request that is being answered, with all that it holds.
pub struct Answering {
    /// The request and its attempts.
    pub exchange: Exchange,
    /// What it holds.
    pub admitted: Admitted,
    /// What is recorded of it.
    pub trace: Trace,
}

impl Answering {
    /// Lets a request in, or refuses it.
    pub async fn begin(
        gateway: &Arc<Gateway>,
        job: Job,
        arrived_ms: u64,
    ) -> Result<Answering, Failure> {
        let mut trace = Trace::new(gateway.metrics.clone(), &job, arrived_ms);
        let admitted = match admit(gateway, &job).await {
            Ok(admitted) => admitted,
            Err(failure) => {
                trace.failed(failure);
                return Err(failure);
            }
        };
        let account = Arc::clone(&admitted.account);
        let exchange = Exchange::new(Arc::clone(gateway), account, job, Where::default());
        Ok(Answering {
            exchange,
            admitted,
            trace,
        })
    }

    /// Sends the request and answers with what its endpoint answers.
    pub async fn relay(mut self, body: Bytes) -> Result<Response<Body>, Rejection> {
        let answered = self.answered(&body).await;
        match answered {
            Ok((head, Content::Whole(bytes))) => {
                self.trace.first_byte();
                self.trace.answered(head.status);
                self.give_back_tokens(&bytes);
                response(&head, full(bytes))
            }
            Ok((head, Content::Comes(attempt))) => {
                let status = head.status;
                response(&head, self.pass_on(status, *attempt))
            }
            Err(failure) => {
                self.trace.failed(failure);
                if failure.run == RunState::NotRun {
                    self.admitted.used(0);
                }
                Err(failure.into())
            }
        }
    }

    /// A completion that states its use costs only that.
    pub fn give_back_tokens(&mut self, answer: &[u8]) {
        if self.exchange.job.service.kind == ServiceKind::Model
            && let Some(tokens) = completion::used_tokens(answer)
        {
            self.admitted.used(tokens);
        }
    }

    async fn answered(&mut self, body: &Bytes) -> Result<(Head, Content), Failure> {
        loop {
            let (head, mut attempt) = self.exchange.head(body).await?;
            if !self.exchange.job.idempotent || !is_short(&head) {
                return Ok((head, Content::Comes(Box::new(attempt))));
            }
            match whole(&mut attempt).await {
                Ok(bytes) => return Ok((head, Content::Whole(bytes))),
                // The caller has seen nothing of it yet.
                Err(failure) => self.exchange.again(failure, Delivered::Nothing).await?,
            };
        }
    }

    /// The rest of an answer as it comes. When the stream is dropped, the call is
    /// cancelled; when it breaks, the caller's connection is cut.
    pub fn pass_on(self, status: u16, attempt: Attempt) -> Body {
        let deadline_at_ms = self.exchange.job.deadline_at_ms;
        let passing = Passing {
            answering: self,
            attempt,
            status,
        };
        let parts = stream::unfold(Some(passing), |passing| async { passing?.next().await });
        streamed(parts, deadline_at_ms)
    }
}

enum Content {
    Whole(Bytes),
    Comes(Box<Attempt>),
}

struct Passing {
    answering: Answering,
    attempt: Attempt,
    status: u16,
}

impl Passing {
    async fn next(mut self) -> Option<(Result<Bytes, AnswerBroken>, Option<Self>)> {
        loop {
            match self.attempt.next().await {
                CallEvent::Accepted | CallEvent::Started | CallEvent::Head(_) => {}
                CallEvent::Chunk(bytes) => {
                    self.answering.trace.first_byte();
                    return Some((Ok(bytes), Some(self)));
                }
                CallEvent::End => {
                    self.answering.trace.answered(self.status);
                    return None;
                }
                CallEvent::Failed(failure) => {
                    self.answering.trace.failed(failure);
                    return Some((Err(AnswerBroken::Cut(failure)), None));
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
    bytes.is_some_and(|bytes| bytes <= COLLECTED_BYTES_MAX)
}

async fn whole(attempt: &mut Attempt) -> Result<Bytes, Failure> {
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

/// The answer with an endpoint's status and headers.
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
