//! Rendezvous hashing: every process that knows the same candidates comes to the same
//! ranking without asking anyone, and a candidate that goes changes nobody else's place.

use std::net::{IpAddr, SocketAddr};

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Weight of a candidate for a key; the highest ranks first. The same in every build,
/// so that processes of different ages agree.
pub fn weight(key: &[u8], candidate: SocketAddr) -> u64 {
    let hash = absorb(OFFSET_BASIS, key);
    let hash = match candidate.ip() {
        IpAddr::V4(ip) => absorb(hash, &ip.octets()),
        IpAddr::V6(ip) => absorb(hash, &ip.octets()),
    };
    mix(absorb(hash, &candidate.port().to_be_bytes()))
}

/// The candidates with the highest weight first.
pub fn ranked(key: &[u8], candidates: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = candidates
        .into_iter()
        .map(|candidate| (weight(key, candidate), candidate))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

fn absorb(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Spreads the last bytes over all bits; plain FNV leaves ports and keys that differ in
/// their last byte close to each other.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
