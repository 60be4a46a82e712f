//! Exactly-once delivery under any order of fetches, crashes of homes, posts, copies, weight
//! swaps and restored checkpoints of the trainer.
#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quickcheck::{Arbitrary, Gen};
use samples::{
    Action, CopyMessage, Cursor, Fault, Ledger, LedgerSettings, ReceivedReply, RunId, Slot, Start,
    Step, TrainerState,
};
use support::{completion, keys, room, step_of, version};
use types::WeightVersion;

const BOUND: u64 = 1;
const HOMES: usize = 2;

#[derive(Clone, Debug)]
enum Event {
    Fetch { home: usize, max: u32 },
    Accept { reply: usize },
    AcceptAndKeep { reply: usize },
    Crash { home: usize },
    Post { home: usize },
    Dispatch { home: usize, free_runs: u32 },
    Finish { home: usize, run: usize },
    Fail { home: usize, run: usize },
    Copy { to: usize, copy: usize },
    Switch,
    Advance { notified: usize },
    RollBack,
    Checkpoint,
    Restore,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let home = usize::arbitrary(g) % HOMES;
        let at = usize::arbitrary(g) % 64;
        let few = u32::arbitrary(g) % 4 + 1;
        match u8::arbitrary(g) % 32 {
            0..4 => Event::Fetch { home, max: few },
            4..7 => Event::Accept { reply: at },
            7..9 => Event::AcceptAndKeep { reply: at },
            9 => Event::Crash { home },
            10..13 => Event::Post { home },
            13..17 => Event::Dispatch {
                home,
                free_runs: few,
            },
            17..23 => Event::Finish { home, run: at },
            23 => Event::Fail { home, run: at },
            24..26 => Event::Copy { to: home, copy: at },
            26..28 => Event::Switch,
            28 => Event::Advance { notified: home },
            29 => Event::Checkpoint,
            30 => Event::Restore,
            _ if few == 1 => Event::RollBack,
            _ => Event::Dispatch {
                home,
                free_runs: few,
            },
        }
    }
}

type Versions = BTreeSet<WeightVersion>;
type Sample = (Slot, String, Versions);

/// Two homes, which may both be alive, their engines, one trainer, and all messages in transit.
struct Simulation {
    step: Arc<Step>,
    homes: [Option<Ledger>; HOMES],
    runs: [BTreeMap<RunId, Start>; HOMES],
    copies: Vec<CopyMessage>,
    replies: Vec<ReceivedReply<Sample>>,
    received: TrainerState<Sample>,
    checkpoint: TrainerState<Sample>,
    engines: WeightVersion,
    announced: WeightVersion,
    /// Versions that generated each text, recorded by the simulated engines.
    generated_by: BTreeMap<String, Versions>,
    now_ms: u64,
    texts: u64,
}

impl Simulation {
    fn new() -> Self {
        let step = step_of(3, 4);
        let start = Cursor::start(&step).seal(&keys());
        let received = TrainerState::new(start, version(1, 1));
        let mut simulation = Self {
            homes: [None, None],
            runs: Default::default(),
            copies: Vec::new(),
            replies: Vec::new(),
            checkpoint: received.clone(),
            received,
            engines: version(1, 1),
            announced: version(1, 1),
            generated_by: BTreeMap::new(),
            now_ms: 0,
            texts: 0,
            step,
        };
        simulation.post(0);
        simulation
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += 50;
        match *event {
            Event::Fetch { home, max } => self.fetch(home, max),
            Event::Accept { reply } => self.accept(reply, false),
            Event::AcceptAndKeep { reply } => self.accept(reply, true),
            Event::Crash { home } => {
                self.homes[home] = None;
                self.runs[home].clear();
            }
            Event::Post { home } => self.post(home),
            Event::Dispatch { home, free_runs } => self.dispatch(home, free_runs),
            Event::Finish { home, run } => self.end_run(home, run, true),
            Event::Fail { home, run } => self.end_run(home, run, false),
            Event::Copy { to, copy } => self.copy(to, copy),
            Event::Switch => self.engines = self.engines.max(self.announced),
            Event::Advance { notified } => self.advance(notified),
            Event::RollBack => self.announced = version(self.announced.epoch + 1, 1),
            Event::Checkpoint => self.checkpoint = self.received.clone(),
            Event::Restore => self.received = self.checkpoint.clone(),
        }
        (0..HOMES).for_each(|home| self.perform_actions(home));
    }

