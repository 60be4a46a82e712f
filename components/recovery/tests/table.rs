//! Callee side of calls: the table's actions after each event.
#![allow(clippy::unwrap_used)] // clippy.toml exempts only test functions, not their helpers.

mod common;

use bytes::Bytes;
use common::{CALLER_BOOT, ID, chunk, end, fail, head, head_frame, open, open_frame, settings};
use protocol::{Frame, Open};
use recovery::{CallTable, TableAction, TableSettings, part_cost_bytes};
use types::{CallId, Cause, CustomerName, Failure, RunState};

const RESPONSE_DISCARDED: Failure = Failure {
    run: RunState::Unknown,
    cause: Cause::LinkLost,
    retry_after_ms: None,
};

struct World {
    table: CallTable,
    now_ms: u64,
}

impl World {
    fn new(table_settings: TableSettings) -> Self {
        let mut world = Self {
            table: CallTable::new(table_settings),
            now_ms: 0,
        };
        world.connect(1);
        world
    }

    fn connect(&mut self, connection: u64) -> Vec<TableAction> {
        let now_ms = self.now_ms;
        self.act(|table, actions| table.add_connection(connection, CALLER_BOOT, now_ms, actions))
    }

    fn receive(&mut self, connection: u64, frame: Frame) -> Vec<TableAction> {
        let now_ms = self.now_ms;
        self.act(|table, actions| table.handle_frame(connection, frame, now_ms, now_ms, actions))
    }

    fn advance(&mut self, passed_ms: u64) -> Vec<TableAction> {
        self.now_ms += passed_ms;
        let now_ms = self.now_ms;
        self.act(|table, actions| table.tick(now_ms, actions))
    }

    fn start_response(&mut self) {
        self.act(|table, actions| {
            table.mark_started(ID, actions);
            table.send_head(ID, head(), actions);
            table.send_chunk(ID, Bytes::from_static(b"ab"), actions);
        });
    }

    fn finish(&mut self) -> Vec<TableAction> {
        let now_ms = self.now_ms;
        self.act(|table, actions| table.finish(ID, now_ms, actions))
    }

    fn act(&mut self, act: impl FnOnce(&mut CallTable, &mut Vec<TableAction>)) -> Vec<TableAction> {
        let mut actions = Vec::new();
        act(&mut self.table, &mut actions);
        actions
    }
}

fn send(connection: u64, frame: Frame) -> TableAction {
    TableAction::Send { connection, frame }
}

fn attach(next_part: u32) -> Frame {
    Frame::Attach { id: ID, next_part }
}

fn runs(actions: &[TableAction]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, TableAction::Run { .. }))
        .count()
}

#[test]
fn can_run_a_call_once_when_its_open_is_duplicated() {
    let mut world = World::new(settings());
    assert_eq!(runs(&world.receive(1, open_frame(false))), 1);
    assert_eq!(runs(&world.receive(1, open_frame(false))), 0);
    world.connect(2);
    assert_eq!(runs(&world.receive(2, open_frame(false))), 0);
    world.start_response();
    world.finish();
    assert_eq!(runs(&world.receive(2, open_frame(false))), 0);
    world.receive(2, Frame::Forget { id: ID });
    assert!(world.table.is_empty());
    assert_eq!(
        world.receive(2, open_frame(false)),
        [send(2, fail(RESPONSE_DISCARDED))]
    );
}

// The caller reconnects during the response. A part that is not sent again would leave a gap
// in the response, so the callee sends all parts from the requested one on.
#[test]
fn can_resend_the_rest_of_a_response() {
    let frames = [head_frame(), chunk(1, b"ab"), end(2, 2)];
    for next_part in 0..=3 {
        let mut world = World::new(settings());
        world.receive(1, open_frame(false));
        world.start_response();
        world.table.remove_connection(1, 0);
        assert_eq!(world.finish(), []);
        world.connect(2);
        let beyond_the_end = [fail(RESPONSE_DISCARDED)];
        let rest = frames.get(next_part..).filter(|rest| !rest.is_empty());
        let rest = rest.unwrap_or(&beyond_the_end).iter().cloned();
        let expected = [Frame::Started { id: ID }].into_iter().chain(rest);
        let expected: Vec<_> = expected.map(|frame| send(2, frame)).collect();
        assert_eq!(
            world.receive(2, attach(next_part as u32)),
            expected,
            "from part {next_part}"
        );
    }
}

