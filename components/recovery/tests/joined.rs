//! Caller and callee side of a call, connected by pipes that lose, duplicate and reorder frames
//! and cut connections, under random sequences of events.

mod common;

use bytes::Bytes;
use common::{CALLER_BOOT, ID, head, open, settings};
use protocol::{Frame, Open};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use recovery::{Attempt, AttemptAction, AttemptEvent, CallEvent, CallTable, TableAction};
use types::RunState;

const CHUNKS: [&[u8]; 3] = [b"one", b"two", b"three"];
const DEADLINE_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Connect,
    ConnectFails,
    WriteComplete,
    WritePartial,
    Cut,
    CalleeSeesCut,
    CalleeRestarts,
    ToCallee(Fate, u8),
    ToCaller(Fate, u8),
    RunHandler,
    HandlerDropped,
    AdvanceTime(u16),
    Cancel,
}

/// What happens to one frame of a pipe.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Delivered,
    Duplicated,
    Lost,
}

const FATES: [Fate; 4] = [
    Fate::Delivered,
    Fate::Delivered,
    Fate::Duplicated,
    Fate::Lost,
];

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = u8::arbitrary(g) % 4;
        let fate = g.choose(&FATES).copied();
        let fate = fate.unwrap_or(Fate::Delivered);
        match u8::arbitrary(g) % 32 {
            0..=3 => Step::Connect,
            4 => Step::ConnectFails,
            5..=8 => Step::WriteComplete,
            9 => Step::WritePartial,
            10 | 11 => Step::Cut,
            12 => Step::CalleeSeesCut,
            13 if at == 0 => Step::CalleeRestarts,
            14..=19 => Step::ToCallee(fate, at),
            20..=24 => Step::ToCaller(fate, at),
            25..=29 => Step::RunHandler,
            30 if at == 0 => Step::HandlerDropped,
            31 if at == 0 => Step::Cancel,
            _ => Step::AdvanceTime(u16::arbitrary(g) % 1_500),
        }
    }
}

/// Handler of the call at the callee.
#[derive(Clone, Copy, Debug, Default)]
struct Handler {
    step: usize,
}

struct World {
    now_ms: u64,
    idempotent: bool,
    attempt: Attempt,
    table: CallTable,
    life: u64,
    connection: u64,
    linked: bool,
    to_write: Option<Open>,
    to_callee: Vec<(u64, Frame)>,
    to_caller: Vec<Frame>,
    handler: Option<Handler>,
    runs: usize,
    started: usize,
    events: Vec<CallEvent>,
}

impl World {
    fn new(idempotent: bool) -> Self {
        Self {
            now_ms: 0,
            idempotent,
            attempt: Attempt::new(ID, 0, DEADLINE_MS as u32, 2_000),
            table: CallTable::new(settings()),
            life: 1,
            connection: 0,
            linked: false,
            to_write: None,
            to_callee: Vec::new(),
            to_caller: Vec::new(),
            handler: None,
            runs: 0,
            started: 0,
            events: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Connect => self.connect(),
            Step::ConnectFails if !self.linked => self.notify_caller(AttemptEvent::ConnectFailed),
            Step::WriteComplete => self.write(true),
            Step::WritePartial => self.write(false),
            Step::Cut => self.cut(),
            Step::CalleeSeesCut if !self.linked => {
                self.table.remove_connection(self.connection, self.now_ms);
            }
            Step::CalleeRestarts => self.restart(),
            Step::ToCallee(fate, at) => self.deliver_to_callee(fate, usize::from(at)),
            Step::ToCaller(fate, at) => self.deliver_to_caller(fate, usize::from(at)),
            Step::RunHandler => self.run_handler(),
            Step::HandlerDropped if self.handler.take().is_some() => {
                let now_ms = self.now_ms;
                self.update_table(|table, actions| table.abandon(ID, now_ms, actions));
            }
            Step::AdvanceTime(passed_ms) => self.advance_time(u64::from(passed_ms)),
            Step::Cancel => {
                let withdrawn = self.to_write.take().is_some();
                self.notify_caller(AttemptEvent::Cancel { withdrawn });
            }
            _ => {}
        }
    }

    fn connect(&mut self) {
        if self.linked {
            return;
        }
        self.linked = true;
        self.connection += 1;
        let (connection, now_ms, life) = (self.connection, self.now_ms, self.life);
        self.update_table(|table, actions| {
            table.add_connection(connection, CALLER_BOOT, now_ms, actions)
        });
        self.notify_caller(AttemptEvent::Connected { life });
    }

