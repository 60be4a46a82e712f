//! Placing items on model replicas, under the load of a step that arrives at once.

use dispatch::{
    Admission, Engine, EventInterval, WaitingItem, WaitingRank, has_lost_version, is_worth_moving,
    place, slowness, text_left_ms,
};
use quickcheck::{Arbitrary, Gen};

fn engine(version: u64, free: u32) -> Engine {
    Engine {
        foreign: false,
        versions: vec![version, version],
        model_slots: vec![free, free],
        free_slots: free,
        running: 8 - free,
        slowness: 1_000,
    }
}

fn waiting(step_rank: u64, left_ms: u64) -> WaitingItem {
    WaitingItem {
        model: 0,
        turn: 0,
        rank: WaitingRank::default(),
        step_rank,
        left_ms,
        min_version: 2,
        only_version: None,
        avoid: None,
    }
}

#[derive(Clone, Debug)]
struct Item(WaitingItem);

impl Arbitrary for Item {
    fn arbitrary(g: &mut Gen) -> Self {
        let version = u64::arbitrary(g) % 4;
        Item(WaitingItem {
            model: usize::arbitrary(g) % 2,
            turn: u32::arbitrary(g) % 3,
            rank: WaitingRank {
                customer: u8::arbitrary(g) % 3,
                route: u8::arbitrary(g) % 3,
            },
            step_rank: u64::arbitrary(g) % 3,
            left_ms: u64::arbitrary(g) % 9_000,
            min_version: u64::arbitrary(g) % 4,
            only_version: bool::arbitrary(g).then_some(version),
            avoid: Some(usize::arbitrary(g) % 6),
        })
    }
}

