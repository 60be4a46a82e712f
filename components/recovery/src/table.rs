//! Callee side: all calls that a process has received since it started.
//!
//! A call runs at most once, however often its `Open` arrives. Its response is stored until
//! the caller confirms that it received it, or until the retention time ends, so a caller that
//! lost its connection can continue the call on another connection. A caller has one
//! connection at a time: when a new connection is greeted, the older one is closed and frames
//! that still arrive on it are ignored. Therefore the reply `Unattached` (call not known here)
//! proves to the caller that the call never ran.
//!
//! Memory: the table holds at most `calls_max` calls. While requests and stored parts exceed
//! `held_bytes_max`, further requests are refused as not run; a customer that uses a large
//! share is refused earlier, so that other customers' calls still fit. Each response stores at
//! most the send window. A call that continues without its caller is not limited by the
//! window; its parts are discarded when the table exceeds `held_bytes_max`.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use protocol::{Frame, Head, Open};
use types::{CallId, Cause, Failure};

use crate::removed_calls::RemovedCalls;
use crate::served::{Retention, ServedCall, Stage};
use crate::shares::{FreeCapacity, Shares};
use crate::table_action::TableAction;

/// Retry time given to a caller that was refused because the table is full.
const FULL_RETRY_AFTER_MS: u32 = 1_000;

/// Limits and timeouts of a [`CallTable`].
#[derive(Clone, Copy, Debug)]
pub struct TableSettings {
    /// How long a call may run while its caller is disconnected, in milliseconds. After that an
    /// idempotent call is cancelled; any other call continues without its caller.
    pub grace_ms: u64,
    /// How long the response of an ended call is stored if the caller does not confirm it, in
    /// milliseconds.
    pub retention_ms: u64,
    /// Maximum number of calls at a time, including ended calls whose response is stored.
    pub calls_max: usize,
    /// Bytes of requests and stored responses above which calls are refused.
    pub held_bytes_max: usize,
}

/// All calls that a callee has received and not removed.
#[derive(Debug)]
pub struct CallTable {
    settings: TableSettings,
    calls: HashMap<CallId, ServedCall>,
    removed: RemovedCalls,
    /// Boot number of the caller, by connection.
    callers: HashMap<u64, u64>,
    /// Connection of each caller, by the caller's boot number.
    connections: HashMap<u64, u64>,
    held_bytes: usize,
    shares: Shares,
    draining: bool,
}

impl CallTable {
    /// Creates an empty table.
    pub fn new(settings: TableSettings) -> Self {
        Self {
            settings,
            calls: HashMap::new(),
            removed: RemovedCalls::default(),
            callers: HashMap::new(),
            connections: HashMap::new(),
            held_bytes: 0,
            shares: Shares::default(),
            draining: false,
        }
    }

    /// Whether the table holds no call, not even an ended one with a stored response.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Number of calls, including ended calls whose response is stored.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Bytes of all requests and stored responses.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Connections that have calls which have not ended.
    pub fn active_connections(&self) -> HashSet<u64> {
        let running = self.calls.values().filter(|call| !call.is_ended());
        running.filter_map(|call| call.connection).collect()
    }

    /// Refuses new calls from now on; calls in progress continue.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Adds a connection whose greeting is complete. `boot` is the caller's boot number, which
    /// changes when the caller restarts. An older connection of the same caller is closed.
    pub fn add_connection(
        &mut self,
        connection: u64,
        boot: u64,
        now_ms: u64,
        actions: &mut Vec<TableAction>,
    ) {
        self.callers.insert(connection, boot);
        if let Some(older) = self.connections.insert(boot, connection) {
            self.callers.remove(&older);
            self.mark_lost(older, now_ms);
            actions.push(TableAction::Close { connection: older });
        }
    }

    /// Removes a closed connection; its calls wait for the caller's next connection.
    pub fn remove_connection(&mut self, connection: u64, now_ms: u64) {
        if let Some(boot) = self.callers.remove(&connection) {
            self.connections.remove(&boot);
        }
        self.mark_lost(connection, now_ms);
    }

