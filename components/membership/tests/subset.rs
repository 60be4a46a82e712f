//! Subsets at the design size: 390 entries and 600 replicas.

mod common;

use std::collections::HashMap;

use common::{address, domain, region};
use membership::{Candidate, choose_subset};
use types::{FailureDomain, Region};

const ENTRIES: u16 = 390;
const SUBSET: usize = 24;

/// Calls `test` with candidates of which the first `near` are in the entries' region.
fn with_candidates(replicas: u16, near: u16, test: impl Fn(&[FailureDomain], &[Candidate<'_>])) {
    let regions = ["bretagne", "kochi"].map(|name| Region::new(name).ok());
    let domains: Vec<FailureDomain> = (0..3).map(domain).collect();
    let candidates: Vec<Candidate<'_>> = (0..replicas)
        .filter_map(|number| {
            Some(Candidate {
                address: address(number),
                failure_domain: &domains[usize::from(number % 3)],
                region: regions[usize::from(number >= near)].as_ref()?,
            })
        })
        .collect();
    test(&domains, &candidates);
}

fn subset_of_entry<'a>(entry: u16, candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let positions = choose_subset(address(50_000 + entry), &region(), candidates, SUBSET);
    positions
        .into_iter()
        .map(|index| candidates[index])
        .collect()
}

#[test]
fn can_assign_every_replica_to_several_entries() {
    with_candidates(600, 600, |_, candidates| {
        let mut covered: HashMap<_, usize> = HashMap::new();
        for replica in (0..ENTRIES).flat_map(|entry| subset_of_entry(entry, candidates)) {
            *covered.entry(replica.address).or_default() += 1;
        }
        let fewest = covered.values().min().copied().unwrap_or(0);
        let most = covered.values().max().copied().unwrap_or(0);
        println!("entries for each replica: {fewest} to {most}, mean 15.6");
        assert_eq!(covered.len(), 600);
        assert!(fewest >= 4 && most <= 34, "{fewest} to {most}");
    });
}

#[test]
fn can_lose_a_replica_with_few_changes() {
    with_candidates(600, 600, |_, before| {
        let removed = before[17];
        let after: Vec<_> = before
            .iter()
            .copied()
            .filter(|candidate| *candidate != removed)
            .collect();
        let mut changed = 0;
        for entry in 0..ENTRIES {
            let (old, new) = (
                subset_of_entry(entry, before),
                subset_of_entry(entry, &after),
            );
            let added = new.iter().filter(|replica| !old.contains(replica)).count();
            assert_eq!(added, usize::from(old.contains(&removed)), "entry {entry}");
            changed += added;
        }
        println!("subsets changed by the loss of one replica: {changed} of {ENTRIES}");
        assert!(changed <= 34, "{changed}");
    });
}

#[test]
fn can_spread_over_failure_domains_and_prefer_the_own_region() {
    // Replicas; replicas in the own region; expected selected ones in the own region; expected
    // minimum per failure domain.
    for (replicas, near, expected, in_domain) in [(600, 300, 24, 8), (60, 9, 9, 8), (10, 10, 10, 3)]
    {
        with_candidates(replicas, near, |domains, candidates| {
            let chosen = subset_of_entry(1, candidates);
            let chosen_near = chosen
                .iter()
                .filter(|candidate| candidate.region == &region())
                .count();
            assert_eq!(chosen_near, expected, "{replicas} replicas");
            for domain in domains {
                let in_this_domain = chosen
                    .iter()
                    .filter(|candidate| candidate.failure_domain == domain)
                    .count();
                assert!(in_this_domain >= in_domain, "{replicas} replicas");
            }
        });
    }
}
