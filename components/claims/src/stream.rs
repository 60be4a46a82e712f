//! Assignment of keys to streams, and of streams to the entries that write to them.

use std::net::SocketAddr;

use types::rendezvous;

use crate::KeyDigest;

/// Shard that a key belongs to.
pub fn shard_of(key: KeyDigest, shards: u16) -> u16 {
    let number = u128::from_be_bytes(key.bytes()) % u128::from(shards.max(1));
    // The remainder is less than `shards`, so it fits into a u16.
    number as u16
}

/// Name of a shard's stream in the log.
pub fn stream_name(shard: u16) -> String {
    format!("claims-{shard:02}")
}

/// The live entries in the order in which they are tried as writers of a shard: the first one is
/// its usual writer, and the next one replaces a writer that does not answer. Two concurrent
/// writers cost additional appends but do no other harm.
pub fn writers_of(shard: u16, entries: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    rendezvous::ranked(stream_name(shard).as_bytes(), entries)
}
