//! The caller's side of a call, step by step.
#![allow(clippy::panic)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use common::{ID, chunk, end, fail, head, head_frame};
use protocol::Frame;
use recovery::{Attempt, AttemptAction, AttemptEvent, CallEvent};
use types::{Cause, Failure, RunState};

const DEADLINE_MS: u32 = 10_000;
const REATTACH_FOR_MS: u64 = 1_000;

/// The event that a word of a case stands for. The answer has a head, the chunks "a" and
/// "bc", and an end.
fn event(word: &str) -> AttemptEvent {
    let id = ID;
    let failed = Failure::new(RunState::Failed, Cause::Internal);
    let frame = match word {
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
        other => panic!("no event is called {other}"),
    };
    AttemptEvent::Frame(frame)
}

/// Runs the events, 10 ms apart, and gives all actions.
fn run(words: &str) -> Vec<AttemptAction> {
    let mut attempt = Attempt::new(ID, 0, DEADLINE_MS, REATTACH_FOR_MS);
    let mut actions = Vec::new();
    for (index, word) in words.split(' ').enumerate() {
        let due_ms = if word.starts_with("due") {
            attempt.wake_at_ms()
        } else {
            0
        };
        attempt.handle(event(word), due_ms.max(10 * index as u64), &mut actions);
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

struct Ending {
    name: &'static str,
    events: &'static str,
    run: RunState,
    cause: Cause,
}

// The caller sees how a call ended that met a fault at each of its steps. "Not run" comes
// only where the callee cannot have had the whole request, or refused it.
#[test]
fn errors_with_the_state_that_is_proved() {
    use Cause::{Cancelled, DeadlinePassed, Internal, Leaving, LinkLost, Truncated};
    use RunState::{Failed, NotRun, Unknown};
    let case = |name, events, run, cause| Ending {
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
        case("cancelled before", "cancel", NotRun, Cancelled),
        case(
            "taken back",
            "connected due-withdrawn",
            NotRun,
            DeadlinePassed,
        ),
        case("not taken back", "connected due", Unknown, DeadlinePassed),
        case(
            "half a frame",
            "connected half-written connect-failed",
            NotRun,
            LinkLost,
        ),
        case(
            "half a frame, late",
            "connected half-written due",
            NotRun,
            DeadlinePassed,
        ),
        case(
            "no word of the write",
            "connected lost due",
            Unknown,
            LinkLost,
        ),
        case("sent", "connected written lost due", Unknown, LinkLost),
        case(
            "sent, replaced",
            "connected written lost replaced",
            Unknown,
            LinkLost,
        ),
        case(
            "accepted",
            "connected accepted lost connect-failed due",
            Unknown,
            LinkLost,
        ),
        case(
            "answer first",
            "connected accepted half-written due",
            Unknown,
            LinkLost,
        ),
        case("refused", "connected written refused", NotRun, Leaving),
        case(
            "refused late",
            "connected accepted refused",
            NotRun,
            Leaving,
        ),
        case(
            "refused too late",
            "connected started refused",
            Unknown,
            Leaving,
        ),
        case(
            "not known, and no connection again",
            "connected written lost connected unattached half-written connect-failed",
            NotRun,
            LinkLost,
        ),
        case(
            "not known, said twice",
            "connected written lost connected unattached written unattached half-written due",
            Unknown,
            LinkLost,
        ),
        case(
            "not known any more",
            "connected accepted lost connected unattached",
            Unknown,
            LinkLost,
        ),
        case(
            "not asked for",
            "connected written unattached due",
            Unknown,
            DeadlinePassed,
        ),
        case(
            "a gap before the write's word",
            "connected two half-written connect-failed due",
            Unknown,
            LinkLost,
        ),
        case(
            "half an answer",
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
            "parts too many",
            "connected head one two end-short",
            Failed,
            Truncated,
        ),
        case("no head", "connected end-empty", Failed, Truncated),
        case(
            "failed after running",
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

struct Whole {
    name: &'static str,
    events: &'static str,
}

// The caller sees a whole answer once, whatever order or number the parts come in.
#[test]
fn can_put_a_whole_answer_together() {
    let case = |name, events| Whole { name, events };
    let cases = [
        case("in order", "connected head one two end"),
        case("doubled", "connected head head one one two one end end"),
        case("a gap", "connected head two one two end"),
        case("an early end", "connected head one end two end"),
        case(
            "no word",
            "connected lost connected unattached written head one two end",
        ),
        case("a late acceptance", "connected head accepted one two end"),
        case(
            "lost in the middle",
            "connected head one lost connected one two end",
        ),
        case(
            "lost before the end",
            "connected head one two lost connected started end",
        ),
        case(
            "frames of no connection",
            "connected head lost one connected one two end",
        ),
        case(
            "lost",
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
fn can_ask_again_from_the_first_missing_part() {
    let attach = |next_part| AttemptAction::Send(Frame::Attach { id: ID, next_part });
    let gap = run("connected head two two");
    assert_eq!(gap.iter().filter(|&action| *action == attach(1)).count(), 1);
    let lost = run("connected head one lost connected");
    assert_eq!(lost.last(), Some(&attach(2)));
}

#[test]
fn can_send_the_time_that_is_left() {
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
