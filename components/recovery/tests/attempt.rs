//! Caller side of a call: the outcome after each sequence of events.
#![allow(clippy::panic)] // clippy.toml exempts only test functions, not their helpers.

mod common;

use common::{ID, chunk, end, fail, head, head_frame};
use protocol::Frame;
use recovery::{Attempt, AttemptAction, AttemptEvent, CallEvent};
use types::{Cause, Failure, RunState};

const DEADLINE_MS: u32 = 10_000;
const REATTACH_FOR_MS: u64 = 1_000;

/// The event with this name in a test case. The response consists of a head, the chunks "a"
/// and "bc", and an end.
fn event(name: &str) -> AttemptEvent {
    let id = ID;
    let failed = Failure::new(RunState::Failed, Cause::Internal);
    let frame = match name {
        "connected" => return AttemptEvent::Connected { life: 1 },
        "replaced" => return AttemptEvent::Connected { life: 2 },
        "connect-failed" => return AttemptEvent::ConnectFailed,
        "written" => return AttemptEvent::Written,
        "half-written" => return AttemptEvent::WriteFailed,
        "lost" => return AttemptEvent::LinkLost,
        "due" => return AttemptEvent::Timer { withdrawn: false },
        "due-withdrawn" => return AttemptEvent::Timer { withdrawn: true },
        "cancel" => return AttemptEvent::Cancel { withdrawn: false },
        "accepted" => Frame::Accepted { id },
        "started" => Frame::Started { id },
        "unattached" => Frame::Unattached { id },
        "refused" => fail(Failure::not_run(Cause::Leaving)),
        "failed" => fail(failed),
        "head" => head_frame(),
        "one" => chunk(1, b"a"),
        "two" => chunk(2, b"bc"),
        "end" => end(3, 3),
        "end-short" => end(2, 2),
        "end-long" => end(3, 4),
        "end-empty" => end(0, 0),
        other => panic!("unknown event name in a test case: {other}"),
    };
    AttemptEvent::Frame(frame)
}

/// Passes the named events to a new call, 10 ms apart, and returns all actions.
fn run(names: &str) -> Vec<AttemptAction> {
    let mut attempt = Attempt::new(ID, 0, DEADLINE_MS, REATTACH_FOR_MS);
    let mut actions = Vec::new();
    for (index, name) in names.split(' ').enumerate() {
        let due_ms = if name.starts_with("due") {
            attempt.wake_at_ms()
        } else {
            0
        };
        attempt.handle(event(name), due_ms.max(10 * index as u64), &mut actions);
    }
    actions
}

fn delivered(actions: &[AttemptAction]) -> Vec<CallEvent> {
    let event = |action: &AttemptAction| match action {
        AttemptAction::Deliver(event) => Some(event.clone()),
        _ => None,
    };
    actions.iter().filter_map(event).collect()
}

struct FailureCase {
    name: &'static str,
    events: &'static str,
    run: RunState,
    cause: Cause,
}

