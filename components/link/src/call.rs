//! The caller's handle for one call.

use protocol::Open;
use recovery::{CallEvent, part_cost_bytes};
use tokio::sync::mpsc;
use types::{CallId, Cause, Failure, RunState};

/// Acknowledgements per window: received parts are acknowledged once they amount to this
/// fraction of the window, so that the callee can send while an acknowledgement is in transit.
const ACKS_PER_WINDOW: usize = 4;

/// A command from [`crate::Links`] or from the handle of a call to the task of the peer.
#[derive(Debug)]
pub(crate) enum Command {
    Open {
        open: Box<Open>,
        events: mpsc::UnboundedSender<CallEvent>,
    },
    /// The caller has consumed all parts before `next_part`.
    Consumed {
        id: CallId,
        next_part: u32,
    },
    Cancel {
        id: CallId,
    },
}

/// A call in progress. Dropping the handle before the last event cancels the call at the
/// callee.
#[derive(Debug)]
pub struct Call {
    id: CallId,
    commands: mpsc::UnboundedSender<Command>,
    events: mpsc::UnboundedReceiver<CallEvent>,
    last: Option<CallEvent>,
    window_bytes: usize,
    next_part: u32,
    unacknowledged_bytes: usize,
}

impl Call {
    pub(crate) fn new(
        id: CallId,
        commands: mpsc::UnboundedSender<Command>,
        events: mpsc::UnboundedReceiver<CallEvent>,
        window_bytes: usize,
    ) -> Self {
        Self {
            id,
            commands,
            events,
            last: None,
            window_bytes,
            next_part: 0,
            unacknowledged_bytes: 0,
        }
    }

    /// The id of this attempt; a retry of the same request has another id.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Waits for the next event. After the last event ([`CallEvent::End`] or
    /// [`CallEvent::Failed`]) every further call returns that event again. Cancel safe: no
    /// event is lost if the future is dropped.
    pub async fn next(&mut self) -> CallEvent {
        if let Some(last) = &self.last {
            return last.clone();
        }
        let unknown = Failure::new(RunState::Unknown, Cause::Internal);
        let event = self.events.recv().await;
        let event = event.unwrap_or(CallEvent::Failed(unknown));
        self.record_event(&event);
        event
    }

    fn record_event(&mut self, event: &CallEvent) {
        match event {
            CallEvent::Head(_) => self.record_part(0),
            CallEvent::Chunk(bytes) => self.record_part(bytes.len()),
            CallEvent::End | CallEvent::Failed(_) => self.last = Some(event.clone()),
            CallEvent::Accepted | CallEvent::Started => {}
        }
    }

    fn record_part(&mut self, size_bytes: usize) {
        self.next_part += 1;
        self.unacknowledged_bytes += part_cost_bytes(size_bytes);
        if self.unacknowledged_bytes < self.window_bytes / ACKS_PER_WINDOW {
            return;
        }
        self.unacknowledged_bytes = 0;
        let (id, next_part) = (self.id, self.next_part);
        let _ = self.commands.send(Command::Consumed { id, next_part });
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.last.is_none() {
            let _ = self.commands.send(Command::Cancel { id: self.id });
        }
    }
}
