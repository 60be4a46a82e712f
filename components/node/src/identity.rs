//! Identity of this process towards others. The incarnation may rise while the process runs, so
//! it is atomic and is read for every datagram.

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
    /// Role of the process.
    pub role: ProcessRole,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
}

impl Identity {
    /// Creates an identity whose incarnation is the wall-clock time in milliseconds, so that a
    /// restarted process has a higher one.
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

    /// Address and current incarnation of this process.
    pub fn node(&self) -> NodeId {
        NodeId {
            address: self.address,
            incarnation: Incarnation(self.incarnation.load(Ordering::Acquire)),
        }
    }

    /// Raises the incarnation after another process reported a higher one for this address.
    pub(crate) fn raise_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.fetch_max(incarnation.0, Ordering::AcqRel);
    }
}
