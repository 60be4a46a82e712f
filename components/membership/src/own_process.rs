//! This process as other processes see it.

use derive::value;
use protocol::ProcessRole;
use types::{FailureDomain, Incarnation, NodeId, Region};

/// Identity of this process. All fields come from its settings, except the incarnation.
#[value]
pub struct OwnProcess {
    /// Address and incarnation.
    pub node: NodeId,
    /// Whether this process is an entry or an agent.
    pub role: ProcessRole,
    /// Failure domain of this process.
    pub failure_domain: FailureDomain,
    /// Region of this process.
    pub region: Region,
    /// Start time on the process's monotonic clock, in milliseconds.
    pub started_ms: u64,
}

impl OwnProcess {
    /// Raises the incarnation above `reported` unless it is higher already; returns whether it was
    /// raised.
    ///
    /// A VM whose clock is behind starts with a lower incarnation than its predecessor. Every other
    /// process would take its answers for delayed ones of the predecessor, and its endpoint would
    /// get no work.
    pub(crate) fn raise_above(&mut self, reported: Incarnation) -> bool {
        if reported < self.node.incarnation {
            return false;
        }
        self.node.incarnation = Incarnation(reported.0.saturating_add(1));
        true
    }
}
