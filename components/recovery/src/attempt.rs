//! Caller side of one call, over as many connections as it takes.
//!
//! The machine says [`RunState::NotRun`] in two cases only:
//!
//! * The callee refused the call and never said that it had started it.
//! * No connection ever took the whole `Open` frame. Nothing of it, or a part only, left
//!   this process, and the connection was closed before the rest could follow. A callee
//!   acts on a frame only when its length and its authentication code are complete, so a
//!   part that still arrives later does nothing.
//!
//! When the callee does not know the call although the `Open` was written whole, the frame
//! was lost on its way: the callee is the same life that the frame was sent to, and it
//! closed the connection that the frame could still come on when it greeted the new one.
//! The `Open` may then be written again.

use protocol::Frame;
use types::{CallId, Cause, Failure, RunState};

use crate::CallEvent;
use crate::attempt_event::{AttemptAction, AttemptEvent};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No living connection has any byte of the call.
    Waiting,
    /// The current connection's writer has the `Open`; how much of it left is not known.
    Queued,
    /// Written whole.
    Sent,
    Accepted,
    Started,
    /// Parts of the answer are here.
    Answering,
    Ended,
}

/// One call, as its caller sees it.
#[derive(Clone, Debug)]
pub struct Attempt {
    id: CallId,
    phase: Phase,
    deadline_at_ms: u64,
    reattach_for_ms: u64,
    /// Life of the callee that the `Open` was written to.
    life: Option<u64>,
    connected: bool,
    lost_at_ms: Option<u64>,
    /// An `Attach` is on its way on this connection and has had no answer.
    attach_pending: bool,
    next_part: u32,
    body_bytes: u64,
}

impl Attempt {
    /// A call that has `deadline_left_ms` from now on and, after a lost connection, waits
    /// `reattach_for_ms` for another one.
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

    /// Whether the call has had its last event.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Whether the writer has the `Open` and has not said yet that it wrote it.
    pub fn is_queued(&self) -> bool {
        self.phase == Phase::Queued
    }

    /// First part of the answer that is not here.
    pub fn next_part(&self) -> u32 {
        self.next_part
    }

    /// When [`AttemptEvent::Timer`] is due.
    pub fn wake_at_ms(&self) -> u64 {
        let lost = self.lost_at_ms.map(|at_ms| at_ms + self.reattach_for_ms);
        lost.map_or(self.deadline_at_ms, |at_ms| at_ms.min(self.deadline_at_ms))
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, event: AttemptEvent, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        if self.is_ended() {
            return;
        }
        match event {
            AttemptEvent::Connected { life } => self.connected(life, now_ms, actions),
            AttemptEvent::ConnectFailed => self.connect_failed(actions),
            AttemptEvent::Written => self.written(),
            AttemptEvent::WriteFailed => self.write_failed(now_ms),
            AttemptEvent::LinkLost => self.link_lost(now_ms),
            AttemptEvent::Frame(frame) => self.frame(frame, now_ms, actions),
            AttemptEvent::Timer { withdrawn } => self.time(withdrawn, now_ms, actions),
            AttemptEvent::Cancel { withdrawn } => {
                self.give_up(withdrawn, Cause::Cancelled, actions);
            }
        }
    }

    fn connected(&mut self, life: u64, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        self.connected = true;
        self.lost_at_ms = None;
        if self.phase == Phase::Waiting {
            self.life = Some(life);
            self.send_open(now_ms, actions);
        } else if self.life == Some(life) {
            self.attach_pending = true;
            self.send_attach(actions);
        } else {
            // The life that had the call is gone with all it knew. Its endpoint may still
            // run the call, so nothing better than "unknown" is true.
            self.fail(RunState::Unknown, Cause::LinkLost, actions);
        }
    }

    fn connect_failed(&mut self, actions: &mut Vec<AttemptAction>) {
        if self.phase == Phase::Waiting {
            self.fail(RunState::NotRun, Cause::LinkLost, actions);
        }
    }

    fn written(&mut self) {
        if self.phase == Phase::Queued {
            self.phase = Phase::Sent;
        }
    }

    fn write_failed(&mut self, now_ms: u64) {
        if self.phase == Phase::Queued {
            self.phase = Phase::Waiting;
            self.connected = false;
        } else {
            self.link_lost(now_ms);
        }
    }