    /// The writer writes the `Open`, completely or only in part.
    fn write(&mut self, complete: bool) {
        let Some(pending) = self.to_write.take() else {
            return;
        };
        if complete {
            self.to_callee
                .push((self.connection, Frame::Open(Box::new(pending))));
            self.notify_caller(AttemptEvent::Written);
        } else {
            self.to_write = Some(pending);
            self.cut();
        }
    }

    /// Cuts the connection: frames that the caller wrote may still arrive at the callee, frames
    /// that the caller has not read are lost.
    fn cut(&mut self) {
        if !std::mem::take(&mut self.linked) {
            return;
        }
        self.to_caller.clear();
        let unwritten = self.to_write.take().is_some();
        self.notify_caller(if unwritten {
            AttemptEvent::WriteFailed
        } else {
            AttemptEvent::LinkLost
        });
    }

    fn restart(&mut self) {
        self.life += 1;
        self.table = CallTable::new(settings());
        self.to_callee.clear();
        self.handler = None;
        self.cut();
    }

    fn deliver_to_callee(&mut self, fate: Fate, at: usize) {
        if let Some((connection, frame)) = take_frame(&mut self.to_callee, fate, at) {
            let now_ms = self.now_ms;
            self.update_table(|table, actions| {
                table.handle_frame(connection, frame, now_ms, now_ms, actions)
            });
        }
    }

    fn deliver_to_caller(&mut self, fate: Fate, at: usize) {
        if let Some(frame) = take_frame(&mut self.to_caller, fate, at) {
            self.notify_caller(AttemptEvent::Frame(frame));
        }
    }

    /// Runs the next step of the handler.
    fn run_handler(&mut self) {
        let Some(handler) = &mut self.handler else {
            return;
        };
        let (step, now_ms) = (handler.step, self.now_ms);
        handler.step += 1;
        match step {
            0 => self.update_table(|table, actions| table.mark_accepted(ID, actions)),
            1 => {
                self.started += 1;
                self.update_table(|table, actions| table.mark_started(ID, actions));
            }
            2 => self.update_table(|table, actions| table.send_head(ID, head(), actions)),
            3..=5 => {
                let bytes = Bytes::from_static(CHUNKS[step - 3]);
                self.update_table(|table, actions| table.send_chunk(ID, bytes, actions));
            }
            _ => {
                self.handler = None;
                self.update_table(|table, actions| table.finish(ID, now_ms, actions));
            }
        }
    }

    fn advance_time(&mut self, passed_ms: u64) {
        self.now_ms += passed_ms;
        let now_ms = self.now_ms;
        self.update_table(|table, actions| table.tick(now_ms, actions));
        if !self.attempt.is_ended() && now_ms >= self.attempt.wake_at_ms() {
            let withdrawn = self.attempt.is_queued() && self.to_write.take().is_some();
            self.notify_caller(AttemptEvent::Timer { withdrawn });
        }
    }

    fn notify_caller(&mut self, event: AttemptEvent) {
        let mut actions = Vec::new();
        self.attempt.handle(event, self.now_ms, &mut actions);
        for action in actions {
            match action {
                AttemptAction::Deliver(event) => self.events.push(event),
                AttemptAction::Send(frame) => self.to_callee.push((self.connection, frame)),
                AttemptAction::SendOpen { deadline_left_ms } => {
                    self.to_write = Some(Open {
                        deadline_left_ms,
                        ..open(self.idempotent)
                    });
                }
            }
        }
    }

    fn update_table(&mut self, change: impl FnOnce(&mut CallTable, &mut Vec<TableAction>)) {
        let mut actions = Vec::new();
        change(&mut self.table, &mut actions);
        for action in actions {
            match action {
                TableAction::Send { connection, frame }
                    if self.linked && connection == self.connection =>
                {
                    self.to_caller.push(frame);
                }
                TableAction::Run { .. } => {
                    self.runs += 1;
                    self.handler = Some(Handler::default());
                }
                _ => {}
            }
        }
    }

    /// Delivers all frames in transit, finishes the handler's work, and lets the deadline
    /// pass.
    fn settle(&mut self) {
        for _ in 0..100 {
            self.write(true);
            self.deliver_to_callee(Fate::Delivered, 0);
            self.deliver_to_caller(Fate::Delivered, 0);
            self.run_handler();
        }
        self.advance_time(2 * DEADLINE_MS);
    }
}

fn take_frame<T: Clone>(pipe: &mut Vec<T>, fate: Fate, at: usize) -> Option<T> {
    if pipe.is_empty() {
        return None;
    }
    let at = at % pipe.len();
    match fate {
        Fate::Delivered => Some(pipe.remove(at)),
        Fate::Duplicated => Some(pipe[at].clone()),
        Fate::Lost => {
            pipe.remove(at);
            None
        }
    }
}