#[test]
fn can_distinguish_a_removed_call_from_one_never_received() {
    let mut world = World::new(settings());
    let unattached = |id| Frame::Unattached { id };
    assert_eq!(world.receive(1, attach(0)), [send(1, unattached(ID))]);
    world.receive(1, open_frame(false));
    world.start_response();
    world.finish();
    let dropped = world.advance(settings().retention_ms);
    assert_eq!(dropped, [TableAction::Drop { id: ID }]);
    let id_at = |counter| CallId { counter, ..ID };
    let gone = |id| Frame::Fail {
        id,
        failure: RESPONSE_DISCARDED,
    };
    let later = id_at(ID.counter + 1);
    let earlier = id_at(ID.counter - 1);
    for (id, expected) in [
        (ID, gone(ID)),
        (earlier, gone(earlier)),
        (later, unattached(later)),
    ] {
        let asked = world.receive(1, Frame::Attach { id, next_part: 0 });
        assert_eq!(asked, [send(1, expected)]);
    }
}

#[test]
fn can_replace_not_run_by_unknown_once_a_call_has_started() {
    let mut world = World::new(settings());
    world.receive(1, open_frame(false));
    world.act(|table, actions| table.mark_started(ID, actions));
    let refused = Failure::not_run(Cause::Leaving);
    let failed = world.act(|table, actions| table.fail(ID, refused, 0, actions));
    let expected = Failure::new(RunState::Unknown, Cause::Leaving);
    assert_eq!(failed, [send(1, fail(expected))]);
}

// A delayed `Open` arrives on the older connection after the caller reconnected. The callee
// may have replied since that the call is unknown, so it must not start the call.
#[test]
fn can_ignore_frames_on_an_older_connection() {
    let mut world = World::new(settings());
    assert_eq!(world.connect(2), [TableAction::Close { connection: 1 }]);
    assert_eq!(world.receive(1, open_frame(false)), []);
    assert!(world.table.is_empty());
}

struct Refusal {
    name: &'static str,
    cause: Cause,
    prepare: fn(&mut World, &mut Open),
}

#[test]
fn errors_with_not_run_when_a_call_is_refused() {
    fn fill(world: &mut World, refused_open: &mut Open) {
        for counter in 100..104 {
            let id = CallId { counter, ..ID };
            let other = Open {
                id,
                ..refused_open.clone()
            };
            world.receive(1, Frame::Open(Box::new(other)));
        }
    }
    let case = |name, cause, prepare| Refusal {
        name,
        cause,
        prepare,
    };
    let cases = [
        case("deadline passed", Cause::DeadlinePassed, |_, open| {
            open.deadline_left_ms = 0
        }),
        case("draining", Cause::Leaving, |world, _| {
            world.table.start_draining()
        }),
        case("too many calls", Cause::QueueFull, fill),
        case("too many bytes", Cause::QueueFull, |_, open| {
            open.body = vec![0; 20_000].into()
        }),
    ];
    for case in cases {
        let mut world = World::new(settings());
        let mut refused_open = open(true);
        (case.prepare)(&mut world, &mut refused_open);
        let refused = world.receive(1, Frame::Open(Box::new(refused_open)));
        let retry_after_ms = (case.cause == Cause::QueueFull).then_some(1_000);
        let failure = Failure {
            retry_after_ms,
            ..Failure::not_run(case.cause)
        };
        assert_eq!(refused, [send(1, fail(failure))], "{}", case.name);
        assert_eq!(
            world.receive(1, attach(0)),
            refused,
            "{}: attached",
            case.name
        );
        assert_eq!(
            world.receive(1, open_frame(true)),
            refused,
            "{}: duplicate open",
            case.name
        );
    }
}

// The callee's process was frozen between reading a call and processing it, and the call's
// deadline has passed. If the call still started, it would run although its caller no longer waits.
#[test]
fn errors_with_not_run_when_the_deadline_passed_before_processing() {
    let mut world = World::new(settings());
    let late =
        world.act(|table, actions| table.handle_frame(1, open_frame(false), 0, 20_000, actions));
    assert_eq!(
        late,
        [send(1, fail(Failure::not_run(Cause::DeadlinePassed)))]
    );
}

struct GraceCase {
    name: &'static str,
    idempotent: bool,
    expected: TableAction,
}

