//! An agent brings its own engine to the wanted version.
//!
//! One order is in flight at most: load first, then switch. After each order the state
//! is read back, whatever the engine answered, and only what was read counts. So a lost
//! answer, a failed swap, a refused fencing number and an old order that slips in at an
//! engine that ignores the number are all the same case: the state differs from the
//! wanted one, and the next order follows. No lease is needed, because nobody else
//! orders this engine, and an order carries a number that grows with (epoch, version).
//!
//! The engine serves its old version while it loads, so every replica of a service may
//! be behind its turn at the store and the service still answers. How old that version
//! is stands in [`Status`].

use derive::value;
use types::{WeightTarget as Target, WeightVersion};

use crate::order::{EngineState, Order, OrderId, OrderKind, OrderOutcome};
use crate::settings::ReconcileSettings;
use crate::status::Status;

#[value]
struct Belief {
    state: EngineState,
    read_ms: u64,
}

#[value]
struct Unproved {
    kind: OrderKind,
    /// Its failure has been counted already.
    counted: bool,
}

#[value]
struct InFlight {
    order: Order,
    sent_ms: u64,
}

/// This replica's waits at the store, from the news on.
#[value]
#[derive(Copy, Default)]
pub struct LoadDelays {
    /// Before it loads the version to serve, in milliseconds.
    pub serve_ms: u64,
    /// Before it loads a version that is named ahead of time, in milliseconds.
    pub preload_ms: u64,
}

/// State machine of one model at one engine.
#[derive(Clone, Debug)]
pub struct Reconciler {
    settings: ReconcileSettings,
    target: Option<Target>,
    /// Earliest time to load the version to serve: the replica's turn at the store.
    serve_after_ms: u64,
    /// Earliest time to load a version ahead of time.
    ahead_after_ms: u64,
    belief: Option<Belief>,
    /// The belief may have been overtaken by an order; read before the next one.
    belief_open: bool,
    in_flight: Option<InFlight>,
    /// The last change; the next read says whether it took effect.
    unproved: Option<Unproved>,
    read_after_ms: u64,
    change_after_ms: u64,
    failures: u32,
    fence_refused: bool,
    earlier_cancelled: bool,
    /// Until when an order that was given up on may still take effect; `None` before the
    /// first look at the time.
    doubt_until_ms: Option<u64>,
    next_id: u64,
}

impl Reconciler {
    /// An agent that has just started beside an engine that may have lived on.
    pub fn new(settings: ReconcileSettings) -> Self {
        Self {
            settings,
            target: None,
            serve_after_ms: 0,
            ahead_after_ms: 0,
            belief: None,
            belief_open: true,
            in_flight: None,
            unproved: None,
            read_after_ms: 0,
            change_after_ms: 0,
            failures: 0,
            fence_refused: false,
            earlier_cancelled: false,
            doubt_until_ms: None,
            next_id: 1,
        }
    }

    /// The target is news.
    pub fn set_target(&mut self, target: Target, turns: LoadDelays, now_ms: u64) {
        if self.target == Some(target) {
            return;
        }
        // A version that comes in force before its turn to be loaded ahead waits no longer
        // than one that was never named before.
        if self.target.is_none_or(|old| old.serve != target.serve) {
            self.serve_after_ms = now_ms + turns.serve_ms;
        }
        if self.target.is_none_or(|old| old.load != target.load) {
            self.ahead_after_ms = now_ms + turns.preload_ms;
        }
        self.target = Some(target);
        self.fence_refused = false;
        // Failures with an older version say nothing of this one.
        self.failures = 0;
        self.change_after_ms = now_ms;
    }

    /// The next order, if one is due. `random_permille` is 0 to 999.
    pub fn poll(&mut self, now_ms: u64, random_permille: u64) -> Option<Order> {
        // An earlier life of this agent may have left an order behind.
        let timeout_ms = self.settings.order_timeout_ms;
        self.doubt_until_ms.get_or_insert(now_ms + timeout_ms);
        self.drop_overdue(now_ms, random_permille);
        if self.in_flight.is_some() {
            return None;
        }
        let kind = self.next_kind(now_ms)?;
        Some(self.send(kind, now_ms))
    }