checks::seeded! {
    // Whatever waits: no replica gets more than it has places for, an item never goes to
    // weights that may not make it, and nothing waits while a place fits it.
    fn places_fit_and_none_stays_empty(items: Vec<Item>, free: Vec<u8>) -> bool {
        let waiting: Vec<WaitingItem> = items.into_iter().map(|item| item.0).collect();
        let before: Vec<Engine> = free
            .iter()
            .take(6)
            .enumerate()
            .map(|(at, free)| Engine {
                // One that refused items of the second model takes one of them.
                model_slots: vec![u32::from(free % 9), u32::from(free % 9).min(1)],
                foreign: at % 2 == 1,
                ..engine(at as u64 % 4, u32::from(free % 9))
            })
            .collect();
        let mut engines = before.clone();
        let placed = place(&waiting, &mut engines);
        let fits = |item: &WaitingItem, engine: &Engine| {
            let version = engine.versions[item.model];
            version >= item.min_version && item.only_version.is_none_or(|only| only == version)
        };
        let has_home = |item: &WaitingItem| before.iter().any(|one| !one.foreign && fits(item, one));
        let allowed = |item: &WaitingItem, engine: &Engine| {
            fits(item, engine) && (!engine.foreign || !has_home(item))
        };
        for (at, engine) in before.iter().enumerate() {
            let taken = placed.iter().filter(|placed| placed.engine == at).count();
            assert!(taken as u32 <= engine.free_slots);
            let of_second = |placed: &&dispatch::Placement| waiting[placed.item].model == 1;
            let here = placed.iter().filter(|placed| placed.engine == at);
            assert!(here.filter(of_second).count() as u32 <= engine.model_slots[1]);
        }
        for placed in &placed {
            assert!(allowed(&waiting[placed.item], &before[placed.engine]));
        }
        let left = (0..waiting.len()).filter(|at| placed.iter().all(|one| one.item != *at));
        left.into_iter().all(|at| {
            let item = &waiting[at];
            engines.iter().all(|engine| !engine.has_slot(item.model) || !allowed(item, engine))
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
        let item = WaitingItem {
            only_version: case.only_version,
            ..waiting(1, 10)
        };
        let engines: Vec<Engine> = case.engines.iter().map(|v| engine(*v, 0)).collect();
        assert_eq!(
            has_lost_version(&item, &engines),
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
fn can_tell_how_long_a_text_goes_on() {
    struct Case {
        name: &'static str,
        made_events: u64,
        pause_us: u64,
        left_ms: u64,
    }
    let case = |name, made_events, pause_us, left_ms| Case {
        name,
        made_events,
        pause_us,
        left_ms,
    };
    // A thousand tokens take 632 ms at a replica that runs four requests.
    let cases = [
        case("not begun, no pause known", 0, 0, 632),
        case("not begun", 0, 35_000, 632),
        case("half of it", 9, 35_000, 317),
        case("as long as the hint", 18, 35_000, 315),
        case("far longer", 100, 35_000, 1_750),
    ];
    for case in cases {
        let left_ms = text_left_ms(1_000, case.made_events, case.pause_us);
        assert_eq!(left_ms, case.left_ms, "{}", case.name);
    }
}

#[test]
fn can_keep_to_the_own_part_of_the_replicas_as_long_as_it_can_make_an_item() {
    // Each of many fronts has its part. Sent to all replicas, items of one front wait unseen
    // in the queues of another's; kept at home where no replica has the version, they never run.
    let abroad = |version| Engine {
        foreign: true,
        ..engine(version, 8)
    };
    let place_one = |home| place(&[waiting(0, 500)], &mut [home, abroad(2)]);
    assert!(place_one(engine(2, 0)).is_empty(), "home is full");
    assert_eq!(place_one(engine(2, 1))[0].engine, 0, "home has a place");
    assert_eq!(place_one(engine(1, 8))[0].engine, 1, "home has old weights");
}

#[test]
fn can_share_places_among_models() {
    // Two models have items for the same replica, which refused those of the second a moment
    // ago. Together they take no more than it has, and of the second one is tried.
    let second = |left_ms| WaitingItem {
        model: 1,
        ..waiting(0, left_ms)
    };
    let refused = Engine {
        model_slots: vec![3, 1],
        ..engine(2, 3)
    };
    let items = [
        second(900),
        second(800),
        waiting(0, 700),
        waiting(0, 600),
        waiting(0, 500),
    ];
    let placed = place(&items, &mut [refused]);
    let items: Vec<usize> = placed.iter().map(|placed| placed.item).collect();
    assert_eq!(items, [0, 2, 3]);
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
    let item = WaitingItem {
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
    let pace = EventInterval::default();
    (0..20).for_each(|event| pace.record(35_000, event * 35));
    assert_eq!(slowness(&pace, 35_000, 700), 1_000);
    (0..4).for_each(|event| pace.record(122_000, 700 + event * 122));
    assert!(is_worth_moving(
        1_000,
        slowness(&pace, 35_000, 1_400),
        1_000
    ));
}

#[test]
fn can_tell_what_a_move_gains() {
    // One replica of three is a third slower than the others. A long text that stays there ends
    // its step almost two seconds late; a short one would gain less than the move costs, and so
    // would any at a replica that is only fuller.
    struct Case {
        name: &'static str,
        left_ms: u64,
        here: u64,
        there: u64,
        moves: bool,
    }
    let case = |name, left_ms, here, there, moves| Case {
        name,
        left_ms,
        here,
        there,
        moves,
    };
    let cases = [
        case("long, a third slower", 5_000, 1_300, 1_000, true),
        case("short, a third slower", 2_000, 1_300, 1_000, false),
        case("short, far slower", 300, 3_500, 1_000, true),
        case("nearly done, far slower", 60, 3_500, 1_000, false),
        case("long, a fuller replica", 9_000, 1_140, 1_000, false),
        case("all are slow", 5_000, 2_000, 1_900, false),
        case("the other is slower", 5_000, 1_000, 1_300, false),
    ];
    for case in cases {
        let moves = is_worth_moving(case.left_ms, case.here, case.there);
        assert_eq!(moves, case.moves, "{}", case.name);
    }
}

#[test]
fn can_pass_over_a_single_long_pause() {
    // A replica loads a version of another model and makes no event for a second. Taken for
    // slow, it would lose all its items to others, which load next: they went to and fro.
    let pace = EventInterval::default();
    (0..20).for_each(|event| pace.record(35_000, event * 35));
    pace.record(900_000, 1_600);
    assert!(!is_worth_moving(
        9_000,
        slowness(&pace, 35_000, 1_600),
        1_000
    ));
}

#[test]
fn can_give_items_again_to_a_replica_that_was_slow() {
    let pace = EventInterval::default();
    pace.record(122_000, 1_000);
    assert!(slowness(&pace, 35_000, 1_500) > 3_000);
    assert!(slowness(&pace, 35_000, 17_500) < 1_200);
}

#[test]
fn can_try_one_item_at_a_time_at_a_replica_that_refused() {
    // A replica loads a version for a second while forty items wait. Each would be refused
    // there ten times, on a connection of its own; so one is tried at a time until one runs.
    let admission = Admission::default();
    assert_eq!(admission.usable_slots(8, 1_000), 8);
    admission.record_refusal(1_000);
    assert_eq!(admission.usable_slots(8, 1_390), 0);
    assert_eq!(admission.usable_slots(8, 1_400), 1);
    admission.record_attempt(1_400);
    assert_eq!(admission.usable_slots(8, 1_450), 0);
    admission.record_start(1_460);
    assert_eq!(admission.usable_slots(8, 1_470), 8);
    admission.record_refusal(2_000);
    assert_eq!(admission.usable_slots(8, 2_010), 0);
    admission.reset();
    assert_eq!(
        admission.usable_slots(8, 2_020),
        8,
        "it has the version now"
    );
}

#[test]
fn can_spread_a_group_over_replicas_that_are_free() {
    // Sixteen items of one prompt arrive while sixteen replicas are idle. Kept together for
    // the prompt's sake, five long ones on a replica fill its memory, preempt one another and
    // end the step late; a prompt is read again in a millisecond.
    let group: Vec<WaitingItem> = (0..16).map(|item| waiting(1, 500 + item)).collect();
    let mut engines = vec![engine(2, 8); 16];
    place(&group, &mut engines);
    assert!(engines.iter().all(|engine| engine.running == 1));
}

/// Rounds of placing until the last item of a customer's first step has a place, where places
/// come free all at once.
fn rounds_until_placed(waiting: &[WaitingItem], of: impl Fn(&WaitingItem) -> bool) -> usize {
    let mut left: Vec<WaitingItem> = waiting.to_vec();
    for round in 1.. {
        let mut engines: Vec<Engine> = (0..10).map(|_| engine(2, 8)).collect();
        let placed = place(&left, &mut engines);
        assert!(!placed.is_empty(), "something is placed in each round");
        let taken: std::collections::HashSet<usize> = placed.iter().map(|one| one.item).collect();
        let mut at = 0;
        left.retain(|_| {
            at += 1;
            !taken.contains(&(at - 1))
        });
        if !left.iter().any(&of) {
            return round;
        }
    }
    unreachable!("rounds go on")
}

#[test]
fn a_flood_of_one_customer_delays_a_small_one_by_one_step() {
    // Pattern: one large customer asks for twenty steps of forty items at once; later
    // seventy-six small ones ask for a step of four items each. Eighty places come free a
    // round. By age alone the small ones wait for all eight hundred items of the flood: they
    // begin in the eleventh round. In turns they wait for one step.
    let of_flood = |step: u64| {
        (0..40).map(move |_| WaitingItem {
            turn: step as u32,
            ..waiting(step, 3_000)
        })
    };
    let of_small = |step: u64| (0..4).map(move |_| waiting(100 + step, 1_000));
    let mut all: Vec<WaitingItem> = (0..20).flat_map(of_flood).collect();
    all.extend((0..76).flat_map(of_small));
    let small_items = 76 * 4;
    let aim = (40 + small_items as usize).div_ceil(80);
    let rounds = rounds_until_placed(&all, |item| item.step_rank >= 100);
    assert!(rounds <= aim, "{rounds} rounds, aim {aim}");
    let by_age: Vec<WaitingItem> = all
        .iter()
        .map(|item| WaitingItem {
            turn: 0,
            ..item.clone()
        })
        .collect();
    let before = rounds_until_placed(&by_age, |item| item.step_rank >= 100);
    assert!(
        before > 2 * aim,
        "by age alone the flood goes first: {before} rounds"
    );
}

#[test]
fn a_higher_rank_goes_first_within_a_turn() {
    // Pattern: places for most of what waits come free. The customer's rank goes before the
    // route's, both before age, and none before a turn.
    let ranked = |turn, customer, route, step_rank| WaitingItem {
        turn,
        rank: WaitingRank { customer, route },
        ..waiting(step_rank, 1_000)
    };
    let all = [
        ranked(0, 1, 0, 1),
        ranked(0, 0, 2, 9),
        ranked(0, 0, 1, 10),
        ranked(1, 0, 0, 0),
        ranked(0, 1, 0, 0),
    ];
    let mut engines = [engine(2, 4)];
    let placed = place(&all, &mut engines);
    let order: Vec<usize> = placed.iter().map(|one| one.item).collect();
    assert_eq!(order, [2, 1, 4, 0]);
}
