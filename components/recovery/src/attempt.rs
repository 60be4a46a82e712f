//! Caller side of one call, which may span several connections.
//!
//! The state machine reports [`RunState::NotRun`] in two cases only:
//!
//! * The callee refused the call and never reported that it had started it.
//! * The `Open` frame was never written completely to any connection: at most a part of the
//!   frame left this process before the connection was closed. A callee acts on a frame only
//!   when its length and its authentication code are complete, so a partial frame has no
//!   effect even if it arrives later.
//!
//! If the callee does not know a call whose `Open` was written completely, the frame was lost
//! in transit: the callee has not restarted since the frame was sent, and it closed the older
//! connection, on which the frame could still have arrived, when it greeted the new
//! connection. The `Open` may then be written again.

use protocol::Frame;
use types::{CallId, Cause, Failure, RunState};

use crate::CallEvent;
use crate::attempt_event::{AttemptAction, AttemptEvent};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No open connection has received any byte of the call.
    Waiting,
    /// The connection's writer has the `Open`; how many of its bytes were sent is unknown.
    Queued,
    /// The `Open` was written completely.
    Sent,
    Accepted,
    Started,
    /// Parts of the response were received.
    Responding,
    Ended,
}

/// State machine of one call on the caller's side.
#[derive(Clone, Debug)]
pub struct Attempt {
    id: CallId,
    phase: Phase,
    deadline_at_ms: u64,
    reattach_for_ms: u64,
    /// Boot number of the callee that the `Open` was written to.
    life: Option<u64>,
    connected: bool,
    lost_at_ms: Option<u64>,
    /// An `Attach` was sent on this connection and has not been answered.
    attach_pending: bool,
    next_part: u32,
    body_bytes: u64,
}

impl Attempt {
    /// Creates a call whose deadline is `deadline_left_ms` from now. After its connection is
    /// lost, the call waits up to `reattach_for_ms` for another connection before it fails.
    pub fn new(id: CallId, now_ms: u64, deadline_left_ms: u32, reattach_for_ms: u64) -> Self {
        Self {
            id,
            phase: Phase::Waiting,
            deadline_at_ms: now_ms + u64::from(deadline_left_ms),
            reattach_for_ms,
            life: None,
            connected: false,
            lost_at_ms: None,
            attach_pending: false,
            next_part: 0,
            body_bytes: 0,
        }
    }

    /// Whether the caller received the last event of the call.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Whether the `Open` was passed to the connection's writer, which has not reported the
    /// result yet.
    pub fn is_queued(&self) -> bool {
        self.phase == Phase::Queued
    }

    /// Number of the first part of the response that was not received yet.
    pub fn next_part(&self) -> u32 {
        self.next_part
    }

    /// Time at which the driver must pass [`AttemptEvent::Timer`].
    pub fn wake_at_ms(&self) -> u64 {
        let lost = self.lost_at_ms.map(|at_ms| at_ms + self.reattach_for_ms);
        lost.map_or(self.deadline_at_ms, |at_ms| at_ms.min(self.deadline_at_ms))
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, event: AttemptEvent, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        if self.is_ended() {
            return;
        }
        match event {
            AttemptEvent::Connected { life } => self.on_connected(life, now_ms, actions),
            AttemptEvent::ConnectFailed => self.on_connect_failed(actions),
            AttemptEvent::Written => self.mark_written(),
            AttemptEvent::WriteFailed => self.on_write_failed(now_ms),
            AttemptEvent::LinkLost => self.on_link_lost(now_ms),
            AttemptEvent::Frame(frame) => self.on_frame(frame, now_ms, actions),
            AttemptEvent::Timer { withdrawn } => self.on_timer(withdrawn, now_ms, actions),
            AttemptEvent::Cancel { withdrawn } => {
                self.abandon(withdrawn, Cause::Cancelled, actions);
            }
        }
    }

    fn on_connected(&mut self, life: u64, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        self.connected = true;
        self.lost_at_ms = None;
        if self.phase == Phase::Waiting {
            self.life = Some(life);
            self.send_open(now_ms, actions);
        } else if self.life == Some(life) {
            self.attach_pending = true;
            self.send_attach(actions);
        } else {
            // The callee restarted and lost its record of the call. The endpoint may still
            // run the call, so the outcome is unknown.
            self.fail(RunState::Unknown, Cause::LinkLost, actions);
        }
    }

    fn on_connect_failed(&mut self, actions: &mut Vec<AttemptAction>) {
        if self.phase == Phase::Waiting {
            self.fail(RunState::NotRun, Cause::LinkLost, actions);
        }
    }

    fn mark_written(&mut self) {
        if self.phase == Phase::Queued {
            self.phase = Phase::Sent;
        }
    }

    fn on_write_failed(&mut self, now_ms: u64) {
        if self.phase == Phase::Queued {
            self.phase = Phase::Waiting;
            self.connected = false;
        } else {
            self.on_link_lost(now_ms);
        }
    }

    fn on_link_lost(&mut self, now_ms: u64) {
        // If the writer reported no result, the `Open` may have reached the callee.
        self.mark_written();
        self.connected = false;
        self.attach_pending = false;
        if self.phase != Phase::Waiting {
            self.lost_at_ms.get_or_insert(now_ms);
        }
    }

    fn on_timer(&mut self, withdrawn: bool, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        if now_ms >= self.deadline_at_ms {
            self.abandon(withdrawn, Cause::DeadlinePassed, actions);
        } else if now_ms >= self.wake_at_ms() {
            self.fail(RunState::Unknown, Cause::LinkLost, actions);
        }
    }

