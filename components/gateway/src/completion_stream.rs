//! Streams a completion to its caller and resumes it at another engine after a failure.
//!
//! Only complete events are sent to the caller, because a partial event would be joined with
//! the first event of the next engine. The next engine gets the ids of the tokens that the
//! caller already has and generates the rest. If an engine sent text without token ids, the
//! stream cannot be resumed: the caller gets an error event with the problem document, and then
//! the connection is closed.

use adapters::sse::Parser;
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::Response;
use http::header::{CONTENT_LENGTH, HeaderName};
use link::CallEvent;
use protocol::Head;
use recovery::{Delivered, Resume};
use types::{Cause, Failure, RunState};

use crate::answer::{ActiveRequest, response};
use crate::attempt::Attempt;
use crate::body::{AnswerInterrupted, Body, streamed};
use crate::problem;
use crate::rejection::Rejection;
use crate::resumed::Continuation;

/// Maximum length of a line in an event stream.
const LINE_BYTES_MAX: usize = 256 * 1024;
/// Maximum size of an incomplete event.
const EVENT_BYTES_MAX: usize = 512 * 1024;
const OK: u16 = 200;

/// State of the event stream over all attempts.
struct StreamState {
    parser: Parser,
    /// Bytes after the last complete event.
    partial_event: BytesMut,
    token_ids: Vec<u32>,
    /// Whether an engine sent text without token ids.
    has_text_without_ids: bool,
    has_sent: bool,
    continuation: Continuation,
}

impl StreamState {
    fn new() -> Self {
        Self {
            parser: Parser::new(LINE_BYTES_MAX),
            partial_event: BytesMut::new(),
            token_ids: Vec::new(),
            has_text_without_ids: false,
            has_sent: false,
            continuation: Continuation::default(),
        }
    }

    /// Adds received bytes and returns the events that are now complete.
    fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Failure> {
        let not_an_answer = || Failure::new(RunState::Failed, Cause::EndpointError);
        self.partial_event.extend_from_slice(bytes);
        let complete_bytes = complete_events_len(&self.partial_event);
        if self.partial_event.len() - complete_bytes > EVENT_BYTES_MAX {
            return Err(not_an_answer());
        }
        let events = self.partial_event.split_to(complete_bytes).freeze();
        let (token_ids, has_text_without_ids) =
            (&mut self.token_ids, &mut self.has_text_without_ids);
        let parsed = self.parser.push(&events, |piece| {
            *has_text_without_ids |= piece.token_ids.is_empty() && !piece.text.is_empty();
            token_ids.extend(piece.token_ids);
            Ok(())
        });
        parsed.map_err(|_| not_an_answer())?;
        self.has_sent |= !events.is_empty();
        self.continuation.record_id(&events);
        Ok(self.continuation.rewrite(events))
    }

    /// Discards a partial event. The next engine starts with a new event.
    fn discard_partial_event(&mut self) {
        self.parser = Parser::new(LINE_BYTES_MAX);
        self.partial_event.clear();
    }

    fn delivered(&self) -> Delivered {
        match (self.has_sent, self.has_text_without_ids) {
            (false, _) => Delivered::Nothing,
            (true, false) => Delivered::Tokens,
            (true, true) => Delivered::Bytes,
        }
    }
}

/// Returns the number of bytes up to the end of the last blank line.
fn complete_events_len(bytes: &[u8]) -> usize {
    let line_end = |at: &usize| bytes.get(*at) == Some(&b'\n');
    let ends = (0..bytes.len()).rev().filter(line_end);
    ends.filter(|&at| at > 0)
        .find(|&at| {
            let before = bytes.get(..at).unwrap_or_default();
            let before = before.strip_suffix(b"\r").unwrap_or(before);
            before.ends_with(b"\n")
        })
        .map_or(0, |at| at + 1)
}

/// Sends the request and streams the events of its engines. `body` builds the request body for
/// an engine that continues after the given tokens.
///
/// The response head is sent together with the first event. Engines send their head before they
/// start generating, and a request that fails before its first event must still get an error
/// status and a problem document.
pub async fn serve(
    mut request: ActiveRequest,
    body: impl Fn(&[u32]) -> Bytes + Send + 'static,
) -> Result<Response<Body>, Rejection> {
    match request.retried_call.send(&body(&[])).await {
        Ok((head, attempt)) if head.status == OK => {
            let streaming = CompletionStream {
                request,
                attempt,
                state: StreamState::new(),
                body,
            };
            streaming.respond(&stream_head(head)).await
        }
        // The engine refused the request. Its answer is no event stream and is relayed unchanged.
        Ok((head, attempt)) => response(&head.clone(), request.stream_rest(head.status, attempt)),
        Err(failure) => {
            request.trace.record_failure(failure);
            Err(failure.into())
        }
    }
}

/// Removes the content length, which would cover only the part of one engine.
fn stream_head(head: Head) -> Head {
    let of_length = |name: &str| HeaderName::try_from(name).is_ok_and(|n| n == CONTENT_LENGTH);
    let headers = head.headers.into_iter();
    Head {
        headers: headers.filter(|(name, _)| !of_length(name)).collect(),
        ..head
    }
}

