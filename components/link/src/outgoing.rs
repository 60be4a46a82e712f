//! The calls that this process has in progress at one peer.

use std::collections::{BTreeSet, HashMap};

use protocol::{Frame, Open};
use recovery::{Attempt, AttemptAction, AttemptEvent, CallEvent};
use tokio::sync::mpsc;
use types::{CallId, Cause, Failure};

use crate::connection::Connection;
use crate::write_progress::WriteProgress;

/// Upper bound of the bytes of an `Open` frame besides its texts and body: numbers, lengths and
/// the authentication code.
const OPEN_OVERHEAD_BYTES: usize = 256;
/// Upper bound of the bytes that encode a header, besides its name and value.
const HEADER_OVERHEAD_BYTES: usize = 8;

/// Events of one call, in the order in which they happened.
type Events = Vec<AttemptEvent>;

#[derive(Debug)]
struct OutgoingCall {
    open: Box<Open>,
    attempt: Attempt,
    events: mpsc::UnboundedSender<CallEvent>,
    progress: Option<WriteProgress>,
    /// The caller has consumed all parts before this one.
    acknowledged: u32,
    wake_at_ms: u64,
}

/// The calls in progress at one peer. Functions that queue frames return whether the
/// connection accepted them; on `false` its queue is full and it must be closed.
#[derive(Debug)]
pub(crate) struct OutgoingCalls {
    calls: HashMap<CallId, OutgoingCall>,
    wake_times: BTreeSet<(u64, CallId)>,
    reattach_for_ms: u64,
    frame_bytes_max: usize,
}

impl OutgoingCalls {
    pub fn new(reattach_for_ms: u64, frame_bytes_max: usize) -> Self {
        Self {
            calls: HashMap::new(),
            wake_times: BTreeSet::new(),
            reattach_for_ms,
            frame_bytes_max,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When [`OutgoingCalls::handle_timers`] is due.
    pub fn wake_at_ms(&self) -> Option<u64> {
        self.wake_times.first().map(|&(at_ms, _)| at_ms)
    }

    /// Adds a call and sends its request if there is a connection. A request that exceeds the
    /// largest frame fails at once.
    pub fn start(
        &mut self,
        open: Box<Open>,
        events: mpsc::UnboundedSender<CallEvent>,
        connection: Option<&Connection>,
        now_ms: u64,
    ) -> bool {
        let id = open.id;
        if open_frame_bytes(&open) > self.frame_bytes_max {
            let failure = Failure::not_run(Cause::TooLarge);
            let _ = events.send(CallEvent::Failed(failure));
            return true;
        }
        let left_ms = open.deadline_left_ms;
        let attempt = Attempt::new(id, now_ms, left_ms, self.reattach_for_ms);
        let wake_at_ms = attempt.wake_at_ms();
        self.wake_times.insert((wake_at_ms, id));
        let call = OutgoingCall {
            open,
            attempt,
            events,
            progress: None,
            acknowledged: 0,
            wake_at_ms,
        };
        self.calls.insert(id, call);
        match connection {
            Some(_) => self.attach_call(id, connection, now_ms),
            None => true,
        }
    }

    /// Sends or resumes every call on a new connection.
    pub fn handle_connected(&mut self, connection: &Connection, now_ms: u64) -> bool {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        let mut accepts_frames = true;
        for id in ids {
            accepts_frames &= self.attach_call(id, Some(connection), now_ms);
        }
        accepts_frames
    }

    /// Reports to every call that connecting has failed.
    pub fn handle_connect_failure(&mut self, now_ms: u64) {
        self.handle_for_all(now_ms, |_| vec![AttemptEvent::ConnectFailed]);
    }

    /// Reports to every call that the connection was lost. The connection must have been
    /// aborted before, so that the progress of its frames is final.
    pub fn handle_connection_loss(&mut self, now_ms: u64) {
        self.handle_for_all(now_ms, loss_events);
    }

    /// Passes a received frame to its call.
    pub fn handle_frame(&mut self, frame: Frame, connection: &Connection, now_ms: u64) -> bool {
        match frame.id() {
            Some(id) => self.handle(id, AttemptEvent::Frame(frame), Some(connection), now_ms),
            None => true,
        }
    }

    /// Acknowledges to the callee that the caller has consumed all parts before `next_part`.
    pub fn acknowledge(
        &mut self,
        id: CallId,
        next_part: u32,
        connection: Option<&Connection>,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return true;
        };
        call.acknowledged = next_part;
        let received = Frame::Received { id, next_part };
        connection.is_none_or(|connection| connection.send(received).is_ok())
    }

    /// Cancels a call whose handle the caller has dropped.
    pub fn cancel(&mut self, id: CallId, connection: Option<&Connection>, now_ms: u64) -> bool {
        let withdrawn = self.withdraw(id);
        self.handle(id, AttemptEvent::Cancel { withdrawn }, connection, now_ms)
    }

    /// Processes the calls whose timer has expired.
    pub fn handle_timers(&mut self, connection: Option<&Connection>, now_ms: u64) -> bool {
        let mut accepts_frames = true;
        while let Some(&(at_ms, id)) = self.wake_times.first() {
            if at_ms > now_ms {
                break;
            }
            let withdrawn = self.withdraw(id);
            accepts_frames &=
                self.handle(id, AttemptEvent::Timer { withdrawn }, connection, now_ms);
        }
        accepts_frames
    }

    fn attach_call(&mut self, id: CallId, connection: Option<&Connection>, now_ms: u64) -> bool {
        let Some(connection) = connection else {
            return true;
        };
        let life = connection.peer.boot;
        let accepts_frames = self.handle(
            id,
            AttemptEvent::Connected { life },
            Some(connection),
            now_ms,
        );
        let Some(call) = self.calls.get(&id) else {
            return accepts_frames;
        };
        // An acknowledgement may have been lost with the previous connection. Without a
        // repetition the callee's window would stay closed forever.
        let next_part = call.acknowledged;
        let is_queued =
            next_part == 0 || connection.send(Frame::Received { id, next_part }).is_ok();
        accepts_frames && is_queued
    }

    fn withdraw(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        let queued = call.filter(|call| call.attempt.is_queued());
        let progress = queued.and_then(|call| call.progress.as_ref());
        progress.is_some_and(WriteProgress::try_withdraw)
    }

    fn handle_for_all(&mut self, now_ms: u64, events: impl Fn(&OutgoingCall) -> Events) {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            let call_events = self.calls.get(&id).map(&events).unwrap_or_default();
            for event in call_events {
                self.handle(id, event, None, now_ms);
            }
        }
    }

