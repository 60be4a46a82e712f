//! Counters of bytes on the wire, for measurements of capacity.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Bytes carried so far, with frame lengths and authentication, without IP and TCP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Requests and answers sent, in bytes.
    pub calls_sent_bytes: u64,
    /// Requests and answers received, in bytes.
    pub calls_received_bytes: u64,
    /// Everything else sent (greetings, pings, acknowledgements, news), in bytes.
    pub control_sent_bytes: u64,
    /// Everything else received, in bytes.
    pub control_received_bytes: u64,
    /// Datagrams that were dropped because they did not pass as authentic.
    pub datagrams_dropped: u64,
}

/// Counts bytes; clones count into the same.
#[derive(Clone, Debug, Default)]
pub struct Counters(Arc<Cells>);

#[derive(Debug, Default)]
struct Cells {
    calls_sent_bytes: AtomicU64,
    calls_received_bytes: AtomicU64,
    control_sent_bytes: AtomicU64,
    control_received_bytes: AtomicU64,
    datagrams_dropped: AtomicU64,
}

impl Counters {
    /// The counts now.
    pub fn snapshot(&self) -> Traffic {
        Traffic {
            calls_sent_bytes: self.0.calls_sent_bytes.load(Relaxed),
            calls_received_bytes: self.0.calls_received_bytes.load(Relaxed),
            control_sent_bytes: self.0.control_sent_bytes.load(Relaxed),
            control_received_bytes: self.0.control_received_bytes.load(Relaxed),
            datagrams_dropped: self.0.datagrams_dropped.load(Relaxed),
        }
    }

    pub(crate) fn sent(&self, carries_call: bool, size_bytes: usize) {
        let cell = if carries_call {
            &self.0.calls_sent_bytes
        } else {
            &self.0.control_sent_bytes
        };
        cell.fetch_add(size_bytes as u64, Relaxed);
    }

    pub(crate) fn received(&self, carries_call: bool, size_bytes: usize) {
        let cell = if carries_call {
            &self.0.calls_received_bytes
        } else {
            &self.0.control_received_bytes
        };
        cell.fetch_add(size_bytes as u64, Relaxed);
    }

    pub(crate) fn datagram_dropped(&self) {
        self.0.datagrams_dropped.fetch_add(1, Relaxed);
    }
}
