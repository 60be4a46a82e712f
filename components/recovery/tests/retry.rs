//! Retry decisions, reconnect delays and the detection of silent connections.

use std::net::SocketAddr;

use recovery::{
    Delivered, FailedAttempt, Resume, RetryDecision, RetrySettings, SilenceAction, SilenceDetector,
    decide_retry, reconnect_after_ms,
};
use types::{Cause, Failure, RunState};

struct Case {
    name: &'static str,
    failure: Failure,
    idempotent: bool,
    delivered: Delivered,
    attempts: usize,
    lost_endpoints: u32,
    deadline_left_ms: u64,
    budget: bool,
    expected: Result<Resume, Failure>,
}

fn failure(run: RunState) -> Failure {
    Failure::new(run, Cause::EndpointLost)
}

/// An idempotent request that is retried, modified by `change`.
fn case(name: &'static str, change: impl FnOnce(&mut Case)) -> Case {
    let mut case = Case {
        name,
        failure: failure(RunState::Unknown),
        idempotent: true,
        delivered: Delivered::Nothing,
        attempts: 1,
        lost_endpoints: 0,
        deadline_left_ms: 1_000,
        budget: true,
        expected: Ok(Resume::FromStart),
    };
    change(&mut case);
    case
}

/// A request that is not idempotent and must not be retried.
fn non_idempotent(
    name: &'static str,
    run: RunState,
    delivered: Delivered,
    expected: RunState,
) -> Case {
    case(name, |case| {
        case.idempotent = false;
        case.failure = failure(run);
        case.delivered = delivered;
        case.expected = Err(failure(expected));
    })
}

/// A failure that another attempt cannot avoid.
fn not_retriable(name: &'static str, cause: Cause) -> Case {
    case(name, |case| {
        case.failure = Failure::not_run(cause);
        case.expected = Err(case.failure);
    })
}

fn cases() -> Vec<Case> {
    use Delivered::{Bytes, Nothing, Tokens};
    use RunState::{Failed, NotRun, Unknown};
    vec![
        case("idempotent, unknown", |_| {}),
        case("idempotent, failed", |case| case.failure = failure(Failed)),
        case("not idempotent, not run", |case| {
            case.idempotent = false;
            case.failure = failure(NotRun);
        }),
        non_idempotent("not idempotent, unknown", Unknown, Nothing, Unknown),
        non_idempotent("not idempotent, failed", Failed, Nothing, Failed),
        non_idempotent(
            "not idempotent, not run but tokens received",
            NotRun,
            Tokens,
            Failed,
        ),
        non_idempotent(
            "not idempotent, not run but bytes received",
            NotRun,
            Bytes,
            Failed,
        ),
        case("tokens were delivered", |case| {
            case.delivered = Tokens;
            case.expected = Ok(Resume::FromTokens);
        }),
        case("bytes were delivered", |case| {
            case.delivered = Bytes;
            case.expected = Err(case.failure);
        }),
        case("last attempt", |case| {
            case.attempts = 3;
            case.expected = Err(case.failure);
        }),
        // A completion runs beside a call that crashes its engines one after the other.
        case("third endpoint lost", |case| {
            case.attempts = 3;
            case.lost_endpoints = 3;
        }),
        case("last attempt after two lost endpoints", |case| {
            case.attempts = 5;
            case.lost_endpoints = 2;
            case.expected = Err(case.failure);
        }),
        case("more lost endpoints than attempts allowed", |case| {
            case.attempts = 6;
            case.lost_endpoints = 6;
            case.expected = Err(case.failure);
        }),
        case("too little time left", |case| {
            case.deadline_left_ms = 9;
            case.expected = Err(case.failure);
        }),
        case("retry budget used up", |case| {
            case.budget = false;
            case.expected = Err(Failure::new(Unknown, Cause::BudgetSpent));
        }),
        not_retriable("forbidden", Cause::Forbidden),
        not_retriable("quarantined", Cause::Quarantined),
        not_retriable("deadline passed", Cause::DeadlinePassed),
    ]
}

