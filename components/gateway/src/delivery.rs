//! Parts of an answer on their way to a caller who may not read them.
//!
//! `hyper` asks a body for its next part only when the caller's socket takes bytes. What
//! a request holds (its place at the service, its count among the customer's requests,
//! its part of the drain) must not hang on that: a caller who reads nothing would keep
//! it for ever, a few hundred of them would shut everybody out of a service, and the
//! process could not leave. So a task of its own takes the parts and hands them over. It
//! drops the answer, with all that it holds, when the caller takes nothing for a while
//! or the request's time is over, and has the connection cut.
//!
//! The caller can't take what it has for the whole: without an explicit end the body
//! ends in an error, whatever became of the task.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use node::now_ms;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;
use types::{Cause, Failure, RunState};

use crate::answer_interrupted::AnswerInterrupted;

/// Parts between the task and the caller's connection.
const BUFFERED_PARTS_MAX: usize = 8;
/// Longest time without the caller taking a part.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the deadline for the answer's own end, which says more than a cut.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// Cuts a caller's connection, whatever its socket does.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCut(Arc<Notify>);

impl ConnectionCut {
    /// Cuts the connection.
    pub fn cut(&self) {
        self.0.notify_one();
    }

    /// Waits until the connection is to be cut.
    pub async fn requested(&self) {
        self.0.notified().await;
    }
}

/// How an answer ended, for both sides of its delivery.
#[derive(Debug, Default)]
struct DeliveryState {
    is_complete: AtomicBool,
    error: OnceLock<AnswerInterrupted>,
    is_abandoned: AtomicBool,
    cut: OnceLock<ConnectionCut>,
}

impl DeliveryState {
    fn fail(&self, failure: Failure) {
        // The first reason stays.
        let _ = self.error.set(AnswerInterrupted::CallFailed(failure));
    }

    fn abandon(&self) {
        self.fail(Failure::new(RunState::Unknown, Cause::Cancelled));
        // Set first, looked at after; `cut_with` does it the other way round, so one of
        // the two sees the other.
        self.is_abandoned.store(true, Ordering::SeqCst);
        self.cut_if_abandoned();
    }

    fn cut_if_abandoned(&self) {
        if let Some(cut) = self.cut.get()
            && self.is_abandoned.load(Ordering::SeqCst)
        {
            cut.cut();
        }
    }
}

/// The caller's side of an answer.
#[derive(Debug)]
pub struct DeliveredParts {
    parts: mpsc::Receiver<Bytes>,
    state: Arc<DeliveryState>,
    has_yielded: bool,
}

impl DeliveredParts {
    /// Cuts a connection when the caller does not take the answer.
    pub fn set_cut(&self, cut: &ConnectionCut) {
        let _ = self.state.cut.set(cut.clone());
        self.state.cut_if_abandoned();
    }

    /// The next part, or the end.
    pub fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerInterrupted>>> {
        if let Some(bytes) = ready!(self.parts.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(bytes)));
        }
        if self.state.is_complete.load(Ordering::SeqCst) {
            return Poll::Ready(None);
        }
        // `hyper` drops what it has not flushed when a body fails, and it flushes when a
        // body has nothing at the moment; the last part would not be seen.
        if !std::mem::replace(&mut self.has_yielded, true) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let lost = AnswerInterrupted::CallFailed(Failure::new(RunState::Unknown, Cause::Internal));
        let error = self.state.error.get().copied();
        Poll::Ready(Some(Err(error.unwrap_or(lost))))
    }
}

/// Hands the parts over in a task of its own.
pub fn deliver(
    parts: impl Stream<Item = Result<Bytes, AnswerInterrupted>> + Send + 'static,
    deadline_at_ms: u64,
) -> DeliveredParts {
    let (sender, receiver) = mpsc::channel(BUFFERED_PARTS_MAX);
    let state = Arc::new(DeliveryState::default());
    let received = DeliveredParts {
        parts: receiver,
        state: Arc::clone(&state),
        has_yielded: false,
    };
    let left = Duration::from_millis(deadline_at_ms.saturating_sub(now_ms()));
    tokio::spawn(async move {
        let forwarded = timeout(left + DEADLINE_GRACE, forward_parts(parts, &sender, &state)).await;
        if forwarded.is_err() {
            state.abandon();
        }
    });
    received
}

async fn forward_parts(
    parts: impl Stream<Item = Result<Bytes, AnswerInterrupted>>,
    sender: &mpsc::Sender<Bytes>,
    state: &DeliveryState,
) {
    let mut parts = pin!(parts);
    loop {
        let part = tokio::select! {
            biased;
            // The caller is gone.
            () = sender.closed() => return,
            part = parts.next() => part,
        };
        match part {
            Some(Ok(bytes)) => match timeout(STALL_TIMEOUT, sender.send(bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => return state.abandon(),
            },
            Some(Err(AnswerInterrupted::CallFailed(failure))) => return state.fail(failure),
            None => return state.is_complete.store(true, Ordering::SeqCst),
        }
    }
}
