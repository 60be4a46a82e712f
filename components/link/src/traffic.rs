//! Counters of bytes on the wire.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Bytes sent and received, including frame lengths and authentication codes, without the
/// headers of IP, TCP and UDP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent in frames that carry requests and answers.
    pub calls_sent_bytes: u64,
    /// Bytes received in frames that carry requests and answers.
    pub calls_received_bytes: u64,
    /// Bytes sent in handshakes, pings, acknowledgements and datagrams.
    pub control_sent_bytes: u64,
    /// Bytes received in handshakes, pings, acknowledgements and datagrams.
    pub control_received_bytes: u64,
    /// Received datagrams that were dropped because they were malformed or not authentic.
    pub datagrams_dropped: u64,
}

/// Traffic counters; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Counters(Arc<AtomicTraffic>);

#[derive(Debug, Default)]
struct AtomicTraffic {
    calls_sent_bytes: AtomicU64,
    calls_received_bytes: AtomicU64,
    control_sent_bytes: AtomicU64,
    control_received_bytes: AtomicU64,
    datagrams_dropped: AtomicU64,
}

impl Counters {
    /// Reads all counters.
    pub fn snapshot(&self) -> Traffic {
        Traffic {
            calls_sent_bytes: self.0.calls_sent_bytes.load(Relaxed),
            calls_received_bytes: self.0.calls_received_bytes.load(Relaxed),
            control_sent_bytes: self.0.control_sent_bytes.load(Relaxed),
            control_received_bytes: self.0.control_received_bytes.load(Relaxed),
            datagrams_dropped: self.0.datagrams_dropped.load(Relaxed),
        }
    }

    pub(crate) fn record_sent(&self, carries_call: bool, size_bytes: usize) {
        let cell = if carries_call {
            &self.0.calls_sent_bytes
        } else {
            &self.0.control_sent_bytes
        };
        cell.fetch_add(size_bytes as u64, Relaxed);
    }

    pub(crate) fn record_received(&self, carries_call: bool, size_bytes: usize) {
        let cell = if carries_call {
            &self.0.calls_received_bytes
        } else {
            &self.0.control_received_bytes
        };
        cell.fetch_add(size_bytes as u64, Relaxed);
    }

    pub(crate) fn record_dropped_datagram(&self) {
        self.0.datagrams_dropped.fetch_add(1, Relaxed);
    }
}
