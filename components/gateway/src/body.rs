//! Response bodies of the public address.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::connections::BusyGuard;
use crate::delivery::{ConnectionCut, DeliveredParts, deliver};

pub use crate::answer_interrupted::AnswerInterrupted;

/// Response body: complete bytes or a stream of parts.
pub struct Body {
    kind: Kind,
    /// Marks the connection as busy until the body is dropped.
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

    /// Keeps the connection marked as busy until the body is dropped.
    pub fn set_busy_guard(&mut self, busy: BusyGuard) {
        self.busy = Some(busy);
    }

    /// Sets the handle that closes the caller's connection if the caller does not read the answer.
    /// Has no effect on bodies that are not streamed.
    pub fn set_cut(&self, cut: &ConnectionCut) {
        if let Kind::Parts(received) = &self.kind {
            received.set_cut(cut);
        }
    }
}

/// Creates a body from complete bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::new(Kind::Full(Full::new(bytes.into())))
}

/// Creates a body that sends `parts` as they arrive. `parts` is dropped when it ends, when the
/// caller disconnects, and when the caller does not read the parts in time.
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