    /// When `poll` is next worth a call, if nothing else happens.
    pub fn next_due_ms(&self, now_ms: u64) -> u64 {
        if let Some(in_flight) = &self.in_flight {
            return in_flight.sent_ms + self.settings.order_timeout_ms;
        }
        let Some(belief) = self.belief.as_ref().filter(|_| !self.belief_open) else {
            return self.read_after_ms.max(now_ms);
        };
        let check_interval_ms = self.watch_due_ms(belief.read_ms, now_ms);
        let Some(change) = self.wanted_order(&belief.state) else {
            return check_interval_ms.max(now_ms);
        };
        let mut change_ms = self.due_ms(change).max(now_ms);
        let is_old = change_ms.saturating_sub(belief.read_ms) > self.settings.state_age_ms_max;
        if is_old {
            change_ms = change_ms.max(self.read_after_ms);
        }
        change_ms.min(check_interval_ms.max(now_ms))
    }

    /// An order ended. An id that is not in flight belongs to an order given up on and
    /// is ignored: the read after it already tells the truth.
    pub fn finish_order(
        &mut self,
        id: OrderId,
        outcome: OrderOutcome,
        now_ms: u64,
        random_permille: u64,
    ) {
        let Some(in_flight) = self.in_flight.take_if(|f| f.order.id == id) else {
            return;
        };
        match in_flight.order.kind {
            OrderKind::CancelEarlier => self.earlier_cancelled = true,
            OrderKind::Read => self.read_ended(outcome, in_flight.sent_ms, now_ms, random_permille),
            kind => self.change_ended(kind, outcome, now_ms, random_permille),
        }
    }

    /// State for people and peers.
    pub fn status(&self, now_ms: u64) -> Status {
        let serving = self.belief.as_ref().and_then(|belief| belief.state.version);
        let wanted = self.target.map(|target| target.serve);
        let behind = serving.zip(wanted).and_then(|(s, w)| behind(s, w));
        let load = self.target.map(|target| target.load);
        let holds = |version| self.belief.as_ref().is_some_and(|b| b.state.holds(version));
        let judged = serving.is_some() && wanted.is_some();
        Status {
            serving,
            wanted,
            load,
            loaded: load.is_some_and(holds),
            read_age_ms: self
                .belief
                .as_ref()
                .map(|b| now_ms.saturating_sub(b.read_ms)),
            versions_behind: behind,
            too_old: judged && behind.is_none_or(|lag| lag > self.settings.staleness_bound),
            target_outdated: self.fence_refused || serving > wanted,
            failures: self.failures,
            order_in_flight: self.in_flight.is_some(),
        }
    }

    fn next_kind(&self, now_ms: u64) -> Option<OrderKind> {
        if !self.earlier_cancelled {
            return Some(OrderKind::CancelEarlier);
        }
        let may_read = now_ms >= self.read_after_ms;
        let read = may_read.then_some(OrderKind::Read);
        let Some(belief) = self.belief.as_ref().filter(|_| !self.belief_open) else {
            return read;
        };
        let age_ms = now_ms.saturating_sub(belief.read_ms);
        let change = self.wanted_order(&belief.state);
        match change.filter(|&kind| now_ms >= self.due_ms(kind)) {
            // A frozen process wakes with an old belief: another life of the engine or a
            // switch may have come since. Read first, then decide again.
            Some(_) if age_ms > self.settings.state_age_ms_max => read,
            Some(kind) => Some(kind),
            None => read.filter(|_| age_ms >= self.current_check_interval_ms(now_ms)),
        }
    }

    /// What brings the engine nearer to the target, whenever its time is.
    fn wanted_order(&self, state: &EngineState) -> Option<OrderKind> {
        let target = self.target?;
        // Serving something newer means that this agent has missed news. Versions only
        // go up; going back here would undo a roll-back.
        if state.version > Some(target.serve) {
            return None;
        }
        let serves = state.version == Some(target.serve);
        if !serves && state.holds(target.serve) {
            return Some(OrderKind::Switch(target.serve));
        }
        if !serves {
            return Some(OrderKind::Load(target.serve));
        }
        let prepared = state.holds(target.load);
        (!prepared).then_some(OrderKind::Load(target.load))
    }

    /// Time between two looks at an engine that is as wanted.
    ///
    /// An order that got no answer may be carried out late, after newer ones: an engine
    /// that does not check the fencing number then serves an old version again, and
    /// samples grow stale until the next look. While that can happen the looks come
    /// more often.
    fn current_check_interval_ms(&self, now_ms: u64) -> u64 {
        if self
            .doubt_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
        {
            self.settings.uncertain_check_interval_ms
        } else {
            self.settings.check_interval_ms
        }
    }

    /// When the engine is looked at next, if nothing is ordered before.
    ///
    /// Doubt may end before the early look would come. Then the look is not due at that time,
    /// and waking for it would do nothing.
    fn watch_due_ms(&self, read_ms: u64, now_ms: u64) -> u64 {
        let earliest_ms = self.read_after_ms.max(now_ms);
        let early_ms = earliest_ms.max(read_ms + self.settings.uncertain_check_interval_ms);
        match self.doubt_until_ms {
            Some(until_ms) if early_ms < until_ms => early_ms,
            _ => earliest_ms.max(read_ms + self.settings.check_interval_ms),
        }
    }

