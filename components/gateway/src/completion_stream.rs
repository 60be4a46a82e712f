//! A completion that is streamed to its caller and goes on at another engine when its
//! own one is lost.
//!
//! Only whole events go on to the caller: a cut inside one would otherwise run into the
//! first event of the next engine. The ids of the tokens that the caller has go to the
//! next engine, which generates the rest. Without the ids, nobody can go on, and the
//! caller sees a broken stream: an event with the problem, then a cut connection.

use adapters::sse::Parser;
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::Response;
use http::header::{CONTENT_LENGTH, HeaderName};
use link::CallEvent;
use protocol::Head;
use recovery::{Delivered, Resume};
use types::{Cause, Failure, RunState};

use crate::answer::{Answering, response};
use crate::attempt::Attempt;
use crate::body::{AnswerBroken, Body, streamed};
use crate::problem;
use crate::rejection::Rejection;
use crate::resumed::Begun;

/// Longest line of a stream.
const LINE_BYTES_MAX: usize = 256 * 1024;
/// Most bytes of an event that has not ended.
const EVENT_BYTES_MAX: usize = 512 * 1024;
const OK: u16 = 200;

/// What the engines say of a completion, over all attempts.
struct Said {
    parser: Parser,
    /// Bytes after the last whole event.
    rest: BytesMut,
    token_ids: Vec<u32>,
    /// Text came whose tokens have no ids.
    unnamed: bool,
    sent: bool,
    begun: Begun,
}

impl Said {
    fn new() -> Self {
        Self {
            parser: Parser::new(LINE_BYTES_MAX),
            rest: BytesMut::new(),
            token_ids: Vec::new(),
            unnamed: false,
            sent: false,
            begun: Begun::default(),
        }
    }

    /// Takes bytes in; gives the whole events that they complete.
    fn take(&mut self, bytes: &[u8]) -> Result<Bytes, Failure> {
        let not_an_answer = || Failure::new(RunState::Failed, Cause::EndpointError);
        self.rest.extend_from_slice(bytes);
        let whole = whole_events(&self.rest);
        if self.rest.len() - whole > EVENT_BYTES_MAX {
            return Err(not_an_answer());
        }
        let events = self.rest.split_to(whole).freeze();
        let (token_ids, unnamed) = (&mut self.token_ids, &mut self.unnamed);
        let parsed = self.parser.push(&events, |piece| {
            *unnamed |= piece.token_ids.is_empty() && !piece.text.is_empty();
            token_ids.extend(piece.token_ids);
            Ok(())
        });
        parsed.map_err(|_| not_an_answer())?;
        self.sent |= !events.is_empty();
        self.begun.note(&events);
        Ok(self.begun.restate(events))
    }

    /// Forgets the part of an event that was cut; the next engine begins a new one.
    fn cut(&mut self) {
        self.parser = Parser::new(LINE_BYTES_MAX);
        self.rest.clear();
    }

    fn flowed(&self) -> Delivered {
        match (self.sent, self.unnamed) {
            (false, _) => Delivered::Nothing,
            (true, false) => Delivered::Tokens,
            (true, true) => Delivered::Bytes,
        }
    }
}

