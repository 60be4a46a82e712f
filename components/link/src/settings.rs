//! Settings of connections and datagrams between the processes of the system.

use protocol::{Keys, ProcessRole};
use recovery::TableSettings;
use types::{FailureDomain, NodeId};

use crate::Counters;

/// Settings of a [`crate::Links`], of [`crate::serve`] and of a [`crate::Udp`].
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Address and incarnation of this process, sent in the handshake.
    pub node: NodeId,
    /// Role of this process, sent in the handshake.
    pub role: ProcessRole,
    /// Failure domain of this process, sent in the handshake.
    pub failure_domain: FailureDomain,
    /// Keys that authenticate handshakes and datagrams.
    pub keys: Keys,
    /// Timeout for connecting and the handshake together, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without received bytes, while calls are in progress, after which the peer is
    /// pinged, in milliseconds.
    pub ping_after_ms: u64,
    /// Time within which the peer must send any byte after a ping, in milliseconds.
    pub ping_deadline_ms: u64,
    /// How long the caller tries to resume a call after its connection was lost, in
    /// milliseconds.
    pub reattach_for_ms: u64,
    /// Flow-control window of one answer: bytes that the callee sends before the caller
    /// acknowledges them.
    pub window_bytes: usize,
    /// Largest frame, in bytes.
    pub frame_bytes_max: usize,
    /// How long an idempotent call continues at the callee after its caller's connection
    /// was lost, in milliseconds; then it is cancelled.
    pub grace_ms: u64,
    /// How long the callee keeps a complete answer that the caller has not acknowledged, in
    /// milliseconds.
    pub answer_retention_ms: u64,
    /// Most calls that the callee holds at a time, including those whose complete answers it
    /// keeps.
    pub calls_max: usize,
    /// Total bytes of requests and kept answers above which the callee refuses new calls.
    pub held_bytes_max: usize,
    /// Traffic counters; clones of the settings share them.
    pub counters: Counters,
}

impl LinkSettings {
    /// Settings with the default timeouts and limits.
    pub fn new(node: NodeId, role: ProcessRole, failure_domain: FailureDomain, keys: Keys) -> Self {
        Self {
            node,
            role,
            failure_domain,
            keys,
            connect_timeout_ms: 500,
            ping_after_ms: 500,
            ping_deadline_ms: 500,
            reattach_for_ms: 5_000,
            window_bytes: 64 * 1024,
            frame_bytes_max: 16 * 1024 * 1024,
            grace_ms: 5_000,
            answer_retention_ms: 30_000,
            calls_max: 1_024,
            held_bytes_max: 64 * 1024 * 1024,
            counters: Counters::default(),
        }
    }

    pub(crate) fn table(&self) -> TableSettings {
        TableSettings {
            grace_ms: self.grace_ms,
            retention_ms: self.answer_retention_ms,
            calls_max: self.calls_max,
            held_bytes_max: self.held_bytes_max,
        }
    }
}
