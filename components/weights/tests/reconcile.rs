//! An agent and its engine, under every fault of the way between them.

use std::collections::BTreeSet;

use quickcheck::{Arbitrary, Gen, quickcheck};
use types::WeightVersion;
use weights::{EngineState, Order, OrderKind, OrderOutcome, Reconcile, ReconcileSettings, Target};

fn at(epoch: u32, version: u64) -> WeightVersion {
    WeightVersion { epoch, version }
}

/// An engine that can be told to misbehave.
struct Engine {
    state: EngineState,
    fence: u64,
    checks_fence: bool,
}

impl Engine {
    fn new(version: WeightVersion, checks_fence: bool) -> Self {
        let state = EngineState {
            life: 1,
            version: Some(version),
            loaded: [version].into(),
        };
        Self {
            state,
            fence: 0,
            checks_fence,
        }
    }

    fn obey(&mut self, kind: OrderKind) -> OrderOutcome {
        let fence = kind.fence().unwrap_or(u64::MAX);
        if self.checks_fence && fence < self.fence {
            return OrderOutcome::OldFence;
        }
        match kind {
            OrderKind::Read => return OrderOutcome::State(self.state.clone()),
            OrderKind::CancelEarlier => return OrderOutcome::Done,
            OrderKind::Load(version) => {
                self.state.loaded.insert(version);
            }
            OrderKind::Switch(version) if !self.state.loaded.contains(&version) => {
                return OrderOutcome::Failed;
            }
            OrderKind::Switch(version) => self.state.version = Some(version),
        }
        self.fence = fence;
        OrderOutcome::Done
    }

    fn crash(&mut self) {
        self.state.life += 1;
        self.state.loaded = BTreeSet::new();
        self.state.version = None;
    }
}

#[derive(Clone, Debug)]
enum Event {
    Obeyed,
    AnswerLost,
    NotSent,
    Refused,
    LiesDone,
    StoreBusy,
    OldOrder { back: u64 },
    Announce,
    RollBack,
    EngineCrash,
    AgentRestart,
    Frozen,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let back = u64::arbitrary(g) % 3 + 1;
        match u8::arbitrary(g) % 16 {
            0..5 => Event::Obeyed,
            5 => Event::AnswerLost,
            6 => Event::NotSent,
            7 => Event::Refused,
            8 => Event::LiesDone,
            9 => Event::StoreBusy,
            10 => Event::OldOrder { back },
            11 => Event::Announce,
            12 => Event::RollBack,
            13 => Event::EngineCrash,
            14 => Event::AgentRestart,
            _ => Event::Frozen,
        }
    }
}

struct World {
    agent: Reconcile,
    engine: Engine,
    target: WeightVersion,
    now_ms: u64,
    orders: Vec<OrderKind>,
}

impl World {
    fn new(checks_fence: bool) -> Self {
        let target = at(1, 1);
        let mut world = Self {
            agent: Reconcile::new(ReconcileSettings::default()),
            engine: Engine::new(target, checks_fence),
            target,
            now_ms: 0,
            orders: Vec::new(),
        };
        world.want();
        world
    }

    fn want(&mut self) {
        self.agent.want(Target::serve(self.target), 0, self.now_ms);
    }

    fn order(&mut self) -> Option<Order> {
        self.now_ms = self.agent.next_due_ms(self.now_ms);
        let order = self.agent.poll(self.now_ms, 500)?;
        // Never an order downwards, and never two in flight.
        if let OrderKind::Switch(version) = order.kind {
            assert_eq!(version, self.target);
        }
        assert_eq!(self.agent.poll(self.now_ms, 500), None);
        self.orders.push(order.kind);
        Some(order)
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Announce => {
                self.target.version += 1;
                self.want();
            }
            Event::RollBack => {
                self.target = at(self.target.epoch + 1, 1);
                self.want();
            }
            Event::OldOrder { back } => {
                // Sent by an agent that was replaced, to an engine that may ignore the fence.
                let version = at(self.target.epoch, self.target.version.saturating_sub(*back));
                self.engine.obey(OrderKind::Load(version));
                self.engine.obey(OrderKind::Switch(version));
            }
            Event::EngineCrash => self.engine.crash(),
            Event::AgentRestart => {
                self.agent = Reconcile::new(ReconcileSettings::default());
                self.want();
            }
            Event::Frozen => self.now_ms += 600_000,
            fault => self.exchange(fault),
        }
    }

    fn exchange(&mut self, fault: &Event) {
        let Some(order) = self.order() else {
            return;
        };
        let busy = OrderOutcome::StoreBusy {
            retry_after_ms: Some(3_000),
        };
        let outcome = match fault {
            Event::NotSent => OrderOutcome::Unknown,
            Event::Refused => OrderOutcome::Failed,
            Event::StoreBusy => busy,
            Event::LiesDone if order.kind.fence().is_some() => OrderOutcome::Done,
            Event::AnswerLost => {
                self.engine.obey(order.kind);
                OrderOutcome::Unknown
            }
            _ => self.engine.obey(order.kind),
        };
        self.now_ms += 5;
        self.agent.ended(order.id, outcome, self.now_ms, 500);
    }
}

