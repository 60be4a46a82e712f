//! Data that the front holds for clients and replicas that read slowly.
//!
//! Each request counts the part of its own body and of its answer that the front holds. The sum
//! over all requests is limited: above [`ADMISSION_BYTES_MAX`] new requests are refused before they
//! run, and an answer that would exceed [`HELD_BYTES_MAX`] is dropped. A client that takes no data
//! for some time is cut off (see [`crate::client_io`]), so the front cannot stay full.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use platform::{BodyError, ResponseBody};

use crate::answers::AnswerGuard;

/// Limit on the data that is held for all requests. The smallest fronts have 160 MB of memory.
const HELD_BYTES_MAX: u64 = 64 * 1024 * 1024;
/// New requests are refused from here on. The rest is left for answers of requests that run.
const ADMISSION_BYTES_MAX: u64 = HELD_BYTES_MAX / 4 * 3;
/// Part of a body that is passed to the connection at once. The connection takes the next part when
/// it has written this one.
const PART_BYTES: usize = 64 * 1024;

/// Sum of the data that is held for all requests.
#[derive(Debug, Default)]
pub struct HeldBytes {
    bytes: AtomicU64,
}

impl HeldBytes {
    /// The sum, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Starts the count of a request whose body has `bytes`; `None` if the front holds too much.
    pub fn admit(self: &Arc<Self>, bytes: u64) -> Option<Arc<HeldGuard>> {
        let guard = Arc::new(HeldGuard {
            held: Arc::clone(self),
            bytes: AtomicU64::new(0),
        });
        guard.try_add(bytes, ADMISSION_BYTES_MAX).then_some(guard)
    }
}

/// Counts the body of a complete answer and passes the count on with it; false if the front would
/// hold too much.
pub fn try_hold_answer(answer: &mut Response<ResponseBody>, guard: Arc<HeldGuard>) -> bool {
    guard.release_all();
    let holds = guard.try_hold(answer.body().size_hint().lower());
    answer.extensions_mut().insert(guard);
    holds
}

/// Data that is held for one request; dropping it releases the data.
#[derive(Debug)]
pub struct HeldGuard {
    held: Arc<HeldBytes>,
    bytes: AtomicU64,
}

impl HeldGuard {
    /// Counts `bytes` more; false if the front would hold too much.
    pub fn try_hold(&self, bytes: u64) -> bool {
        self.try_add(bytes, HELD_BYTES_MAX)
    }

    /// Counts `bytes` less.
    pub fn release(&self, bytes: u64) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.held.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Releases everything that is counted so far.
    pub fn release_all(&self) {
        self.release(self.bytes.load(Ordering::Relaxed));
    }

    fn try_add(&self, bytes: u64, max_bytes: u64) -> bool {
        let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= max_bytes);
        let added = self
            .held
            .bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        if added.is_ok() {
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        added.is_ok()
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.release_all();
    }
}

/// Body of an answer whose data is counted until the connection takes it.
pub struct HeldBody {
    body: ResponseBody,
    guard: Option<Arc<HeldGuard>>,
    _in_progress: AnswerGuard,
}

impl HeldBody {
    /// Wraps the body of an answer. Its count is the [`HeldGuard`] in the extensions of the answer;
    /// an answer without one has a status and a short text, and is not counted.
    pub fn wrap(mut answer: Response<ResponseBody>, in_progress: AnswerGuard) -> Response<Self> {
        let guard = answer.extensions_mut().remove::<Arc<HeldGuard>>();
        answer.map(|body| Self {
            body,
            guard,
            _in_progress: in_progress,
        })
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let frame = match &mut this.body {
            ResponseBody::Full(bytes) if bytes.len() > PART_BYTES => {
                Some(Ok(Frame::data(bytes.split_to(PART_BYTES))))
            }
            body => ready!(Pin::new(body).poll_frame(cx)),
        };
        if let (Some(guard), Some(Ok(frame))) = (&this.guard, &frame) {
            guard.release(frame.data_ref().map_or(0, Bytes::len) as u64);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
