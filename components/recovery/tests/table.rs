//! The callee's side of calls, step by step.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use bytes::Bytes;
use common::{CALLER, ID, chunk, end, fail, head, head_frame, limits, open, open_frame};
use protocol::{Frame, Open};
use recovery::{CallTable, TableAction, TableSettings, part_cost_bytes};
use types::{CallId, Cause, CustomerName, Failure, RunState};

const GONE: Failure = Failure {
    run: RunState::Unknown,
    cause: Cause::LinkLost,
    retry_after_ms: None,
};

struct World {
    table: CallTable,
    now_ms: u64,
}

impl World {
    fn new(settings: TableSettings) -> Self {
        let mut world = Self {
            table: CallTable::new(settings),
            now_ms: 0,
        };
        world.connect(1);
        world
    }

    fn connect(&mut self, connection: u64) -> Vec<TableAction> {
        let now_ms = self.now_ms;
        self.act(|table, actions| table.add_connection(connection, CALLER, now_ms, actions))
    }

    fn get(&mut self, connection: u64, frame: Frame) -> Vec<TableAction> {
        let now_ms = self.now_ms;
        self.act(|table, actions| table.handle_frame(connection, frame, now_ms, now_ms, actions))
    }

    fn after(&mut self, passed_ms: u64) -> Vec<TableAction> {
        self.now_ms += passed_ms;
        let now_ms = self.now_ms;
        self.act(|table, actions| table.tick(now_ms, actions))
    }

    fn answer(&mut self) {
        self.act(|table, actions| {
            table.mark_started(ID, actions);
            table.send_head(ID, head(), actions);
            table.send_chunk(ID, Bytes::from_static(b"ab"), actions);
        });
    }

