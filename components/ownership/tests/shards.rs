//! Shards of a pool's work, under the load of steps that arrive at once before many replicas.

use ownership::{LARGE_SHARD_SLOTS, SMALL_SHARD_SLOTS, assign_groups, replica_shards, shard_count};

/// Partitions of the store's topics, as on small deployments.
const PARTITIONS: u32 = 24;

fn loads(work: &[u64], dealt: &[u16], shards: u16) -> Vec<u64> {
    let mut loads = vec![0; usize::from(shards)];
    for (work, shard) in work.iter().zip(dealt) {
        loads[usize::from(*shard)] += work;
    }
    loads
}

checks::seeded! {
    // Whatever a step holds: every group has a shard that exists, and no shard has more than the
    // mean and one group beyond.
    fn deals_every_group_evenly(work: Vec<u16>, shards: u8, salt: u64) -> bool {
        let shards = u16::from(shards % 12) + 1;
        let work: Vec<u64> = work.iter().map(|work| u64::from(*work) + 1).collect();
        let dealt = assign_groups(&work, shards, salt);
        let loads = loads(&work, &dealt, shards);
        let total: u64 = work.iter().sum();
        let largest = work.iter().copied().max().unwrap_or(0);
        dealt.len() == work.len()
            && dealt.iter().all(|shard| *shard < shards)
            && loads.iter().all(|load| *load <= total / u64::from(shards) + largest)
    }

    // Every shard has its part of the replicas, to one, however many there are.
    fn divides_replicas_evenly(replicas: u8, shards: u8) -> bool {
        let shards = u16::from(shards % 12) + 1;
        let ids: Vec<String> = (0..replicas).map(|id| format!("i-{id:x}")).collect();
        let dealt = replica_shards(ids.iter().map(String::as_str), shards);
        let counts: Vec<usize> = (0..shards)
            .map(|shard| dealt.iter().filter(|dealt| **dealt == shard).count())
            .collect();
        let (least, most) = (counts.iter().min(), counts.iter().max());
        most.zip(least).is_none_or(|(most, least)| most - least <= 1)
    }
}

#[test]
fn can_keep_most_replicas_where_they_are_when_one_comes() {
    // A replica that changes its shard has runs of two fronts for as long as an item takes.
    let ids: Vec<String> = (0..120)
        .map(|id| format!("i-{:08x}", id * 2_654_435))
        .collect();
    let before = replica_shards(ids.iter().skip(1).map(String::as_str), 8);
    let after = replica_shards(ids.iter().map(String::as_str), 8);
    let moved = after.iter().skip(1).zip(&before).filter(|(a, b)| a != b);
    assert!(moved.count() <= 7, "at most one across each border");
}

#[test]
fn can_turn_the_shard_of_the_largest_group_from_step_to_step() {
    let work = [900, 100, 100];
    let first = |salt| assign_groups(&work, 3, salt)[0];
    assert_eq!([first(0), first(1), first(2)], [0, 1, 2]);
}

#[test]
fn can_cut_a_pool_by_its_places_and_keep_the_cut_while_a_few_replicas_come_and_go() {
    struct Case {
        name: &'static str,
        places: u32,
        before: Option<u16>,
        shards: u16,
    }
    let case = |name, places, before, shards| Case {
        name,
        places,
        before,
        shards,
    };
    let cases = [
        case("no replica yet", 0, None, 1),
        case("a small pool", 72, None, 1),
        case("a grown one", 270, None, 1),
        case("twice that", 540, None, 2),
        case("a large one", 4_800, None, 17),
        case("a few replicas more at the border", 300, Some(1), 1),
        case("half as much again", 432, Some(1), 2),
        case("a few replicas fewer", 520, Some(2), 2),
        case("less than half", 280, Some(2), 1),
        case("all gone for a moment", 0, Some(3), 1),
        case("a count that can't be", 72, Some(99), 1),
    ];
    for case in cases {
        let found = shard_count(case.places, LARGE_SHARD_SLOTS, case.before, PARTITIONS);
        assert_eq!(found, case.shards, "{}", case.name);
    }
}

#[test]
fn can_cut_a_pool_smaller_where_only_small_fronts_are_there() {
    assert_eq!(shard_count(228, SMALL_SHARD_SLOTS, None, PARTITIONS), 5);
    assert_eq!(shard_count(4_800, SMALL_SHARD_SLOTS, None, PARTITIONS), 24);
}
