//! The caller's handle of one call.

use protocol::Open;
use recovery::{CallEvent, part_cost_bytes};
use tokio::sync::mpsc;
use types::{CallId, Cause, Failure, RunState};

/// Share of the window after which the callee hears that parts were taken.
const WINDOW_SHARES: usize = 4;

/// From a call's handle, or from [`crate::Links`], to the task of the peer.
#[derive(Debug)]
pub(crate) enum Command {
    Open {
        open: Box<Open>,
        events: mpsc::UnboundedSender<CallEvent>,
    },
    /// The caller has taken all parts before `next_part`.
    Taken {
        id: CallId,
        next_part: u32,
    },
    Cancel {
        id: CallId,
    },
}

/// A call in progress. Dropped before its last event, it is cancelled at the callee.
#[derive(Debug)]
pub struct Call {
    id: CallId,
    commands: mpsc::UnboundedSender<Command>,
    events: mpsc::UnboundedReceiver<CallEvent>,
    last: Option<CallEvent>,
    window_bytes: usize,
    next_part: u32,
    untold_bytes: usize,
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
            untold_bytes: 0,
        }
    }

    /// Identity of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Waits for the next event. After the last one ([`CallEvent::End`] or
    /// [`CallEvent::Failed`]) it gives that one again. Safe to drop half-way: no event
    /// is lost.
    pub async fn next(&mut self) -> CallEvent {
        if let Some(last) = &self.last {
            return last.clone();
        }
        let unknown = Failure::new(RunState::Unknown, Cause::Internal);
        let event = self.events.recv().await;
        let event = event.unwrap_or(CallEvent::Failed(unknown));
        self.account(&event);
        event
    }

    fn account(&mut self, event: &CallEvent) {
        match event {
            CallEvent::Head(_) => self.taken(0),
            CallEvent::Chunk(bytes) => self.taken(bytes.len()),
            CallEvent::End | CallEvent::Failed(_) => self.last = Some(event.clone()),
            CallEvent::Accepted | CallEvent::Started => {}
        }
    }

    fn taken(&mut self, size_bytes: usize) {
        self.next_part += 1;
        self.untold_bytes += part_cost_bytes(size_bytes);
        if self.untold_bytes < self.window_bytes / WINDOW_SHARES {
            return;
        }
        self.untold_bytes = 0;
        let (id, next_part) = (self.id, self.next_part);
        let _ = self.commands.send(Command::Taken { id, next_part });
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.last.is_none() {
            let _ = self.commands.send(Command::Cancel { id: self.id });
        }
    }
}
