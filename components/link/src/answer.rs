//! Callee side: what a handler gets for each call.

use std::sync::Arc;

use bytes::Bytes;
use protocol::{Head, Open};
use recovery::part_cost_bytes;
use tokio::sync::{Semaphore, mpsc, watch};
use types::{CallId, Cause, Failure, NodeId, RunState};

/// Smallest window that lets an answer move.
const WINDOW_BYTES_MIN: usize = 1_024;
/// Pieces of an answer are at most this share of the window, so that they flow while
/// others are acknowledged, and calls on one connection take turns.
const PIECE_SHARE: usize = 4;
/// Bytes that a header may have beside its two texts.
const HEADER_OVERHEAD_BYTES: usize = 8;
/// Bytes of a frame that a head cannot use.
const HEAD_OVERHEAD_BYTES: usize = 256;

/// A call that has arrived.
#[derive(Debug)]
pub struct IncomingCall {
    /// The call.
    pub open: Open,
    /// The process that calls.
    pub from: NodeId,
    /// Takes the answer.
    pub answer: AnswerSender,
}

/// What a handler says of a call.
#[derive(Debug)]
pub(crate) enum Said {
    Accepted,
    Started,
    Head(Head),
    Chunk(Bytes),
    End,
    Fail(Failure),
    Dropped,
}

/// Takes the answer to one call. Dropped before [`AnswerSender::finish`] or [`AnswerSender::fail`], it
/// fails the call: not run when [`AnswerSender::mark_started`] was never called, unknown when it
/// was, failed when part of the answer was given.
#[derive(Debug)]
pub struct AnswerSender {
    id: CallId,
    said: mpsc::UnboundedSender<(CallId, Said)>,
    window: Arc<Semaphore>,
    window_bytes: usize,
    frame_bytes_max: usize,
    cancelled: watch::Receiver<bool>,
}

/// The server's end of an [`AnswerSender`].
#[derive(Debug)]
pub(crate) struct AnswerControl {
    window: Arc<Semaphore>,
    cancelled: watch::Sender<bool>,
}

impl AnswerControl {
    /// The caller has taken parts.
    pub fn credit(&self, bytes: usize) {
        self.window.add_permits(bytes);
    }

    /// The answer must not wait for its caller.
    pub fn unblock(&self) {
        self.window.close();
    }

    /// Nobody wants the answer.
    pub fn cancel(&self) {
        self.unblock();
        self.cancelled.send_replace(true);
    }
}

impl AnswerSender {
    pub(crate) fn new(
        id: CallId,
        said: mpsc::UnboundedSender<(CallId, Said)>,
        window_bytes: usize,
        frame_bytes_max: usize,
    ) -> (Self, AnswerControl) {
        let window_bytes = window_bytes.max(WINDOW_BYTES_MIN);
        let window = Arc::new(Semaphore::new(window_bytes));
        let (cancel, cancelled) = watch::channel(false);
        let control = AnswerControl {
            window: window.clone(),
            cancelled: cancel,
        };
        let answer = Self {
            id,
            said,
            window,
            window_bytes,
            frame_bytes_max,
            cancelled,
        };
        (answer, control)
    }

    /// Identity of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// The call is taken in.
    pub fn mark_accepted(&self) {
        self.say(Said::Accepted);
    }

    /// The call is handed to the endpoint now. Must come before the first byte leaves for
    /// the endpoint; from here on nobody is told that the call was not run.
    pub fn mark_started(&self) {
        self.say(Said::Started);
    }

    /// Status and headers of the answer; ones too large for a frame fail the call.
    pub async fn send_head(&self, head: Head) {
        if head_bytes(&head) > self.frame_bytes_max {
            self.fail(Failure::new(RunState::Failed, Cause::TooLarge));
            return;
        }
        self.say(Said::Head(head));
    }

    /// The next bytes of the answer; waits while the caller's window is full. Returns at
    /// once when the call was cancelled.
    pub async fn send_chunk(&self, mut bytes: Bytes) {
        let piece_bytes = self.window_bytes / PIECE_SHARE;
        while !bytes.is_empty() {
            let piece = bytes.split_to(piece_bytes.min(bytes.len()));
            self.enter_window(piece.len()).await;
            self.say(Said::Chunk(piece));
        }
    }

    /// The answer is whole.
    pub fn finish(&self) {
        self.say(Said::End);
    }

    /// There is no whole answer.
    pub fn fail(&self, failure: Failure) {
        self.say(Said::Fail(failure));
    }

    /// Waits until nobody wants the answer any more.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.clone();
        // An error says that the server is gone, and with it everybody who could ask.
        let _ = cancelled.wait_for(|&cancelled| cancelled).await;
    }

    async fn enter_window(&self, size_bytes: usize) {
        let cost_bytes = part_cost_bytes(size_bytes).min(self.window_bytes);
        let cost_bytes = u32::try_from(cost_bytes).unwrap_or(u32::MAX);
        // A closed window lets everything pass.
        if let Ok(permit) = self.window.acquire_many(cost_bytes).await {
            permit.forget();
        }
    }

    fn say(&self, said: Said) {
        // Without a server there is nobody left to tell.
        let _ = self.said.send((self.id, said));
    }
}

impl Drop for AnswerSender {
    fn drop(&mut self) {
        self.say(Said::Dropped);
    }
}

fn head_bytes(head: &Head) -> usize {
    let headers = head.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
    HEAD_OVERHEAD_BYTES + header_bytes.sum::<usize>()
}
