//! Tests of how the work and the replicas of a pool are divided into shards.

use ownership::{LARGE_SHARD_SLOTS, SMALL_SHARD_SLOTS, assign_groups, replica_shards, shard_count};

/// Partitions of the store's topics on small deployments.
const PARTITIONS: u32 = 24;

fn loads(work: &[u64], shard_of: &[u16], shards: u16) -> Vec<u64> {
    let mut loads = vec![0; usize::from(shards)];
    for (work, shard) in work.iter().zip(shard_of) {
        loads[usize::from(*shard)] += work;
    }
    loads
}

checks::seeded! {
    // Guards against lost groups and overloaded shards: for any step, each group has an existing
    // shard, and no shard has more work than the mean plus one group.
    fn assigns_every_group_evenly(work: Vec<u16>, shards: u8, rotation: u64) -> bool {
        let shards = u16::from(shards % 12) + 1;
        let work: Vec<u64> = work.iter().map(|work| u64::from(*work) + 1).collect();
        let shard_of = assign_groups(&work, shards, rotation);
        let loads = loads(&work, &shard_of, shards);
        let total: u64 = work.iter().sum();
        let largest = work.iter().copied().max().unwrap_or(0);
        shard_of.len() == work.len()
            && shard_of.iter().all(|shard| *shard < shards)
            && loads.iter().all(|load| *load <= total / u64::from(shards) + largest)
    }

    // Guards against uneven shards: for any number of replicas, the shards' numbers of replicas
    // differ by one at most.
    fn divides_replicas_evenly(replicas: u8, shards: u8) -> bool {
        let shards = u16::from(shards % 12) + 1;
        let ids: Vec<String> = (0..replicas).map(|id| format!("i-{id:x}")).collect();
        let shard_of = replica_shards(ids.iter().map(String::as_str), shards);
        let counts: Vec<usize> = (0..shards)
            .map(|shard| shard_of.iter().filter(|assigned| **assigned == shard).count())
            .collect();
        let (least, most) = (counts.iter().min(), counts.iter().max());
        most.zip(least).is_none_or(|(most, least)| most - least <= 1)
    }
}

#[test]
fn can_keep_most_replicas_in_their_shards_when_one_is_added() {
    // A replica that changes its shard serves runs of two fronts for as long as an item takes.
    let ids: Vec<String> = (0..120)
        .map(|id| format!("i-{:08x}", id * 2_654_435))
        .collect();
    let before = replica_shards(ids.iter().skip(1).map(String::as_str), 8);
    let after = replica_shards(ids.iter().map(String::as_str), 8);
    let moved = after.iter().skip(1).zip(&before).filter(|(a, b)| a != b);
    assert!(
        moved.count() <= 7,
        "more than one replica moved across a boundary between shards"
    );
}

#[test]
fn can_rotate_the_shard_of_the_largest_group_from_step_to_step() {
    let work = [900, 100, 100];
    let first = |rotation| assign_groups(&work, 3, rotation)[0];
    assert_eq!([first(0), first(1), first(2)], [0, 1, 2]);
}

#[test]
fn can_divide_a_pool_by_its_slots_and_keep_the_number_of_shards_at_small_changes() {
    // Steps that are divided by different numbers of shards compete for the same slots, so a few
    // added or removed replicas must not change the number.
    struct Case {
        name: &'static str,
        slots: u32,
        previous: Option<u16>,
        shards: u16,
    }
    let case = |name, slots, previous, shards| Case {
        name,
        slots,
        previous,
        shards,
    };
    let cases = [
        case("no replica yet", 0, None, 1),
        case("a small pool", 72, None, 1),
        case("a pool just below one shard", 270, None, 1),
        case("a pool of two shards", 540, None, 2),
        case("a large pool", 4_800, None, 17),
        case("a few more replicas than one shard has", 300, Some(1), 1),
        case("half as many slots again as one shard has", 432, Some(1), 2),
        case("a few replicas fewer", 520, Some(2), 2),
        case("less than half the slots of two shards", 280, Some(2), 1),
        case("no replica left", 0, Some(3), 1),
        case("an impossible previous number", 72, Some(99), 1),
    ];
    for case in cases {
        let found = shard_count(case.slots, LARGE_SHARD_SLOTS, case.previous, PARTITIONS);
        assert_eq!(found, case.shards, "{}", case.name);
    }
}

#[test]
fn can_use_smaller_shards_where_all_fronts_are_small() {
    assert_eq!(shard_count(228, SMALL_SHARD_SLOTS, None, PARTITIONS), 5);
    assert_eq!(shard_count(4_800, SMALL_SHARD_SLOTS, None, PARTITIONS), 24);
}
