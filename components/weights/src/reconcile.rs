//! Moves the agent's own engine to the target version.
//!
//! At most one order is in flight: first the load, then the switch. After each change the agent
//! reads the engine's state, whatever the engine reported, and decides only on the state it
//! read. A lost response, a failed switch, a refused fencing token, and an old order that is
//! carried out late by an engine that ignores fencing tokens are therefore handled alike: the
//! state differs from the target, and the next order follows. No lease is needed, because no
//! other process sends orders to this engine, and each order carries a fencing token that
//! grows with (epoch, version).
//!
//! The engine serves its old version while it loads, so the service remains available even if
//! all its replicas still wait to load from the store. [`Status`] shows how old the served
//! version is.

use derive::value;
use types::{WeightTarget as Target, WeightVersion};

use crate::order::{EngineState, Order, OrderId, OrderKind, OrderOutcome};
use crate::settings::ReconcileSettings;
use crate::status::Status;

#[value]
struct ObservedState {
    state: EngineState,
    /// Time at which the read order was sent.
    read_ms: u64,
}

/// A change of which no later read has shown whether it took effect.
#[value]
struct UnverifiedChange {
    kind: OrderKind,
    /// The outcome of the order was already counted as a failure.
    failure_counted: bool,
}

#[value]
struct InFlight {
    order: Order,
    sent_ms: u64,
}

/// Delays before this replica loads weights from the store, counted from the new target.
#[value]
#[derive(Copy, Default)]
pub struct LoadDelays {
    /// Delay before the load of the version to serve, in milliseconds.
    pub serve_ms: u64,
    /// Delay before the load of a version that is announced ahead of time, in milliseconds.
    pub preload_ms: u64,
}

/// State machine of one model at one engine.
#[derive(Clone, Debug)]
pub struct Reconciler {
    settings: ReconcileSettings,
    target: Option<Target>,
    /// Earliest time to load the version to serve.
    serve_after_ms: u64,
    /// Earliest time to load a version that is announced ahead of time.
    preload_after_ms: u64,
    observed: Option<ObservedState>,
    /// A change was sent since the last read, so the state must be read before the next order.
    read_required: bool,
    in_flight: Option<InFlight>,
    /// The last change, until the next read shows whether it took effect.
    unverified: Option<UnverifiedChange>,
    read_after_ms: u64,
    change_after_ms: u64,
    failures: u32,
    fence_refused: bool,
    earlier_calls_cancelled: bool,
    /// Time until which an order without a response may still take effect; `None` before the
    /// first call of [`Self::poll`].
    uncertain_until_ms: Option<u64>,
    next_id: u64,
}

impl Reconciler {
    /// Creates the state machine of an agent that has just started. The engine may have been
    /// running before, with orders of an earlier process of the agent.
    pub fn new(settings: ReconcileSettings) -> Self {
        Self {
            settings,
            target: None,
            serve_after_ms: 0,
            preload_after_ms: 0,
            observed: None,
            read_required: true,
            in_flight: None,
            unverified: None,
            read_after_ms: 0,
            change_after_ms: 0,
            failures: 0,
            fence_refused: false,
            earlier_calls_cancelled: false,
            uncertain_until_ms: None,
            next_id: 1,
        }
    }

    /// Sets a new target. `delays` count from `now_ms`. Does nothing if the target is unchanged.
    pub fn set_target(&mut self, target: Target, delays: LoadDelays, now_ms: u64) {
        if self.target == Some(target) {
            return;
        }
        // A version that becomes active before its preload delay has passed waits no longer than a
        // version that was never announced ahead of time.
        if self.target.is_none_or(|old| old.serve != target.serve) {
            self.serve_after_ms = now_ms + delays.serve_ms;
        }
        if self.target.is_none_or(|old| old.load != target.load) {
            self.preload_after_ms = now_ms + delays.preload_ms;
        }
        self.target = Some(target);
        self.fence_refused = false;
        // Failures of an older target do not delay the new one.
        self.failures = 0;
        self.change_after_ms = now_ms;
    }

    /// Returns the next order, if one is due. `random_permille` (0 to 999) adds jitter to the
    /// backoff.
    pub fn poll(&mut self, now_ms: u64, random_permille: u64) -> Option<Order> {
        // An order of an earlier process of this agent may still take effect.
        let timeout_ms = self.settings.order_timeout_ms;
        self.uncertain_until_ms.get_or_insert(now_ms + timeout_ms);
        self.expire_overdue_order(now_ms, random_permille);
        if self.in_flight.is_some() {
            return None;
        }
        let kind = self.next_order_kind(now_ms)?;
        Some(self.create_order(kind, now_ms))
    }

