//! The open connections of callers, and which of them makes room for a new one.
//!
//! An idle connection costs its caller nothing, so a few thousand of them would shut
//! everybody else out. When no more may be opened, those that have had no request in
//! progress for the longest time are closed. A connection with a request is never closed
//! for another one.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use node::now_ms;
use tokio::sync::Notify;
use tokio::task::Id;

/// In place of a time: a request is in progress.
const BUSY: u64 = u64::MAX;
/// Of all connections, this part is closed at a time, so that each new one does not have
/// to look through all.
const CLOSE_DIVISOR: usize = 16;
/// A connection that is idle for less may have its next request under way.
const IDLE_MS_MIN: u64 = 500;
/// Between two closings, the first of which have ended then.
const CLOSE_INTERVAL_MS: u64 = 100;
/// Between two log lines of connections that were closed for others.
const LOG_INTERVAL_MS: u64 = 10_000;

/// One connection.
#[derive(Debug)]
pub struct Connection {
    idle_since_ms: AtomicU64,
    closing: AtomicBool,
    close: Notify,
}

impl Connection {
    /// A connection without a request so far.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            idle_since_ms: AtomicU64::new(now_ms()),
            closing: AtomicBool::new(false),
            close: Notify::new(),
        })
    }

    /// A request has come; it ends with the guard.
    pub fn begin_request(self: &Arc<Self>) -> BusyGuard {
        self.idle_since_ms.store(BUSY, Ordering::SeqCst);
        BusyGuard(Arc::clone(self))
    }

    /// Whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.idle_since_ms.load(Ordering::SeqCst) == BUSY
    }

    /// Waits until the connection is to make room.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Whether it was told to make room.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Whether it stays after all: a request came meanwhile.
    pub fn cancel_close_if_busy(&self) -> bool {
        let is_busy = self.is_busy();
        if is_busy {
            self.closing.store(false, Ordering::Relaxed);
        }
        is_busy
    }

    /// Since when it could be closed.
    fn idle_since_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.idle_since_ms.load(Ordering::SeqCst);
        let is_idle = since_ms.saturating_add(IDLE_MS_MIN) <= now_ms;
        (is_idle && !self.is_closing()).then_some(since_ms)
    }

    fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.close.notify_one();
    }
}

/// A connection with a request in progress; dropped, the connection is idle.
#[derive(Debug)]
pub struct BusyGuard(Arc<Connection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.idle_since_ms.store(now_ms(), Ordering::SeqCst);
    }
}

/// All connections, in the hands of the task that accepts them.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    open: HashMap<Id, Arc<Connection>>,
    closed: usize,
    last_close_ms: Option<u64>,
    last_log_ms: Option<u64>,
}

impl Connections {
    /// None so far, and at most `max`.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            open: HashMap::new(),
            closed: 0,
            last_close_ms: None,
            last_log_ms: None,
        }
    }

    /// Whether another one may be opened.
    pub fn has_capacity(&self) -> bool {
        self.open.len() < self.max
    }

    /// A connection is served by this task.
    pub fn add(&mut self, task: Id, connection: Arc<Connection>) {
        self.open.insert(task, connection);
    }

    /// The task has ended.
    pub fn remove(&mut self, task: Id) {
        self.open.remove(&task);
    }

    /// Closes those that have been idle for the longest time, unless there is room or some
    /// were closed just now; gives their number.
    pub fn close_idle(&mut self, now_ms: u64) -> usize {
        let just_now = |last_close_ms| now_ms < last_close_ms + CLOSE_INTERVAL_MS;
        if self.has_capacity() || self.last_close_ms.is_some_and(just_now) {
            return 0;
        }
        self.last_close_ms = Some(now_ms);
        let idle = self.open.values().filter_map(|connection| {
            let since_ms = connection.idle_since_ms(now_ms)?;
            Some((since_ms, connection))
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by_key(|(since_ms, _)| *since_ms);
        let part = (self.max / CLOSE_DIVISOR).max(1);
        let oldest = idle.iter().take(part);
        let closed = oldest.map(|(_, connection)| connection.close()).count();
        self.closed += closed;
        self.log(now_ms);
        closed
    }

    fn log(&mut self, now_ms: u64) {
        let lately = |last_log_ms| now_ms < last_log_ms + LOG_INTERVAL_MS;
        if self.last_log_ms.is_some_and(lately) {
            return;
        }
        self.last_log_ms = Some(now_ms);
        let closed = std::mem::take(&mut self.closed);
        log::warn!(event = "connections-full", open = self.open.len(), closed; "");
    }
}
