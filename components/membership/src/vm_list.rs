//! What the platform's VM list says, and what follows from one read of it.

use std::net::SocketAddr;

use derive::value;
use protocol::ProcessRole;
use types::{FailureDomain, NodeId, Region};

/// One VM of the list. The list knows addresses, not lives.
#[value]
pub struct ListedVm {
    /// Inner address of the process on the VM.
    pub address: SocketAddr,
    /// What the process is.
    pub role: ProcessRole,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// The platform is about to take the VM away.
    pub leaving: bool,
}

/// What one read of the list brought.
#[value]
#[derive(Default)]
pub struct VmListOutcome {
    /// Lives that are leaving and were not known to; to be spread as rumours.
    pub leaving: Vec<NodeId>,
    /// This process's own VM is leaving.
    pub own_leaving: bool,
}
