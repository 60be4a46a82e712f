//! Identities of processes and calls.

use std::fmt;
use std::net::SocketAddr;

use derive::{wire, wire_key};

/// Orders the lives of processes at one address; a later life has the higher number.
///
/// Taken from the wall clock at start. A process that hears a number for its own
/// address that is not below its own takes that number plus one, so a VM whose clock
/// runs behind still ends up above its predecessor.
#[wire_key]
pub struct Incarnation(pub u64);

/// One life of one process.
#[wire]
#[derive(Copy, Hash, PartialOrd, Ord)]
pub struct NodeId {
    /// Address of the process for inner traffic, TCP and UDP alike.
    pub address: SocketAddr,
    /// Which life of the process at that address.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.address, self.incarnation.0)
    }
}

/// Identity of a call, unique across restarts of the caller.
#[wire_key]
pub struct CallId {
    /// Random number drawn by the calling process at its start.
    pub boot: u64,
    /// Counter within that process.
    pub counter: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.boot, self.counter)
    }
}