    fn handle(
        &mut self,
        id: CallId,
        event: AttemptEvent,
        connection: Option<&Connection>,
        now_ms: u64,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return true;
        };
        let mut actions = Vec::new();
        call.attempt.handle(event, now_ms, &mut actions);
        let mut accepts_frames = true;
        for action in actions {
            accepts_frames &= call.apply(action, connection);
        }
        self.wake_times.remove(&(call.wake_at_ms, id));
        if call.attempt.is_ended() {
            self.calls.remove(&id);
            return accepts_frames;
        }
        call.wake_at_ms = call.attempt.wake_at_ms();
        self.wake_times.insert((call.wake_at_ms, id));
        accepts_frames
    }
}

impl OutgoingCall {
    fn apply(&mut self, action: AttemptAction, connection: Option<&Connection>) -> bool {
        match action {
            AttemptAction::Deliver(event) => {
                // Sending fails if the caller has dropped the handle, which sends a cancel.
                let _ = self.events.send(event);
                true
            }
            AttemptAction::Send(frame) => {
                connection.is_none_or(|connection| connection.send(frame).is_ok())
            }
            AttemptAction::SendOpen { deadline_left_ms } => {
                self.send_open(deadline_left_ms, connection)
            }
        }
    }

    fn send_open(&mut self, deadline_left_ms: u32, connection: Option<&Connection>) -> bool {
        let mut open = self.open.clone();
        open.deadline_left_ms = deadline_left_ms;
        let sent = connection.map(|connection| connection.send_tracked(Frame::Open(open)));
        // A frame that was not queued has no progress and counts as not written.
        self.progress = sent.and_then(Result::ok);
        self.progress.is_some()
    }
}

/// Events of a call whose connection was lost. They depend on whether its request was written.
fn loss_events(call: &OutgoingCall) -> Events {
    let written = call
        .progress
        .as_ref()
        .is_some_and(WriteProgress::is_written);
    match (call.attempt.is_queued(), written) {
        (true, true) => vec![AttemptEvent::Written, AttemptEvent::LinkLost],
        (true, false) => vec![AttemptEvent::WriteFailed],
        (false, _) => vec![AttemptEvent::LinkLost],
    }
}

/// Upper bound of the bytes of the frame that carries `open`.
fn open_frame_bytes(open: &Open) -> usize {
    let headers = open.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
    let texts_bytes = open.request_id.len() + open.method.len() + open.path.len();
    OPEN_OVERHEAD_BYTES + texts_bytes + header_bytes.sum::<usize>() + open.body.len()
}
