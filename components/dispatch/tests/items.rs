//! Placing items on model replicas, under the load of a step that arrives at once.

use dispatch::{
    Admission, Engine, Pace, Waiting, is_worth_moving, lost_its_version, place, slowness,
};
use quickcheck::{Arbitrary, Gen};

fn engine(version: u64, free: u32) -> Engine {
    Engine {
        version,
        free,
        running: 8 - free,
        slowness: 1_000,
        prompts: Vec::new(),
    }
}

fn waiting(step_rank: u64, tokens_left: u32) -> Waiting {
    Waiting {
        step_rank,
        tokens_left,
        min_version: 2,
        only_version: None,
        prompt: u64::from(tokens_left),
        avoid: None,
    }
}

#[derive(Clone, Debug)]
struct Item(Waiting);

impl Arbitrary for Item {
    fn arbitrary(g: &mut Gen) -> Self {
        let version = u64::arbitrary(g) % 4;
        Item(Waiting {
            step_rank: u64::arbitrary(g) % 3,
            tokens_left: u32::arbitrary(g) % 9_000,
            min_version: u64::arbitrary(g) % 4,
            only_version: bool::arbitrary(g).then_some(version),
            prompt: u64::arbitrary(g) % 5,
            avoid: Some(usize::arbitrary(g) % 6),
        })
    }
}

checks::seeded! {
    // Whatever waits: no replica gets more than it has places for, an item never goes to
    // weights that may not make it, and nothing waits while a place fits it.
    fn places_fit_and_none_stays_empty(items: Vec<Item>, free: Vec<u8>) -> bool {
        let waiting: Vec<Waiting> = items.into_iter().map(|item| item.0).collect();
        let before: Vec<Engine> = free
            .iter()
            .take(6)
            .enumerate()
            .map(|(at, free)| engine(at as u64 % 4, u32::from(free % 9)))
            .collect();
        let mut engines = before.clone();
        let placed = place(&waiting, &mut engines);
        let fits = |item: &Waiting, engine: &Engine| {
            engine.version >= item.min_version
                && item.only_version.is_none_or(|only| only == engine.version)
        };
        for (at, engine) in before.iter().enumerate() {
            let taken = placed.iter().filter(|placed| placed.engine == at).count();
            assert!(taken as u32 <= engine.free);
        }
        for placed in &placed {
            assert!(fits(&waiting[placed.item], &before[placed.engine]));
        }
        let left = (0..waiting.len()).filter(|at| placed.iter().all(|one| one.item != *at));
        left.into_iter().all(|at| {
            engines.iter().all(|engine| engine.free == 0 || !fits(&waiting[at], engine))
        })
    }
}

#[test]
fn can_tell_that_a_text_has_lost_its_version() {
    // A text that must not mix versions broke off, and its replicas load the next version.
    // Kept for the old one, the item would wait until its step is over.
    struct Case {
        name: &'static str,
        only_version: Option<u64>,
        engines: Vec<u64>,
        lost: bool,
    }
    let case = |name, only_version, engines: &[u64], lost| Case {
        name,
        only_version,
        engines: engines.to_vec(),
        lost,
    };
    let cases = [
        case("may mix", None, &[3], false),
        case("still there", Some(2), &[3, 2], false),
        case("gone", Some(2), &[3, 4], true),
        case("nobody there", Some(2), &[], false),
        case("only too old ones", Some(3), &[1], false),
    ];
    for case in cases {
        let item = Waiting {
            only_version: case.only_version,
            ..waiting(1, 10)
        };
        let engines: Vec<Engine> = case.engines.iter().map(|v| engine(*v, 0)).collect();
        assert_eq!(
            lost_its_version(&item, &engines),
            case.lost,
            "{}",
            case.name
        );
    }
}

#[test]
fn can_start_the_longest_items_of_the_oldest_step_first() {
    // A step of many items arrives at once behind one that is nearly done. A long item takes
    // six seconds however many replicas are free, so it must not wait behind short ones.
    let waiting = [
        waiting(2, 9_000),
        waiting(1, 100),
        waiting(1, 8_000),
        waiting(1, 500),
    ];
    let placed = place(&waiting, &mut [engine(2, 2)]);
    let items: Vec<usize> = placed.iter().map(|placed| placed.item).collect();
    assert_eq!(items, [2, 3]);
}

