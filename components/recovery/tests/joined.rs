//! Both sides of a call, joined by pipes that lose, double, reorder and cut, under random
//! orders of events.

mod common;

use bytes::Bytes;
use common::{CALLER, ID, head, limits, open};
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
    WriteWhole,
    WriteHalf,
    Cut,
    CalleeSeesCut,
    CalleeRestarts,
    ToCallee(Fate, u8),
    ToCaller(Fate, u8),
    Work,
    HandlerDies,
    Pass(u16),
    GiveUp,
}

/// What the pipe does with one of its frames.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Arrives,
    ArrivesAndStays,
    Vanishes,
}

const FATES: [Fate; 4] = [
    Fate::Arrives,
    Fate::Arrives,
    Fate::ArrivesAndStays,
    Fate::Vanishes,
];

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = u8::arbitrary(g) % 4;
        let fate = g.choose(&FATES).copied();
        let fate = fate.unwrap_or(Fate::Arrives);
        match u8::arbitrary(g) % 32 {
            0..=3 => Step::Connect,
            4 => Step::ConnectFails,
            5..=8 => Step::WriteWhole,
            9 => Step::WriteHalf,
            10 | 11 => Step::Cut,
            12 => Step::CalleeSeesCut,
            13 if at == 0 => Step::CalleeRestarts,
            14..=19 => Step::ToCallee(fate, at),
            20..=24 => Step::ToCaller(fate, at),
            25..=29 => Step::Work,
            30 if at == 0 => Step::HandlerDies,
            31 if at == 0 => Step::GiveUp,
            _ => Step::Pass(u16::arbitrary(g) % 1_500),
        }
    }
}

/// The endpoint's side of a call that was handed over.
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
    taken: usize,
    started: usize,
    events: Vec<CallEvent>,
}

