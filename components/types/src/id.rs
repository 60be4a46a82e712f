//! Identities of processes and calls.

use std::fmt;
use std::net::SocketAddr;

use derive::{key, wire, wire_key};
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

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

/// Identity of a call, unique across restarts of the caller. Stands in every frame, so it
/// is serialised by hand, with the bytes of the derived form.
#[key]
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
        f.write_str("the identity of a call")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<CallId, A::Error> {
        let mut number = || {
            let next = seq.next_element()?;
            next.ok_or_else(|| A::Error::custom("a number of the identity is missing"))
        };
        Ok(CallId {
            boot: number()?,
            counter: number()?,
        })
    }
}
