//! What a stand-in answers.

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

/// Chunks between a stand-in and the connection.
const CHUNKS: usize = 64;

quick_error! {
    /// The connection closes here.
    #[derive(Debug)]
    pub enum Cut {
        /// On purpose.
        OnPurpose {
            display("closed on purpose")
        }
    }
}

/// Sender of the chunks of a stream.
pub(crate) type Chunks = mpsc::Sender<Result<Bytes, Cut>>;

/// Body of an answer.
pub(crate) enum ReplyBody {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            ReplyBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ReplyBody::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            ReplyBody::Whole(None) => SizeHint::with_exact(0),
            ReplyBody::Stream(_) => SizeHint::default(),
        }
    }
}

/// An answer.
pub(crate) type Reply = Response<ReplyBody>;

#[derive(Serialize)]
struct Trouble<'a> {
    error: &'a str,
}

/// An answer of these bytes.
pub(crate) fn bytes(status: u16, body: Bytes) -> Reply {
    let mut reply = Response::new(ReplyBody::Whole(Some(body)));
    *reply.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    reply
}

/// An answer of JSON.
pub(crate) fn json(status: u16, document: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(document).unwrap_or_default();
    let mut reply = bytes(status, Bytes::from(body));
    let content = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, content);
    reply
}

/// An answer of `{}`.
pub(crate) fn done() -> Reply {
    json(200, &serde_json::Map::new())
}

/// An error with a word that says what is wrong.
pub(crate) fn error(status: u16, word: &str) -> Reply {
    json(status, &Trouble { error: word })
}

/// An error with a time to come back.
pub(crate) fn come_back(status: u16, word: &str, retry_after_s: u64) -> Reply {
    let mut reply = error(status, word);
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    reply
}

/// A stream of server-sent events and the sender of its chunks.
pub(crate) fn stream() -> (Chunks, Reply) {
    let (chunks, received) = mpsc::channel(CHUNKS);
    let mut reply = Response::new(ReplyBody::Stream(received));
    let content = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, content);
    (chunks, reply)
}

/// The answer with an early end. `clean` makes a stream end as if it were over; a whole
/// answer always breaks off before its stated length.
pub(crate) fn shortened(reply: Reply, fault: &Fault, clean: bool) -> Reply {
    let (mut head, body) = reply.into_parts();
    let (chunks, received) = mpsc::channel(CHUNKS);
    match body {
        ReplyBody::Whole(whole) => {
            let whole = whole.unwrap_or_default();
            head.headers
                .insert(CONTENT_LENGTH, HeaderValue::from(whole.len()));
            tokio::spawn(break_off(whole.slice(..whole.len() / 2), chunks));
        }
        ReplyBody::Stream(source) => {
            tokio::spawn(forward(source, fault.after, clean, chunks));
        }
    }
    Response::from_parts(head, ReplyBody::Stream(received))
}

async fn break_off(part: Bytes, chunks: Chunks) {
    if !part.is_empty() {
        let _ = chunks.send(Ok(part)).await;
    }
    flush_pause().await;
    let _ = chunks.send(Err(Cut::OnPurpose)).await;
}

async fn forward(
    mut source: mpsc::Receiver<Result<Bytes, Cut>>,
    count: u64,
    clean: bool,
    chunks: Chunks,
) {
    for _ in 0..count {
        match source.recv().await {
            Some(chunk) => {
                let _ = chunks.send(chunk).await;
            }
            None => return,
        }
    }
    if !clean {
        flush_pause().await;
        let _ = chunks.send(Err(Cut::OnPurpose)).await;
    }
}

/// Lets hyper write out what it has before the connection breaks; otherwise the answer's
/// head may never leave.
async fn flush_pause() {
    const FLUSH_MS: u64 = 20;
    tokio::time::sleep(std::time::Duration::from_millis(FLUSH_MS)).await;
}