impl World {
    fn new(idempotent: bool) -> Self {
        Self {
            now_ms: 0,
            idempotent,
            attempt: Attempt::new(ID, 0, DEADLINE_MS as u32, 2_000),
            table: CallTable::new(limits()),
            life: 1,
            connection: 0,
            linked: false,
            to_write: None,
            to_callee: Vec::new(),
            to_caller: Vec::new(),
            handler: None,
            taken: 0,
            started: 0,
            events: Vec::new(),
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Connect => self.connect(),
            Step::ConnectFails if !self.linked => self.tell(AttemptEvent::ConnectFailed),
            Step::WriteWhole => self.write(true),
            Step::WriteHalf => self.write(false),
            Step::Cut => self.cut(),
            Step::CalleeSeesCut if !self.linked => {
                self.table.remove_connection(self.connection, self.now_ms);
            }
            Step::CalleeRestarts => self.restart(),
            Step::ToCallee(fate, at) => self.bring_to_callee(fate, usize::from(at)),
            Step::ToCaller(fate, at) => self.bring_to_caller(fate, usize::from(at)),
            Step::Work => self.work(),
            Step::HandlerDies if self.handler.take().is_some() => {
                let now_ms = self.now_ms;
                self.serve(|table, actions| table.abandon(ID, now_ms, actions));
            }
            Step::Pass(passed_ms) => self.pass(u64::from(passed_ms)),
            Step::GiveUp => {
                let withdrawn = self.to_write.take().is_some();
                self.tell(AttemptEvent::Cancel { withdrawn });
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
        self.serve(|table, actions| table.add_connection(connection, CALLER, now_ms, actions));
        self.tell(AttemptEvent::Connected { life });
    }

    /// The writer comes to the `Open`, and gets it out whole or not.
    fn write(&mut self, whole: bool) {
        let Some(wanted) = self.to_write.take() else {
            return;
        };
        if whole {
            self.to_callee
                .push((self.connection, Frame::Open(Box::new(wanted))));
            self.tell(AttemptEvent::Written);
        } else {
            self.to_write = Some(wanted);
            self.cut();
        }
    }

    /// What was written may still arrive; what the caller has not read is gone.
    fn cut(&mut self) {
        if !std::mem::take(&mut self.linked) {
            return;
        }
        self.to_caller.clear();
        let unwritten = self.to_write.take().is_some();
        self.tell(if unwritten {
            AttemptEvent::WriteFailed
        } else {
            AttemptEvent::LinkLost
        });
    }

    fn restart(&mut self) {
        self.life += 1;
        self.table = CallTable::new(limits());
        self.to_callee.clear();
        self.handler = None;
        self.cut();
    }

    fn bring_to_callee(&mut self, fate: Fate, at: usize) {
        if let Some((connection, frame)) = picked(&mut self.to_callee, fate, at) {
            let now_ms = self.now_ms;
            self.serve(|table, actions| {
                table.handle_frame(connection, frame, now_ms, now_ms, actions)
            });
        }
    }

    fn bring_to_caller(&mut self, fate: Fate, at: usize) {
        if let Some(frame) = picked(&mut self.to_caller, fate, at) {
            self.tell(AttemptEvent::Frame(frame));
        }
    }

    /// The handler does its next piece of work.
    fn work(&mut self) {
        let Some(handler) = &mut self.handler else {
            return;
        };
        let (step, now_ms) = (handler.step, self.now_ms);
        handler.step += 1;
        match step {
            0 => self.serve(|table, actions| table.mark_accepted(ID, actions)),
            1 => {
                self.started += 1;
                self.serve(|table, actions| table.mark_started(ID, actions));
            }
            2 => self.serve(|table, actions| table.send_head(ID, head(), actions)),
            3..=5 => {
                let bytes = Bytes::from_static(CHUNKS[step - 3]);
                self.serve(|table, actions| table.send_chunk(ID, bytes, actions));
            }
            _ => {
                self.handler = None;
                self.serve(|table, actions| table.finish(ID, now_ms, actions));
            }
        }
    }

    fn pass(&mut self, passed_ms: u64) {
        self.now_ms += passed_ms;
        let now_ms = self.now_ms;
        self.serve(|table, actions| table.tick(now_ms, actions));
        if !self.attempt.is_ended() && now_ms >= self.attempt.wake_at_ms() {
            let withdrawn = self.attempt.is_queued() && self.to_write.take().is_some();
            self.tell(AttemptEvent::Timer { withdrawn });
        }
    }

    fn tell(&mut self, event: AttemptEvent) {
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

    fn serve(&mut self, serve: impl FnOnce(&mut CallTable, &mut Vec<TableAction>)) {
        let mut actions = Vec::new();
        serve(&mut self.table, &mut actions);
        for action in actions {
            match action {
                TableAction::Send { connection, frame }
                    if self.linked && connection == self.connection =>
                {
                    self.to_caller.push(frame);
                }
                TableAction::Run { .. } => {
                    self.taken += 1;
                    self.handler = Some(Handler::default());
                }
                _ => {}
            }
        }
    }

    /// Lets all that is still on its way arrive and all work be done, and the time run out.
    fn settle(&mut self) {
        for _ in 0..100 {
            self.write(true);
            self.bring_to_callee(Fate::Arrives, 0);
            self.bring_to_caller(Fate::Arrives, 0);
            self.work();
        }
        self.pass(2 * DEADLINE_MS);
    }
}

fn picked<T: Clone>(pipe: &mut Vec<T>, fate: Fate, at: usize) -> Option<T> {
    if pipe.is_empty() {
        return None;
    }
    let at = at % pipe.len();
    match fate {
        Fate::Arrives => Some(pipe.remove(at)),
        Fate::ArrivesAndStays => Some(pipe[at].clone()),
        Fate::Vanishes => {
            pipe.remove(at);
            None
        }
    }
}

/// What the caller was told holds against what the callee did.
fn holds(world: &World) -> Result<(), &'static str> {
    if world.taken > 1 || world.started > 1 {
        return Err("ran more than once");
    }
    let lasts = world.events.iter().filter(|event| event.is_last()).count();
    match world.events.last() {
        Some(CallEvent::Failed(failure))
            if failure.run == RunState::NotRun && world.started > 0 =>
        {
            return Err("said not run, and it ran");
        }
        Some(CallEvent::End) if !is_whole(&world.events) => return Err("a wrong answer"),
        Some(last) if !last.is_last() => return Err("no visible end"),
        None => return Err("no event at all"),
        _ => {}
    }
    if lasts == 1 {
        Ok(())
    } else {
        Err("more than one end")
    }
}

fn is_whole(events: &[CallEvent]) -> bool {
    let chunks = CHUNKS.map(|bytes| CallEvent::Chunk(Bytes::from_static(bytes)));
    let mut whole = vec![CallEvent::Head(head())];
    whole.extend(chunks);
    whole.push(CallEvent::End);
    let parts = events.iter();
    let parts = parts.filter(|event| !matches!(event, CallEvent::Accepted | CallEvent::Started));
    parts.eq(whole.iter())
}

fn check(steps: Vec<Step>, idempotent: bool) -> bool {
    let mut world = World::new(idempotent);
    for step in steps {
        world.take(step);
    }
    world.settle();
    holds(&world).is_ok()
}

// The caller sees a whole answer or a failure that is true, in any order of faults, and
// the call runs at most once.
#[test]
fn can_hold_in_any_order_of_events() {
    let check = check as fn(Vec<Step>, bool) -> bool;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, checks::seed()))
        .tests(20_000)
        .quickcheck(check);
}

