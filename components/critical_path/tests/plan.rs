//! Single passes over steps, texts and replicas: which replica gets which text, and which runs are
//! moved.

use std::time::Instant;

use critical_path::{
    GroupView, Move, MoveCause, Plan, Policy, ReplicaView, RunView, StepView, TextView, plan,
};
use dispatch::{Engine, Placement, WaitingRank};
use lengths::EventsLeft;
use pace::{DeviationTimes, PaceEstimate, PoolPace, ReplicaPace};

const POOL: PoolPace = PoolPace {
    interval_us: 48_000,
    per_run_thousandths: 10,
    deviations: DeviationTimes::new(),
};
const STALLED_MS: u64 = 250;
const POLICIES: [Policy; 2] = [Policy::EarliestFinish, Policy::ReserveFast];

fn replica(interval_us: u64, free_slots: u32) -> ReplicaView {
    ReplicaView {
        engine: Engine {
            foreign: false,
            versions: vec![2],
            model_slots: vec![free_slots],
            free_slots,
            running: 6_u32.saturating_sub(free_slots),
            slowness: 1_000,
        },
        pace: PaceEstimate {
            interval_us,
            steady_us: interval_us,
            doubt_thousandths: 20,
            deviates_since_ms: None,
            deviation_left_ms: 0,
            deviation_left_doubt_ms: 0,
        },
        deviates_for_ms: None,
    }
}

/// A replica of the normal steady pace that is `factor` times slower for `for_ms` now.
fn deviating(factor: u64, for_ms: u64) -> ReplicaView {
    let mut view = replica(48_000, 3);
    view.pace.interval_us *= factor;
    view.pace.deviates_since_ms = Some(0);
    view.pace.deviation_left_ms = 4_000;
    view.deviates_for_ms = Some(for_ms);
    view
}

fn step(groups: usize, groups_wanted: u32) -> StepView {
    StepView {
        turn: 0,
        rank: WaitingRank::default(),
        age_rank: 0,
        due_in_ms: 7_500,
        groups_wanted,
        groups: vec![GroupView { complete: false }; groups],
    }
}

fn waiting(step: usize, group: usize, events: u64) -> TextView {
    TextView {
        step,
        group,
        model: 0,
        left: EventsLeft {
            mean: events,
            high: events * 2,
        },
        min_version: 2,
        only_version: None,
        avoid: None,
        planned: None,
        run: None,
    }
}

fn running(group: usize, events: u64, replica: usize) -> TextView {
    TextView {
        run: Some(RunView {
            replica,
            silent_ms: 0,
            moved_ms_ago: None,
            left_replicas: Vec::new(),
        }),
        ..waiting(0, group, events)
    }
}

/// A running text with changes to its run.
fn with_run(text: TextView, change: impl Fn(&mut RunView)) -> TextView {
    let run = text.run.map(|mut run| {
        change(&mut run);
        run
    });
    TextView { run, ..text }
}

fn plan_with(
    policy: Policy,
    steps: &[StepView],
    texts: &[TextView],
    mut replicas: Vec<ReplicaView>,
) -> Plan {
    plan(policy, &POOL, steps, texts, &mut replicas, STALLED_MS)
}

/// Items and replicas of a plan's placements, in the order of the plan.
fn placed(plan: &Plan) -> Vec<(usize, usize)> {
    let pair = |placement: &Placement| (placement.item, placement.engine);
    plan.placements.iter().map(pair).collect()
}

