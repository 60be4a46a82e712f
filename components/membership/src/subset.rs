//! Selects the replicas of a service that one entry sends calls to.
//!
//! Rendezvous hashing ranks the replicas of each failure domain. The subset takes all replicas of
//! rank 1, then those of rank 2, and so on, so that it spreads over the failure domains of the
//! entry's own region; other regions fill it up. If a replica disappears, only the subsets that
//! contained it change, each by one replica. A full mesh would cost every agent one probe per entry
//! per second.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive::key;
use types::{FailureDomain, Region, rendezvous};

/// A replica that can be selected for the subset.
#[key]
pub struct Candidate<'a> {
    /// Address of the replica's agent. The ranking depends on it alone, so a restart does not
    /// change the subset.
    pub address: SocketAddr,
    /// Failure domain of the replica.
    pub failure_domain: &'a FailureDomain,
    /// Region of the replica.
    pub region: &'a Region,
}

/// Selects up to `size` replicas for the entry at `own`. Returns their indices in `candidates`, in
/// order of preference.
pub fn choose_subset(
    own: SocketAddr,
    own_region: &Region,
    candidates: &[Candidate<'_>],
    size: usize,
) -> Vec<usize> {
    let key = own.to_string();
    let mut ranked: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(position, candidate)| {
            let weight = rendezvous::weight(key.as_bytes(), candidate.address);
            (weight, position)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut ranks = rank_in_domains(own_region, candidates, &ranked);
    ranks.sort_by_key(|&(other_region, rank, _)| (other_region, rank));
    ranks
        .into_iter()
        .take(size)
        .map(|(_, _, position)| position)
        .collect()
}

/// For each candidate, by descending weight: whether it is in another region, its rank within its
/// failure domain, and its index.
fn rank_in_domains(
    own_region: &Region,
    candidates: &[Candidate<'_>],
    ranked: &[(u64, usize)],
) -> Vec<(bool, usize, usize)> {
    let mut counts: HashMap<(&Region, &FailureDomain), usize> = HashMap::new();
    ranked
        .iter()
        .map(|&(_, position)| {
            let candidate = &candidates[position];
            let domain = (candidate.region, candidate.failure_domain);
            let rank = counts.entry(domain).or_default();
            *rank += 1;
            (candidate.region != own_region, *rank, position)
        })
        .collect()
}
