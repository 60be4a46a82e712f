//! The decision on another attempt, and the times of connections.

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
    deadline_left_ms: u64,
    budget: bool,
    expected: Result<Resume, Failure>,
}

fn failure(run: RunState) -> Failure {
    Failure::new(run, Cause::EndpointLost)
}

/// An idempotent request that is tried again, changed by `change`.
fn case(name: &'static str, change: impl FnOnce(&mut Case)) -> Case {
    let mut case = Case {
        name,
        failure: failure(RunState::Unknown),
        idempotent: true,
        delivered: Delivered::Nothing,
        attempts: 1,
        deadline_left_ms: 1_000,
        budget: true,
        expected: Ok(Resume::FromStart),
    };
    change(&mut case);
    case
}

/// A request that may run once only and is not tried again.
fn once(name: &'static str, run: RunState, delivered: Delivered, expected: RunState) -> Case {
    case(name, |case| {
        case.idempotent = false;
        case.failure = failure(run);
        case.delivered = delivered;
        case.expected = Err(failure(expected));
    })
}

/// A request that would end in the same way again.
fn settled(name: &'static str, cause: Cause) -> Case {
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
        case("once only, not run", |case| {
            case.idempotent = false;
            case.failure = failure(NotRun);
        }),
        once("once only, unknown", Unknown, Nothing, Unknown),
        once("once only, failed", Failed, Nothing, Failed),
        once("once only, not run but tokens", NotRun, Tokens, Failed),
        once("once only, not run but bytes", NotRun, Bytes, Failed),
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
        case("no time", |case| {
            case.deadline_left_ms = 9;
            case.expected = Err(case.failure);
        }),
        case("no budget", |case| {
            case.budget = false;
            case.expected = Err(Failure::new(Unknown, Cause::BudgetSpent));
        }),
        settled("forbidden", Cause::Forbidden),
        settled("quarantined", Cause::Quarantined),
        settled("late", Cause::DeadlinePassed),
    ]
}

fn endpoints(count: usize) -> Vec<SocketAddr> {
    (0..count)
        .map(|index| ([10, 0, 0, index as u8], 80).into())
        .collect()
}

/// The decision, and whether the budget was asked.
fn decided(case: &Case, random: u64) -> (RetryDecision, bool) {
    let tried = FailedAttempt {
        failure: case.failure,
        idempotent: case.idempotent,
        delivered: case.delivered,
        endpoints: &endpoints(case.attempts),
        deadline_left_ms: case.deadline_left_ms,
    };
    let mut asked = false;
    let budget = || {
        asked = true;
        case.budget
    };
    (
        decide_retry(&RetrySettings::default(), &tried, random, budget),
        asked,
    )
}

#[test]
fn can_decide_on_another_attempt() {
    for case in cases() {
        let (decision, asked) = decided(&case, 0);
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
        assert_eq!(asked, got.is_ok() || !case.budget, "{}: budget", case.name);
    }
}

checks::seeded! {
    fn can_pause_within_the_deadline(attempts: u8, random: u64, deadline_left_ms: u64) -> bool {
        let case = case("", |case| {
            case.attempts = usize::from(attempts % 4) + 1;
            case.deadline_left_ms = deadline_left_ms;
        });
        match decided(&case, random).0 {
            RetryDecision::Retry { after_ms, .. } => after_ms < deadline_left_ms,
            RetryDecision::Final(_) => true,
        }
    }

    fn can_cap_the_pause_between_connections(failures: u32, random: u64) -> bool {
        (10..=1_000).contains(&reconnect_after_ms(failures, random))
    }
}

struct Look {
    name: &'static str,
    outstanding: bool,
    heard_at_ms: u64,
    now_ms: u64,
    expected: SilenceAction,
}

// The peer answers a first ping and stays silent after a second one. Nothing is sent
// without outstanding calls, and the first call after a long silence is pinged at once.
#[test]
fn can_find_a_silent_connection() {
    let look = |name, outstanding, heard_at_ms, now_ms, expected| Look {
        name,
        outstanding,
        heard_at_ms,
        now_ms,
        expected,
    };
    let looks = [
        look("no calls", false, 0, 5_000, SilenceAction::Idle),
        look(
            "first call after a silence",
            true,
            0,
            5_000,
            SilenceAction::Ping { number: 1 },
        ),
        look(
            "waits for the answer",
            true,
            0,
            5_010,
            SilenceAction::CheckAt { at_ms: 5_100 },
        ),
        look(
            "answered",
            true,
            5_020,
            5_020,
            SilenceAction::CheckAt { at_ms: 5_220 },
        ),
        look(
            "silent",
            true,
            5_020,
            5_220,
            SilenceAction::Ping { number: 2 },
        ),
        look(
            "still silent",
            true,
            5_020,
            5_319,
            SilenceAction::CheckAt { at_ms: 5_320 },
        ),
        look("too late", true, 5_020, 5_320, SilenceAction::Dead),
    ];
    let mut silence = SilenceDetector::new(200, 100);
    for case in looks {
        let got = silence.check(case.outstanding, case.heard_at_ms, case.now_ms);
        assert_eq!(got, case.expected, "{}", case.name);
    }
}