struct CompletionStream<F> {
    request: ActiveRequest,
    attempt: Attempt,
    state: StreamState,
    body: F,
}

/// Next item of the caller's stream.
enum StreamItem {
    Bytes(Bytes),
    End,
    Failed(Failure),
}

impl<F: Fn(&[u32]) -> Bytes + Send + 'static> CompletionStream<F> {
    async fn respond(mut self, head: &Head) -> Result<Response<Body>, Rejection> {
        let first = self.next().await;
        if let StreamItem::Failed(failure) = first {
            self.request.trace.record_failure(failure);
            return Err(failure.into());
        }
        let deadline_at_ms = self.request.retried_call.job.deadline_at_ms;
        let phase = StreamPhase::First(first, Box::new(self));
        let events = stream::unfold(phase, |phase| async { phase.next().await });
        response(head, streamed(events, deadline_at_ms))
    }

    async fn next(&mut self) -> StreamItem {
        loop {
            let failure = match self.attempt.next().await {
                CallEvent::Accepted | CallEvent::Started | CallEvent::Head(_) => continue,
                CallEvent::Chunk(bytes) => match self.state.push(&bytes) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => return StreamItem::Bytes(events),
                    Err(failure) => failure,
                },
                CallEvent::End if self.state.parser.is_complete() => return StreamItem::End,
                CallEvent::End => Failure::new(RunState::Failed, Cause::Truncated),
                CallEvent::Failed(failure) => failure,
            };
            if let Err(failure) = self.resume_elsewhere(failure).await {
                return StreamItem::Failed(failure);
            }
        }
    }

    /// Returns the reserved tokens that were not generated.
    fn refund_unused_tokens(&mut self) {
        let made = u32::try_from(self.state.token_ids.len()).unwrap_or(u32::MAX);
        let prompt_tokens = self.request.retried_call.job.work.prompt_tokens;
        if !self.state.has_text_without_ids {
            self.request
                .admitted
                .refund_unused(made.saturating_add(prompt_tokens));
        }
    }

    /// Resumes the completion at another engine. Errors when the failure is final.
    async fn resume_elsewhere(&mut self, mut failure: Failure) -> Result<(), Failure> {
        self.state.discard_partial_event();
        loop {
            let delivered = self.state.delivered();
            let resume = self.request.retried_call.retry(failure, delivered).await?;
            let tokens: &[u32] = match resume {
                Resume::FromStart => &[],
                Resume::FromTokens => &self.state.token_ids,
            };
            self.state.continuation.tokens = tokens.len() as u64;
            let body = (self.body)(tokens);
            let (head, attempt) = self.request.retried_call.send(&body).await?;
            if head.status == OK {
                self.attempt = attempt;
                return Ok(());
            }
            failure = Failure::new(RunState::Failed, Cause::EndpointError);
        }
    }
}

enum StreamPhase<F> {
    First(StreamItem, Box<CompletionStream<F>>),
    Running(Box<CompletionStream<F>>),
    Failing(Failure),
    Ended,
}

type Item<F> = Option<(Result<Bytes, AnswerInterrupted>, StreamPhase<F>)>;

impl<F: Fn(&[u32]) -> Bytes + Send + 'static> StreamPhase<F> {
    async fn next(self) -> Item<F> {
        let (next, mut streaming) = match self {
            StreamPhase::First(next, streaming) => (next, streaming),
            StreamPhase::Running(mut streaming) => (streaming.next().await, streaming),
            StreamPhase::Failing(failure) => {
                // `hyper` discards unflushed data when a body fails, and flushes while a body is
                // pending. Without this yield the caller would not receive the error event.
                tokio::task::yield_now().await;
                return Some((
                    Err(AnswerInterrupted::CallFailed(failure)),
                    StreamPhase::Ended,
                ));
            }
            StreamPhase::Ended => return None,
        };
        match next {
            StreamItem::Bytes(bytes) => {
                streaming.request.trace.record_first_byte();
                Some((Ok(bytes), StreamPhase::Running(streaming)))
            }
            StreamItem::End => {
                streaming.request.trace.record_answer(OK);
                streaming.refund_unused_tokens();
                None
            }
            StreamItem::Failed(failure) => {
                let event = problem_event(&streaming.request, failure);
                streaming.request.trace.record_failure(failure);
                Some((Ok(event), StreamPhase::Failing(failure)))
            }
        }
    }
}

/// Builds the error event for a failed stream. Callers that do not read events notice the failure
/// by the closed connection.
fn problem_event(request: &ActiveRequest, failure: Failure) -> Bytes {
    let request_id = &request.retried_call.job.request_id;
    let document = problem::document(&Rejection::Call(failure), request_id);
    let mut event = BytesMut::from(&b"event: error\ndata: "[..]);
    event.extend_from_slice(&document);
    event.extend_from_slice(b"\n\n");
    event.freeze()
}