    fn fetch(&mut self, home: usize, max: u32) {
        let Some(ledger) = &mut self.homes[home] else {
            return;
        };
        let base = self.received.cursor().to_owned();
        let trainer_version = self.received.version();
        let cursor = Cursor::open(&base, &keys(), &self.step).unwrap();
        let Ok(reply) = ledger.fetch(&cursor, trainer_version, max, self.now_ms) else {
            return;
        };
        let sample = |offer: &samples::Offer| {
            let sample = &offer.sample;
            (sample.slot, sample.text.clone(), sample.versions.clone())
        };
        self.replies.push(ReceivedReply {
            base,
            trainer_version,
            samples: reply.samples.iter().map(sample).collect(),
            next: reply.cursor.seal(&keys()),
        });
    }

    fn accept(&mut self, reply: usize, keep: bool) {
        if self.replies.is_empty() {
            return;
        }
        let at = reply % self.replies.len();
        let reply = self.replies[at].clone();
        if !keep {
            self.replies.remove(at);
        }
        let samples = reply.samples.clone();
        if self.received.accept(reply).is_err() {
            return;
        }
        for (slot, text, versions) in samples {
            let own = self.received.version();
            let is_fresh = |version: &WeightVersion| {
                version.epoch == own.epoch && version.version + BOUND >= own.version
            };
            assert!(
                versions.iter().all(is_fresh),
                "{slot:?} {versions:?} for {own}"
            );
            assert_eq!(self.generated_by[&text], versions, "stamps of {slot:?}");
        }
        let had: BTreeSet<Slot> = self.received.samples().iter().map(|s| s.0).collect();
        assert_eq!(had.len(), self.received.samples().len(), "duplicate sample");
    }

    fn post(&mut self, home: usize) {
        let cursor = Cursor::open(self.received.cursor(), &keys(), &self.step).unwrap();
        if self.homes[home].is_some() {
            return;
        }
        let settings = LedgerSettings {
            staleness_bound: BOUND,
            ..LedgerSettings::default()
        };
        let at = self.received.version();
        self.homes[home] = Some(Ledger::new(Arc::clone(&self.step), settings, &cursor, at));
    }

    fn dispatch(&mut self, home: usize, free_runs: u32) {
        if let Some(ledger) = &mut self.homes[home] {
            ledger.dispatch(&room(3, free_runs, self.engines), self.now_ms);
        }
    }

    fn end_run(&mut self, home: usize, run: usize, succeeds: bool) {
        let at = run % self.runs[home].len().max(1);
        let Some(&run) = self.runs[home].keys().nth(at) else {
            return;
        };
        self.runs[home].remove(&run);
        let Some(ledger) = &mut self.homes[home] else {
            return;
        };
        if !succeeds {
            ledger.record_failure(run, Fault::Lost, None, self.now_ms);
            return;
        }
        self.texts += 1;
        let text = format!("text {}", self.texts);
        // A run may span a weight swap.
        let later = WeightVersion {
            version: self.engines.version + self.texts % 2,
            ..self.engines
        };
        let versions = Versions::from([self.engines, later.min(self.announced.max(self.engines))]);
        self.generated_by.insert(text.clone(), versions.clone());
        ledger.record_completion(run, completion(&text, versions), self.now_ms);
    }

    fn copy(&mut self, to: usize, copy: usize) {
        let Some(ledger) = &mut self.homes[to] else {
            return;
        };
        let at = copy % self.copies.len().max(1);
        if let Some(CopyMessage::Finished { sample, .. }) = self.copies.get(at) {
            ledger.adopt(sample);
        }
    }

