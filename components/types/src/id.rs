//! Identifiers of processes and calls.

use std::fmt;
use std::net::SocketAddr;

use derive::{key, wire, wire_key};
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Orders the successive processes at one address: a later process has the higher number.
///
/// A process takes the number from the wall clock when it starts. A process that receives an
/// incarnation of its own address that is not lower than its own raises its own to the received
/// number plus one. A VM whose clock runs behind therefore still ends up above its predecessor.
#[wire_key]
pub struct Incarnation(pub u64);

/// Identifies one process from its start to its end. A process that is restarted at the same
/// address has another id.
#[wire]
#[derive(Copy, Hash, PartialOrd, Ord)]
pub struct NodeId {
    /// Address for traffic between the system's own processes, both TCP and UDP.
    pub address: SocketAddr,
    /// Distinguishes the successive processes at this address.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.address, self.incarnation.0)
    }
}

/// Identifies a call; unique across restarts of the calling process. The serialization is written
/// by hand because every frame carries a call id; the bytes are those of the derived one.
#[key]
pub struct CallId {
    /// Random number that the calling process draws when it starts.
    pub boot: u64,
    /// Number of the call within that process.
    pub counter: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.boot, self.counter)
    }
}

impl Serialize for CallId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&self.boot)?;
        tuple.serialize_element(&self.counter)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for CallId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(2, CallIdVisitor)
    }
}

struct CallIdVisitor;

impl<'de> Visitor<'de> for CallIdVisitor {
    type Value = CallId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a call id of two numbers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<CallId, A::Error> {
        let mut number = || {
            let next = seq.next_element()?;
            next.ok_or_else(|| A::Error::custom("call id has fewer than two numbers"))
        };
        Ok(CallId {
            boot: number()?,
            counter: number()?,
        })
    }
}
