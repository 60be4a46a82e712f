//! An agent and its engine, with faults of the engine, the agent and the connection.

use std::collections::BTreeSet;

use quickcheck::{Arbitrary, Gen};
use types::WeightVersion;
use weights::{
    EngineState, LoadDelays, Order, OrderKind, OrderOutcome, ReconcileSettings, Reconciler, Target,
};

fn at(epoch: u32, version: u64) -> WeightVersion {
    WeightVersion { epoch, version }
}

/// Engine that optionally ignores fencing tokens.
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

    fn execute(&mut self, kind: OrderKind, fence: u64) -> OrderOutcome {
        if kind.is_change() && self.checks_fence && fence < self.fence {
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
        self.fence = self.fence.max(fence);
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
    CarriedOut,
    ResponseLost,
    NotSent,
    Refused,
    FalseSuccess,
    StoreBusy,
    OldOrder { back: u64 },
    Announce,
    Prepare { ahead: u64 },
    RollBack,
    EngineCrash,
    AgentRestart,
    Frozen,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let back = u64::arbitrary(g) % 3 + 1;
        match u8::arbitrary(g) % 18 {
            0..5 => Event::CarriedOut,
            5 => Event::ResponseLost,
            6 => Event::NotSent,
            7 => Event::Refused,
            8 => Event::FalseSuccess,
            9 => Event::StoreBusy,
            10 => Event::OldOrder { back },
            11 => Event::Announce,
            12 => Event::RollBack,
            13 => Event::EngineCrash,
            14 => Event::AgentRestart,
            15 | 16 => Event::Prepare { ahead: back },
            _ => Event::Frozen,
        }
    }
}

struct World {
    agent: Reconciler,
    engine: Engine,
    target: Target,
    now_ms: u64,
    orders: Vec<OrderKind>,
}

impl World {
    fn new(checks_fence: bool) -> Self {
        let target = Target::serve(at(1, 1));
        let mut world = Self {
            agent: Reconciler::new(ReconcileSettings::default()),
            engine: Engine::new(target.serve, checks_fence),
            target,
            now_ms: 0,
            orders: Vec::new(),
        };
        world.send_target();
        world
    }

    fn send_target(&mut self) {
        self.agent
            .set_target(self.target, LoadDelays::default(), self.now_ms);
    }

    fn announce(&mut self, version: WeightVersion) {
        self.target = self.target.merge(Target::serve(version));
        self.send_target();
    }

    fn order(&mut self) -> Option<Order> {
        self.now_ms = self.agent.next_due_ms(self.now_ms);
        let order = self.agent.poll(self.now_ms, 500)?;
        // The agent must never switch to another version than the target, and must never have two
        // orders in flight.
        if let OrderKind::Switch(version) = order.kind {
            assert_eq!(version, self.target.serve);
        }
        assert_eq!(self.agent.poll(self.now_ms, 500), None);
        self.orders.push(order.kind);
        Some(order)
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Announce => {
                let WeightVersion { epoch, version } = self.target.serve;
                self.announce(at(epoch, version + 1));
            }
            Event::RollBack => {
                self.announce(at(self.target.serve.epoch + 1, 1));
            }
            Event::Prepare { ahead } => {
                let WeightVersion { epoch, version } = self.target.serve;
                let load = at(epoch, version + ahead);
                let serve = self.target.serve;
                self.target = self.target.merge(Target { serve, load });
                self.send_target();
            }
            Event::OldOrder { back } => {
                // Sent by an earlier process of the agent; the engine may ignore its fence.
                let WeightVersion { epoch, version } = self.target.serve;
                let old = at(epoch, version.saturating_sub(*back));
                let fence = old.fencing_number();
                self.engine.execute(OrderKind::Load(old), fence);
                self.engine.execute(OrderKind::Switch(old), fence);
            }
            Event::EngineCrash => self.engine.crash(),
            Event::AgentRestart => {
                self.agent = Reconciler::new(ReconcileSettings::default());
                self.send_target();
            }
            Event::Frozen => self.now_ms += 600_000,
            fault => self.exchange(fault),
        }
    }

    /// Runs for 30 s without faults and returns whether the target was reached. Every wake-up must
    /// result in an order.
    fn settles_without_idle_wakes(mut self) -> bool {
        let end_ms = self.now_ms + 30_000;
        while self.now_ms < end_ms {
            let orders = self.orders.len();
            self.exchange(&Event::CarriedOut);
            assert_eq!(
                self.orders.len(),
                orders + 1,
                "the agent woke at {} ms without an order",
                self.now_ms
            );
        }
        let status = self.agent.status(self.now_ms);
        let reached = Some(self.target.serve);
        let holds = self.engine.state.holds(self.target.load) && status.loaded;
        let serves = self.engine.state.version == reached && status.serving == reached;
        serves && holds && !status.too_old
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
            Event::FalseSuccess if order.kind.is_change() => OrderOutcome::Done,
            Event::ResponseLost => {
                self.engine.execute(order.kind, order.fence);
                OrderOutcome::Unknown
            }
            _ => self.engine.execute(order.kind, order.fence),
        };
        self.now_ms += 5;
        self.agent.finish_order(order.id, outcome, self.now_ms, 500);
    }
}

