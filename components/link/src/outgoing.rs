//! The calls that a process has in progress at one peer.

use std::collections::{BTreeSet, HashMap};

use protocol::{Frame, Open};
use recovery::{Attempt, AttemptAction, AttemptEvent, CallEvent};
use tokio::sync::mpsc;
use types::{CallId, Cause, Failure};

use crate::connection::Connection;
use crate::mark::WriteMark;

/// Bytes that an `Open` frame may have beside its texts and body: numbers, lengths, the
/// authentication code.
const OPEN_OVERHEAD_BYTES: usize = 256;
/// Bytes that a header may have beside its two texts.
const HEADER_OVERHEAD_BYTES: usize = 8;

/// Events of one call in the order in which they happened.
type Events = Vec<AttemptEvent>;

#[derive(Debug)]
struct Outgoing {
    open: Box<Open>,
    attempt: Attempt,
    events: mpsc::UnboundedSender<CallEvent>,
    mark: Option<WriteMark>,
    /// The caller has taken the parts before this.
    taken: u32,
    wake_at_ms: u64,
}

/// The calls in progress. Functions that queue frames tell whether the connection takes
/// them (`false`: it is stuck and must be closed).
#[derive(Debug)]
pub(crate) struct OutgoingCalls {
    calls: HashMap<CallId, Outgoing>,
    wakes: BTreeSet<(u64, CallId)>,
    reattach_for_ms: u64,
    frame_bytes_max: usize,
}

impl OutgoingCalls {
    pub fn new(reattach_for_ms: u64, frame_bytes_max: usize) -> Self {
        Self {
            calls: HashMap::new(),
            wakes: BTreeSet::new(),
            reattach_for_ms,
            frame_bytes_max,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When [`OutgoingCalls::wake`] is due.
    pub fn wake_at_ms(&self) -> Option<u64> {
        self.wakes.first().map(|&(at_ms, _)| at_ms)
    }

    /// Takes a call in.
    pub fn start(
        &mut self,
        open: Box<Open>,
        events: mpsc::UnboundedSender<CallEvent>,
        connection: Option<&Connection>,
        now_ms: u64,
    ) -> bool {
        let id = open.id;
        if open_bytes(&open) > self.frame_bytes_max {
            let failure = Failure::not_run(Cause::TooLarge);
            let _ = events.send(CallEvent::Failed(failure));
            return true;
        }
        let left_ms = open.deadline_left_ms;
        let attempt = Attempt::new(id, now_ms, left_ms, self.reattach_for_ms);
        let wake_at_ms = attempt.wake_at_ms();
        self.wakes.insert((wake_at_ms, id));
        let call = Outgoing {
            open,
            attempt,
            events,
            mark: None,
            taken: 0,
            wake_at_ms,
        };
        self.calls.insert(id, call);
        match connection {
            Some(_) => self.connected_one(id, connection, now_ms),
            None => true,
        }
    }

    /// A connection is there.
    pub fn connected(&mut self, connection: &Connection, now_ms: u64) -> bool {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        let mut moving = true;
        for id in ids {
            moving &= self.connected_one(id, Some(connection), now_ms);
        }
        moving
    }

    /// No connection could be made.
    pub fn connect_failed(&mut self, now_ms: u64) {
        self.all(now_ms, |_| vec![AttemptEvent::ConnectFailed]);
    }

    /// The connection was cut; the marks of its writer are final.
    pub fn lost(&mut self, now_ms: u64) {
        self.all(now_ms, loss);
    }

    /// A frame came.
    pub fn frame(&mut self, frame: Frame, connection: &Connection, now_ms: u64) -> bool {
        match frame.id() {
            Some(id) => self.on(id, AttemptEvent::Frame(frame), Some(connection), now_ms),
            None => true,
        }
    }

    /// The caller has taken all parts before `next_part`.
    pub fn taken(&mut self, id: CallId, next_part: u32, connection: Option<&Connection>) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return true;
        };
        call.taken = next_part;
        let received = Frame::Received { id, next_part };
        connection.is_none_or(|connection| connection.send(received).is_ok())
    }