#[test]
fn places_each_text_where_it_ends_first() {
    // Guards against long texts at slow replicas while a faster one has a slot, and against texts
    // at replicas whose weights or refusals forbid them.
    struct Case {
        name: &'static str,
        text: TextView,
        replicas: Vec<ReplicaView>,
        expected: Option<usize>,
    }
    let case = |name, text, replicas, expected| Case {
        name,
        text,
        replicas,
        expected,
    };
    let text = || waiting(0, 0, 40);
    let with = |change: fn(&mut Engine)| {
        let mut view = replica(48_000, 6);
        change(&mut view.engine);
        view
    };
    let cases = [
        case(
            "the faster one",
            text(),
            vec![replica(62_000, 6), replica(48_000, 2)],
            Some(1),
        ),
        case(
            "the emptier one of two equal ones",
            text(),
            vec![replica(48_000, 2), replica(48_000, 4)],
            Some(1),
        ),
        case(
            "a steadily slower one instead of one that is slow now",
            text(),
            vec![deviating(4, 500), replica(62_000, 6)],
            Some(1),
        ),
        case(
            "the only slot, although it is slow now",
            text(),
            vec![deviating(4, 500), replica(48_000, 0)],
            Some(0),
        ),
        case(
            "not at a version that is too old",
            text(),
            vec![with(|engine| engine.versions = vec![1]), replica(62_000, 6)],
            Some(1),
        ),
        case(
            "not at another version than that of its beginning",
            TextView {
                only_version: Some(3),
                ..text()
            },
            vec![replica(48_000, 6), with(|engine| engine.versions = vec![3])],
            Some(1),
        ),
        case(
            "not at a replica that refuses the model",
            text(),
            vec![
                with(|engine| engine.model_slots = vec![0]),
                replica(62_000, 6),
            ],
            Some(1),
        ),
        case(
            "not where its run broke off",
            TextView {
                avoid: Some(0),
                ..text()
            },
            vec![replica(48_000, 6), replica(62_000, 6)],
            Some(1),
        ),
        case(
            "where its run broke off if there is no other slot",
            TextView {
                avoid: Some(0),
                ..text()
            },
            vec![replica(48_000, 6), replica(62_000, 0)],
            Some(0),
        ),
        case(
            "not in another front's shard while an own replica is suitable, even if it is full",
            text(),
            vec![with(|engine| engine.foreign = true), replica(62_000, 0)],
            None,
        ),
        case(
            "in another front's shard if no own replica is suitable",
            text(),
            vec![
                with(|engine| engine.foreign = true),
                with(|engine| engine.versions = vec![1]),
            ],
            Some(0),
        ),
        case(
            "where its move was planned",
            TextView {
                planned: Some(0),
                ..text()
            },
            vec![replica(50_000, 1), replica(48_000, 6)],
            Some(0),
        ),
        case(
            "elsewhere if the planned replica has no slot any more",
            TextView {
                planned: Some(0),
                ..text()
            },
            vec![replica(48_000, 0), replica(62_000, 6)],
            Some(1),
        ),
    ];
    for case in cases {
        let plan = plan_with(
            Policy::EarliestFinish,
            &[step(1, 1)],
            &[case.text],
            case.replicas,
        );
        let at = plan.placements.first().map(|placement| placement.engine);
        assert_eq!(at, case.expected, "{}", case.name);
    }
}

#[test]
fn gives_scarce_slots_by_turn_rank_need_laxity_and_length() {
    // Guards against a trainer that is overtaken by another one's later steps, by texts that no
    // trainer waits for, or by steps that have more time.
    struct Case {
        name: &'static str,
        steps: Vec<StepView>,
        texts: Vec<TextView>,
        expected: Vec<usize>,
    }
    let of_turn = |turn, due_in_ms| StepView {
        turn,
        due_in_ms,
        ..step(2, 1)
    };
    let of_rank = |customer, due_in_ms| StepView {
        rank: WaitingRank { customer, route: 0 },
        due_in_ms,
        ..step(2, 1)
    };
    let cases = [
        Case {
            name: "a lower turn precedes less laxity",
            steps: vec![of_turn(1, 100), of_turn(0, 7_000)],
            texts: vec![waiting(0, 0, 90), waiting(1, 0, 2)],
            expected: vec![1],
        },
        Case {
            name: "a higher rank precedes less laxity",
            steps: vec![of_rank(1, 100), of_rank(0, 7_000)],
            texts: vec![waiting(0, 0, 90), waiting(1, 0, 2)],
            expected: vec![1],
        },
        Case {
            name: "a text of a needed group precedes one of a dispensable group",
            steps: vec![step(2, 1)],
            texts: vec![waiting(0, 0, 90), waiting(0, 1, 10)],
            expected: vec![1],
        },
        Case {
            name: "a step with a long text precedes one that is due at the same time",
            steps: vec![step(1, 1), step(1, 1)],
            texts: vec![waiting(0, 0, 10), waiting(1, 0, 90)],
            expected: vec![1],
        },
        Case {
            name: "a step that is much older precedes one with longer texts",
            steps: vec![
                StepView {
                    due_in_ms: -3_000,
                    ..step(1, 1)
                },
                step(1, 1),
            ],
            texts: vec![waiting(0, 0, 2), waiting(1, 0, 900)],
            expected: vec![0],
        },
        Case {
            name: "the longest text of a step goes first",
            steps: vec![step(1, 1)],
            texts: vec![waiting(0, 0, 10), waiting(0, 0, 30), waiting(0, 0, 20)],
            expected: vec![1],
        },
    ];
    for case in cases {
        for policy in POLICIES {
            let plan = plan_with(policy, &case.steps, &case.texts, vec![replica(48_000, 1)]);
            let items: Vec<usize> = placed(&plan).iter().map(|(item, _)| *item).collect();
            assert_eq!(items, case.expected, "{} {policy:?}", case.name);
        }
    }
}