#[test]
fn can_fill_fast_replicas_before_slow_ones() {
    let mut engines = [engine(2, 2), engine(2, 2)];
    engines[0].slowness = 3_500;
    let placed = place(&[waiting(1, 500), waiting(1, 400)], &mut engines);
    assert!(placed.iter().all(|placed| placed.engine == 1));
}

#[test]
fn can_avoid_the_replica_where_a_run_broke_unless_there_is_no_other() {
    let item = Waiting {
        avoid: Some(0),
        ..waiting(1, 500)
    };
    let two = place(
        std::slice::from_ref(&item),
        &mut [engine(2, 8), engine(2, 1)],
    );
    assert_eq!(two[0].engine, 1);
    let one = place(&[item], &mut [engine(2, 8)]);
    assert_eq!(one[0].engine, 0);
}

#[test]
fn can_tell_a_replica_that_turned_slow_within_a_few_events() {
    // A replica turns 3.5 times slower in the middle of long items. Four events later they
    // are worth moving; a fuller replica, a quarter slower than the others, is not left.
    let pace = Pace::default();
    (0..20).for_each(|event| pace.record(35_000, event * 35));
    assert_eq!(slowness(&pace, 35_000, 700), 1_000);
    (0..4).for_each(|event| pace.record(122_000, 700 + event * 122));
    assert!(is_worth_moving(slowness(&pace, 35_000, 1_400), 1_000));
    assert!(!is_worth_moving(1_250, 1_000));
    assert!(!is_worth_moving(2_000, 1_900), "all are slow");
}

#[test]
fn can_pass_over_a_single_long_pause() {
    // A replica loads a version of another model and makes no event for a second. Taken for
    // slow, it would lose all its items to others, which load next: they went to and fro.
    let pace = Pace::default();
    (0..20).for_each(|event| pace.record(35_000, event * 35));
    pace.record(900_000, 1_600);
    assert!(!is_worth_moving(slowness(&pace, 35_000, 1_600), 1_000));
}

#[test]
fn can_give_items_again_to_a_replica_that_was_slow() {
    let pace = Pace::default();
    pace.record(122_000, 1_000);
    assert!(slowness(&pace, 35_000, 1_500) > 3_000);
    assert!(slowness(&pace, 35_000, 17_500) < 1_200);
}

#[test]
fn can_try_one_item_at_a_time_at_a_replica_that_refused() {
    // A replica loads a version for a second while forty items wait. Each would be refused
    // there ten times, on a connection of its own; so one is tried at a time until one runs.
    let admission = Admission::default();
    assert_eq!(admission.places(8, 1_000), 8);
    admission.refused(1_000);
    assert_eq!(admission.places(8, 1_050), 0);
    assert_eq!(admission.places(8, 1_100), 1);
    admission.tried(1_100);
    assert_eq!(admission.places(8, 1_150), 0);
    admission.taken(1_160);
    assert_eq!(admission.places(8, 1_170), 8);
}

#[test]
fn can_spread_a_group_over_replicas_that_are_free() {
    // Sixteen items of one prompt arrive while sixteen replicas are idle. Kept together for
    // the prompt's sake, five long ones on a replica fill its memory, preempt one another and
    // end the step late; a prompt is read again in a millisecond.
    let group: Vec<Waiting> = (0..16)
        .map(|item| Waiting {
            prompt: 7,
            ..waiting(1, 500 + item)
        })
        .collect();
    let mut engines = vec![engine(2, 8); 16];
    place(&group, &mut engines);
    assert!(engines.iter().all(|engine| engine.running == 1));
}

#[test]
fn can_keep_a_group_together_among_replicas_that_are_alike() {
    let first = Waiting {
        prompt: 7,
        ..waiting(1, 500)
    };
    let mut engines = vec![engine(2, 8), engine(2, 8), engine(2, 8)];
    engines[2].prompts.push(7);
    assert_eq!(place(&[first], &mut engines)[0].engine, 2);
}
