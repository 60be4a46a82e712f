//! The part of a large service's replicas that one entry talks to.
//!
//! Connections and probes cost entries × replicas; with a subset they cost entries ×
//! subset. Rendezvous hashing keeps the subset nearly unchanged when replicas come
//! and go, and spreads subsets of different entries evenly.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use types::NodeId;

use crate::replica::Replica;

/// Keeps the `size` replicas that rank highest for `entry`, in the order given.
pub fn subset(entry: NodeId, replicas: Vec<Replica>, size: usize) -> Vec<Replica> {
    if replicas.len() <= size {
        return replicas;
    }
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let rank = |replica: &Replica| hasher.hash_one((entry.address, replica.node.address));
    let mut ranks: Vec<u64> = replicas.iter().map(rank).collect();
    ranks.sort_unstable_by(|a, b| b.cmp(a));
    let last = match size.checked_sub(1) {
        Some(position) => ranks.get(position).copied(),
        None => return Vec::new(),
    };
    let kept = |replica: &Replica| Some(rank(replica)) >= last;
    replicas.into_iter().filter(kept).collect()
}