    fn link_lost(&mut self, now_ms: u64) {
        // Without word of the write the worst is assumed.
        self.written();
        self.connected = false;
        self.attach_pending = false;
        if self.phase != Phase::Waiting {
            self.lost_at_ms.get_or_insert(now_ms);
        }
    }

    fn time(&mut self, withdrawn: bool, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        if now_ms >= self.deadline_at_ms {
            self.give_up(withdrawn, Cause::DeadlinePassed, actions);
        } else if now_ms >= self.wake_at_ms() {
            self.fail(RunState::Unknown, Cause::LinkLost, actions);
        }
    }

    fn give_up(&mut self, withdrawn: bool, cause: Cause, actions: &mut Vec<AttemptAction>) {
        let never_left = self.phase == Phase::Waiting || (self.is_queued() && withdrawn);
        if never_left {
            self.fail(RunState::NotRun, cause, actions);
            return;
        }
        if self.connected {
            actions.push(AttemptAction::Send(Frame::Cancel { id: self.id }));
        }
        self.fail(RunState::Unknown, cause, actions);
    }

    fn frame(&mut self, frame: Frame, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        if !self.connected || frame.id() != Some(self.id) {
            return;
        }
        // An answer proves that the whole `Open` arrived, before the writer says so.
        if !matches!(frame, Frame::Unattached { .. }) {
            self.written();
        }
        match frame {
            Frame::Accepted { .. } => {
                self.advance(Phase::Accepted, CallEvent::Accepted, actions);
            }
            Frame::Started { .. } => self.advance(Phase::Started, CallEvent::Started, actions),
            Frame::Head { head, .. } => self.part(0, CallEvent::Head(head), 0, actions),
            Frame::Chunk { part, bytes, .. } if part > 0 => {
                let size_bytes = bytes.len() as u64;
                self.part(part, CallEvent::Chunk(bytes), size_bytes, actions);
            }
            Frame::End {
                parts, body_bytes, ..
            } => self.end(parts, body_bytes, actions),
            Frame::Fail { failure, .. } => self.refused(failure, actions),
            Frame::Unattached { .. } => self.unattached(now_ms, actions),
            _ => {}
        }
    }

    fn advance(&mut self, to: Phase, event: CallEvent, actions: &mut Vec<AttemptAction>) {
        if self.phase < to {
            self.phase = to;
            actions.push(AttemptAction::Deliver(event));
        }
    }

    fn part(
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
            self.ask_again(actions);
            return;
        }
        self.advance(Phase::Started, CallEvent::Started, actions);
        self.phase = Phase::Answering;
        self.attach_pending = false;
        self.next_part += 1;
        self.body_bytes += size_bytes;
        actions.push(AttemptAction::Deliver(event));
    }

    fn end(&mut self, parts: u32, body_bytes: u64, actions: &mut Vec<AttemptAction>) {
        if parts > self.next_part {
            self.ask_again(actions);
            return;
        }
        actions.push(AttemptAction::Send(Frame::Forget { id: self.id }));
        // A stream may close properly after its source died in the middle: only matching
        // counts make the answer whole. A shorter one must be an error to the caller.
        let whole = parts > 0 && parts == self.next_part && body_bytes == self.body_bytes;
        if whole {
            self.phase = Phase::Ended;
            actions.push(AttemptAction::Deliver(CallEvent::End));
        } else {
            self.fail(RunState::Failed, Cause::Truncated, actions);
        }
    }

    fn refused(&mut self, failure: Failure, actions: &mut Vec<AttemptAction>) {
        actions.push(AttemptAction::Send(Frame::Forget { id: self.id }));
        let contradicts = failure.run == RunState::NotRun && self.phase >= Phase::Started;
        let run = if contradicts {
            RunState::Unknown
        } else {
            failure.run
        };
        self.end_with(Failure { run, ..failure }, actions);
    }

    fn unattached(&mut self, now_ms: u64, actions: &mut Vec<AttemptAction>) {
        // Only the first answer to an `Attach` counts: a doubled one must not take back
        // the `Open` that was written since.
        if !std::mem::take(&mut self.attach_pending) {
            return;
        }
        if self.phase == Phase::Sent {
            self.send_open(now_ms, actions);
        } else {
            self.fail(RunState::Unknown, Cause::LinkLost, actions);
        }
    }

    /// Asks once for the parts from the first missing one on.
    fn ask_again(&mut self, actions: &mut Vec<AttemptAction>) {
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
