//! Tracks the open connections of callers and selects those that are closed for new ones.
//!
//! Idle connections cost a caller nothing, so a few thousand of them could block all other
//! callers. When the maximum is reached, the connections that have been idle for the longest time
//! are closed. Connections with a request in progress are never closed for another connection.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use node::now_ms;
use tokio::sync::Notify;
use tokio::task::Id;

/// Value of `idle_since_ms` while a request is in progress.
const BUSY: u64 = u64::MAX;
/// Closes one in so many connections at a time, so that the connections are not scanned for every
/// new one.
const CLOSE_DIVISOR: usize = 16;
/// Minimum idle time before a connection may be closed. The next request of a connection that was
/// idle for less time may already be in transit.
const IDLE_MS_MIN: u64 = 500;
/// Time between two rounds of closing, within which the closed connections end.
const CLOSE_INTERVAL_MS: u64 = 100;
/// Minimum time between two log lines about closed connections.
const LOG_INTERVAL_MS: u64 = 10_000;

/// State of one connection, shared by its task and the accept loop.
#[derive(Debug)]
pub struct Connection {
    idle_since_ms: AtomicU64,
    closing: AtomicBool,
    close: Notify,
}

impl Connection {
    /// Creates the state of a connection that has not received a request.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            idle_since_ms: AtomicU64::new(now_ms()),
            closing: AtomicBool::new(false),
            close: Notify::new(),
        })
    }

    /// Marks the connection as busy until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> BusyGuard {
        self.idle_since_ms.store(BUSY, Ordering::SeqCst);
        BusyGuard(Arc::clone(self))
    }

    /// Returns whether a request is in progress.
    pub fn is_busy(&self) -> bool {
        self.idle_since_ms.load(Ordering::SeqCst) == BUSY
    }

    /// Waits until the connection is selected for closing.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Returns whether the connection was selected for closing.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Cancels the closing and returns true if a request has arrived in the meantime.
    pub fn cancel_close_if_busy(&self) -> bool {
        let is_busy = self.is_busy();
        if is_busy {
            self.closing.store(false, Ordering::Relaxed);
        }
        is_busy
    }

    /// Returns the start of the idle time, or `None` if the connection must not be closed now.
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

/// Marks a connection as busy. Dropping the guard marks it as idle.
#[derive(Debug)]
pub struct BusyGuard(Arc<Connection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.idle_since_ms.store(now_ms(), Ordering::SeqCst);
    }
}

/// All open connections, owned by the task that accepts them.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    open: HashMap<Id, Arc<Connection>>,
    closed: usize,
    last_close_ms: Option<u64>,
    last_log_ms: Option<u64>,
}

impl Connections {
    /// Creates an empty set for at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            open: HashMap::new(),
            closed: 0,
            last_close_ms: None,
            last_log_ms: None,
        }
    }

    /// Returns whether another connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.open.len() < self.max
    }

    /// Adds a connection that is served by this task.
    pub fn add(&mut self, task: Id, connection: Arc<Connection>) {
        self.open.insert(task, connection);
    }

    /// Removes the connection of a task that has ended.
    pub fn remove(&mut self, task: Id) {
        self.open.remove(&task);
    }

    /// Closes the connections that have been idle for the longest time and returns their number.
    /// Does nothing while there is capacity or shortly after the previous round.
    pub fn close_idle(&mut self, now_ms: u64) -> usize {
        let is_recent = |last_close_ms| now_ms < last_close_ms + CLOSE_INTERVAL_MS;
        if self.has_capacity() || self.last_close_ms.is_some_and(is_recent) {
            return 0;
        }
        self.last_close_ms = Some(now_ms);
        let idle = self.open.values().filter_map(|connection| {
            let since_ms = connection.idle_since_ms(now_ms)?;
            Some((since_ms, connection))
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by_key(|(since_ms, _)| *since_ms);
        let close_count = (self.max / CLOSE_DIVISOR).max(1);
        let oldest = idle.iter().take(close_count);
        let closed = oldest.map(|(_, connection)| connection.close()).count();
        self.closed += closed;
        self.log(now_ms);
        closed
    }

    fn log(&mut self, now_ms: u64) {
        let is_recent = |last_log_ms| now_ms < last_log_ms + LOG_INTERVAL_MS;
        if self.last_log_ms.is_some_and(is_recent) {
            return;
        }
        self.last_log_ms = Some(now_ms);
        let closed = std::mem::take(&mut self.closed);
        log::warn!(event = "connections-full", open = self.open.len(), closed; "");
    }
}