    fn end(&mut self) -> Vec<TableAction> {
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
fn can_run_a_call_once_however_often_it_comes() {
    let mut world = World::new(limits());
    assert_eq!(runs(&world.get(1, open_frame(false))), 1);
    assert_eq!(runs(&world.get(1, open_frame(false))), 0);
    world.connect(2);
    assert_eq!(runs(&world.get(2, open_frame(false))), 0);
    world.answer();
    world.end();
    assert_eq!(runs(&world.get(2, open_frame(false))), 0);
    world.get(2, Frame::Forget { id: ID });
    assert!(world.table.is_empty());
    assert_eq!(world.get(2, open_frame(false)), [send(2, fail(GONE))]);
}

// The caller comes back on another connection and gets what it misses, from the part it
// asks for to the end.
#[test]
fn can_give_the_rest_of_an_answer() {
    let whole = [head_frame(), chunk(1, b"ab"), end(2, 2)];
    for next_part in 0..=3 {
        let mut world = World::new(limits());
        world.get(1, open_frame(false));
        world.answer();
        world.table.remove_connection(1, 0);
        assert_eq!(world.end(), []);
        world.connect(2);
        let more_than_there_is = [fail(GONE)];
        let rest = whole.get(next_part..).filter(|rest| !rest.is_empty());
        let rest = rest.unwrap_or(&more_than_there_is).iter().cloned();
        let expected = [Frame::Started { id: ID }].into_iter().chain(rest);
        let expected: Vec<_> = expected.map(|frame| send(2, frame)).collect();
        assert_eq!(
            world.get(2, attach(next_part as u32)),
            expected,
            "from {next_part}"
        );
    }
}

#[test]
fn can_tell_a_call_it_never_had_from_one_it_dropped() {
    let mut world = World::new(limits());
    let unattached = |id| Frame::Unattached { id };
    assert_eq!(world.get(1, attach(0)), [send(1, unattached(ID))]);
    world.get(1, open_frame(false));
    world.answer();
    world.end();
    let dropped = world.after(limits().retention_ms);
    assert_eq!(dropped, [TableAction::Drop { id: ID }]);
    let id_at = |counter| CallId { counter, ..ID };
    let gone = |id| Frame::Fail { id, failure: GONE };
    let later = id_at(ID.counter + 1);
    let earlier = id_at(ID.counter - 1);
    for (id, expected) in [
        (ID, gone(ID)),
        (earlier, gone(earlier)),
        (later, unattached(later)),
    ] {
        let asked = world.get(1, Frame::Attach { id, next_part: 0 });
        assert_eq!(asked, [send(1, expected)]);
    }
}

#[test]
fn can_leave_out_not_run_once_a_call_was_started() {
    let mut world = World::new(limits());
    world.get(1, open_frame(false));
    world.act(|table, actions| table.mark_started(ID, actions));
    let refused = Failure::not_run(Cause::Leaving);
    let failed = world.act(|table, actions| table.fail(ID, refused, 0, actions));
    let expected = Failure::new(RunState::Unknown, Cause::Leaving);
    assert_eq!(failed, [send(1, fail(expected))]);
}

// The caller has a new connection; what still comes on the older one, which may have been
// held up somewhere, must not start anything.
#[test]
fn can_leave_out_what_comes_on_an_older_connection() {
    let mut world = World::new(limits());
    assert_eq!(world.connect(2), [TableAction::Close { connection: 1 }]);
    assert_eq!(world.get(1, open_frame(false)), []);
    assert!(world.table.is_empty());
}

struct Refusal {
    name: &'static str,
    cause: Cause,
    prepare: fn(&mut World, &mut Open),
}

#[test]
fn errors_as_not_run_when_a_call_cannot_be_taken() {
    fn fill(world: &mut World, wanted: &mut Open) {
        for counter in 100..104 {
            let id = CallId { counter, ..ID };
            let other = Open {
                id,
                ..wanted.clone()
            };
            world.get(1, Frame::Open(Box::new(other)));
        }
    }
    let case = |name, cause, prepare| Refusal {
        name,
        cause,
        prepare,
    };
    let cases = [
        case("late", Cause::DeadlinePassed, |_, open| {
            open.deadline_left_ms = 0
        }),
        case("leaving", Cause::Leaving, |world, _| {
            world.table.start_draining()
        }),
        case("too many calls", Cause::QueueFull, fill),
        case("too many bytes", Cause::QueueFull, |_, open| {
            open.body = vec![0; 20_000].into()
        }),
    ];
    for case in cases {
        let mut world = World::new(limits());
        let mut wanted = open(true);
        (case.prepare)(&mut world, &mut wanted);
        let refused = world.get(1, Frame::Open(Box::new(wanted)));
        let retry_after_ms = (case.cause == Cause::QueueFull).then_some(1_000);
        let failure = Failure {
            retry_after_ms,
            ..Failure::not_run(case.cause)
        };
        assert_eq!(refused, [send(1, fail(failure))], "{}", case.name);
        assert_eq!(
            world.get(1, attach(0)),
            refused,
            "{}: asked again",
            case.name
        );
        assert_eq!(
            world.get(1, open_frame(true)),
            refused,
            "{}: doubled",
            case.name
        );
    }
}

// A call waited in the callee longer than its caller does, because the process was frozen.
#[test]
fn errors_as_not_run_when_a_call_waited_too_long() {
    let mut world = World::new(limits());
    let late =
        world.act(|table, actions| table.handle_frame(1, open_frame(false), 0, 20_000, actions));
    assert_eq!(
        late,
        [send(1, fail(Failure::not_run(Cause::DeadlinePassed)))]
    );
}

struct Away {
    name: &'static str,
    idempotent: bool,
    expected: TableAction,
}

// The caller's connection is gone for longer than the grace time.
#[test]
fn can_end_what_nobody_waits_for() {
    let case = |name, idempotent, expected| Away {
        name,
        idempotent,
        expected,
    };
    let cases = [
        case("idempotent", true, TableAction::Cancel { id: ID }),
        case("once only", false, TableAction::Unblock { id: ID }),
    ];
    for case in cases {
        let mut world = World::new(limits());
        world.get(1, open_frame(case.idempotent));
        world.answer();
        world.table.remove_connection(1, 0);
        assert_eq!(world.after(limits().grace_ms - 1), [], "{}", case.name);
        assert_eq!(world.after(1), [case.expected], "{}", case.name);
        assert_eq!(world.after(1), [], "{}", case.name);
        world.end();
        world.connect(2);
        let answer = world.get(2, attach(2));
        let ended = answer.contains(&send(2, end(2, 2)));
        assert_eq!(ended, !case.idempotent, "{}: {answer:?}", case.name);
    }
}

// An answer that nobody fetches must not fill the memory: it is dropped beyond the bound,
// and the caller that comes back hears so.
#[test]
fn can_drop_the_answer_that_nobody_fetches() {
    let mut world = World::new(limits());
    world.get(1, open_frame(false));
    world.answer();
    world.table.remove_connection(1, 0);
    world.after(limits().grace_ms);
    for _ in 0..20 {
        let bytes = Bytes::from(vec![0; 1_000]);
        world.act(|table, actions| table.send_chunk(ID, bytes, actions));
        assert!(world.table.held_bytes() <= limits().held_bytes_max);
    }
    world.end();
    world.connect(2);
    let last = world.get(2, attach(2)).pop();
    assert_eq!(last, Some(send(2, fail(GONE))));
}

#[test]
fn can_open_the_window_and_free_the_memory() {
    let mut world = World::new(limits());
    world.get(1, open_frame(false));
    world.answer();
    let received = Frame::Received {
        id: ID,
        next_part: 2,
    };
    let bytes = part_cost_bytes(0) + part_cost_bytes(2);
    assert_eq!(
        world.get(1, received.clone()),
        [TableAction::Credit { id: ID, bytes }]
    );
    assert_eq!(world.get(1, received), []);
    world.end();
    assert_eq!(world.table.held_bytes(), 0);
}

#[test]
fn can_cancel_and_forget() {
    let mut world = World::new(limits());
    world.get(1, open_frame(false));
    assert_eq!(
        world.get(1, Frame::Cancel { id: ID }),
        [TableAction::Cancel { id: ID }]
    );
    assert_eq!(world.get(1, Frame::Cancel { id: ID }), []);
    let ended = world.act(|table, actions| table.abandon(ID, 0, actions));
    assert_eq!(ended.last(), Some(&TableAction::Drop { id: ID }));
    assert!(world.table.is_empty());
    assert_eq!(world.table.held_bytes(), 0);
}

struct Crowd {
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

// One customer sends calls that take long, many of them or with large bodies, until it is
// refused. The next customer's call must still be taken: without a share for each customer
// the first one fills the table, and everybody else hears `queue-full` from this process.
#[test]
fn can_take_a_call_of_the_next_customer_when_one_has_all_it_may_hold() {
    let cases = [
        Crowd {
            name: "many calls",
            body_bytes: 0,
        },
        Crowd {
            name: "large bodies",
            body_bytes: limits().held_bytes_max / 16,
        },
    ];
    for case in cases {
        let mut world = World::new(TableSettings {
            calls_max: 64,
            ..limits()
        });
        let mut taken = 0;
        while runs(&world.get(1, open_of("collective", taken, case.body_bytes))) == 1 {
            taken += 1;
        }
        assert!(taken >= 8, "{}: {taken}", case.name);
        let next = world.get(1, open_of("office", 1_000, case.body_bytes));
        assert_eq!(runs(&next), 1, "{}", case.name);
    }
}