#[test]
fn can_keep_fast_slots_free_for_texts_that_become_long() {
    // Guards against a reserve that is not kept, and against one for which texts wait.
    struct Case {
        name: &'static str,
        waiting: usize,
        events: u64,
        /// Placements at the slow replica and at the two fast ones.
        expected: (usize, usize),
    }
    let case = |name, waiting, events, expected| Case {
        name,
        waiting,
        events,
        expected,
    };
    for case in [
        case("short texts take the slower slots first", 2, 5, (2, 0)),
        case("then those that are not reserved", 6, 5, (2, 4)),
        case("no text waits for the reserve", 20, 5, (2, 12)),
        case("long texts take fast slots", 6, 60, (0, 6)),
    ] {
        // Three texts at the slow replica are expected to become long.
        let mut texts: Vec<TextView> = (0..3).map(|_| running(0, 60, 1)).collect();
        texts.extend((0..case.waiting).map(|_| waiting(0, 0, case.events)));
        let replicas = vec![replica(48_000, 6), replica(62_000, 2), replica(48_000, 6)];
        let plan = plan_with(Policy::ReserveFast, &[step(1, 1)], &texts, replicas);
        let at_slow = placed(&plan).iter().filter(|(_, at)| *at == 1).count();
        let at_fast = plan.placements.len() - at_slow;
        assert_eq!((at_slow, at_fast), case.expected, "{}", case.name);
    }
}

#[test]
fn places_a_text_in_every_free_slot() {
    // Guards against idle slots while suitable texts wait, dispensable ones included.
    let texts: Vec<TextView> = (0..40)
        .map(|at| waiting(0, at % 4, 1 + at as u64))
        .collect();
    let replicas = vec![replica(48_000, 6), deviating(3, 100), replica(62_000, 5)];
    let plan = plan_with(Policy::EarliestFinish, &[step(4, 1)], &texts, replicas);
    assert_eq!(plan.placements.len(), 14);
}

/// A replica that became 2.5 times slower `for_ms` ago, at which no slot is free. Nothing is known
/// of how long deviations of its pool last.
fn slower_for(for_ms: u64) -> ReplicaView {
    let mut pace = ReplicaPace::default();
    let mut now_ms = 0;
    let mut record = |interval_ms: u64| {
        now_ms += interval_ms;
        pace.record(&POOL, interval_ms * 1_000, 1, now_ms);
        (pace.estimate(&POOL, 1, now_ms), now_ms)
    };
    (0..40).for_each(|_| {
        record(48);
    });
    loop {
        let (pace, now_ms) = record(120);
        let since_ms = pace.deviates_since_ms;
        if let Some(age_ms) = since_ms.map(|since_ms| now_ms - since_ms)
            && age_ms >= for_ms
        {
            return ReplicaView {
                pace,
                deviates_for_ms: Some(age_ms),
                ..replica(48_000, 0)
            };
        }
        assert!(now_ms < 20_000, "no deviation of {for_ms} ms");
    }
}

#[test]
fn leaves_a_slower_replica_for_the_expected_rest_of_its_deviation() {
    // Guards against moves away from replicas that are back to normal a moment later, and against
    // texts that stay where a deviation lasts for seconds.
    struct Case {
        name: &'static str,
        for_ms: u64,
        events: u64,
        moves: bool,
    }
    let case = |name, for_ms, events, moves| Case {
        name,
        for_ms,
        events,
        moves,
    };
    let cases = [
        case("a short text after 0.2 s", 200, 8, false),
        case("a short text after 0.3 s", 300, 8, false),
        case("a longer text after 0.2 s", 200, 60, false),
        case("a short text after 1 s", 1_000, 8, true),
        case("a longer text after 1 s", 1_000, 60, true),
        case("a text that ends at once, after 1 s", 1_000, 1, false),
        case("a longer text after 3 s", 3_000, 60, true),
    ];
    for Case {
        name,
        for_ms,
        events,
        moves,
    } in cases
    {
        for policy in POLICIES {
            let replicas = vec![slower_for(for_ms), replica(48_000, 3)];
            let plan = plan_with(policy, &[step(1, 1)], &[running(0, events, 0)], replicas);
            let found: Vec<MoveCause> = plan.moves.iter().map(|moved| moved.cause).collect();
            let expected = if moves {
                vec![MoveCause::Slower]
            } else {
                vec![]
            };
            assert_eq!(found, expected, "{name} {policy:?}");
        }
    }
}

