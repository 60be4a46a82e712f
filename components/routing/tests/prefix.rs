//! Prefix affinity from cache events that arrive late and with gaps.

#![allow(clippy::panic, clippy::unwrap_used)]

mod common;

use std::collections::HashSet;

use common::{node, replica, table};
use routing::{
    BlockEvent, PrefixTracker, Replica, Requirements, Settings, SplitMix64, choose_replica,
};

fn event(seq: u64, block: u64, stored: bool) -> BlockEvent {
    BlockEvent {
        seq,
        block_hash: hash(block),
        stored,
    }
}

fn hash(block: u64) -> u64 {
    SplitMix64::new(block).next_u64()
}

fn stored(blocks: u64) -> Vec<BlockEvent> {
    (0..blocks).map(|block| event(block, block, true)).collect()
}

fn prompt(blocks: u64) -> Vec<u64> {
    (0..blocks).map(hash).collect()
}

#[test]
fn applies_events_and_drops_all_blocks_at_a_gap() {
    struct Case {
        name: &'static str,
        later: Vec<BlockEvent>,
        held: u32,
    }
    let case = |name, later: &[BlockEvent], held| Case {
        name,
        later: later.to_vec(),
        held,
    };
    let again = [event(8, 0, true), event(9, 1, true)];
    let cases = [
        case("can find stored blocks", &[], 6),
        case("a removal ends the prefix", &[event(6, 4, false)], 4),
        case(
            "an event that was applied before is skipped",
            &[event(3, 3, false)],
            6,
        ),
        case("a gap drops all blocks", &[event(8, 99, true)], 0),
        case("events after a gap are applied", &again, 2),
    ];
    for case in cases {
        let mut prefixes = PrefixTracker::new(1_024);
        let id = prefixes.track(node(0)).unwrap();
        prefixes.apply(node(0), &stored(6));
        prefixes.apply(node(0), &case.later);
        let matches = prefixes.block_table().holders(&prompt(6));
        assert_eq!(matches.cached_blocks(id), case.held, "{}", case.name);
    }
}

#[test]
fn drops_the_blocks_of_a_removed_replica() {
    let mut prefixes = PrefixTracker::new(1_024);
    prefixes.track(node(0));
    prefixes.apply(node(0), &stored(6));
    prefixes.retain(|_| false);
    let next = prefixes.track(node(1)).unwrap();
    assert_eq!(
        prefixes
            .block_table()
            .holders(&prompt(6))
            .cached_blocks(next),
        0
    );
}

#[test]
fn prefers_the_longest_prefix_until_load_outweighs_it() {
    let mut prefixes = PrefixTracker::new(1_024);
    let replicas: Vec<Replica> = (0..20)
        .map(|number| Replica {
            prefix_id: prefixes.track(node(number)),
            ..replica(number)
        })
        .collect();
    prefixes.apply(node(3), &stored(2));
    prefixes.apply(node(7), &stored(8));
    let table = table(Settings::default(), replicas);
    let requirements = Requirements {
        prefix: prefixes.block_table().holders(&prompt(10)),
        ..Requirements::default()
    };
    let choices: Vec<_> = (0..60)
        .map(|random| choose_replica(&table, &requirements, random, 0).unwrap())
        .collect();
    assert_eq!(choices[0].node, node(7));
    let at_holder = choices
        .iter()
        .filter(|choice| choice.node == node(7))
        .count();
    assert!((3..15).contains(&at_holder), "{at_holder}");
}

checks::seeded! {
    // Without gaps the table never lists a block that the replica no longer caches.
    fn never_lists_a_block_that_is_not_cached(changes: Vec<(u8, bool)>) -> bool {
        let mut prefixes = PrefixTracker::new(64);
        let id = prefixes.track(node(0)).unwrap();
        let mut cached = HashSet::new();
        for (seq, (block, is_stored)) in (0..).zip(changes) {
            let block = u64::from(block);
            prefixes.apply(node(0), &[event(seq, block, is_stored)]);
            if is_stored { cached.insert(block) } else { cached.remove(&block) };
            let matches = prefixes.block_table().holders(&[hash(block)]);
            if matches.cached_blocks(id) != u32::from(cached.contains(&block)) {
                return false;
            }
        }
        (0..=255).all(|block| {
            let held = prefixes.block_table().holders(&[hash(block)]).cached_blocks(id);
            held == 0 || cached.contains(&block)
        })
    }
}
