//! Selection of a replica for a call, and the decision after a failed attempt.

use std::sync::Arc;

use dispatch::{
    AttemptOutcome, CallFailure, Candidate, NextAction, ReplicaLoad, TypicalDuration,
    choose_replica, next_action,
};

const MS: u64 = 1_000;

/// Index in `loads` of the choice among the replicas that were not tried; filters them as callers
/// do.
fn chosen(loads: &[Arc<ReplicaLoad>], tried: &[usize], random: u64, now_ms: u64) -> Option<usize> {
    chosen_with(loads, tried, &[], random, now_ms)
}

/// As `chosen`, with idle pooled connections to the replicas in `connected`.
fn chosen_with(
    loads: &[Arc<ReplicaLoad>],
    tried: &[usize],
    connected: &[usize],
    random: u64,
    now_ms: u64,
) -> Option<usize> {
    let left: Vec<usize> = (0..loads.len()).filter(|at| !tried.contains(at)).collect();
    let candidate = |at: &usize| Candidate {
        load: &loads[*at],
        same_domain: true,
        connected: connected.contains(at),
    };
    let candidates: Vec<Candidate<'_>> = left.iter().map(candidate).collect();
    choose_replica(&candidates, 25 * MS, random, now_ms).map(|at| left[at])
}

fn loads(count: usize) -> Vec<Arc<ReplicaLoad>> {
    (0..count).map(|_| Arc::default()).collect()
}

#[test]
fn can_spread_calls_over_equal_replicas() {
    let loads = loads(4);
    let mut held = Vec::new();
    for random in 0..8 {
        let at = chosen(&loads, &[], random * 7, 0).expect("a replica");
        held.push(loads[at].begin(25 * MS, false));
    }
    assert!(loads.iter().all(|load| load.calls() == 2));
    drop(held);
    assert!(loads.iter().all(|load| load.calls() == 0));
}

#[test]
fn can_avoid_a_slow_replica_and_try_it_again_later() {
    // Guards against calls that keep going to a slow replica, and against avoiding it for ever. One
    // replica takes 3.5 times as long. After a few answers calls go elsewhere, although it has
    // fewer calls in progress; seconds later it is tried again.
    let loads = loads(3);
    let typical = TypicalDuration::new(25);
    for _ in 0..4 {
        loads[0].record_success(&typical, 90 * MS, 1_000);
        loads[1].record_success(&typical, 25 * MS, 1_000);
        loads[2].record_success(&typical, 25 * MS, 1_000);
    }
    let _busy = [
        loads[1].begin(25 * MS, false),
        loads[2].begin(25 * MS, false),
    ];
    assert!((0..9).all(|random| chosen(&loads, &[], random, 1_100) != Some(0)));
    assert!((0..9).any(|random| chosen(&loads, &[], random, 30_000) == Some(0)));
}

#[test]
fn can_eject_a_replica_after_consecutive_failures() {
    let loads = loads(2);
    loads[0].record_failure(1_000);
    loads[0].record_failure(1_010);
    assert!((0..9).all(|random| chosen(&loads, &[], random, 1_500) == Some(1)));
    assert_eq!(
        chosen(&loads, &[1], 0, 1_500),
        Some(0),
        "an ejected replica is better than none"
    );
}

/// Guards against a new connection for each call. Load pattern: many fronts that send a call every
/// few seconds to many replicas.
#[test]
fn can_prefer_a_connected_replica_while_it_is_idle() {
    let loads = loads(35);
    let choice = |connected: &[usize]| {
        let randoms = 0..70;
        let chosen = randoms.map(|random| chosen_with(&loads, &[], connected, random, 0));
        chosen.collect::<Vec<_>>()
    };
    assert!(choice(&[7]).iter().all(|at| *at == Some(7)));
    let _busy = loads[7].begin(25 * MS, false);
    assert!(
        choice(&[7]).iter().all(|at| *at != Some(7)),
        "the connected replica is busy"
    );
    assert!(choice(&[7, 9]).iter().all(|at| *at == Some(9)));
}

#[test]
fn can_choose_among_replicas_that_were_not_tried() {
    let loads = loads(3);
    assert_eq!(chosen(&loads, &[0, 2], 4, 0), Some(1));
    assert_eq!(chosen(&[], &[], 4, 0), None);
}

#[test]
fn can_decide_the_action_after_an_attempt() {
    struct Case {
        name: &'static str,
        end: AttemptOutcome,
        idempotent: bool,
        ran_before: bool,
        sent: u32,
        left_ms: u64,
        next: NextAction,
    }
    let cases = [
        Case {
            name: "an answer",
            end: AttemptOutcome::Answered,
            idempotent: false,
            ran_before: false,
            sent: 1,
            left_ms: 500,
            next: NextAction::Deliver,
        },
        Case {
            name: "an idempotent call that was interrupted",
            end: AttemptOutcome::Unknown,
            idempotent: true,
            ran_before: false,
            sent: 1,
            left_ms: 500,
            next: NextAction::Retry,
        },
        Case {
            name: "a call that runs at most once and was interrupted",
            end: AttemptOutcome::Unknown,
            idempotent: false,
            ran_before: false,
            sent: 1,
            left_ms: 500,
            next: NextAction::Finish(CallFailure::Unknown),
        },
        Case {
            name: "a call that runs at most once and was refused",
            end: AttemptOutcome::NotRun,
            idempotent: false,
            ran_before: false,
            sent: 1,
            left_ms: 500,
            next: NextAction::Retry,
        },
        Case {
            name: "all replicas refused",
            end: AttemptOutcome::NotRun,
            idempotent: true,
            ran_before: false,
            sent: 2,
            left_ms: 500,
            next: NextAction::Finish(CallFailure::NotRun),
        },
        Case {
            name: "the last replica refused, an earlier one may have run it",
            end: AttemptOutcome::NotRun,
            idempotent: true,
            ran_before: true,
            sent: 2,
            left_ms: 500,
            next: NextAction::Finish(CallFailure::Unknown),
        },
        Case {
            name: "the deadline has passed",
            end: AttemptOutcome::Unknown,
            idempotent: true,
            ran_before: false,
            sent: 1,
            left_ms: 0,
            next: NextAction::Finish(CallFailure::TimedOut),
        },
    ];
    for case in cases {
        let has_untried = true;
        let next = next_action(
            case.end,
            case.idempotent,
            case.ran_before,
            case.sent,
            2,
            has_untried,
            case.left_ms,
        );
        assert_eq!(next, case.next, "{}", case.name);
    }
}
