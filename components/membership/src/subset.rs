//! The replicas of one service that one entry talks to.
//!
//! Rendezvous hashing ranks the replicas of each failure domain; the ranks are taken
//! row by row, so that the subset spreads over the failure domains of the entry's own
//! region and fills up from other regions. A replica that goes changes only the subsets
//! that it was in, and each of these by one replica. A full mesh would cost every agent
//! a probe from each entry each second.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive::key;
use types::{FailureDomain, Region, rendezvous};

/// One replica that could be in the subset.
#[key]
pub struct Candidate<'a> {
    /// Address of its agent; a restart does not change its place.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
    /// Its region.
    pub region: &'a Region,
}

/// The `size` replicas for the entry at `own`, in the order of preference, as positions
/// in `candidates`.
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
    let mut rows = rank_in_domains(own_region, candidates, &ranked);
    rows.sort_by_key(|&(foreign, row, _)| (foreign, row));
    rows.into_iter()
        .take(size)
        .map(|(_, _, position)| position)
        .collect()
}

/// (in another region, rank within its failure domain, position) of each, by weight.
fn rank_in_domains(
    own_region: &Region,
    candidates: &[Candidate<'_>],
    ranked: &[(u64, usize)],
) -> Vec<(bool, usize, usize)> {
    let mut taken: HashMap<(&Region, &FailureDomain), usize> = HashMap::new();
    ranked
        .iter()
        .map(|&(_, position)| {
            let candidate = &candidates[position];
            let domain = (candidate.region, candidate.failure_domain);
            let row = taken.entry(domain).or_default();
            *row += 1;
            (candidate.region != own_region, *row, position)
        })
        .collect()
}
