//! Entries of the platform's VM list, and the outcome of applying one read of it.

use std::net::SocketAddr;

use derive::value;
use protocol::ProcessRole;
use types::{FailureDomain, NodeId, Region};

/// A VM in the list. The list knows addresses, not incarnations.
#[value]
pub struct ListedVm {
    /// Internal address of the process on the VM.
    pub address: SocketAddr,
    /// Whether the process is an entry or an agent.
    pub role: ProcessRole,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// Outcome of applying one read of the list.
#[value]
#[derive(Default)]
pub struct VmListOutcome {
    /// Incarnations that are now known to be leaving; to be gossiped.
    pub leaving: Vec<NodeId>,
    /// Whether this process's own VM is leaving.
    pub own_leaving: bool,
}