quickcheck! {
    // Whatever was lost, refused, lied about or slipped in: once orders get through again,
    // the engine serves the wanted version within half a minute (a longest backoff and its
    // orders), the agent says so, and it never wakes for nothing.
    fn can_reach_the_wanted_version_after_any_faults(events: Vec<Event>, checks: bool) -> bool {
        let mut world = World::new(checks);
        events.iter().for_each(|event| world.apply(event));
        let end_ms = world.now_ms + 30_000;
        while world.now_ms < end_ms {
            let orders = world.orders.len();
            world.exchange(&Event::Obeyed);
            assert_eq!(world.orders.len(), orders + 1, "woke for nothing at {}", world.now_ms);
        }
        let status = world.agent.status(world.now_ms);
        let reached = Some(world.target);
        world.engine.state.version == reached && status.serving == reached && !status.too_old
    }
}

#[test]
fn can_load_first_and_read_back_after_each_order() {
    let mut world = World::new(true);
    (0..3).for_each(|_| world.exchange(&Event::Obeyed));
    world.apply(&Event::Announce);
    (0..5).for_each(|_| world.exchange(&Event::Obeyed));
    let next = at(1, 2);
    let wanted = [
        OrderKind::CancelEarlier,
        OrderKind::Read,
        OrderKind::Read,
        OrderKind::Load(next),
        OrderKind::Read,
        OrderKind::Switch(next),
        OrderKind::Read,
        OrderKind::Read,
    ];
    assert_eq!(world.orders, wanted);
}

#[test]
fn can_wake_from_a_freeze_without_acting_on_an_old_belief() {
    // The agent reads the state, is frozen for ten minutes, and hears of a new version when
    // it wakes. The engine has crashed meanwhile and holds nothing. The agent reads again
    // before it orders; a switch by its old belief would have failed or gone wrong.
    let mut world = World::new(false);
    (0..2).for_each(|_| world.exchange(&Event::Obeyed));
    world.engine.crash();
    world.apply(&Event::Frozen);
    world.apply(&Event::Announce);
    assert_eq!(world.order().unwrap().kind, OrderKind::Read);
}

#[test]
fn can_ignore_the_late_end_of_an_order_given_up_on() {
    // A load gets no answer, is given up on and sent again. The first answer, a failure,
    // arrives while the second load is in flight; only the second one's end counts.
    let mut world = World::new(true);
    (0..2).for_each(|_| world.exchange(&Event::Obeyed));
    world.apply(&Event::Announce);
    let first = loop {
        let order = world.order().unwrap();
        if order.kind == OrderKind::Load(at(1, 2)) {
            break order;
        }
        let outcome = world.engine.obey(order.kind);
        world.agent.ended(order.id, outcome, world.now_ms, 500);
    };
    world.now_ms += 60_000;
    let second = world.order().unwrap();
    assert_ne!(first.id, second.id);
    world
        .agent
        .ended(first.id, OrderOutcome::Failed, world.now_ms, 500);
    assert!(world.agent.status(world.now_ms).ordering);
}

#[test]
fn can_leave_an_engine_alone_that_knows_more_than_its_agent() {
    // The agent has missed a roll-back that its engine already serves. Going back to what
    // the agent believes would undo it; the agent says that it lacks news instead.
    let mut world = World::new(false);
    world.engine = Engine::new(at(2, 1), false);
    (0..6).for_each(|_| world.exchange(&Event::Obeyed));
    assert_eq!(world.engine.state.version, Some(at(2, 1)));
    assert!(world.agent.status(world.now_ms).news_missing);
}

#[test]
fn can_back_off_from_an_engine_that_says_done_and_does_nothing() {
    let mut world = World::new(false);
    (0..2).for_each(|_| world.exchange(&Event::Obeyed));
    world.apply(&Event::Announce);
    let began_ms = world.now_ms;
    world.orders.clear();
    while world.now_ms < began_ms + 60_000 {
        world.exchange(&Event::LiesDone);
    }
    let loads = world
        .orders
        .iter()
        .filter(|kind| kind.fence().is_some())
        .count();
    assert!((5..20).contains(&loads), "{loads} loads in a minute");
}

#[test]
fn can_wait_for_its_turn_while_the_old_version_serves() {
    let mut world = World::new(true);
    (0..2).for_each(|_| world.exchange(&Event::Obeyed));
    let began_ms = world.now_ms;
    world.target = at(1, 2);
    world.agent.want(Target::serve(at(1, 2)), 30_000, began_ms);
    while world.engine.state.version != Some(at(1, 2)) {
        assert!(world.agent.status(world.now_ms).too_old);
        world.exchange(&Event::Obeyed);
        let loaded = world.engine.state.loaded.contains(&at(1, 2));
        assert!(!loaded || world.now_ms >= began_ms + 30_000);
    }
}