    fn abandon(&mut self, withdrawn: bool, cause: Cause, actions: &mut Vec<AttemptAction>) {
        let was_not_sent = self.phase == Phase::Waiting || (self.is_queued() && withdrawn);
        if was_not_sent {
            self.fail(RunState::NotRun, cause, actions);
            return;
        }
        if self.connected {
            actions.push(AttemptAction::Send(Frame::Cancel { id: self.id }));
        }
        self.fail(RunState::Unknown, cause, actions);
    }

    fn on_frame(&mut self, frame: Frame, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        if !self.connected || frame.id() != Some(self.id) {
            return;
        }
        // Any reply except `Unattached` proves that the callee received the whole `Open`, even
        // if the writer has not reported the write yet.
        if !matches!(frame, Frame::Unattached { .. }) {
            self.mark_written();
        }
        match frame {
            Frame::Accepted { .. } => {
                self.advance(Phase::Accepted, CallEvent::Accepted, actions);
            }
            Frame::Started { .. } => self.advance(Phase::Started, CallEvent::Started, actions),
            Frame::Head { head, .. } => self.on_part(0, CallEvent::Head(head), 0, actions),
            Frame::Chunk { part, bytes, .. } if part > 0 => {
                let size_bytes = bytes.len() as u64;
                self.on_part(part, CallEvent::Chunk(bytes), size_bytes, actions);
            }
            Frame::End {
                parts, body_bytes, ..
            } => self.on_end(parts, body_bytes, actions),
            Frame::Fail { failure, .. } => self.on_refused(failure, actions),
            Frame::Unattached { .. } => self.on_unattached(now_ms, actions),
            _ => {}
        }
    }

    fn advance(&mut self, to: Phase, event: CallEvent, actions: &mut Vec<AttemptAction>) {
        if self.phase < to {
            self.phase = to;
            actions.push(AttemptAction::Deliver(event));
        }
    }

    fn on_part(
        &mut self,
        number: u32,
        event: CallEvent,
        size_bytes: u64,
        actions: &mut Vec<AttemptAction>,
    ) {
        if number < self.next_part {
            return;
        }
        if number > self.next_part {
            self.request_missing_parts(actions);
            return;
        }
        self.advance(Phase::Started, CallEvent::Started, actions);
        self.phase = Phase::Responding;
        self.attach_pending = false;
        self.next_part += 1;
        self.body_bytes += size_bytes;
        actions.push(AttemptAction::Deliver(event));
    }

    fn on_end(&mut self, parts: u32, body_bytes: u64, actions: &mut Vec<AttemptAction>) {
        if parts > self.next_part {
            self.request_missing_parts(actions);
            return;
        }
        actions.push(AttemptAction::Send(Frame::Forget { id: self.id }));
        // A stream may be closed cleanly although its source died half-way, so the response is
        // complete only if both counts match. The caller must get an error for a shorter one.
        let complete = parts > 0 && parts == self.next_part && body_bytes == self.body_bytes;
        if complete {
            self.phase = Phase::Ended;
            actions.push(AttemptAction::Deliver(CallEvent::End));
        } else {
            self.fail(RunState::Failed, Cause::Truncated, actions);
        }
    }

    fn on_refused(&mut self, failure: Failure, actions: &mut Vec<AttemptAction>) {
        actions.push(AttemptAction::Send(Frame::Forget { id: self.id }));
        let contradicts_start = failure.run == RunState::NotRun && self.phase >= Phase::Started;
        let run = if contradicts_start {
            RunState::Unknown
        } else {
            failure.run
        };
        self.end_with(Failure { run, ..failure }, actions);
    }

    fn on_unattached(&mut self, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        // Only the first reply to an `Attach` counts. A duplicate must not cause the `Open`,
        // which was written again after the first reply, to be sent another time.
        if !std::mem::take(&mut self.attach_pending) {
            return;
        }
        if self.phase == Phase::Sent {
            self.send_open(now_ms, actions);
        } else {
            self.fail(RunState::Unknown, Cause::LinkLost, actions);
        }
    }

    /// Requests the parts from the first missing one on, unless a request is pending.
    fn request_missing_parts(&mut self, actions: &mut Vec<AttemptAction>) {
        if !self.attach_pending {
            self.attach_pending = true;
            self.send_attach(actions);
        }
    }

    fn send_attach(&self, actions: &mut Vec<AttemptAction>) {
        let (id, next_part) = (self.id, self.next_part);
        actions.push(AttemptAction::Send(Frame::Attach { id, next_part }));
    }

    fn send_open(&mut self, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        let left_ms = self.deadline_at_ms.saturating_sub(now_ms);
        if left_ms == 0 {
            self.fail(RunState::NotRun, Cause::DeadlinePassed, actions);
            return;
        }
        self.phase = Phase::Queued;
        let deadline_left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        actions.push(AttemptAction::SendOpen { deadline_left_ms });
    }

    fn fail(&mut self, run: RunState, cause: Cause, actions: &mut Vec<AttemptAction>) {
        self.end_with(Failure::new(run, cause), actions);
    }

    fn end_with(&mut self, failure: Failure, actions: &mut Vec<AttemptAction>) {
        self.phase = Phase::Ended;
        actions.push(AttemptAction::Deliver(CallEvent::Failed(failure)));
    }
}
