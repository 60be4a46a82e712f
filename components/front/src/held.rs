//! Data that the front holds for clients and replicas that read slowly.
//!
//! Each request counts the part of its own body and of its answer that the front holds. The sum
//! over all requests is limited by [`HeldLimits`], a part of the process's memory: a request that
//! exceeds it is refused before it runs, and an answer is dropped. A client that takes no data for
//! some time is cut off (see [`crate::client_io`]), so the front cannot stay full.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use derive::value;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use platform::{BodyError, ResponseBody};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::answers::AnswerGuard;

/// Longest body of a small request, in bytes.
const SMALL_BYTES_MAX: u64 = 64 * 1024;
/// Shortest and longest time that a body waits for other requests to release data, in milliseconds.
/// Bodies that wait for one another give up at different times, so that some of them are read.
const WAIT_MS: std::ops::Range<u64> = 100..400;
/// Part of a body that is passed to the connection at once. The connection takes the next part when
/// it has written this one.
const PART_BYTES: usize = 64 * 1024;

/// Limits on the sum of the data that is held, in bytes.
#[value]
#[derive(Copy)]
pub struct HeldLimits {
    /// For bodies of large requests, large answers that are still arriving, and long texts of items.
    pub large_requests: u64,
    /// For bodies of small requests, which are admitted while large ones are refused.
    pub small_requests: u64,
    /// For answers: the rest is left to requests that run.
    pub answers: u64,
}

impl HeldLimits {
    /// Limits for a process with this much memory, in bytes. The rest is for its state, and for what
    /// the allocator keeps.
    pub fn of_memory(memory_bytes: u64) -> Self {
        let answers = memory_bytes / 5 * 2;
        Self {
            large_requests: answers / 4 * 3,
            small_requests: answers / 8 * 7,
            answers,
        }
    }

    /// An answer that is still arriving leaves room for small requests if it is a long one.
    fn of_arriving_answer(&self, bytes: u64) -> u64 {
        match bytes <= SMALL_BYTES_MAX {
            true => self.answers,
            false => self.large_requests,
        }
    }

    fn of_request(&self, bytes: u64) -> u64 {
        match bytes <= SMALL_BYTES_MAX {
            true => self.small_requests,
            false => self.large_requests,
        }
    }
}

/// Sum of the data that is held for all requests.
#[derive(Debug)]
pub struct HeldBytes {
    bytes: AtomicU64,
    limits: HeldLimits,
    /// Wakes the bodies that wait for data to be released.
    released: Notify,
}

impl HeldBytes {
    /// Nothing is held yet.
    pub fn new(limits: HeldLimits) -> Self {
        Self {
            bytes: AtomicU64::new(0),
            limits,
            released: Notify::new(),
        }
    }

    /// The sum, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Starts the count of a request whose body has `bytes`; `None` if the front holds too much.
    pub fn admit(self: &Arc<Self>, bytes: u64) -> Option<Arc<HeldGuard>> {
        let guard = Arc::new(self.guard());
        let limit = self.limits.of_request(bytes);
        guard.try_add(bytes, limit).then_some(guard)
    }

    /// Starts the count of a call whose answer has probably `answer_bytes`; `None` if the front holds
    /// too much already for one that is long. It would run in vain.
    pub fn admit_call(self: &Arc<Self>, answer_bytes: u64) -> Option<Arc<HeldGuard>> {
        let guard = self.admit(0)?;
        let is_small = answer_bytes <= SMALL_BYTES_MAX;
        let limit = self.limits.large_requests;
        let would_hold = self.bytes() + answer_bytes.min(limit);
        (is_small || would_hold <= limit).then_some(guard)
    }

    /// Starts a count of nothing.
    pub fn guard(self: &Arc<Self>) -> HeldGuard {
        HeldGuard {
            held: Arc::clone(self),
            bytes: AtomicU64::new(0),
        }
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
    /// Counts `bytes` more of an answer; false if the front would hold too much.
    pub fn try_hold(&self, bytes: u64) -> bool {
        self.try_add(bytes, self.held.limits.answers)
    }

    /// Counts the text of an item, which takes `bytes` in all, if it is a long one; false if the front
    /// would hold too much.
    pub fn try_hold_text(&self, bytes: u64) -> bool {
        let missing = bytes.saturating_sub(self.bytes.load(Ordering::Relaxed));
        bytes <= SMALL_BYTES_MAX || self.try_add(missing, self.held.limits.large_requests)
    }

    /// Counts the body of a request of unknown length, of which `bytes` have arrived. A body that is no
    /// small one any more counts with the longest length that it may have: two bodies that each hold a
    /// part would wait for each other.
    pub async fn hold_undeclared(&self, bytes: u64, limit_bytes: u64) -> bool {
        let missing = self.missing_of_undeclared(bytes, limit_bytes);
        missing == 0 || self.hold_request(missing).await
    }

    /// Like [`HeldGuard::hold_undeclared`], for the body of an answer; waits until it may be held.
    pub async fn hold_undeclared_answer(&self, bytes: u64, limit_bytes: u64) {
        let missing = self.missing_of_undeclared(bytes, limit_bytes);
        if missing > 0 {
            self.hold_answer(missing).await;
        }
    }

    fn missing_of_undeclared(&self, bytes: u64, limit_bytes: u64) -> u64 {
        let wanted = match bytes <= SMALL_BYTES_MAX {
            true => bytes,
            false => limit_bytes.max(bytes),
        };
        wanted.saturating_sub(self.bytes.load(Ordering::Relaxed))
    }

    /// Releases what is counted beyond `bytes`.
    pub fn shrink_to(&self, bytes: u64) {
        let counted = self.bytes.load(Ordering::Relaxed);
        self.release(counted.saturating_sub(bytes));
    }

    /// Counts `bytes` more of a request that has not run yet. Waits a little if the front would hold
    /// too much; false if it still would.
    pub async fn hold_request(&self, bytes: u64) -> bool {
        let limits = &self.held.limits;
        let total = self.bytes.load(Ordering::Relaxed) + bytes;
        let limit = limits.of_request(total);
        let wait_ms = WAIT_MS.start + rand::random::<u64>() % (WAIT_MS.end - WAIT_MS.start);
        let wait = Duration::from_millis(wait_ms);
        timeout(wait, self.wait_and_add(bytes, limit)).await.is_ok()
    }

    /// Counts `bytes` more of an answer that arrives from a replica, once the front may hold them.
    pub async fn hold_answer(&self, bytes: u64) {
        let total = self.bytes.load(Ordering::Relaxed) + bytes;
        let limit = self.held.limits.of_arriving_answer(total);
        self.wait_and_add(bytes, limit).await;
    }

    async fn wait_and_add(&self, bytes: u64, limit: u64) {
        loop {
            let released = self.held.released.notified();
            if self.try_add(bytes, limit) {
                return;
            }
            released.await;
        }
    }

    /// Counts `bytes` less.
    pub fn release(&self, bytes: u64) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.held.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.held.released.notify_waiters();
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