#[test]
fn moves_only_texts_whose_step_gains() {
    // Guards against moves that cost more than they gain, which were 20 of 100 texts, and against
    // deciding texts that stay at a slow replica.
    struct Case {
        name: &'static str,
        texts: Vec<TextView>,
        replicas: Vec<ReplicaView>,
        expected: Vec<(usize, MoveCause)>,
    }
    let case = |name, texts, replicas, expected| Case {
        name,
        texts,
        replicas,
        expected,
    };
    let slow_and_fast = || vec![replica(62_000, 3), replica(48_000, 3)];
    let pause_and_fast = || vec![deviating(3, 400), replica(48_000, 3)];
    let moved = |ms_ago| with_run(running(0, 60, 0), |run| run.moved_ms_ago = Some(ms_ago));
    let returned = |ms_ago| {
        with_run(running(0, 60, 0), |run| {
            run.left_replicas = vec![(1, ms_ago)]
        })
    };
    let silent = |text| with_run(text, |run| run.silent_ms = 900);
    let critical = vec![(0, MoveCause::Critical)];
    let slower = vec![(0, MoveCause::Slower)];
    let cases = [
        case(
            "the deciding text at a steadily slower replica",
            vec![running(0, 60, 0), running(0, 10, 1)],
            slow_and_fast(),
            critical.clone(),
        ),
        case(
            "a text that ends before another needed one",
            vec![running(0, 60, 0), running(0, 90, 1)],
            slow_and_fast(),
            vec![],
        ),
        case(
            "a text with few events left",
            vec![running(0, 15, 0)],
            slow_and_fast(),
            vec![],
        ),
        case(
            "a text of a dispensable group",
            vec![running(1, 90, 0), running(0, 10, 1)],
            slow_and_fast(),
            vec![],
        ),
        case(
            "two texts that decide the end together",
            vec![running(0, 60, 0), running(0, 58, 0)],
            slow_and_fast(),
            vec![(0, MoveCause::Critical), (1, MoveCause::Critical)],
        ),
        case(
            "two texts that decide the end together, but one slot",
            vec![running(0, 60, 0), running(0, 60, 0)],
            vec![replica(62_000, 3), replica(48_000, 1)],
            vec![],
        ),
        case(
            "a text that waits for a slot of its version decides the end",
            vec![
                running(0, 60, 0),
                TextView {
                    only_version: Some(9),
                    ..waiting(0, 0, 90)
                },
            ],
            slow_and_fast(),
            vec![],
        ),
        case(
            "the other replica has no slot",
            vec![running(0, 60, 0)],
            vec![replica(62_000, 3), replica(48_000, 0)],
            vec![],
        ),
        case(
            "both paces are uncertain",
            vec![running(0, 60, 0)],
            slow_and_fast()
                .into_iter()
                .map(|mut view| {
                    view.pace.doubt_thousandths = 150;
                    view
                })
                .collect(),
            vec![],
        ),
        case(
            "a replica that has become slower",
            vec![running(0, 30, 0)],
            pause_and_fast(),
            slower.clone(),
        ),
        case(
            "a replica that has become slower, but the text is short",
            vec![running(0, 1, 0)],
            pause_and_fast(),
            vec![],
        ),
        case("moved 0.4 s ago", vec![moved(400)], slow_and_fast(), vec![]),
        case("moved 0.9 s ago", vec![moved(900)], slow_and_fast(), vec![]),
        case(
            "moved 0.9 s ago, and the replica began to deviate 0.4 s ago",
            vec![moved(900)],
            pause_and_fast(),
            slower,
        ),
        case(
            "moved 1.1 s ago",
            vec![moved(1_100)],
            slow_and_fast(),
            critical.clone(),
        ),
        case(
            "left the other replica 4 s ago",
            vec![returned(4_000)],
            slow_and_fast(),
            vec![],
        ),
        case(
            "left the other replica 6 s ago",
            vec![returned(6_000)],
            slow_and_fast(),
            critical,
        ),
        case(
            "silent, whatever is left",
            vec![silent(running(0, 1, 1))],
            slow_and_fast(),
            vec![(0, MoveCause::Stalled)],
        ),
        case(
            "silent, of a dispensable group",
            vec![running(0, 1, 1), silent(running(1, 9, 1))],
            slow_and_fast(),
            vec![(1, MoveCause::Stalled)],
        ),
        case(
            "a replica that has become slower, and a group that may be needed",
            vec![running(1, 45, 0), running(0, 40, 1)],
            pause_and_fast(),
            vec![(0, MoveCause::Slower)],
        ),
        case(
            "a replica that has become slower, and a dispensable group",
            vec![running(1, 120, 0), running(0, 40, 1)],
            pause_and_fast(),
            vec![],
        ),
        case(
            "silent for two thirds of an interval of its slow replica",
            vec![with_run(running(0, 1, 0), |run| run.silent_ms = 260)],
            vec![deviating(8, 400), replica(48_000, 3)],
            vec![],
        ),
        case(
            "silent for 0.9 s as during a load, and only a slower replica has a slot",
            vec![silent(running(0, 30, 0))],
            vec![replica(48_000, 3), deviating(3, 400)],
            vec![],
        ),
        case(
            "silent for longer than a load, and only a slower replica has a slot",
            vec![with_run(running(0, 30, 0), |run| run.silent_ms = 1_100)],
            vec![replica(48_000, 3), deviating(3, 400)],
            vec![(0, MoveCause::Stalled)],
        ),
        case(
            "silent, moved 0.4 s ago",
            vec![silent(moved(400))],
            slow_and_fast(),
            vec![],
        ),
        case(
            "silent, and no slot elsewhere",
            vec![silent(running(0, 60, 0))],
            vec![replica(62_000, 3), replica(48_000, 0)],
            vec![],
        ),
    ];
    for case in cases {
        let groups = case.texts.iter().map(|text| text.group + 1).max();
        let plan = plan_with(
            Policy::EarliestFinish,
            &[step(groups.unwrap_or(0), 1)],
            &case.texts,
            case.replicas,
        );
        let mut causes: Vec<_> = plan
            .moves
            .iter()
            .map(|moved| (moved.text, moved.cause))
            .collect();
        causes.sort_by_key(|(text, _)| *text);
        assert_eq!(causes, case.expected, "{}", case.name);
    }
}

