//! Bodies of answers towards callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::connections::BusyGuard;
use crate::delivery::{ConnectionCut, DeliveredParts, deliver};

pub use crate::answer_interrupted::AnswerInterrupted;

/// Body of an answer.
pub struct Body {
    kind: Kind,
    /// Its connection has a request in progress until the body is dropped.
    busy: Option<BusyGuard>,
}

enum Kind {
    Full(Full<Bytes>),
    Parts(DeliveredParts),
}

impl Body {
    fn new(kind: Kind) -> Self {
        Self { kind, busy: None }
    }

    /// Holds this until the answer has been handed over.
    pub fn set_busy_guard(&mut self, busy: BusyGuard) {
        self.busy = Some(busy);
    }

    /// Has the caller's connection cut when the caller does not take this answer.
    pub fn set_cut(&self, cut: &ConnectionCut) {
        if let Kind::Parts(received) = &self.kind {
            received.set_cut(cut);
        }
    }
}

/// A body that is whole already.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::new(Kind::Full(Full::new(bytes.into())))
}

/// A body of parts as they come. `parts` is dropped when it has ended, when the caller is
/// gone, and when the caller does not take the parts in time.
pub fn streamed(
    parts: impl Stream<Item = Result<Bytes, AnswerInterrupted>> + Send + 'static,
    deadline_at_ms: u64,
) -> Body {
    Body::new(Kind::Parts(deliver(parts, deadline_at_ms)))
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = AnswerInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerInterrupted>>> {
        match &mut self.get_mut().kind {
            Kind::Full(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Kind::Parts(received) => {
                let part = received.poll_next(cx);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Full(full) => full.is_end_stream(),
            Kind::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Full(full) => full.size_hint(),
            Kind::Parts(_) => SizeHint::default(),
        }
    }
}