/// Checks the caller's events against the work that the callee did.
fn check_outcome(world: &World) -> Result<(), &'static str> {
    if world.runs > 1 || world.started > 1 {
        return Err("the call ran more than once");
    }
    let last_events = world.events.iter().filter(|event| event.is_last()).count();
    match world.events.last() {
        Some(CallEvent::Failed(failure))
            if failure.run == RunState::NotRun && world.started > 0 =>
        {
            return Err("the caller got `NotRun` although the call ran");
        }
        Some(CallEvent::End) if !is_complete(&world.events) => {
            return Err("the response is not the one that the handler sent");
        }
        Some(last) if !last.is_last() => return Err("the caller got no last event"),
        None => return Err("the caller got no event"),
        _ => {}
    }
    if last_events == 1 {
        Ok(())
    } else {
        Err("the caller got more than one last event")
    }
}

fn is_complete(events: &[CallEvent]) -> bool {
    let chunks = CHUNKS.map(|bytes| CallEvent::Chunk(Bytes::from_static(bytes)));
    let mut expected = vec![CallEvent::Head(head())];
    expected.extend(chunks);
    expected.push(CallEvent::End);
    let parts = events.iter();
    let parts = parts.filter(|event| !matches!(event, CallEvent::Accepted | CallEvent::Started));
    parts.eq(expected.iter())
}

fn check(steps: Vec<Step>, idempotent: bool) -> bool {
    let mut world = World::new(idempotent);
    for step in steps {
        world.apply(step);
    }
    world.settle();
    check_outcome(&world).is_ok()
}

// Faults in any order could run a call twice, or report `NotRun` for a call that ran. The
// caller must get the complete response or a correct failure, and the call runs at most once.
#[test]
fn can_end_a_call_correctly_in_any_order_of_events() {
    let check = check as fn(Vec<Step>, bool) -> bool;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, checks::seed()))
        .tests(20_000)
        .quickcheck(check);
}

/// Steps that are inserted into a call without faults.
struct Fault {
    name: &'static str,
    steps: &'static [Step],
}

const FAULTS: [Fault; 6] = [
    Fault {
        name: "cut and reconnected",
        steps: &[Step::Cut, Step::Connect],
    },
    Fault {
        name: "cut, and the reconnect fails",
        steps: &[Step::Cut, Step::ConnectFails],
    },
    Fault {
        name: "partial write",
        steps: &[Step::WritePartial, Step::Connect],
    },
    Fault {
        name: "callee restarted",
        steps: &[Step::CalleeRestarts, Step::Connect],
    },
    Fault {
        name: "handler dropped",
        steps: &[Step::HandlerDropped],
    },
    Fault {
        name: "frames lost in both directions",
        steps: &[
            Step::ToCallee(Fate::Lost, 0),
            Step::ToCaller(Fate::Lost, 0),
            Step::Cut,
            Step::CalleeSeesCut,
            Step::Connect,
        ],
    },
];

/// Steps of a call without faults, from the connection to the caller's `Forget`.
fn faultless_steps() -> Vec<Step> {
    let mut steps = vec![
        Step::Connect,
        Step::WriteComplete,
        Step::ToCallee(Fate::Delivered, 0),
    ];
    for _ in 0..7 {
        steps.extend([Step::RunHandler, Step::ToCaller(Fate::Delivered, 0)]);
    }
    steps.push(Step::ToCallee(Fate::Delivered, 0));
    steps
}

// Every pair of faults at every two steps of a call. Random sequences may miss a pair that
// breaks the guarantees only at one step.
#[test]
fn can_end_a_call_correctly_with_any_two_faults_at_any_step() {
    for first in &FAULTS {
        for second in &FAULTS {
            for at in 0..=faultless_steps().len() {
                for later in at..=faultless_steps().len() {
                    let mut steps = faultless_steps();
                    steps.splice(later..later, second.steps.iter().copied());
                    steps.splice(at..at, first.steps.iter().copied());
                    let mut world = World::new(false);
                    steps.into_iter().for_each(|step| world.apply(step));
                    world.settle();
                    let name = format!("{} at {at}, {} at {later}", first.name, second.name);
                    assert_eq!(check_outcome(&world), Ok(()), "{name}: {:?}", world.events);
                }
            }
        }
    }
}

#[test]
fn can_complete_a_call_without_faults() {
    let mut world = World::new(false);
    faultless_steps()
        .into_iter()
        .for_each(|step| world.apply(step));
    assert_eq!(world.events.last(), Some(&CallEvent::End));
    assert!(is_complete(&world.events));
    assert!(world.table.is_empty());
}