// A fault at each step of a call. If the caller got `NotRun` for a call that may have run, it
// would send the call again and the call would run twice. `NotRun` is correct only if the
// callee refused the call or cannot have received the whole request.
#[test]
fn errors_with_the_run_state_that_is_proven() {
    use Cause::{Cancelled, DeadlinePassed, Internal, Leaving, LinkLost, Truncated};
    use RunState::{Failed, NotRun, Unknown};
    let case = |name, events, run, cause| FailureCase {
        name,
        events,
        run,
        cause,
    };
    let cases = [
        case("never connected", "connect-failed", NotRun, LinkLost),
        case(
            "deadline before a connection",
            "due",
            NotRun,
            DeadlinePassed,
        ),
        case("cancelled before a connection", "cancel", NotRun, Cancelled),
        case(
            "withdrawn before the write",
            "connected due-withdrawn",
            NotRun,
            DeadlinePassed,
        ),
        case(
            "deadline while the write is in progress",
            "connected due",
            Unknown,
            DeadlinePassed,
        ),
        case(
            "partial write, then no connection",
            "connected half-written connect-failed",
            NotRun,
            LinkLost,
        ),
        case(
            "partial write, then the deadline",
            "connected half-written due",
            NotRun,
            DeadlinePassed,
        ),
        case(
            "lost before the writer reported",
            "connected lost due",
            Unknown,
            LinkLost,
        ),
        case(
            "sent, then no connection",
            "connected written lost due",
            Unknown,
            LinkLost,
        ),
        case(
            "sent, then the callee restarted",
            "connected written lost replaced",
            Unknown,
            LinkLost,
        ),
        case(
            "accepted, then no connection",
            "connected accepted lost connect-failed due",
            Unknown,
            LinkLost,
        ),
        case(
            "accepted before the writer reported",
            "connected accepted half-written due",
            Unknown,
            LinkLost,
        ),
        case(
            "refused before acceptance",
            "connected written refused",
            NotRun,
            Leaving,
        ),
        case(
            "refused after acceptance",
            "connected accepted refused",
            NotRun,
            Leaving,
        ),
        case(
            "refused after the start",
            "connected started refused",
            Unknown,
            Leaving,
        ),
        case(
            "call unknown to the callee, then no connection",
            "connected written lost connected unattached half-written connect-failed",
            NotRun,
            LinkLost,
        ),
        case(
            "duplicate reply that the call is unknown",
            "connected written lost connected unattached written unattached half-written due",
            Unknown,
            LinkLost,
        ),
        case(
            "accepted, then unknown to the callee",
            "connected accepted lost connected unattached",
            Unknown,
            LinkLost,
        ),
        case(
            "unsolicited reply that the call is unknown",
            "connected written unattached due",
            Unknown,
            DeadlinePassed,
        ),
        case(
            "a later part before the writer reported",
            "connected two half-written connect-failed due",
            Unknown,
            LinkLost,
        ),
        case(
            "lost during the response",
            "connected head lost due",
            Unknown,
            LinkLost,
        ),
        case(
            "bytes missing",
            "connected head one two end-long",
            Failed,
            Truncated,
        ),
        case(
            "more parts than stated",
            "connected head one two end-short",
            Failed,
            Truncated,
        ),
        case(
            "end without a head",
            "connected end-empty",
            Failed,
            Truncated,
        ),
        case(
            "failed after the start",
            "connected started failed",
            Failed,
            Internal,
        ),
        case(
            "cancelled while running",
            "connected started cancel",
            Unknown,
            Cancelled,
        ),
    ];
    for case in cases {
        let expected = CallEvent::Failed(Failure::new(case.run, case.cause));
        let got = delivered(&run(case.events)).pop();
        assert_eq!(got, Some(expected), "{}", case.name);
    }
}

struct CompleteCase {
    name: &'static str,
    events: &'static str,
}

// Parts arrive late, in the wrong order or as duplicates, also after a reconnect. The caller
// must receive each part of the response once and in order.
#[test]
fn can_assemble_a_complete_response() {
    let case = |name, events| CompleteCase { name, events };
    let cases = [
        case("in order", "connected head one two end"),
        case(
            "duplicate parts",
            "connected head head one one two one end end",
        ),
        case("a part missing at first", "connected head two one two end"),
        case("end before the last part", "connected head one end two end"),
        case(
            "lost before the writer reported",
            "connected lost connected unattached written head one two end",
        ),
        case(
            "acceptance after the head",
            "connected head accepted one two end",
        ),
        case(
            "lost during the response",
            "connected head one lost connected one two end",
        ),
        case(
            "lost before the end",
            "connected head one two lost connected started end",
        ),
        case(
            "a frame received after the connection was lost",
            "connected head lost one connected one two end",
        ),
        case(
            "lost after the write",
            "connected written lost connected unattached written head one two end",
        ),
    ];
    for case in cases {
        let actions = run(case.events);
        let expected = [
            CallEvent::Started,
            CallEvent::Head(head()),
            CallEvent::Chunk(b"a"[..].into()),
            CallEvent::Chunk(b"bc"[..].into()),
            CallEvent::End,
        ];
        assert_eq!(delivered(&actions), expected, "{}", case.name);
        let forget = AttemptAction::Send(Frame::Forget { id: ID });
        assert!(actions.contains(&forget), "{}", case.name);
    }
}

#[test]
fn can_request_parts_again_from_the_first_missing_one() {
    let attach = |next_part| AttemptAction::Send(Frame::Attach { id: ID, next_part });
    let gap = run("connected head two two");
    assert_eq!(gap.iter().filter(|&action| *action == attach(1)).count(), 1);
    let lost = run("connected head one lost connected");
    assert_eq!(lost.last(), Some(&attach(2)));
}

#[test]
fn can_send_the_time_left_until_the_deadline() {
    let mut attempt = Attempt::new(ID, 0, DEADLINE_MS, REATTACH_FOR_MS);
    let mut actions = Vec::new();
    attempt.handle(event("connected"), 4_000, &mut actions);
    assert_eq!(
        actions,
        [AttemptAction::SendOpen {
            deadline_left_ms: 6_000
        }]
    );
}
