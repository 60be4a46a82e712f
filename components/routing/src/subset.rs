//! Subsetting: the part of a large service's replicas that one entry connects to.
//!
//! Without it the number of connections and probes is entries × replicas; with it, entries ×
//! subset size. Rendezvous hashing keeps the subset almost unchanged when replicas are added or
//! removed, and distributes the subsets of different entries evenly over the replicas.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use types::NodeId;

use crate::replica::Replica;

/// Returns the `size` replicas with the highest rendezvous hash for `entry`, in their given order.
pub fn choose_subset(entry: NodeId, replicas: Vec<Replica>, size: usize) -> Vec<Replica> {
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
    let is_in_subset = |replica: &Replica| Some(rank(replica)) >= last;
    replicas.into_iter().filter(is_in_subset).collect()
}