checks::seeded! {
    // Lost, refused, falsely confirmed and late orders could leave the engine at a wrong version.
    // Once the faults end, the engine must serve the target within 30 s (the longest backoff and
    // its orders), and the agent must report that and never wake without an order.
    fn can_reach_the_target_version_after_any_faults(events: Vec<Event>, checks_fence: bool) -> bool {
        let mut world = World::new(checks_fence);
        events.iter().for_each(|event| world.apply(event));
        world.settles_without_idle_wakes()
    }
}

#[test]
fn can_avoid_an_idle_wake_up_when_the_uncertain_period_ends_before_the_next_read() {
    // A load gets no response, so the agent reads the state at the shorter interval. The period
    // in which the load may still take effect ends before the next such read is due. The agent
    // woke at that time although no order was due. The sequence was found with seed 231.
    let mut world = World::new(false);
    let events = [
        Event::Prepare { ahead: 3 },
        Event::CarriedOut,
        Event::FalseSuccess,
        Event::CarriedOut,
        Event::Refused,
        Event::EngineCrash,
        Event::FalseSuccess,
        Event::Refused,
        Event::StoreBusy,
        Event::Refused,
        Event::ResponseLost,
        Event::StoreBusy,
        Event::Refused,
        Event::Refused,
        Event::Refused,
    ];
    events.iter().for_each(|event| world.apply(event));
    assert!(world.settles_without_idle_wakes());
}

#[test]
fn can_load_before_the_switch_and_read_after_each_change() {
    let mut world = World::new(true);
    (0..3).for_each(|_| world.exchange(&Event::CarriedOut));
    world.apply(&Event::Announce);
    (0..5).for_each(|_| world.exchange(&Event::CarriedOut));
    let next = at(1, 2);
    let expected = [
        OrderKind::CancelEarlier,
        OrderKind::Read,
        OrderKind::Read,
        OrderKind::Load(next),
        OrderKind::Read,
        OrderKind::Switch(next),
        OrderKind::Read,
        OrderKind::Read,
    ];
    assert_eq!(world.orders, expected);
}

#[test]
fn can_read_the_state_again_after_a_freeze_before_any_change() {
    // The agent reads the state, is frozen for ten minutes, and receives a new version when it
    // continues. Meanwhile the engine has crashed and has no version in memory. An order based
    // on the outdated state would fail or have the wrong effect.
    let mut world = World::new(false);
    (0..2).for_each(|_| world.exchange(&Event::CarriedOut));
    world.engine.crash();
    world.apply(&Event::Frozen);
    world.apply(&Event::Announce);
    assert_eq!(world.order().unwrap().kind, OrderKind::Read);
}

#[test]
fn can_ignore_the_late_outcome_of_an_order_that_timed_out() {
    // A load times out, and the agent sends the next order. Then the failure of the first load
    // arrives. It must not end the second order, which is still in flight.
    let mut world = World::new(true);
    (0..2).for_each(|_| world.exchange(&Event::CarriedOut));
    world.apply(&Event::Announce);
    let first = loop {
        let order = world.order().unwrap();
        if order.kind == OrderKind::Load(at(1, 2)) {
            break order;
        }
        let outcome = world.engine.execute(order.kind, order.fence);
        world
            .agent
            .finish_order(order.id, outcome, world.now_ms, 500);
    };
    world.now_ms += 60_000;
    let second = world.order().unwrap();
    assert_ne!(first.id, second.id);
    world
        .agent
        .finish_order(first.id, OrderOutcome::Failed, world.now_ms, 500);
    assert!(world.agent.status(world.now_ms).order_in_flight);
}

#[test]
fn can_leave_an_engine_with_a_newer_version_unchanged() {
    // The agent has missed a roll-back that its engine already serves. An order to serve the
    // agent's older target would undo the roll-back, so the agent only reports that its target is
    // outdated.
    let mut world = World::new(false);
    world.engine = Engine::new(at(2, 1), false);
    (0..6).for_each(|_| world.exchange(&Event::CarriedOut));
    assert_eq!(world.engine.state.version, Some(at(2, 1)));
    assert!(world.agent.status(world.now_ms).target_outdated);
}

#[test]
fn can_back_off_from_an_engine_that_reports_success_without_effect() {
    let mut world = World::new(false);
    (0..2).for_each(|_| world.exchange(&Event::CarriedOut));
    world.apply(&Event::Announce);
    let start_ms = world.now_ms;
    world.orders.clear();
    while world.now_ms < start_ms + 60_000 {
        world.exchange(&Event::FalseSuccess);
    }
    let loads = world.orders.iter().filter(|kind| kind.is_change()).count();
    assert!(
        (5..20).contains(&loads),
        "{loads} changes were ordered in a minute"
    );
}