    /// Time at which [`Self::poll`] must be called next if no other event occurs before.
    pub fn next_due_ms(&self, now_ms: u64) -> u64 {
        if let Some(in_flight) = &self.in_flight {
            return in_flight.sent_ms + self.settings.order_timeout_ms;
        }
        let Some(observed) = self.observed.as_ref().filter(|_| !self.read_required) else {
            return self.read_after_ms.max(now_ms);
        };
        let check_ms = self.next_check_ms(observed.read_ms, now_ms);
        let Some(change) = self.next_change(&observed.state) else {
            return check_ms.max(now_ms);
        };
        let mut change_ms = self.change_due_ms(change).max(now_ms);
        let is_old = change_ms.saturating_sub(observed.read_ms) > self.settings.state_age_ms_max;
        if is_old {
            change_ms = change_ms.max(self.read_after_ms);
        }
        change_ms.min(check_ms.max(now_ms))
    }

    /// Processes the outcome of an order. An id that is not in flight belongs to an order that
    /// timed out and is ignored, because the read after the timeout shows the engine's state.
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
            OrderKind::CancelEarlier => self.earlier_calls_cancelled = true,
            OrderKind::Read => {
                self.finish_read(outcome, in_flight.sent_ms, now_ms, random_permille)
            }
            kind => self.finish_change(kind, outcome, now_ms, random_permille),
        }
    }

    /// Current status, for the status page and for peers.
    pub fn status(&self, now_ms: u64) -> Status {
        let serving = self
            .observed
            .as_ref()
            .and_then(|observed| observed.state.version);
        let wanted = self.target.map(|target| target.serve);
        let versions_behind = serving.zip(wanted).and_then(|(s, w)| version_lag(s, w));
        let load = self.target.map(|target| target.load);
        let holds = |version| {
            self.observed
                .as_ref()
                .is_some_and(|observed| observed.state.holds(version))
        };
        let versions_known = serving.is_some() && wanted.is_some();
        Status {
            serving,
            wanted,
            load,
            loaded: load.is_some_and(holds),
            read_age_ms: self
                .observed
                .as_ref()
                .map(|observed| now_ms.saturating_sub(observed.read_ms)),
            versions_behind,
            too_old: versions_known
                && versions_behind.is_none_or(|lag| lag > self.settings.staleness_bound),
            target_outdated: self.fence_refused || serving > wanted,
            failures: self.failures,
            order_in_flight: self.in_flight.is_some(),
        }
    }

    fn next_order_kind(&self, now_ms: u64) -> Option<OrderKind> {
        if !self.earlier_calls_cancelled {
            return Some(OrderKind::CancelEarlier);
        }
        let may_read = now_ms >= self.read_after_ms;
        let read = may_read.then_some(OrderKind::Read);
        let Some(observed) = self.observed.as_ref().filter(|_| !self.read_required) else {
            return read;
        };
        let age_ms = now_ms.saturating_sub(observed.read_ms);
        let change = self.next_change(&observed.state);
        match change.filter(|&kind| now_ms >= self.change_due_ms(kind)) {
            // The process was frozen and its last read is too old: the engine may have restarted
            // or switched since. Read the state again before the next decision.
            Some(_) if age_ms > self.settings.state_age_ms_max => read,
            Some(kind) => Some(kind),
            None => read.filter(|_| age_ms >= self.current_check_interval_ms(now_ms)),
        }
    }

    /// Change that moves the engine towards the target, whether or not it is due yet.
    fn next_change(&self, state: &EngineState) -> Option<OrderKind> {
        let target = self.target?;
        // If the engine serves a newer version, this agent has missed an announcement. Versions
        // only grow, and an order to serve the older version would undo a roll-back.
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

    /// Interval between reads of an engine whose state equals the target.
    ///
    /// An order without a response may be carried out late, after newer orders. An engine that
    /// does not check fencing tokens then serves an old version again, and its samples are too
    /// old until the next read. While that is possible, the state is read more often.
    fn current_check_interval_ms(&self, now_ms: u64) -> u64 {
        if self
            .uncertain_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
        {
            self.settings.uncertain_check_interval_ms
        } else {
            self.settings.check_interval_ms
        }
    }

    /// Time of the next read if no change is ordered before.
    ///
    /// The period in which a late order may take effect can end before the shorter interval has
    /// passed. Then no read is due after that interval, and a wake-up would have no effect.
    fn next_check_ms(&self, read_ms: u64, now_ms: u64) -> u64 {
        let earliest_ms = self.read_after_ms.max(now_ms);
        let early_ms = earliest_ms.max(read_ms + self.settings.uncertain_check_interval_ms);
        match self.uncertain_until_ms {
            Some(until_ms) if early_ms < until_ms => early_ms,
            _ => earliest_ms.max(read_ms + self.settings.check_interval_ms),
        }
    }

    /// Earliest time at which this change may be ordered.
    fn change_due_ms(&self, kind: OrderKind) -> u64 {
        match kind {
            OrderKind::Load(version) if self.is_version_to_serve(version) => {
                self.change_after_ms.max(self.serve_after_ms)
            }
            OrderKind::Load(_) => self.change_after_ms.max(self.preload_after_ms),
            _ => self.change_after_ms,
        }
    }

    fn is_version_to_serve(&self, version: WeightVersion) -> bool {
        self.target.is_some_and(|target| target.serve == version)
    }

    fn create_order(&mut self, kind: OrderKind, now_ms: u64) -> Order {
        let order = Order {
            id: OrderId(self.next_id),
            kind,
            // The number of the version to serve is used even if another version is loaded. An
            // engine that loaded version 7 ahead of time with the number of version 7 would
            // refuse the switch to version 6, and stay behind until version 7 becomes active.
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

    fn expire_overdue_order(&mut self, now_ms: u64, random_permille: u64) {
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

    fn finish_read(&mut self, outcome: OrderOutcome, sent_ms: u64, now_ms: u64, random: u64) {
        let OrderOutcome::State(state) = outcome else {
            self.failures = self.failures.saturating_add(1);
            self.read_after_ms = now_ms + self.settings.backoff.wait_ms(self.failures, random);
            return;
        };
        self.verify_last_change(&state, now_ms, random);
        // The age counts from the request, because the response may have been delayed.
        self.observed = Some(ObservedState {
            state,
            read_ms: sent_ms,
        });
        self.read_required = false;
    }

    /// Checks in the state that was read whether the last change took effect. If it did not, the
    /// backoff applies even if the engine reported success. If it did, the change counts as
    /// successful even if the response was lost.
    fn verify_last_change(&mut self, state: &EngineState, now_ms: u64, random_permille: u64) {
        let Some(unverified) = self.unverified.take() else {
            return;
        };
        let took_effect = match unverified.kind {
            OrderKind::Load(version) => state.holds(version),
            OrderKind::Switch(version) => state.version == Some(version),
            OrderKind::CancelEarlier | OrderKind::Read => true,
        };
        if took_effect {
            self.failures = 0;
            self.change_after_ms = now_ms;
        } else if !unverified.failure_counted {
            self.record_change_failure(now_ms, random_permille);
        }
    }

    fn finish_change(&mut self, kind: OrderKind, outcome: OrderOutcome, now_ms: u64, random: u64) {
        self.read_required = true;
        // The read that follows a change is never delayed by the backoff.
        self.read_after_ms = now_ms;
        let done = outcome == OrderOutcome::Done;
        self.unverified = Some(UnverifiedChange {
            kind,
            failure_counted: !done,
        });
        self.fence_refused = outcome == OrderOutcome::OldFence;
        if outcome == OrderOutcome::Unknown {
            self.uncertain_until_ms = Some(now_ms + self.settings.order_timeout_ms);
        }
        if !done {
            self.record_change_failure(now_ms, random);
        }
        if let OrderOutcome::StoreBusy {
            retry_after_ms: Some(store_wait_ms),
        } = outcome
        {
            self.change_after_ms = self.change_after_ms.max(now_ms + store_wait_ms);
        }
    }

    fn record_change_failure(&mut self, now_ms: u64, random_permille: u64) {
        self.failures = self.failures.saturating_add(1);
        let wait_ms = self
            .settings
            .backoff
            .wait_ms(self.failures, random_permille);
        self.change_after_ms = now_ms + wait_ms;
    }
}

fn version_lag(serving: WeightVersion, wanted: WeightVersion) -> Option<u64> {
    let same_epoch = serving.epoch == wanted.epoch;
    same_epoch.then(|| wanted.version.saturating_sub(serving.version))
}
