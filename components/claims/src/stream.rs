//! Which stream a key belongs to and which entry usually writes to it.

use std::net::SocketAddr;

use types::rendezvous;

use crate::KeyDigest;

/// The shard of a key.
pub fn shard_of(key: KeyDigest, shards: u16) -> u16 {
    let number = u128::from_be_bytes(key.bytes()) % u128::from(shards.max(1));
    // The remainder is below a u16.
    number as u16
}

/// The log's stream of a shard.
pub fn stream_name(shard: u16) -> String {
    format!("claims-{shard:02}")
}

/// The live entries in the order in which they write to a shard: the first is its usual
/// writer, the next takes its place when it does not answer. Two writers at a time cost
/// appends and nothing else.
pub fn writers_of(shard: u16, entries: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    rendezvous::ranked(stream_name(shard).as_bytes(), entries)
}
