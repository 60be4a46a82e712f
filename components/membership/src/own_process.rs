//! This process as others see it.

use derive::value;
use protocol::ProcessRole;
use types::{FailureDomain, Incarnation, NodeId, Region};

/// This process; known from its settings, but for the incarnation.
#[value]
pub struct OwnProcess {
    /// Its address and life.
    pub node: NodeId,
    /// What it is.
    pub role: ProcessRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// When it started, in milliseconds.
    pub started_ms: u64,
}

impl OwnProcess {
    /// Takes the next number after `heard`, unless its own is above already.
    ///
    /// A VM whose clock runs behind starts with a number below its predecessor's. Every
    /// other process would take its answers for late ones of the old life, and the
    /// endpoint would get no work.
    pub(crate) fn raise_above(&mut self, heard: Incarnation) -> bool {
        if heard < self.node.incarnation {
            return false;
        }
        self.node.incarnation = Incarnation(heard.0.saturating_add(1));
        true
    }
}