/// Bytes up to the end of the last blank line.
fn whole_events(bytes: &[u8]) -> usize {
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

/// Sends the request and streams what its engines say. `body` makes the body for an
/// engine that goes on after these tokens.
///
/// The head goes with the first event: engines send theirs before they have begun, and a
/// request that fails up to there still gets its status and problem document.
pub async fn serve(
    mut answering: Answering,
    body: impl Fn(&[u32]) -> Bytes + Send + 'static,
) -> Result<Response<Body>, Rejection> {
    match answering.exchange.head(&body(&[])).await {
        Ok((head, attempt)) if head.status == OK => {
            let streaming = Streaming {
                answering,
                attempt,
                said: Said::new(),
                body,
            };
            streaming.respond(&stream_head(head)).await
        }
        // A refusal of the engine's own is no stream; it goes on as it is.
        Ok((head, attempt)) => response(&head.clone(), answering.pass_on(head.status, attempt)),
        Err(failure) => {
            answering.trace.failed(failure);
            Err(failure.into())
        }
    }
}

/// The length, if an engine states one, is that of its own part only.
fn stream_head(head: Head) -> Head {
    let of_length = |name: &str| HeaderName::try_from(name).is_ok_and(|n| n == CONTENT_LENGTH);
    let headers = head.headers.into_iter();
    Head {
        headers: headers.filter(|(name, _)| !of_length(name)).collect(),
        ..head
    }
}

struct Streaming<F> {
    answering: Answering,
    attempt: Attempt,
    said: Said,
    body: F,
}

/// What the caller's stream does next.
enum Next {
    Bytes(Bytes),
    Whole,
    Broken(Failure),
}

impl<F: Fn(&[u32]) -> Bytes + Send + 'static> Streaming<F> {
    async fn respond(mut self, head: &Head) -> Result<Response<Body>, Rejection> {
        let first = self.next().await;
        if let Next::Broken(failure) = first {
            self.answering.trace.failed(failure);
            return Err(failure.into());
        }
        let deadline_at_ms = self.answering.exchange.job.deadline_at_ms;
        let state = State::Begun(first, Box::new(self));
        let events = stream::unfold(state, |state| async { state.next().await });
        response(head, streamed(events, deadline_at_ms))
    }

    async fn next(&mut self) -> Next {
        loop {
            let failure = match self.attempt.next().await {
                CallEvent::Accepted | CallEvent::Started | CallEvent::Head(_) => continue,
                CallEvent::Chunk(bytes) => match self.said.take(&bytes) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => return Next::Bytes(events),
                    Err(failure) => failure,
                },
                CallEvent::End if self.said.parser.is_complete() => return Next::Whole,
                CallEvent::End => Failure::new(RunState::Failed, Cause::Truncated),
                CallEvent::Failed(failure) => failure,
            };
            if let Err(failure) = self.go_on(failure).await {
                return Next::Broken(failure);
            }
        }
    }

    /// The answer costs only the tokens that were made.
    fn give_back_tokens(&mut self) {
        let made = u32::try_from(self.said.token_ids.len()).unwrap_or(u32::MAX);
        let prompt_tokens = self.answering.exchange.job.work.prompt_tokens;
        if !self.said.unnamed {
            self.answering
                .admitted
                .used(made.saturating_add(prompt_tokens));
        }
    }

    /// Goes on at another engine, or says why not.
    async fn go_on(&mut self, mut failure: Failure) -> Result<(), Failure> {
        self.said.cut();
        loop {
            let flowed = self.said.flowed();
            let resume = self.answering.exchange.again(failure, flowed).await?;
            let tokens: &[u32] = match resume {
                Resume::FromStart => &[],
                Resume::FromTokens => &self.said.token_ids,
            };
            self.said.begun.tokens = tokens.len() as u64;
            let body = (self.body)(tokens);
            let (head, attempt) = self.answering.exchange.head(&body).await?;
            if head.status == OK {
                self.attempt = attempt;
                return Ok(());
            }
            failure = Failure::new(RunState::Failed, Cause::EndpointError);
        }
    }
}

enum State<F> {
    Begun(Next, Box<Streaming<F>>),
    Running(Box<Streaming<F>>),
    Breaking(Failure),
    Ended,
}

type Item<F> = Option<(Result<Bytes, AnswerBroken>, State<F>)>;

impl<F: Fn(&[u32]) -> Bytes + Send + 'static> State<F> {
    async fn next(self) -> Item<F> {
        let (next, mut streaming) = match self {
            State::Begun(next, streaming) => (next, streaming),
            State::Running(mut streaming) => (streaming.next().await, streaming),
            State::Breaking(failure) => {
                // `hyper` drops what it has not flushed when a body fails, and it flushes
                // when a body has nothing at the moment; the event would not be seen.
                tokio::task::yield_now().await;
                return Some((Err(AnswerBroken::Cut(failure)), State::Ended));
            }
            State::Ended => return None,
        };
        match next {
            Next::Bytes(bytes) => {
                streaming.answering.trace.first_byte();
                Some((Ok(bytes), State::Running(streaming)))
            }
            Next::Whole => {
                streaming.answering.trace.answered(OK);
                streaming.give_back_tokens();
                None
            }
            Next::Broken(failure) => {
                let event = broken_event(&streaming.answering, failure);
                streaming.answering.trace.failed(failure);
                Some((Ok(event), State::Breaking(failure)))
            }
        }
    }
}

/// Tells a caller that reads events why the stream breaks; the cut that follows tells
/// every other one.
fn broken_event(answering: &Answering, failure: Failure) -> Bytes {
    let request_id = &answering.exchange.job.request_id;
    let document = problem::document(&Rejection::Call(failure), request_id);
    let mut event = BytesMut::from(&b"event: error\ndata: "[..]);
    event.extend_from_slice(&document);
    event.extend_from_slice(b"\n\n");
    event.freeze()
}