#[test]
fn can_delay_the_load_while_the_old_version_is_served() {
    let mut world = World::new(true);
    (0..2).for_each(|_| world.exchange(&Event::CarriedOut));
    let start_ms = world.now_ms;
    world.target = Target::serve(at(1, 2));
    let delays = LoadDelays {
        serve_ms: 30_000,
        preload_ms: 0,
    };
    world.agent.set_target(world.target, delays, start_ms);
    while world.engine.state.version != Some(at(1, 2)) {
        assert!(world.agent.status(world.now_ms).too_old);
        world.exchange(&Event::CarriedOut);
        let loaded = world.engine.state.loaded.contains(&at(1, 2));
        assert!(!loaded || world.now_ms >= start_ms + 30_000);
    }
}

#[test]
fn can_preload_after_the_delay_and_switch_at_once() {
    // The trainer announces a version ahead of time, and the agent loads it after its delay while
    // the engine serves the old version. When the version becomes active, the switch must follow
    // without another load, which would delay it.
    let mut world = World::new(true);
    (0..3).for_each(|_| world.exchange(&Event::CarriedOut));
    let start_ms = world.now_ms;
    let (old, next) = (at(1, 1), at(1, 2));
    world.target = Target {
        serve: old,
        load: next,
    };
    let delays = LoadDelays {
        serve_ms: 0,
        preload_ms: 30_000,
    };
    world.agent.set_target(world.target, delays, start_ms);
    while !world.engine.state.holds(next) {
        world.exchange(&Event::CarriedOut);
    }
    assert!(world.now_ms >= start_ms + 30_000);
    assert_eq!(world.engine.state.version, Some(old));
    world.exchange(&Event::CarriedOut);
    world.orders.clear();
    let announced_ms = world.now_ms;
    world.announce(next);
    while world.engine.state.version != Some(next) {
        world.exchange(&Event::CarriedOut);
    }
    assert!(!world.orders.contains(&OrderKind::Load(next)));
    assert!(world.now_ms <= announced_ms + 20, "{:?}", world.orders);
}

#[test]
fn can_load_at_once_when_a_version_becomes_active_before_its_preload() {
    // The version becomes active 30 s before the replica's preload is due. A replica that waited
    // for its preload delay would serve the old version longer than all others.
    let mut world = World::new(true);
    (0..3).for_each(|_| world.exchange(&Event::CarriedOut));
    let (old, next) = (at(1, 1), at(1, 2));
    let delays = LoadDelays {
        serve_ms: 0,
        preload_ms: 30_000,
    };
    let start_ms = world.now_ms;
    world.agent.set_target(
        Target {
            serve: old,
            load: next,
        },
        delays,
        start_ms,
    );
    world.target = Target::serve(next);
    world.agent.set_target(world.target, delays, start_ms);
    while world.engine.state.version != Some(next) {
        world.exchange(&Event::CarriedOut);
    }
    assert!(world.now_ms < start_ms + 1_000);
}

#[test]
fn can_switch_to_a_version_below_a_preloaded_one() {
    // The engine checks fencing tokens and has preloaded version 4 when version 2 becomes active.
    // If a load carried the fencing token of the loaded version, the engine would refuse
    // version 2 until version 4 becomes active, and samples would be too old.
    let mut world = World::new(true);
    world.apply(&Event::Prepare { ahead: 3 });
    while !world.engine.state.holds(at(1, 4)) {
        world.exchange(&Event::CarriedOut);
    }
    world.apply(&Event::Announce);
    (0..6).for_each(|_| world.exchange(&Event::CarriedOut));
    assert_eq!(world.engine.state.version, Some(at(1, 2)));
}

#[test]
fn can_detect_soon_an_order_that_an_engine_carries_out_late() {
    // A switch gets no response, and the agent moves on to the next version. The engine ignores
    // fencing tokens, carries out the old switch late, and serves the old version until the next
    // read. The agent reads five times a second while that is possible, and once a second later.
    let mut world = World::new(false);
    (0..3).for_each(|_| world.exchange(&Event::CarriedOut));
    world.apply(&Event::Announce);
    let switch = OrderKind::Switch(at(1, 2));
    while world.orders.last() != Some(&switch) {
        let order = world.order().unwrap();
        let outcome = match order.kind {
            kind if kind == switch => OrderOutcome::Unknown,
            kind => world.engine.execute(kind, order.fence),
        };
        world
            .agent
            .finish_order(order.id, outcome, world.now_ms, 500);
    }
    world.apply(&Event::Announce);
    (0..20).for_each(|_| world.exchange(&Event::CarriedOut));
    for (wait_ms, served_ms_max) in [(0, 250), (120_000, 1_050)] {
        let until_ms = world.now_ms + wait_ms;
        while world.now_ms < until_ms {
            world.exchange(&Event::CarriedOut);
        }
        world.apply(&Event::OldOrder { back: 1 });
        let start_ms = world.now_ms;
        while world.engine.state.version != Some(at(1, 3)) {
            world.exchange(&Event::CarriedOut);
        }
        let served_ms = world.now_ms - start_ms;
        assert!(
            served_ms <= served_ms_max,
            "the old version was served for {served_ms} ms"
        );
    }
}
