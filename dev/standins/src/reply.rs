//! Constructors for the answers of stand-ins, and their early ends by simulated faults.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use hyper::body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::fault::Fault;

/// Most chunks of a stream that are buffered for a slow connection.
const BUFFERED_CHUNKS_MAX: usize = 64;

quick_error! {
    /// Makes hyper close the connection within the answer.
    #[derive(Debug)]
    pub enum ConnectionCut {
        /// A simulated fault or crash.
        Simulated {
            display("connection closed by a simulated fault")
        }
    }
}

pub(crate) type ChunkSender = mpsc::Sender<Result<Bytes, ConnectionCut>>;

/// Body of an answer; a buffered body is sent with its length.
pub(crate) enum ReplyBody {
    Buffered(Option<Bytes>),
    Streaming(mpsc::Receiver<Result<Bytes, ConnectionCut>>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ConnectionCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionCut>>> {
        match self.get_mut() {
            ReplyBody::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ReplyBody::Streaming(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Buffered(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            ReplyBody::Buffered(None) => SizeHint::with_exact(0),
            ReplyBody::Streaming(_) => SizeHint::default(),
        }
    }
}

pub(crate) type Reply = Response<ReplyBody>;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

pub(crate) fn bytes(status: u16, body: Bytes) -> Reply {
    let mut reply = Response::new(ReplyBody::Buffered(Some(body)));
    *reply.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    reply
}

pub(crate) fn json(status: u16, document: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(document).unwrap_or_default();
    let mut reply = bytes(status, Bytes::from(body));
    let content = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, content);
    reply
}

/// An answer with status 200 and the body `{}`.
pub(crate) fn ok() -> Reply {
    json(200, &serde_json::Map::new())
}

/// An error answer; `cause` is the error name that the body carries.
pub(crate) fn error(status: u16, cause: &str) -> Reply {
    json(status, &ErrorBody { error: cause })
}

/// An error answer with a `Retry-After` header.
pub(crate) fn error_with_retry_after(status: u16, cause: &str, retry_after_s: u64) -> Reply {
    let mut reply = error(status, cause);
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    reply
}

/// A stream of server-sent events, with the sender of its chunks.
pub(crate) fn stream() -> (ChunkSender, Reply) {
    let (chunks, received) = mpsc::channel(BUFFERED_CHUNKS_MAX);
    let mut reply = Response::new(ReplyBody::Streaming(received));
    let content = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, content);
    (chunks, reply)
}

/// Ends an answer early. With `clean`, a stream ends as if it were complete, otherwise its
/// connection closes. A buffered body always breaks off halfway, before its `content-length`.
pub(crate) fn shorten(reply: Reply, fault: &Fault, clean: bool) -> Reply {
    let (mut head, body) = reply.into_parts();
    let (chunks, received) = mpsc::channel(BUFFERED_CHUNKS_MAX);
    match body {
        ReplyBody::Buffered(whole) => {
            let whole = whole.unwrap_or_default();
            head.headers
                .insert(CONTENT_LENGTH, HeaderValue::from(whole.len()));
            tokio::spawn(send_part(whole.slice(..whole.len() / 2), chunks));
        }
        ReplyBody::Streaming(source) => {
            tokio::spawn(forward(source, fault.after, clean, chunks));
        }
    }
    Response::from_parts(head, ReplyBody::Streaming(received))
}

async fn send_part(part: Bytes, chunks: ChunkSender) {
    if !part.is_empty() {
        let _ = chunks.send(Ok(part)).await;
    }
    wait_for_flush().await;
    let _ = chunks.send(Err(ConnectionCut::Simulated)).await;
}

async fn forward(
    mut source: mpsc::Receiver<Result<Bytes, ConnectionCut>>,
    chunk_count: u64,
    clean: bool,
    chunks: ChunkSender,
) {
    for _ in 0..chunk_count {
        match source.recv().await {
            Some(chunk) => {
                let _ = chunks.send(chunk).await;
            }
            None => return,
        }
    }
    if !clean {
        wait_for_flush().await;
        let _ = chunks.send(Err(ConnectionCut::Simulated)).await;
    }
}

/// Gives hyper time to write its buffers before the connection closes. Otherwise the head of the
/// answer might never be sent.
async fn wait_for_flush() {
    const FLUSH_MS: u64 = 20;
    tokio::time::sleep(std::time::Duration::from_millis(FLUSH_MS)).await;
}