    fn advance(&mut self, notified: usize) {
        let epoch = self.announced.epoch;
        self.announced = version(epoch, self.announced.version + 1);
        self.received.advance(self.announced);
        if let Some(ledger) = &mut self.homes[notified] {
            ledger.announce(self.announced, None, self.now_ms);
        }
    }

    fn perform_actions(&mut self, home: usize) {
        let Some(ledger) = &mut self.homes[home] else {
            return;
        };
        for action in ledger.take_actions() {
            match action {
                Action::Start(start) => {
                    self.runs[home].insert(start.run, start);
                }
                Action::Cancel { run } => {
                    self.runs[home].remove(&run);
                }
                Action::Stop { run } => {
                    self.runs[home].remove(&run);
                    ledger.record_failure(run, Fault::Moved, None, self.now_ms);
                }
                Action::Copy(copy) => self.copies.push(copy),
                Action::Score { .. } => {}
            }
        }
    }

    /// Lets every process work without further faults until the trainer has the whole step.
    fn run_to_completion(&mut self) {
        self.engines = self.announced;
        self.received.advance(self.announced);
        for _ in 0..20 {
            self.now_ms += 20_000;
            self.apply(&Event::Post { home: 0 });
            self.apply(&Event::Fetch { home: 0, max: 100 });
            self.accept(self.replies.len().max(1) - 1, false);
            self.apply(&Event::Dispatch {
                home: 0,
                free_runs: 100,
            });
            while !self.runs[0].is_empty() {
                self.apply(&Event::Finish { home: 0, run: 0 });
            }
        }
        assert_eq!(
            self.received.samples().len() as u32,
            self.step.total(),
            "lost slot"
        );
    }
}

checks::seeded! {
    // The trainer must get each slot exactly once, within the staleness bound and with correct
    // versions, although homes crash, two homes are active at once, replies are late, duplicated
    // or lost, and the trainer restores checkpoints.
    fn can_deliver_each_slot_once_in_any_order_of_events(events: Vec<Event>) -> bool {
        let mut simulation = Simulation::new();
        events.iter().for_each(|event| simulation.apply(event));
        simulation.run_to_completion();
        true
    }
}

#[test]
fn can_accept_only_one_of_two_replies_to_one_cursor() {
    // The trainer's first fetch times out, and it fetches from the other home with the same
    // cursor. Both homes have their own samples of the slots, and both replies arrive. The
    // second one must be refused; otherwise every slot would be delivered twice.
    let mut simulation = Simulation::new();
    simulation.apply(&Event::Post { home: 1 });
    for home in 0..HOMES {
        simulation.apply(&Event::Dispatch { home, free_runs: 4 });
        while !simulation.runs[home].is_empty() {
            simulation.apply(&Event::Finish { home, run: 0 });
        }
        simulation.apply(&Event::Fetch { home, max: 100 });
    }
    let [second, first] = [
        simulation.replies.pop().unwrap(),
        simulation.replies.pop().unwrap(),
    ];
    assert_eq!(second.samples.len(), 12);
    assert_eq!(simulation.received.accept(first), Ok(()));
    let refused = simulation.received.accept(second);
    assert_eq!(refused, Err(samples::ReplyError::Superseded));
    assert_eq!(simulation.received.samples().len(), 12);
}

#[test]
fn can_continue_after_both_homes_crash() {
    // The trainer has four samples when both homes crash and lose their state. It posts the
    // step again with its cursor. Only the eight missing slots may be run.
    let mut simulation = Simulation::new();
    simulation.apply(&Event::Dispatch {
        home: 0,
        free_runs: 4,
    });
    while !simulation.runs[0].is_empty() {
        simulation.apply(&Event::Finish { home: 0, run: 0 });
    }
    simulation.apply(&Event::Fetch { home: 0, max: 4 });
    simulation.apply(&Event::Accept { reply: 0 });
    simulation.apply(&Event::Crash { home: 0 });
    simulation.apply(&Event::Post { home: 1 });
    simulation.apply(&Event::Dispatch {
        home: 1,
        free_runs: 12,
    });
    assert_eq!(simulation.runs[1].len(), 8);
}
