//! Runs that continue at another replica, when several fronts share the replicas.

use dispatch::{Engine, MoveCause, Run, runs_to_move, stall_threshold_ms};

fn engine(version: u64, free: u32, slowness: u64) -> Engine {
    Engine {
        foreign: false,
        versions: vec![version],
        model_slots: vec![free],
        free_slots: free,
        running: 1,
        slowness,
    }
}

fn run(silent_ms: u64) -> Run {
    Run {
        engine: 0,
        model: 0,
        left_ms: 2_000,
        silent_ms,
        min_version: 2,
        only_version: None,
        slow_moves: 0,
    }
}

#[test]
fn can_move_stalled_runs_to_a_free_slot() {
    // Guards against texts that stall while the trainer waits for the whole group. A run stalls if
    // other fronts fill the replica unseen, or if it runs out of memory, loads weights or becomes
    // unreachable. The run moves as soon as the stall is detected, but only to a free slot.
    struct Case {
        name: &'static str,
        run: Run,
        elsewhere: Engine,
        moved: Option<MoveCause>,
    }
    let single = |version| Run {
        only_version: Some(version),
        ..run(900)
    };
    let case = |name, run, elsewhere, moved| Case {
        name,
        run,
        elsewhere,
        moved,
    };
    let stalled = Some(MoveCause::Stalled);
    let cases = [
        case("silent", run(900), engine(2, 1, 1_000), stalled),
        case(
            "silent, the other replica is slow",
            run(900),
            engine(2, 1, 3_000),
            stalled,
        ),
        case("generates events", run(60), engine(2, 1, 1_000), None),
        case("no free slot", run(900), engine(2, 0, 1_000), None),
        case("version too old", run(900), engine(1, 1, 1_000), None),
        case(
            "must not mix versions, same version",
            single(3),
            engine(3, 1, 1_000),
            stalled,
        ),
        case(
            "must not mix versions, other version",
            single(2),
            engine(3, 1, 1_000),
            None,
        ),
    ];
    for case in cases {
        let mut engines = [engine(2, 4, 1_000), case.elsewhere];
        let moved = runs_to_move(&[case.run], &mut engines, stall_threshold_ms(50_000));
        let cause = moved.first().map(|(_, cause)| *cause);
        assert_eq!(cause, case.moved, "{}", case.name);
    }
}

#[test]
fn can_move_as_many_runs_as_there_are_free_slots() {
    let mut engines = [engine(2, 0, 1_000), engine(2, 2, 1_000)];
    let moved = runs_to_move(&[run(900), run(900), run(900)], &mut engines, 250);
    assert_eq!(moved.len(), 2);
    assert_eq!(engines[1].free_slots, 0);
}

#[test]
fn can_move_away_from_a_slow_replica_twice_at_most() {
    for (slow_moves, moved) in [(0, 1), (1, 1), (2, 0)] {
        let mut engines = [engine(2, 0, 3_500), engine(2, 8, 1_000)];
        let run = Run {
            slow_moves,
            ..run(120)
        };
        assert_eq!(
            runs_to_move(&[run], &mut engines, 250).len(),
            moved,
            "{slow_moves}"
        );
    }
}

#[test]
fn can_derive_the_stall_threshold_from_the_typical_interval() {
    struct Case {
        typical_us: u64,
        stalled_ms: u64,
    }
    for Case {
        typical_us,
        stalled_ms: expected,
    } in [
        Case {
            typical_us: 0,
            stalled_ms: 200,
        },
        Case {
            typical_us: 35_000,
            stalled_ms: 200,
        },
        Case {
            typical_us: 50_000,
            stalled_ms: 250,
        },
        Case {
            typical_us: 150_000,
            stalled_ms: 750,
        },
    ] {
        assert_eq!(stall_threshold_ms(typical_us), expected);
    }
}
