//! Callee side: all calls of one life of a process.
//!
//! A call runs once, however often its `Open` arrives. Its answer is kept until the caller
//! says that it has it, or for a stated time, so that a caller whose connection died can
//! take the call up again on another. A caller has one connection at a time: when a new
//! one is greeted, the older one is closed and nothing that still comes on it counts. That
//! is why "not known here" proves to the caller that the call never ran.
//!
//! Memory: `calls_max` calls; requests are refused as not run while requests and kept
//! parts hold more than `held_bytes_max`, and those of one customer earlier, so that the
//! others find room; each answer holds at most the send window,
//! except those that run on without their caller, which are dropped beyond the bound.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use protocol::{Frame, Head, Open};
use types::{CallId, Cause, Failure};

use crate::forgotten::Forgotten;
use crate::served::{Served, Stage, Wanted};
use crate::shares::{Free, Shares};
use crate::table_action::TableAction;

/// When a caller that was refused for want of room may come back, in milliseconds.
const FULL_RETRY_AFTER_MS: u32 = 1_000;

/// Limits and times of a [`CallTable`].
#[derive(Clone, Copy, Debug)]
pub struct TableSettings {
    /// How long an idempotent call runs on without its caller, in milliseconds.
    pub grace_ms: u64,
    /// How long an answer that nobody acknowledged is kept, in milliseconds.
    pub retention_ms: u64,
    /// Most calls at a time, kept answers included.
    pub calls_max: usize,
    /// Bytes of requests and kept answers beyond which calls are refused.
    pub held_bytes_max: usize,
}

/// All calls that a callee has taken and not forgotten.
#[derive(Debug)]
pub struct CallTable {
    settings: TableSettings,
    calls: HashMap<CallId, Served>,
    forgotten: Forgotten,
    /// The caller of each connection.
    callers: HashMap<u64, u64>,
    /// The one connection of each caller.
    current: HashMap<u64, u64>,
    held_bytes: usize,
    shares: Shares,
    leaving: bool,
}

impl CallTable {
    /// An empty table.
    pub fn new(settings: TableSettings) -> Self {
        Self {
            settings,
            calls: HashMap::new(),
            forgotten: Forgotten::default(),
            callers: HashMap::new(),
            current: HashMap::new(),
            held_bytes: 0,
            shares: Shares::default(),
            leaving: false,
        }
    }

    /// Whether no call is held.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Calls that are held, kept answers included.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Bytes of requests and kept answers that are held.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Connections with calls that have not ended.
    pub fn active_connections(&self) -> HashSet<u64> {
        let running = self.calls.values().filter(|call| !call.is_ended());
        running.filter_map(|call| call.connection).collect()
    }

    /// From now on new calls are refused.
    pub fn start_draining(&mut self) {
        self.leaving = true;
    }

    /// A connection was greeted; `boot` is the number of the caller's life.
    pub fn add_connection(
        &mut self,
        connection: u64,
        boot: u64,
        now_ms: u64,
        actions: &mut Vec<TableAction>,
    ) {
        self.callers.insert(connection, boot);
        if let Some(older) = self.current.insert(boot, connection) {
            self.callers.remove(&older);
            self.mark_lost(older, now_ms);
            actions.push(TableAction::Close { connection: older });
        }
    }

    /// A connection was closed.
    pub fn remove_connection(&mut self, connection: u64, now_ms: u64) {
        if let Some(boot) = self.callers.remove(&connection) {
            self.current.remove(&boot);
        }
        self.mark_lost(connection, now_ms);
    }

    /// A frame came on `connection`; `arrived_at_ms` is when it was read.
    pub fn handle_frame(
        &mut self,
        connection: u64,
        frame: Frame,
        arrived_at_ms: u64,
        now_ms: u64,
        actions: &mut Vec<TableAction>,
    ) {
        if !self.callers.contains_key(&connection) {
            return;
        }
        match frame {
            Frame::Open(open) => self.open(connection, open, arrived_at_ms, now_ms, actions),
            Frame::Attach { id, next_part } => self.attach(connection, id, next_part, actions),
            Frame::Received { id, next_part } => self.received(id, next_part, actions),
            Frame::Forget { id } | Frame::Cancel { id } => self.give_up(id, actions),
            _ => {}
        }
    }

    /// The handler has taken the call in.
    pub fn mark_accepted(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        self.answer(id, actions, |call| call.advance(Stage::Accepted));
    }

    /// The handler hands the call to the endpoint.
    pub fn mark_started(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        self.answer(id, actions, |call| call.advance(Stage::Started));
    }

    /// Status and headers of the answer.
    pub fn send_head(&mut self, id: CallId, head: Head, actions: &mut Vec<TableAction>) {
        self.answer(id, actions, |call| call.head(head));
    }

    /// The next bytes of the answer.
    pub fn send_chunk(&mut self, id: CallId, bytes: Bytes, actions: &mut Vec<TableAction>) {
        self.answer(id, actions, |call| call.chunk(bytes));
    }

    /// The answer is whole.
    pub fn finish(&mut self, id: CallId, now_ms: u64, actions: &mut Vec<TableAction>) {
        self.answer(id, actions, |call| call.end(now_ms));
    }

    /// There is no whole answer.
    pub fn fail(
        &mut self,
        id: CallId,
        failure: Failure,
        now_ms: u64,
        actions: &mut Vec<TableAction>,
    ) {
        self.answer(id, actions, |call| call.fail(failure, now_ms));
    }

    /// The handler is gone; does nothing after an end.
    pub fn abandon(&mut self, id: CallId, now_ms: u64, actions: &mut Vec<TableAction>) {
        self.answer(id, actions, |call| call.abandon(now_ms));
    }

