//! Hold on a running stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::fault::{Fault, Faults};

/// One end of the stand-in's life: its connections close, and it listens again later.
#[derive(Clone, Copy, Default)]
pub(crate) struct Crash {
    pub(crate) number: u64,
    pub(crate) down_ms: u64,
}

/// What the tasks of a stand-in share.
pub(crate) struct Control {
    pub(crate) faults: Faults,
    pub(crate) crash: watch::Sender<Crash>,
}

impl Control {
    pub(crate) fn new() -> Arc<Control> {
        let (crash, _) = watch::channel(Crash::default());
        Arc::new(Control {
            faults: Faults::default(),
            crash,
        })
    }

    /// Crashes so far.
    pub(crate) fn crashes(&self) -> u64 {
        self.crash.borrow().number
    }

    /// Cuts all connections and listens again after `down_ms`.
    pub(crate) fn crash(&self, down_ms: u64) {
        self.crash.send_modify(|crash| {
            crash.number += 1;
            crash.down_ms = down_ms;
        });
    }
}

/// A running stand-in; dropped, it closes its listener and all its connections.
pub struct Handle {
    /// Where it listens.
    pub address: SocketAddr,
    pub(crate) control: Arc<Control>,
    pub(crate) tasks: Vec<JoinHandle<()>>,
}

impl Handle {
    /// Switches a fault on.
    pub fn inject_fault(&self, fault: Fault) {
        self.control.faults.set(fault);
    }

    /// Switches all faults off.
    pub fn clear_faults(&self) {
        self.control.faults.clear();
    }

    /// Cuts all connections and listens again after `down_ms`. State that the stand-in
    /// keeps stays, but for an engine's (see [`crate::engine`]).
    pub fn crash(&self, down_ms: u64) {
        self.control.crash(down_ms);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
