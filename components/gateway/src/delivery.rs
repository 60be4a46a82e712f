//! Delivers the parts of an answer to a caller that may not read them.
//!
//! `hyper` polls a body for its next part only when the caller's socket accepts bytes. The
//! resources of a request (its slot at the service, its count in the customer's limit and its
//! drain guard) must not depend on that: a caller that never reads would hold them forever, a few
//! hundred such callers would block a service, and the process could not drain. A separate task
//! therefore reads the parts and sends them through a bounded channel. The task drops the answer
//! with its resources and closes the connection when the caller accepts nothing for a while or
//! the deadline has passed.
//!
//! A body without an explicit end returns an error, whatever happened to the task, so the caller
//! cannot mistake a partial answer for a complete one.

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

/// Maximum number of parts buffered between the task and the caller's connection.
const BUFFERED_PARTS_MAX: usize = 8;
/// Maximum time for which the caller may accept no part.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Additional time after the deadline in which the answer can end with its own error, which is
/// more specific than a closed connection.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// Handle that closes a caller's connection even if its socket accepts no bytes.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCut(Arc<Notify>);

impl ConnectionCut {
    /// Requests that the connection be closed.
    pub fn cut(&self) {
        self.0.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub async fn requested(&self) {
        self.0.notified().await;
    }
}

/// End of an answer, shared by the sending task and the receiving body.
#[derive(Debug, Default)]
struct DeliveryState {
    is_complete: AtomicBool,
    error: OnceLock<AnswerInterrupted>,
    is_abandoned: AtomicBool,
    cut: OnceLock<ConnectionCut>,
}

impl DeliveryState {
    fn fail(&self, failure: Failure) {
        // Keeps the first error.
        let _ = self.error.set(AnswerInterrupted::CallFailed(failure));
    }

    fn abandon(&self) {
        self.fail(Failure::new(RunState::Unknown, Cause::Cancelled));
        // `abandon` sets the flag and then reads the handle; `set_cut` sets the handle and then
        // reads the flag. At least one of them sees both values.
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

/// Receiving side of an answer, polled by the response body.
#[derive(Debug)]
pub struct DeliveredParts {
    parts: mpsc::Receiver<Bytes>,
    state: Arc<DeliveryState>,
    has_yielded: bool,
}

impl DeliveredParts {
    /// Sets the handle that closes the connection if the caller does not read the answer.
    pub fn set_cut(&self, cut: &ConnectionCut) {
        let _ = self.state.cut.set(cut.clone());
        self.state.cut_if_abandoned();
    }

    /// Returns the next part, the end, or the error that ended the answer early.
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
        // `hyper` discards unflushed data when a body fails, and flushes while a body is pending.
        // Without this extra poll the caller would not receive the last part.
        if !std::mem::replace(&mut self.has_yielded, true) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let lost = AnswerInterrupted::CallFailed(Failure::new(RunState::Unknown, Cause::Internal));
        let error = self.state.error.get().copied();
        Poll::Ready(Some(Err(error.unwrap_or(lost))))
    }
}

/// Starts a task that sends the parts, and returns the receiving side.
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
        let result = timeout(left + DEADLINE_GRACE, forward_parts(parts, &sender, &state)).await;
        if result.is_err() {
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
            // The caller has disconnected.
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
