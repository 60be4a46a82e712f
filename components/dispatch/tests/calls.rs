//! Choice of a replica for a call, and what follows a failed attempt.

use std::sync::Arc;

use dispatch::{
    AttemptOutcome, CallFailure, Candidate, NextAction, ReplicaLoad, TypicalDuration,
    choose_replica, next_action,
};

const MS: u64 = 1_000;

/// Place in `loads` of the choice among those that were not tried, as callers put it.
fn chosen(loads: &[Arc<ReplicaLoad>], tried: &[usize], random: u64, now_ms: u64) -> Option<usize> {
    chosen_with(loads, tried, &[], random, now_ms)
}

/// The same where idle connections to some are pooled.
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
        let at = chosen(&loads, &[], random * 7, 0).expect("one");
        held.push(loads[at].begin(25 * MS, false));
    }
    assert!(loads.iter().all(|load| load.calls() == 2));
    drop(held);
    assert!(loads.iter().all(|load| load.calls() == 0));
}

#[test]
fn can_keep_clerks_away_from_a_slow_replica_and_come_back_to_it() {
    // One replica takes 3.5 times as long. A few answers show it; then calls go elsewhere,
    // though it has less in progress. Seconds later it is tried again.
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
fn can_leave_out_a_replica_that_fails_in_a_row() {
    let loads = loads(2);
    loads[0].record_failure(1_000);
    loads[0].record_failure(1_010);
    assert!((0..9).all(|random| chosen(&loads, &[], random, 1_500) == Some(1)));
    assert_eq!(chosen(&loads, &[1], 0, 1_500), Some(0), "better than none");
}

/// Load pattern: many fronts with a call each few seconds before many replicas. Guards against a new
/// connection for each of them.
#[test]
fn can_stay_with_a_connected_replica_while_it_has_nothing_else_to_do() {
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
        "it is at work"
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
fn can_decide_what_follows_an_attempt() {
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
            name: "an idempotent call that broke off",
            end: AttemptOutcome::Unknown,
            idempotent: true,
            ran_before: false,
            sent: 1,
            left_ms: 500,
            next: NextAction::Retry,
        },
        Case {
            name: "a call that may run once and broke off",
            end: AttemptOutcome::Unknown,
            idempotent: false,
            ran_before: false,
            sent: 1,
            left_ms: 500,
            next: NextAction::Finish(CallFailure::Unknown),
        },
        Case {
            name: "a call that may run once and was refused",
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
            name: "the last one refused, an earlier one may have run it",
            end: AttemptOutcome::NotRun,
            idempotent: true,
            ran_before: true,
            sent: 2,
            left_ms: 500,
            next: NextAction::Finish(CallFailure::Unknown),
        },
        Case {
            name: "the time is up",
            end: AttemptOutcome::Unknown,
            idempotent: true,
            ran_before: false,
            sent: 1,
            left_ms: 0,
            next: NextAction::Finish(CallFailure::TimedOut),
        },
    ];
    for case in cases {
        let untried = true;
        let next = next_action(
            case.end,
            case.idempotent,
            case.ran_before,
            case.sent,
            2,
            untried,
            case.left_ms,
        );
        assert_eq!(next, case.next, "{}", case.name);
    }
}
