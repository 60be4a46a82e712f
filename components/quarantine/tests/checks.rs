//! Which endpoints count as ended after an attempt stayed without an answer.

use quarantine::{CheckOutcome, CheckVerdict, EndpointChecks};

const SILENCE_MS: u64 = 2_200;
const TIMEOUT_MS: u64 = 1_000;
const ENDPOINT: u8 = 1;
/// When the attempt ended, after the announcements were read for a while.
const LOST_MS: u64 = 10_000;
/// Interval at which announcements are read.
const READ_MS: u64 = 500;

/// What happens behind a lost attempt, and what comes of it.
struct Case {
    name: &'static str,
    /// Answer of the endpoint to each of the checks; the last one is repeated.
    outcomes: &'static [CheckOutcome],
    /// Interval at which the endpoint announces itself; `None` if it does not.
    heartbeat_ms: Option<u64>,
    /// Whether announcements can be read.
    is_readable: bool,
    verdict: CheckVerdict,
    /// Time from the loss to the verdict, at most.
    within_ms: u64,
}

/// Plays a case until its verdict; returns it with the time from the loss.
fn play(case: &Case) -> (CheckVerdict, u64) {
    let mut checks = EndpointChecks::new(SILENCE_MS);
    let mut asked = 0;
    for now_ms in (0..LOST_MS + 20_000).step_by(10) {
        let is_lost = now_ms >= LOST_MS;
        let is_readable = !is_lost || case.is_readable;
        if is_readable && now_ms % READ_MS == 0 {
            checks.record_reading(now_ms);
        }
        let announces = !is_lost || case.heartbeat_ms.is_some();
        let heartbeat_ms = case.heartbeat_ms.unwrap_or(1_200);
        if is_readable && announces && now_ms % heartbeat_ms == 0 {
            checks.record_heard(&ENDPOINT, now_ms);
        }
        if now_ms == LOST_MS {
            checks.schedule(&ENDPOINT, now_ms);
        }
        for endpoint in checks.take_due(now_ms, TIMEOUT_MS) {
            let last = case.outcomes.len() - 1;
            let outcome = case.outcomes[asked.min(last)];
            asked += 1;
            let verdict = checks.record(&endpoint, outcome, now_ms, now_ms);
            if verdict != CheckVerdict::Open {
                return (verdict, now_ms - LOST_MS);
            }
        }
    }
    (CheckVerdict::Open, u64::MAX)
}

#[test]
fn endpoints_count_as_ended_by_what_is_seen_of_them() {
    use CheckOutcome::{Answered, Closed, OtherEndpoint, Refused, Unreachable};
    let ended = CheckVerdict::Ended { by_ms: LOST_MS };
    let cases = [
        Case {
            name: "the address refuses connections",
            outcomes: &[Refused],
            heartbeat_ms: None,
            is_readable: true,
            verdict: ended,
            within_ms: 0,
        },
        Case {
            name: "another endpoint has the address",
            outcomes: &[OtherEndpoint],
            heartbeat_ms: None,
            is_readable: true,
            verdict: ended,
            within_ms: 0,
        },
        Case {
            name: "the address closes connections and the endpoint is silent",
            outcomes: &[Closed],
            heartbeat_ms: None,
            is_readable: true,
            verdict: ended,
            within_ms: SILENCE_MS + 400,
        },
        Case {
            name: "the endpoint is overloaded and closes new connections",
            outcomes: &[Closed],
            heartbeat_ms: Some(1_200),
            is_readable: true,
            verdict: CheckVerdict::Dismissed,
            within_ms: 2 * SILENCE_MS + 400,
        },
        Case {
            name: "announcements can't be read",
            outcomes: &[Closed],
            heartbeat_ms: None,
            is_readable: false,
            verdict: CheckVerdict::Dismissed,
            within_ms: 2 * SILENCE_MS + 400,
        },
        Case {
            name: "only the connection was lost",
            outcomes: &[Answered],
            heartbeat_ms: Some(1_200),
            is_readable: true,
            verdict: CheckVerdict::Dismissed,
            within_ms: 0,
        },
        Case {
            name: "the endpoint is back after closed connections",
            outcomes: &[Closed, Answered],
            heartbeat_ms: None,
            is_readable: true,
            verdict: CheckVerdict::Dismissed,
            within_ms: 400,
        },
        Case {
            name: "the machine is lost or cut off",
            outcomes: &[Unreachable],
            heartbeat_ms: None,
            is_readable: true,
            verdict: CheckVerdict::Dismissed,
            within_ms: 0,
        },
        Case {
            name: "the address refuses connections after it closed some",
            outcomes: &[Closed, Refused],
            heartbeat_ms: Some(1_200),
            is_readable: true,
            verdict: ended,
            within_ms: 400,
        },
    ];
    for case in &cases {
        let (verdict, after_ms) = play(case);
        assert_eq!(verdict, case.verdict, "{}", case.name);
        assert!(after_ms <= case.within_ms, "{}: {after_ms} ms", case.name);
    }
}

/// Guards against concluding from announcements that were not read while this process stood still.
#[test]
fn a_gap_in_reading_is_no_silence_of_an_endpoint() {
    let mut checks = EndpointChecks::new(SILENCE_MS);
    checks.record_reading(0);
    checks.record_heard(&ENDPOINT, 0);
    checks.schedule(&ENDPOINT, 10_000);
    checks.record_reading(10_000);
    for now_ms in [10_000, 10_400] {
        let verdict = checks.record(&ENDPOINT, CheckOutcome::Closed, now_ms, now_ms);
        assert_eq!(verdict, CheckVerdict::Open);
    }
}

/// Guards against asking an endpoint that answers again for each connection that it loses.
#[test]
fn an_endpoint_that_answered_is_not_asked_again_at_once() {
    let mut checks = EndpointChecks::new(SILENCE_MS);
    let mut asked = 0;
    for now_ms in (0..2_000).step_by(10) {
        checks.schedule(&ENDPOINT, now_ms);
        for endpoint in checks.take_due(now_ms, TIMEOUT_MS) {
            asked += 1;
            let verdict = checks.record(&endpoint, CheckOutcome::Answered, now_ms, now_ms);
            assert_eq!(verdict, CheckVerdict::Dismissed);
        }
    }
    assert_eq!(asked, 4);
}

/// Guards against asking an endpoint once for each of many unanswered attempts.
#[test]
fn an_endpoint_is_asked_once_at_the_earliest_time() {
    let mut checks = EndpointChecks::new(SILENCE_MS);
    for due_ms in [300, 100, 200] {
        checks.schedule(&ENDPOINT, due_ms);
    }
    assert_eq!(checks.next_due_ms(), Some(100));
    assert_eq!(checks.take_due(99, TIMEOUT_MS), []);
    assert_eq!(checks.take_due(100, TIMEOUT_MS), [ENDPOINT]);
    assert_eq!(checks.take_due(101, TIMEOUT_MS), []);
}
