//! Discards the unread rest of a request body after the request was refused.
//!
//! Closing a connection with unread bytes causes a TCP reset, which may arrive before the
//! response: a caller with a body that is too large would see a broken connection instead of the
//! reason. The rest is therefore read and discarded, limited in size and time.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Buf;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

/// Maximum number of bytes that are discarded.
const DISCARDED_BYTES_MAX: usize = 32 << 20;
/// Maximum time for discarding.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Request body whose unread rest is discarded by a separate task when the body is dropped.
pub struct DrainedBody<B: Body + Unpin + Send + 'static>
where
    B::Data: Send,
{
    body: Option<B>,
}

impl<B> DrainedBody<B>
where
    B: Body + Unpin + Send + 'static,
    B::Data: Send,
{
    /// Wraps a request body.
    pub fn new(body: B) -> Self {
        Self { body: Some(body) }
    }
}

impl<B> Body for DrainedBody<B>
where
    B: Body + Unpin + Send + 'static,
    B::Data: Send,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        match &mut self.get_mut().body {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(SizeHint::default, Body::size_hint)
    }
}

impl<B> Drop for DrainedBody<B>
where
    B: Body + Unpin + Send + 'static,
    B::Data: Send,
{
    fn drop(&mut self) {
        let rest = self.body.take().filter(|body| !body.is_end_stream());
        // Without a runtime the process is ending and closes its connections anyway.
        if let (Some(rest), Ok(runtime)) = (rest, tokio::runtime::Handle::try_current()) {
            runtime.spawn(tokio::time::timeout(DISCARD_TIMEOUT, discard(rest)));
        }
    }
}

async fn discard<B: Body + Unpin>(mut body: B) {
    let mut remaining_bytes = DISCARDED_BYTES_MAX;
    while let Some(Ok(frame)) = body.frame().await {
        let bytes = frame.data_ref().map_or(0, Buf::remaining);
        match remaining_bytes.checked_sub(bytes) {
            Some(rest) => remaining_bytes = rest,
            None => return,
        }
    }
}
