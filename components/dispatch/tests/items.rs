//! Placement of items on model replicas when all items of a step arrive at once.

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
    // For any waiting items: no replica receives more than its slots allow, no item goes to
    // unsuitable weights, and no item waits while a slot fits it.
    fn placements_fit_and_use_every_slot(items: Vec<Item>, free: Vec<u8>) -> bool {
        let waiting: Vec<WaitingItem> = items.into_iter().map(|item| item.0).collect();
        let before: Vec<Engine> = free
            .iter()
            .take(6)
            .enumerate()
            .map(|(at, free)| Engine {
                // An engine that refused items of the second model takes at most one of them.
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
        let has_own = |item: &WaitingItem| before.iter().any(|one| !one.foreign && fits(item, one));
        let allowed = |item: &WaitingItem, engine: &Engine| {
            fits(item, engine) && (!engine.foreign || !has_own(item))
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
fn can_detect_that_a_text_has_lost_its_version() {
    // Guards against items that wait until their step is over. A text that must not mix versions
    // was interrupted, and its replicas load the next version.
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
        case("may mix versions", None, &[3], false),
        case("a replica still has the version", Some(2), &[3, 2], false),
        case("no replica has the version", Some(2), &[3, 4], true),
        case("no replicas", Some(2), &[], false),
        case("only older versions", Some(3), &[1], false),
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
    // Guards against long items that wait behind short ones: a long item takes six seconds even
    // with many free replicas. Many items of a step arrive at once while an older step is nearly
    // complete.
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
fn can_estimate_the_time_left_of_a_text() {
    struct Case {
        name: &'static str,
        generated_events: u64,
        interval_us: u64,
        left_ms: u64,
    }
    let case = |name, generated_events, interval_us, left_ms| Case {
        name,
        generated_events,
        interval_us,
        left_ms,
    };
    // A thousand tokens take 632 ms at a replica that runs four requests.
    let cases = [
        case("not started, interval unknown", 0, 0, 632),
        case("not started", 0, 35_000, 632),
        case("half generated", 9, 35_000, 317),
        case("as long as the hint", 18, 35_000, 315),
        case("far beyond the hint", 100, 35_000, 1_750),
    ];
    for case in cases {
        let left_ms = text_left_ms(1_000, case.generated_events, case.interval_us);
        assert_eq!(left_ms, case.left_ms, "{}", case.name);
    }
}

#[test]
fn can_prefer_replicas_of_own_shards_that_have_suitable_weights() {
    // Each of many fronts has its shards of the replicas. Guards against items that wait unseen in
    // queues at another front's replicas, and against items that never run because no replica in
    // the front's own shards has the version.
    let foreign = |version| Engine {
        foreign: true,
        ..engine(version, 8)
    };
    let place_one = |own| place(&[waiting(0, 500)], &mut [own, foreign(2)]);
    assert!(place_one(engine(2, 0)).is_empty(), "own replica is full");
    assert_eq!(
        place_one(engine(2, 1))[0].engine,
        0,
        "own replica has a free slot"
    );
    assert_eq!(
        place_one(engine(1, 8))[0].engine,
        1,
        "own replica has old weights"
    );
}

#[test]
fn can_share_slots_among_models() {
    // Guards against placing more items of several models than the replica has slots. The replica
    // has just refused items of the second model, so only one of these is tried.
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
fn can_avoid_the_replica_of_an_interrupted_run_unless_it_is_the_only_one() {
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
fn can_detect_a_slow_replica_within_a_few_events() {
    // Guards against long items that stay at a replica that becomes 3.5 times slower half way.
    // After four events they are worth moving; items at a fuller replica that is a quarter slower
    // are not.
    let interval = EventInterval::default();
    (0..20).for_each(|event| interval.record(35_000, event * 35));
    assert_eq!(slowness(&interval, 35_000, 700), 1_000);
    (0..4).for_each(|event| interval.record(122_000, 700 + event * 122));
    assert!(is_worth_moving(
        1_000,
        slowness(&interval, 35_000, 1_400),
        1_000
    ));
}

#[test]
fn can_decide_whether_a_move_gains_enough_time() {
    // One replica of three is a third slower than the others. A long text that stays there ends its
    // step almost two seconds late. A short text would gain less than the move costs, and so would
    // any text at a replica that is only fuller.
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
        case("short, much slower", 300, 3_500, 1_000, true),
        case("nearly complete, much slower", 60, 3_500, 1_000, false),
        case("long, a fuller replica", 9_000, 1_140, 1_000, false),
        case("all replicas are slow", 5_000, 2_000, 1_900, false),
        case("the other replica is slower", 5_000, 1_000, 1_300, false),
    ];
    for case in cases {
        let moves = is_worth_moving(case.left_ms, case.here, case.there);
        assert_eq!(moves, case.moves, "{}", case.name);
    }
}

#[test]
fn can_ignore_a_single_long_interval() {
    // Guards against items that move back and forth. A replica loads a version of another model and
    // generates no event for a second. If it counted as slow, it would lose all its items to
    // replicas that load next.
    let interval = EventInterval::default();
    (0..20).for_each(|event| interval.record(35_000, event * 35));
    interval.record(900_000, 1_600);
    assert!(!is_worth_moving(
        9_000,
        slowness(&interval, 35_000, 1_600),
        1_000
    ));
}

#[test]
fn can_use_a_formerly_slow_replica_again() {
    let interval = EventInterval::default();
    interval.record(122_000, 1_000);
    assert!(slowness(&interval, 35_000, 1_500) > 3_000);
    assert!(slowness(&interval, 35_000, 17_500) < 1_200);
}

#[test]
fn can_attempt_one_item_at_a_time_after_a_refusal() {
    // Guards against repeated refusals. A replica loads a version for a second while forty items
    // wait: each would be refused ten times, on a connection of its own. One item at a time is
    // tried until one runs.
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
        "the replica has the version now"
    );
}

#[test]
fn can_spread_a_group_over_idle_replicas() {
    // Guards against packing a group onto few replicas to share its prompt. Sixteen replicas are
    // idle; five long items at one of them would fill its memory, preempt one another and delay the
    // step, while reading the prompt again takes a millisecond.
    let group: Vec<WaitingItem> = (0..16).map(|item| waiting(1, 500 + item)).collect();
    let mut engines = vec![engine(2, 8); 16];
    place(&group, &mut engines);
    assert!(engines.iter().all(|engine| engine.running == 1));
}

/// Number of rounds of placement until all waiting items that match `of` are placed. All slots
/// become free in each round.
fn rounds_until_placed(waiting: &[WaitingItem], of: impl Fn(&WaitingItem) -> bool) -> usize {
    let mut left: Vec<WaitingItem> = waiting.to_vec();
    for round in 1.. {
        let mut engines: Vec<Engine> = (0..10).map(|_| engine(2, 8)).collect();
        let placed = place(&left, &mut engines);
        assert!(!placed.is_empty(), "no item was placed in this round");
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
    unreachable!("the loop ends only by returning")
}

#[test]
fn a_burst_of_one_customer_delays_others_by_one_step() {
    // Load pattern: a customer submits twenty steps of forty items, then seventy-six others submit
    // four items each; eighty slots become free per round. By age alone the others would wait for
    // all eight hundred items and start in the eleventh round; with turns they wait for one step.
    let of_large = |step: u64| {
        (0..40).map(move |_| WaitingItem {
            turn: step as u32,
            ..waiting(step, 3_000)
        })
    };
    let of_small = |step: u64| (0..4).map(move |_| waiting(100 + step, 1_000));
    let mut all: Vec<WaitingItem> = (0..20).flat_map(of_large).collect();
    all.extend((0..76).flat_map(of_small));
    let small_items = 76 * 4;
    let aim = (40 + small_items as usize).div_ceil(80);
    let rounds = rounds_until_placed(&all, |item| item.step_rank >= 100);
    assert!(rounds <= aim, "{rounds} rounds, expected at most {aim}");
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
        "by age alone the burst should delay the others, but they took {before} rounds"
    );
}

#[test]
fn a_higher_rank_goes_first_within_a_turn() {
    // Load pattern: slots for most of the waiting items become free. The customer's rank is
    // compared before the route's, both before the age of the step, and the turn before either
    // rank.
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
