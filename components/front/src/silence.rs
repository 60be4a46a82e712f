//! Replicas that stay silent on a connection.
//!
//! Something between two machines may lose track of all their open connections at once. These stay
//! open and silent for good, while new ones work. A request that waits in vain therefore says
//! something about the idle connections of its replica too: without that, the requests that follow
//! would take one silent connection after another and wait on each of them.

use platform::replica::ReplicaError;

use crate::clock::now_ms;
use crate::peers::Member;

/// Silence on a connection after which the idle connections of its replica count as silent too, in
/// milliseconds.
const SILENCE_MS: u64 = 500;

/// Watches a request at a replica for silence. If the watch is dropped while the replica has been
/// silent, because the request timed out or its caller gave up, the idle connections that were last
/// used before the silence began are closed.
pub struct SilenceWatch {
    member: Member,
    heard_ms: u64,
}

impl SilenceWatch {
    /// Starts when a request is sent.
    pub fn start(member: &Member) -> Self {
        Self {
            member: member.clone(),
            heard_ms: now_ms(),
        }
    }

    /// Records what came of waiting for a part of the answer: only a timeout is silence.
    pub fn record_outcome<T>(&mut self, outcome: &Result<T, ReplicaError>) {
        if !matches!(outcome, Err(ReplicaError::Timeout(_))) {
            self.record_heard();
        }
    }

    /// Records that a part of the answer has arrived, or that the connection has ended.
    pub fn record_heard(&mut self) {
        self.heard_ms = now_ms();
    }

    /// Whether the replica has been silent.
    pub fn is_silent(&self) -> bool {
        self.silent_ms() >= SILENCE_MS
    }

    fn silent_ms(&self) -> u64 {
        now_ms().saturating_sub(self.heard_ms)
    }
}

impl Drop for SilenceWatch {
    fn drop(&mut self) {
        if !self.is_silent() {
            return;
        }
        let closed = self.member.peer.close_unused_since(self.heard_ms);
        if closed > 0 {
            log::info!(
                event = "idle-connections-closed", replica = &*self.member.replica.id, closed,
                silent_ms = self.silent_ms(); ""
            );
        }
    }
}