    /// Processes a frame that was received on `connection`. `arrived_at_ms` is the time when
    /// the frame was read from the socket.
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
            Frame::Open(open) => self.open_call(connection, open, arrived_at_ms, now_ms, actions),
            Frame::Attach { id, next_part } => self.attach(connection, id, next_part, actions),
            Frame::Received { id, next_part } => self.acknowledge(id, next_part, actions),
            Frame::Forget { id } | Frame::Cancel { id } => self.release(id, actions),
            _ => {}
        }
    }

    /// Records that the handler accepted the call.
    pub fn mark_accepted(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        self.update_call(id, actions, |call| call.advance(Stage::Accepted));
    }

    /// Records that the handler passes the call to the endpoint.
    pub fn mark_started(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        self.update_call(id, actions, |call| call.advance(Stage::Started));
    }

    /// Sends status and headers of the response.
    pub fn send_head(&mut self, id: CallId, head: Head, actions: &mut Vec<TableAction>) {
        self.update_call(id, actions, |call| call.add_head(head));
    }

    /// Sends the next bytes of the response's body.
    pub fn send_chunk(&mut self, id: CallId, bytes: Bytes, actions: &mut Vec<TableAction>) {
        self.update_call(id, actions, |call| call.add_chunk(bytes));
    }

    /// Ends the call with a complete response.
    pub fn finish(&mut self, id: CallId, now_ms: u64, actions: &mut Vec<TableAction>) {
        self.update_call(id, actions, |call| call.finish(now_ms));
    }

    /// Ends the call without a complete response.
    pub fn fail(
        &mut self,
        id: CallId,
        failure: Failure,
        now_ms: u64,
        actions: &mut Vec<TableAction>,
    ) {
        self.update_call(id, actions, |call| call.fail(failure, now_ms));
    }

    /// Ends the call after its handler was dropped. Does nothing if the call has ended.
    pub fn abandon(&mut self, id: CallId, now_ms: u64, actions: &mut Vec<TableAction>) {
        self.update_call(id, actions, |call| call.abandon(now_ms));
    }

    /// Applies the timeouts of all calls. To be called about every 100 ms.
    pub fn tick(&mut self, now_ms: u64, actions: &mut Vec<TableAction>) {
        let settings = self.settings;
        let mut expired = Vec::new();
        let mut to_cancel = Vec::new();
        for call in self.calls.values_mut() {
            if let Some(ended_at_ms) = call.ended_at_ms {
                if now_ms >= ended_at_ms + settings.retention_ms {
                    expired.push(call.id);
                }
                continue;
            }
            if call.retention != Retention::Keep {
                continue;
            }
            let grace_over = call
                .lost_at_ms
                .is_some_and(|at_ms| now_ms >= at_ms + settings.grace_ms);
            if call.idempotent && (grace_over || now_ms >= call.deadline_at_ms) {
                to_cancel.push(call.id);
            } else if grace_over {
                call.retention = Retention::Bounded;
                actions.push(TableAction::Unblock { id: call.id });
            }
        }
        for id in expired {
            self.removed.record_expiry(id);
            self.remove(id, actions);
        }
        for id in to_cancel {
            self.cancel(id, actions);
        }
    }

    fn open_call(
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
        if let Some(failure) = self.removed.find_recent(id) {
            actions.push(TableAction::Send {
                connection,
                frame: Frame::Fail { id, failure },
            });
            return;
        }
        let deadline_at_ms = arrived_at_ms + u64::from(open.deadline_left_ms);
        if let Some(failure) = self.refusal(&open, deadline_at_ms, now_ms) {
            self.removed.record_refusal(id, failure);
            actions.push(TableAction::Send {
                connection,
                frame: Frame::Fail { id, failure },
            });
            return;
        }
        let call = ServedCall::new(&open, connection, deadline_at_ms);
        self.held_bytes += call.held_bytes();
        self.shares.add_call(&open.customer, open.body.len());
        self.calls.insert(id, call);
        actions.push(TableAction::Run { connection, open });
    }

    fn refusal(&self, open: &Open, deadline_at_ms: u64, now_ms: u64) -> Option<Failure> {
        let settings = self.settings;
        let free = FreeCapacity {
            calls: settings.calls_max.saturating_sub(self.calls.len()),
            bytes: settings.held_bytes_max.saturating_sub(self.held_bytes),
        };
        let full = !self.shares.fits(&open.customer, open.body.len(), free);
        if now_ms >= deadline_at_ms {
            Some(Failure::not_run(Cause::DeadlinePassed))
        } else if self.draining {
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
            if call.retention == Retention::Bounded {
                call.retention = Retention::Keep;
            }
            actions.extend(call.resend(next_part).into_iter().map(send));
        } else if let Some(failure) = self.removed.find(id) {
            actions.push(send(Frame::Fail { id, failure }));
        } else {
            actions.push(send(Frame::Unattached { id }));
        }
    }

    fn acknowledge(&mut self, id: CallId, next_part: u32, actions: &mut Vec<TableAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let bytes = call.acknowledge(next_part);
        self.held_bytes -= bytes;
        if bytes > 0 {
            actions.push(TableAction::Credit { id, bytes });
        }
    }

    /// Handles a caller that received the final response or no longer needs any.
    fn release(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.is_ended() {
            self.removed.record_release(id);
            self.remove(id, actions);
        } else if call.retention != Retention::Discard {
            self.cancel(id, actions);
        }
    }

    fn cancel(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        self.discard_parts(id);
        if let Some(call) = self.calls.get_mut(&id) {
            call.retention = Retention::Discard;
            actions.push(TableAction::Cancel { id });
        }
    }

    fn discard_parts(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            let before_bytes = call.held_bytes();
            call.discard_parts();
            self.held_bytes -= before_bytes - call.held_bytes();
        }
    }

    /// Applies `change` to a call, and sends the resulting frame if the caller is connected.
    fn update_call(
        &mut self,
        id: CallId,
        actions: &mut Vec<TableAction>,
        change: impl FnOnce(&mut ServedCall) -> Option<Frame>,
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
        let (retention, ended) = (call.retention, call.is_ended());
        if retention == Retention::Discard && ended {
            self.removed.record_expiry(id);
            self.remove(id, actions);
        } else if retention == Retention::Bounded && self.held_bytes > self.settings.held_bytes_max
        {
            self.discard_parts(id);
        }
    }

    fn remove(&mut self, id: CallId, actions: &mut Vec<TableAction>) {
        if let Some(call) = self.calls.remove(&id) {
            self.held_bytes -= call.held_bytes();
            self.shares
                .remove_call(&call.customer, call.request_bytes());
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