    /// The caller has dropped its handle.
    pub fn cancel(&mut self, id: CallId, connection: Option<&Connection>, now_ms: u64) -> bool {
        let withdrawn = self.withdraw(id);
        self.on(id, AttemptEvent::Cancel { withdrawn }, connection, now_ms)
    }

    /// Looks at the calls whose time has come.
    pub fn wake(&mut self, connection: Option<&Connection>, now_ms: u64) -> bool {
        let mut moving = true;
        while let Some(&(at_ms, id)) = self.wakes.first() {
            if at_ms > now_ms {
                break;
            }
            let withdrawn = self.withdraw(id);
            moving &= self.on(id, AttemptEvent::Timer { withdrawn }, connection, now_ms);
        }
        moving
    }

    fn connected_one(&mut self, id: CallId, connection: Option<&Connection>, now_ms: u64) -> bool {
        let Some(connection) = connection else {
            return true;
        };
        let life = connection.peer.boot;
        let moving = self.on(
            id,
            AttemptEvent::Connected { life },
            Some(connection),
            now_ms,
        );
        let Some(call) = self.calls.get(&id) else {
            return moving;
        };
        // An acknowledgement that was lost with the older connection would leave the
        // callee's window shut for good: it is said again.
        let next_part = call.taken;
        let told = next_part == 0 || connection.send(Frame::Received { id, next_part }).is_ok();
        moving && told
    }

    fn withdraw(&self, id: CallId) -> bool {
        let call = self.calls.get(&id);
        let queued = call.filter(|call| call.attempt.is_queued());
        let mark = queued.and_then(|call| call.mark.as_ref());
        mark.is_some_and(WriteMark::withdraw)
    }

    fn all(&mut self, now_ms: u64, events: impl Fn(&Outgoing) -> Events) {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        for id in ids {
            let happened = self.calls.get(&id).map(&events).unwrap_or_default();
            for event in happened {
                self.on(id, event, None, now_ms);
            }
        }
    }

    fn on(
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
        let mut moving = true;
        for action in actions {
            moving &= call.apply(action, connection);
        }
        self.wakes.remove(&(call.wake_at_ms, id));
        if call.attempt.is_ended() {
            self.calls.remove(&id);
            return moving;
        }
        call.wake_at_ms = call.attempt.wake_at_ms();
        self.wakes.insert((call.wake_at_ms, id));
        moving
    }
}

impl Outgoing {
    fn apply(&mut self, action: AttemptAction, connection: Option<&Connection>) -> bool {
        match action {
            AttemptAction::Deliver(event) => {
                // A dropped handle has sent its own cancel.
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
        let sent = connection.map(|connection| connection.send_marked(Frame::Open(open)));
        // A frame that was not queued has no mark and counts as not written.
        self.mark = sent.and_then(Result::ok);
        self.mark.is_some()
    }
}

/// What a lost connection means for a call.
fn loss(call: &Outgoing) -> Events {
    let written = call.mark.as_ref().is_some_and(WriteMark::is_written);
    match (call.attempt.is_queued(), written) {
        (true, true) => vec![AttemptEvent::Written, AttemptEvent::LinkLost],
        (true, false) => vec![AttemptEvent::WriteFailed],
        (false, _) => vec![AttemptEvent::LinkLost],
    }
}

/// At least the bytes of the frame that carries `open`.
fn open_bytes(open: &Open) -> usize {
    let headers = open.headers.iter();
    let header_bytes =
        headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
    let texts_bytes = open.request_id.len() + open.method.len() + open.path.len();
    OPEN_OVERHEAD_BYTES + texts_bytes + header_bytes.sum::<usize>() + open.body.len()
}