// The caller stays disconnected for longer than the grace period. An idempotent call is
// cancelled, because the caller can repeat it; any other call must run to its end and must not
// wait for a send window that nobody enlarges.
#[test]
fn can_cancel_or_unblock_calls_after_the_grace_period() {
    let case = |name, idempotent, expected| GraceCase {
        name,
        idempotent,
        expected,
    };
    let cases = [
        case("idempotent", true, TableAction::Cancel { id: ID }),
        case("not idempotent", false, TableAction::Unblock { id: ID }),
    ];
    for case in cases {
        let mut world = World::new(settings());
        world.receive(1, open_frame(case.idempotent));
        world.start_response();
        world.table.remove_connection(1, 0);
        assert_eq!(world.advance(settings().grace_ms - 1), [], "{}", case.name);
        assert_eq!(world.advance(1), [case.expected], "{}", case.name);
        assert_eq!(world.advance(1), [], "{}", case.name);
        world.finish();
        world.connect(2);
        let answer = world.receive(2, attach(2));
        let ended = answer.contains(&send(2, end(2, 2)));
        assert_eq!(ended, !case.idempotent, "{}: {answer:?}", case.name);
    }
}

// A call continues without its caller, and nobody acknowledges its response. The stored parts
// would fill the memory, so they are discarded above the limit, and a caller that reconnects
// receives a failure.
#[test]
fn can_discard_a_response_that_no_caller_acknowledges() {
    let mut world = World::new(settings());
    world.receive(1, open_frame(false));
    world.start_response();
    world.table.remove_connection(1, 0);
    world.advance(settings().grace_ms);
    for _ in 0..20 {
        let bytes = Bytes::from(vec![0; 1_000]);
        world.act(|table, actions| table.send_chunk(ID, bytes, actions));
        assert!(world.table.held_bytes() <= settings().held_bytes_max);
    }
    world.finish();
    world.connect(2);
    let last = world.receive(2, attach(2)).pop();
    assert_eq!(last, Some(send(2, fail(RESPONSE_DISCARDED))));
}

#[test]
fn can_enlarge_the_window_and_free_memory_on_acknowledgement() {
    let mut world = World::new(settings());
    world.receive(1, open_frame(false));
    world.start_response();
    let received = Frame::Received {
        id: ID,
        next_part: 2,
    };
    let bytes = part_cost_bytes(0) + part_cost_bytes(2);
    assert_eq!(
        world.receive(1, received.clone()),
        [TableAction::Credit { id: ID, bytes }]
    );
    assert_eq!(world.receive(1, received), []);
    world.finish();
    assert_eq!(world.table.held_bytes(), 0);
}

#[test]
fn can_cancel_and_remove_a_call() {
    let mut world = World::new(settings());
    world.receive(1, open_frame(false));
    assert_eq!(
        world.receive(1, Frame::Cancel { id: ID }),
        [TableAction::Cancel { id: ID }]
    );
    assert_eq!(world.receive(1, Frame::Cancel { id: ID }), []);
    let ended = world.act(|table, actions| table.abandon(ID, 0, actions));
    assert_eq!(ended.last(), Some(&TableAction::Drop { id: ID }));
    assert!(world.table.is_empty());
    assert_eq!(world.table.held_bytes(), 0);
}

struct LoadCase {
    name: &'static str,
    body_bytes: usize,
}

fn open_of(customer: &str, counter: u64, body_bytes: usize) -> Frame {
    Frame::Open(Box::new(Open {
        id: CallId { counter, ..ID },
        customer: CustomerName::new(customer).unwrap(),
        body: Bytes::from(vec![0; body_bytes]),
        ..open(false)
    }))
}

// One customer sends slow calls, many of them or with large bodies, until it is refused.
// Without a limit for each customer it would fill the table, and this process would refuse
// every other customer with `queue-full`. A call of the next customer must still be accepted.
#[test]
fn can_accept_a_call_of_another_customer_when_one_has_used_its_share() {
    let cases = [
        LoadCase {
            name: "many calls",
            body_bytes: 0,
        },
        LoadCase {
            name: "large bodies",
            body_bytes: settings().held_bytes_max / 16,
        },
    ];
    for case in cases {
        let mut world = World::new(TableSettings {
            calls_max: 64,
            ..settings()
        });
        let mut accepted = 0;
        while runs(&world.receive(1, open_of("collective", accepted, case.body_bytes))) == 1 {
            accepted += 1;
        }
        assert!(accepted >= 8, "{}: {accepted} calls accepted", case.name);
        let next = world.receive(1, open_of("office", 1_000, case.body_bytes));
        assert_eq!(runs(&next), 1, "{}", case.name);
    }
}
