//! Handle of a running stand-in, and the state that its tasks share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::fault::{Fault, Faults};

/// A simulated crash: all connections close, and the stand-in serves again after `down_ms`.
#[derive(Clone, Copy, Default)]
pub(crate) struct Crash {
    /// Number of the crash; 0 until the first one.
    pub(crate) number: u64,
    pub(crate) down_ms: u64,
    /// Whether the address accepts connections in the meantime and closes them, instead of refusing
    /// them.
    pub(crate) accepts: bool,
}

/// Faults and crashes of a stand-in, shared by its tasks.
pub(crate) struct Control {
    pub(crate) faults: Faults,
    pub(crate) crash: watch::Sender<Crash>,
    /// Changes when the open connections go silent.
    pub(crate) silenced: watch::Sender<()>,
    /// Requests that arrived, including those that a fault affected.
    pub(crate) requests: AtomicU64,
}

impl Control {
    pub(crate) fn new() -> Arc<Control> {
        let (crash, _) = watch::channel(Crash::default());
        Arc::new(Control {
            faults: Faults::default(),
            crash,
            silenced: watch::channel(()).0,
            requests: AtomicU64::new(0),
        })
    }

    /// Number of crashes since the start.
    pub(crate) fn crashes(&self) -> u64 {
        self.crash.borrow().number
    }

    /// Closes all connections and listens again after `down_ms`.
    pub(crate) fn crash(&self, down_ms: u64) {
        self.crash_with_address(down_ms, false);
    }

    /// Like [`Control::crash`]; with `accepts`, the address goes on accepting connections and closes
    /// them.
    pub(crate) fn crash_with_address(&self, down_ms: u64, accepts: bool) {
        self.crash.send_modify(|crash| {
            crash.number += 1;
            crash.down_ms = down_ms;
            crash.accepts = accepts;
        });
    }
}

/// A running stand-in. Dropping the handle closes the listener and all connections.
pub struct Handle {
    /// Address of the listener; the port is never 0.
    pub address: SocketAddr,
    pub(crate) control: Arc<Control>,
    pub(crate) tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Activates a fault. An active fault of the same kind and path is replaced.
    pub fn inject_fault(&self, fault: Fault) {
        self.control.faults.set(fault);
    }

    /// Deactivates all faults.
    pub fn clear_faults(&self) {
        self.control.faults.clear();
    }

    /// Number of requests that arrived, including those that a fault affected.
    pub fn requests(&self) -> u64 {
        self.control.requests.load(Ordering::Relaxed)
    }

    /// Number of crashes since the start.
    pub fn crashes(&self) -> u64 {
        self.control.crashes()
    }

    /// Closes all connections and listens again after `down_ms`. Only an engine loses its state in
    /// a crash (see [`crate::engine`]).
    pub fn crash(&self, down_ms: u64) {
        self.control.crash(down_ms);
    }

    /// Makes all open connections silent for good, without closing them. New ones work.
    pub fn silence_connections(&self) {
        self.control.silenced.send_replace(());
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