fn endpoints(count: usize) -> Vec<SocketAddr> {
    (0..count)
        .map(|index| ([10, 0, 0, index as u8], 80).into())
        .collect()
}

/// The decision, and whether the retry budget was used.
fn decision_of(case: &Case, random: u64) -> (RetryDecision, bool) {
    let tried = FailedAttempt {
        failure: case.failure,
        idempotent: case.idempotent,
        delivered: case.delivered,
        endpoints: &endpoints(case.attempts),
        lost_endpoints: case.lost_endpoints,
        deadline_left_ms: case.deadline_left_ms,
    };
    let mut budget_used = false;
    let budget = || {
        budget_used = true;
        case.budget
    };
    (
        decide_retry(&RetrySettings::default(), &tried, random, budget),
        budget_used,
    )
}

#[test]
fn can_decide_whether_to_retry() {
    for case in cases() {
        let (decision, budget_used) = decision_of(&case, 0);
        let got = match decision {
            RetryDecision::Retry {
                exclude, resume, ..
            } => {
                assert_eq!(exclude, endpoints(case.attempts), "{}", case.name);
                Ok(resume)
            }
            RetryDecision::Final(failure) => Err(failure),
        };
        assert_eq!(got, case.expected, "{}", case.name);
        assert_eq!(
            budget_used,
            got.is_ok() || !case.budget,
            "{}: use of the budget",
            case.name
        );
    }
}

checks::seeded! {
    fn can_back_off_within_the_deadline(attempts: u8, random: u64, deadline_left_ms: u64) -> bool {
        let case = case("", |case| {
            case.attempts = usize::from(attempts % 4) + 1;
            case.deadline_left_ms = deadline_left_ms;
        });
        match decision_of(&case, random).0 {
            RetryDecision::Retry { after_ms, .. } => after_ms < deadline_left_ms,
            RetryDecision::Final(_) => true,
        }
    }

    fn can_limit_the_reconnect_delay(failures: u32, random: u64) -> bool {
        (10..=1_000).contains(&reconnect_after_ms(failures, random))
    }
}

struct Check {
    name: &'static str,
    outstanding: bool,
    received_at_ms: u64,
    now_ms: u64,
    expected: SilenceAction,
}

// The peer answers the first ping and does not answer the second. Undetected, the outstanding
// calls would wait until TCP reports the loss after many minutes. Without outstanding calls no
// ping is sent.
#[test]
fn can_detect_a_silent_connection() {
    let check = |name, outstanding, received_at_ms, now_ms, expected| Check {
        name,
        outstanding,
        received_at_ms,
        now_ms,
        expected,
    };
    let checks = [
        check("no outstanding calls", false, 0, 5_000, SilenceAction::Idle),
        check(
            "first call after a silence",
            true,
            0,
            5_000,
            SilenceAction::Ping { number: 1 },
        ),
        check(
            "first ping not answered yet",
            true,
            0,
            5_010,
            SilenceAction::CheckAt { at_ms: 5_100 },
        ),
        check(
            "first ping answered",
            true,
            5_020,
            5_020,
            SilenceAction::CheckAt { at_ms: 5_220 },
        ),
        check(
            "silent again",
            true,
            5_020,
            5_220,
            SilenceAction::Ping { number: 2 },
        ),
        check(
            "second ping not answered yet",
            true,
            5_020,
            5_319,
            SilenceAction::CheckAt { at_ms: 5_320 },
        ),
        check(
            "ping deadline passed",
            true,
            5_020,
            5_320,
            SilenceAction::Dead,
        ),
    ];
    let mut silence = SilenceDetector::new(200, 100);
    for case in checks {
        let got = silence.check(case.outstanding, case.received_at_ms, case.now_ms);
        assert_eq!(got, case.expected, "{}", case.name);
    }
}
