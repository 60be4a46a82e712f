//! Callee side: a received call and the handle through which its handler sends the answer.

use std::sync::Arc;

use bytes::Bytes;
use protocol::{Head, Open};
use recovery::part_cost_bytes;
use tokio::sync::{Semaphore, mpsc, watch};
use types::{CallId, Cause, Failure, NodeId, RunState};

/// Lower bound of the window. A smaller one could block an answer.
const WINDOW_BYTES_MIN: usize = 1_024;
/// Chunks per window: the body of an answer is split into chunks of at most this fraction of
/// the window, so that chunks are sent while earlier ones are acknowledged, and calls on one
/// connection alternate.
const CHUNKS_PER_WINDOW: usize = 4;
/// Upper bound of the bytes that encode a header, besides its name and value.
const HEADER_OVERHEAD_BYTES: usize = 8;
/// Upper bound of the bytes of a head frame besides its headers.
const HEAD_OVERHEAD_BYTES: usize = 256;

/// A call that the server received.
#[derive(Debug)]
pub struct IncomingCall {
    /// The request with its customer, service and deadline.
    pub open: Open,
    /// The process that sent the call.
    pub from: NodeId,
    /// Handle through which the answer is sent.
    pub answer: AnswerSender,
}

/// An event that a handler reports about its call.
#[derive(Debug)]
pub(crate) enum AnswerEvent {
    Accepted,
    Started,
    Head(Head),
    Chunk(Bytes),
    End,
    Fail(Failure),
    /// The handle was dropped before the answer was complete.
    Dropped,
}

/// Sends the answer to one call.
///
/// Dropping the handle before [`AnswerSender::finish`] or [`AnswerSender::fail`] fails the call
/// with a state that depends on its progress: not run before [`AnswerSender::mark_started`],
/// unknown after it, failed if part of the answer was sent.
#[derive(Debug)]
pub struct AnswerSender {
    id: CallId,
    events: mpsc::UnboundedSender<(CallId, AnswerEvent)>,
    window: Arc<Semaphore>,
    window_bytes: usize,
    frame_bytes_max: usize,
    cancelled: watch::Receiver<bool>,
}

/// Flow control and cancellation of an [`AnswerSender`], held by the server.
#[derive(Debug)]
pub(crate) struct AnswerControl {
    window: Arc<Semaphore>,
    cancelled: watch::Sender<bool>,
}

impl AnswerControl {
    /// Adds `bytes`, which the caller has acknowledged, back to the sender's window.
    pub fn credit(&self, bytes: usize) {
        self.window.add_permits(bytes);
    }

    /// Removes the flow control: the caller is gone and will acknowledge nothing, but the
    /// call must run to its end.
    pub fn unblock(&self) {
        self.window.close();
    }

    /// Cancels the call: no caller waits for the answer.
    pub fn cancel(&self) {
        self.unblock();
        self.cancelled.send_replace(true);
    }
}

impl AnswerSender {
    pub(crate) fn new(
        id: CallId,
        events: mpsc::UnboundedSender<(CallId, AnswerEvent)>,
        window_bytes: usize,
        frame_bytes_max: usize,
    ) -> (Self, AnswerControl) {
        let window_bytes = window_bytes.max(WINDOW_BYTES_MIN);
        let window = Arc::new(Semaphore::new(window_bytes));
        let (cancel_sender, cancelled) = watch::channel(false);
        let control = AnswerControl {
            window: window.clone(),
            cancelled: cancel_sender,
        };
        let answer = Self {
            id,
            events,
            window,
            window_bytes,
            frame_bytes_max,
            cancelled,
        };
        (answer, control)
    }

    /// The id of the call, for log lines.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Reports that the call was admitted and will be refused or started.
    pub fn mark_accepted(&self) {
        self.send_event(AnswerEvent::Accepted);
    }

    /// Reports that the call is now sent to the endpoint. Must be called before the first byte
    /// is sent there: from then on a failure is no longer reported as "not run".
    pub fn mark_started(&self) {
        self.send_event(AnswerEvent::Started);
    }

    /// Sends the status and headers. Fails the call if they exceed the largest frame.
    pub async fn send_head(&self, head: Head) {
        if head_frame_bytes(&head) > self.frame_bytes_max {
            self.fail(Failure::new(RunState::Failed, Cause::TooLarge));
            return;
        }
        self.send_event(AnswerEvent::Head(head));
    }

    /// Sends the next bytes of the body and waits while the window is used up. Does not wait
    /// once the call is cancelled.
    pub async fn send_chunk(&self, mut bytes: Bytes) {
        let chunk_bytes = self.window_bytes / CHUNKS_PER_WINDOW;
        while !bytes.is_empty() {
            let chunk = bytes.split_to(chunk_bytes.min(bytes.len()));
            self.acquire_window(chunk.len()).await;
            self.send_event(AnswerEvent::Chunk(chunk));
        }
    }

    /// Completes the answer.
    pub fn finish(&self) {
        self.send_event(AnswerEvent::End);
    }

    /// Ends the call with a failure; parts that were sent before stay sent.
    pub fn fail(&self, failure: Failure) {
        self.send_event(AnswerEvent::Fail(failure));
    }

    /// Completes when the call is cancelled, by its caller or because its caller is gone.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.clone();
        // An error means that the server has ended, and the call with it.
        let _ = cancelled.wait_for(|&cancelled| cancelled).await;
    }

    async fn acquire_window(&self, size_bytes: usize) {
        let cost_bytes = part_cost_bytes(size_bytes).min(self.window_bytes);
        let cost_bytes = u32::try_from(cost_bytes).unwrap_or(u32::MAX);
        // The acquisition fails only on a closed semaphore, which removes the flow control.
        if let Ok(permit) = self.window.acquire_many(cost_bytes).await {
            permit.forget();
        }
    }

    fn send_event(&self, event: AnswerEvent) {
        // Sending fails only after the server has ended; then no caller can receive the event.
        let _ = self.events.send((self.id, event));
    }
}

impl Drop for AnswerSender {
    fn drop(&mut self) {
        self.send_event(AnswerEvent::Dropped);
    }
}

fn head_frame_bytes(head: &Head) -> usize {
    let headers = head.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
    HEAD_OVERHEAD_BYTES + header_bytes.sum::<usize>()
}
