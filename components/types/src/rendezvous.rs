//! Rendezvous hashing (highest random weight): all processes that know the same candidates compute
//! the same ranking without communication, and the removal of a candidate does not change the
//! relative order of the others.

use std::net::{IpAddr, SocketAddr};

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Weight of a candidate for a key; the candidate with the highest weight ranks first. The
/// function must never change, because processes of different builds have to compute the same
/// ranking.
pub fn weight(key: &[u8], candidate: SocketAddr) -> u64 {
    let hash = fnv1a(FNV_OFFSET_BASIS, key);
    let hash = match candidate.ip() {
        IpAddr::V4(ip) => fnv1a(hash, &ip.octets()),
        IpAddr::V6(ip) => fnv1a(hash, &ip.octets()),
    };
    mix(fnv1a(hash, &candidate.port().to_be_bytes()))
}

/// Sorts the candidates by descending weight for `key` and removes duplicates.
pub fn ranked(key: &[u8], candidates: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, SocketAddr)> = candidates
        .into_iter()
        .map(|candidate| (weight(key, candidate), candidate))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Spreads the last input bytes over all bits of the hash. Plain FNV gives similar hashes to ports
/// and keys that differ only in their last byte.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