    /// Looks at all times; wanted every 100 ms or so.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<TableAction>) {
        let settings = self.settings;
        let mut expired = Vec::new();
        let mut unwanted = Vec::new();
        for call in self.calls.values_mut() {
            if let Some(ended_at_ms) = call.ended_at_ms {
                if now_ms >= ended_at_ms + settings.retention_ms {
                    expired.push(call.id);
                }
                continue;
            }
            if call.wanted != Wanted::Yes {
                continue;
            }
            let away = call
                .lost_at_ms
                .is_some_and(|at_ms| now_ms >= at_ms + settings.grace_ms);
            if call.idempotent && (away || now_ms >= call.deadline_at_ms) {
                unwanted.push(call.id);
            } else if away {
                call.wanted = Wanted::Unattended;
                actions.push(TableAction::Unblock { id: call.id });
            }
        }
        for id in expired {
            self.forgotten.expired(id);
            self.remove(id, actions);
        }
        for id in unwanted {
            self.unwant(id, actions);
        }
    }

    fn open(
        &mut self,
        connection: u64,
        open: Box<Open>,
        arrived_at_ms: u64,
        now_ms: u64,
        actions: &mut Vec<TableAction>,
    ) {
        let id = open.id;
        if let Some(call) = self.calls.get(&id) {
            if call.connection != Some(connection) {
                self.attach(connection, id, 0, actions);
            }
            return;
        }
        if let Some(failure) = self.forgotten.recent(id) {
            actions.push(TableAction::Send {
                connection,
                frame: Frame::Fail { id, failure },
            });
            return;
        }
        let deadline_at_ms = arrived_at_ms + u64::from(open.deadline_left_ms);
        if let Some(failure) = self.refusal(&open, deadline_at_ms, now_ms) {
            self.forgotten.refused(id, failure);
            actions.push(TableAction::Send {
                connection,
                frame: Frame::Fail { id, failure },
            });
            return;
        }
        let call = Served::new(&open, connection, deadline_at_ms);
        self.held_bytes += call.held_bytes();
        self.shares.take(&open.customer, open.body.len());
        self.calls.insert(id, call);
        actions.push(TableAction::Run { connection, open });
    }

    fn refusal(&self, open: &Open, deadline_at_ms: u64, now_ms: u64) -> Option<Failure> {
        let settings = self.settings;
        let free = Free {
            calls: settings.calls_max.saturating_sub(self.calls.len()),
            bytes: settings.held_bytes_max.saturating_sub(self.held_bytes),
        };
        let full = !self.shares.fits(&open.customer, open.body.len(), free);
        if now_ms >= deadline_at_ms {
            Some(Failure::not_run(Cause::DeadlinePassed))
        } else if self.leaving {
            Some(Failure::not_run(Cause::Leaving))
        } else if full {
            Some(Failure::not_run(Cause::QueueFull).retry_after(FULL_RETRY_AFTER_MS))
        } else {
            None
        }
    }

    fn attach(
        &mut self,
        connection: u64,
        id: CallId,
        next_part: u32,
        actions: &mut Vec<TableAction>,
    ) {
        let send = |frame| TableAction::Send { connection, frame };
        if let Some(call) = self.calls.get_mut(&id) {
            call.connection = Some(connection);
            call.lost_at_ms = None;
            if call.wanted == Wanted::Unattended {
                call.wanted = Wanted::Yes;
            }
            actions.extend(call.resend(next_part).into_iter().map(send));
        } else if let Some(failure) = self.forgotten.find(id) {
            actions.push(send(Frame::Fail { id, failure }));
        } else {
            actions.push(send(Frame::Unattached { id }));
        }
    }

    fn received(&mut self, id: CallId, next_part: u32, actions: &mut Vec<TableAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let bytes = call.acknowledge(next_part);
        self.held_bytes -= bytes;
        if bytes > 0 {
            actions.push(TableAction::Credit { id, bytes });
        }
    }

    /// The caller has the final answer or wants none.
    fn give_up(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.is_ended() {
            self.forgotten.released(id);
            self.remove(id, actions);
        } else if call.wanted != Wanted::No {
            self.unwant(id, actions);
        }
    }

    fn unwant(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        self.spill(id);
        if let Some(call) = self.calls.get_mut(&id) {
            call.wanted = Wanted::No;
            actions.push(TableAction::Cancel { id });
        }
    }

    fn spill(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            let before_bytes = call.held_bytes();
            call.spill();
            self.held_bytes -= before_bytes - call.held_bytes();
        }
    }

    /// Changes a call and sends what the change gives to its caller, if that is there.
    fn answer(
        &mut self,
        id: CallId,
        actions: &mut Vec<TableAction>,
        change: impl FnOnce(&mut Served) -> Option<Frame>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let before_bytes = call.held_bytes();
        let frame = change(call);
        self.held_bytes = self.held_bytes + call.held_bytes() - before_bytes;
        if let (Some(connection), Some(frame)) = (call.connection, frame) {
            actions.push(TableAction::Send { connection, frame });
        }
        let (wanted, ended) = (call.wanted, call.is_ended());
        if wanted == Wanted::No && ended {
            self.forgotten.expired(id);
            self.remove(id, actions);
        } else if wanted == Wanted::Unattended && self.held_bytes > self.settings.held_bytes_max {
            self.spill(id);
        }
    }

    fn remove(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        if let Some(call) = self.calls.remove(&id) {
            self.held_bytes -= call.held_bytes();
            self.shares.give_back(&call.customer, call.request_bytes());
            actions.push(TableAction::Drop { id });
        }
    }

    fn mark_lost(&mut self, connection: u64, now_ms: u64) {
        let calls = self.calls.values_mut();
        for call in calls.filter(|call| call.connection == Some(connection)) {
            call.connection = None;
            call.lost_at_ms = Some(now_ms);
        }
    }
}
