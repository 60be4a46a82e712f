//! Who this process is towards the others. The incarnation may rise while the process
//! runs, so it is an atomic and every datagram reads it anew.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use protocol::ProcessRole;
use types::{FailureDomain, Incarnation, NodeId, Region};

/// Identity of this process.
#[derive(Debug)]
pub struct Identity {
    address: SocketAddr,
    incarnation: AtomicU64,
    /// What the process is.
    pub role: ProcessRole,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
}

impl Identity {
    /// An identity whose incarnation is the wall clock's milliseconds now.
    pub fn new(
        address: SocketAddr,
        role: ProcessRole,
        failure_domain: FailureDomain,
        region: Region,
    ) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let start_ms = since_epoch.map_or(1, |elapsed| elapsed.as_millis() as u64);
        Self {
            address,
            incarnation: AtomicU64::new(start_ms),
            role,
            failure_domain,
            region,
        }
    }

    /// The process as others know it now.
    pub fn node(&self) -> NodeId {
        NodeId {
            address: self.address,
            incarnation: Incarnation(self.incarnation.load(Ordering::Acquire)),
        }
    }

    /// Takes a higher number, after an earlier life was heard of that stands above.
    pub(crate) fn take(&self, incarnation: Incarnation) {
        self.incarnation.fetch_max(incarnation.0, Ordering::AcqRel);
    }
}
