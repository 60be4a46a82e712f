//! Bodies of answers towards callers.

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use quick_error::quick_error;
use types::Failure;

quick_error! {
    /// An answer that ends before its stated end. `hyper` then aborts the connection, so
    /// that the caller can't take what it has for the whole.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum AnswerBroken {
        /// The call failed after part of its answer was given.
        Cut(failure: Failure) {
            display("the answer was cut: {}", failure)
        }
    }
}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, AnswerBroken>;

/// A body that is whole already.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body of parts as they come.
pub fn streamed(parts: impl Stream<Item = Result<Bytes, AnswerBroken>> + Send + 'static) -> Body {
    let frames = futures_util::StreamExt::map(parts, |part| part.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
