//! Settings of the links between the system's own processes.

use protocol::{Keys, ProcessRole};
use recovery::TableSettings;
use types::{FailureDomain, NodeId};

use crate::Counters;

/// Settings of a [`crate::Links`], of [`crate::serve`] and of a [`crate::Udp`].
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// This process.
    pub node: NodeId,
    /// What this process is.
    pub role: ProcessRole,
    /// Failure domain of this process.
    pub failure_domain: FailureDomain,
    /// Shared keys.
    pub keys: Keys,
    /// Longest time for a connection to be made and greeted, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Silence while calls are outstanding after which the peer is pinged, in milliseconds.
    pub ping_after_ms: u64,
    /// Time for the peer to answer a ping, in milliseconds.
    pub ping_deadline_ms: u64,
    /// How long the caller tries to take a call up again after a lost connection, in
    /// milliseconds.
    pub reattach_for_ms: u64,
    /// Bytes of an answer that may be on their way before the caller says that it has
    /// taken them.
    pub window_bytes: usize,
    /// Largest frame, in bytes.
    pub frame_bytes_max: usize,
    /// How long the callee lets an idempotent call run on after its caller's connection
    /// was lost, in milliseconds.
    pub grace_ms: u64,
    /// How long the callee keeps a final answer that nobody acknowledged, in milliseconds.
    pub answer_retention_ms: u64,
    /// Most calls that the callee holds at a time, kept answers included.
    pub calls_max: usize,
    /// Bytes of requests and kept answers beyond which the callee refuses calls.
    pub held_bytes_max: usize,
    /// Bytes carried so far; clones of the settings count into the same.
    pub counters: Counters,
}

impl LinkSettings {
    /// Settings with the usual times and limits.
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
            keep_ms: self.answer_retention_ms,
            calls_max: self.calls_max,
            held_bytes_max: self.held_bytes_max,
        }
    }
}