#[test]
fn states_gain_and_doubt_of_a_move() {
    // Guards against log lines that do not explain a move: 60 events at 62 ms instead of 48 ms gain
    // 0.84 s, of which both paces leave 2 % in doubt. Runs at both replicas slow them by 1 % each.
    let replicas = vec![replica(62_000, 6), replica(48_000, 6)];
    let plan = plan_with(
        Policy::EarliestFinish,
        &[step(1, 1)],
        &[running(0, 60, 0)],
        replicas,
    );
    let [
        Move {
            to,
            gain_ms,
            doubt_ms,
            ..
        },
    ] = plan.moves[..]
    else {
        panic!("not one move: {:?}", plan.moves);
    };
    assert_eq!((to, gain_ms, doubt_ms), (1, 840, 132));
}

#[test]
fn takes_the_slots_that_it_plans_to_use() {
    // Guards against two texts in one slot, and against slots that a useless move keeps.
    let mut replicas = vec![replica(62_000, 3), replica(48_000, 1)];
    let texts = [running(0, 60, 0), running(0, 60, 0)];
    let plan = plan(
        Policy::EarliestFinish,
        &POOL,
        &[step(1, 1)],
        &texts,
        &mut replicas,
        STALLED_MS,
    );
    assert_eq!(plan, Plan::default());
    assert_eq!(replicas[1].engine.free_slots, 1);
    assert_eq!(replicas[1].engine.model_slots, [1]);
}

#[test]
fn stays_within_the_time_for_one_pass() {
    // Guards against a pass whose cost grows with the square of the fleet: a front has half a core
    // and plans up to ten times a second.
    const STEPS: usize = 10;
    const PASS_MS_MAX: u128 = if cfg!(debug_assertions) { 150 } else { 5 };
    let steps = vec![step(26, 23); STEPS];
    let mut texts: Vec<TextView> = (0..2_048)
        .map(|at| waiting(at % STEPS, at / STEPS % 26, 1 + at as u64 * 7 % 150))
        .collect();
    let replicas: Vec<ReplicaView> = (0..600)
        .map(|at| match at % 5 {
            0 => deviating(3, 500),
            1 => replica(62_000, 6),
            _ => replica(48_000, 6),
        })
        .collect();
    for is_running in [false, true] {
        for (at, text) in texts.iter_mut().enumerate() {
            if is_running {
                text.run = running(0, 1, at % 600).run;
            }
        }
        for policy in POLICIES {
            let mut took: Vec<u128> = Vec::new();
            for _ in 0..15 {
                let mut replicas = replicas.clone();
                let started = Instant::now();
                plan(policy, &POOL, &steps, &texts, &mut replicas, STALLED_MS);
                took.push(started.elapsed().as_micros());
            }
            took.sort_unstable();
            println!("{policy:?}, all run: {is_running}, {took:?} µs");
            // The fastest of several passes: the machine is shared with other work.
            assert!(took[0] <= PASS_MS_MAX * 1_000, "{took:?} µs");
        }
    }
}