/// A fault at one step of a call that is otherwise without faults.
struct Fault {
    name: &'static str,
    steps: &'static [Step],
}

const FAULTS: [Fault; 6] = [
    Fault {
        name: "cut and connected anew",
        steps: &[Step::Cut, Step::Connect],
    },
    Fault {
        name: "cut for good",
        steps: &[Step::Cut, Step::ConnectFails],
    },
    Fault {
        name: "half a write",
        steps: &[Step::WriteHalf, Step::Connect],
    },
    Fault {
        name: "callee replaced",
        steps: &[Step::CalleeRestarts, Step::Connect],
    },
    Fault {
        name: "handler died",
        steps: &[Step::HandlerDies],
    },
    Fault {
        name: "lost on both ways",
        steps: &[
            Step::ToCallee(Fate::Vanishes, 0),
            Step::ToCaller(Fate::Vanishes, 0),
            Step::Cut,
            Step::CalleeSeesCut,
            Step::Connect,
        ],
    },
];

/// A call from its beginning to its end: written, taken, answered part by part, forgotten.
fn smooth() -> Vec<Step> {
    let mut steps = vec![
        Step::Connect,
        Step::WriteWhole,
        Step::ToCallee(Fate::Arrives, 0),
    ];
    for _ in 0..7 {
        steps.extend([Step::Work, Step::ToCaller(Fate::Arrives, 0)]);
    }
    steps.push(Step::ToCallee(Fate::Arrives, 0));
    steps
}

// Every fault at every step of a call, and every pair of faults.
#[test]
fn can_hold_with_every_fault_at_every_step() {
    for first in &FAULTS {
        for second in &FAULTS {
            for at in 0..=smooth().len() {
                for later in at..=smooth().len() {
                    let mut steps = smooth();
                    steps.splice(later..later, second.steps.iter().copied());
                    steps.splice(at..at, first.steps.iter().copied());
                    let mut world = World::new(false);
                    steps.into_iter().for_each(|step| world.take(step));
                    world.settle();
                    let name = format!("{} at {at}, {} at {later}", first.name, second.name);
                    assert_eq!(holds(&world), Ok(()), "{name}: {:?}", world.events);
                }
            }
        }
    }
}

#[test]
fn can_answer_without_faults() {
    let mut world = World::new(false);
    smooth().into_iter().for_each(|step| world.take(step));
    assert_eq!(world.events.last(), Some(&CallEvent::End));
    assert!(is_whole(&world.events));
    assert!(world.table.is_empty());
}