    /// When this change may be ordered.
    fn due_ms(&self, kind: OrderKind) -> u64 {
        match kind {
            OrderKind::Load(version) if self.is_wanted_now(version) => {
                self.change_after_ms.max(self.serve_after_ms)
            }
            OrderKind::Load(_) => self.change_after_ms.max(self.ahead_after_ms),
            _ => self.change_after_ms,
        }
    }

    fn is_wanted_now(&self, version: WeightVersion) -> bool {
        self.target.is_some_and(|target| target.serve == version)
    }

    fn send(&mut self, kind: OrderKind, now_ms: u64) -> Order {
        let order = Order {
            id: OrderId(self.next_id),
            kind,
            // Of the version to serve also where another one is ordered: an engine that has
            // loaded version 7 ahead of time under its own number would refuse the switch to
            // version 6, and stay behind until 7 comes in force.
            fence: self
                .target
                .map_or(0, |target| target.serve.fencing_number()),
            send_before_ms: now_ms + self.settings.state_age_ms_max,
        };
        self.next_id += 1;
        self.in_flight = Some(InFlight {
            order,
            sent_ms: now_ms,
        });
        order
    }

    fn drop_overdue(&mut self, now_ms: u64, random_permille: u64) {
        let timeout_ms = self.settings.order_timeout_ms;
        let overdue = |f: &InFlight| now_ms.saturating_sub(f.sent_ms) >= timeout_ms;
        if let Some(id) = self
            .in_flight
            .as_ref()
            .filter(|f| overdue(f))
            .map(|f| f.order.id)
        {
            self.finish_order(id, OrderOutcome::Unknown, now_ms, random_permille);
        }
    }

    fn read_ended(&mut self, outcome: OrderOutcome, sent_ms: u64, now_ms: u64, random: u64) {
        let OrderOutcome::State(state) = outcome else {
            self.failures = self.failures.saturating_add(1);
            self.read_after_ms = now_ms + self.settings.backoff.wait_ms(self.failures, random);
            return;
        };
        self.prove_last_change(&state, now_ms, random);
        // The age counts from the question: the answer may have been long on its way.
        self.belief = Some(Belief {
            state,
            read_ms: sent_ms,
        });
        self.belief_open = false;
    }

    /// Only the state says whether a change took effect. An engine that answers "done"
    /// and does nothing is backed off from like one that fails; a change whose answer was
    /// lost counts as done if it shows.
    fn prove_last_change(&mut self, state: &EngineState, now_ms: u64, random_permille: u64) {
        let Some(unproved) = self.unproved.take() else {
            return;
        };
        let shows = match unproved.kind {
            OrderKind::Load(version) => state.holds(version),
            OrderKind::Switch(version) => state.version == Some(version),
            OrderKind::CancelEarlier | OrderKind::Read => true,
        };
        if shows {
            self.failures = 0;
            self.change_after_ms = now_ms;
        } else if !unproved.counted {
            self.change_failed(now_ms, random_permille);
        }
    }

    fn change_ended(&mut self, kind: OrderKind, outcome: OrderOutcome, now_ms: u64, random: u64) {
        self.belief_open = true;
        // The read that follows an order is never put off.
        self.read_after_ms = now_ms;
        let done = outcome == OrderOutcome::Done;
        self.unproved = Some(Unproved {
            kind,
            counted: !done,
        });
        self.fence_refused = outcome == OrderOutcome::OldFence;
        if outcome == OrderOutcome::Unknown {
            self.doubt_until_ms = Some(now_ms + self.settings.order_timeout_ms);
        }
        if !done {
            self.change_failed(now_ms, random);
        }
        if let OrderOutcome::StoreBusy {
            retry_after_ms: Some(asked_ms),
        } = outcome
        {
            self.change_after_ms = self.change_after_ms.max(now_ms + asked_ms);
        }
    }

    fn change_failed(&mut self, now_ms: u64, random_permille: u64) {
        self.failures = self.failures.saturating_add(1);
        let wait_ms = self
            .settings
            .backoff
            .wait_ms(self.failures, random_permille);
        self.change_after_ms = now_ms + wait_ms;
    }
}

fn behind(serving: WeightVersion, wanted: WeightVersion) -> Option<u64> {
    let same_epoch = serving.epoch == wanted.epoch;
    same_epoch.then(|| wanted.version.saturating_sub(serving.version))
}
