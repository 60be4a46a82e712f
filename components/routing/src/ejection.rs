//! Ejection of replicas that fail call after call.
//!
//! Ejection is this entry's own suspicion, so it has a floor: a fault of the network
//! beside this entry, or a whole-service outage, would otherwise take every replica
//! away and turn an outage of some into an outage of all. When its time is over a
//! replica is half open: one call at a time probes it.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use derive::key;

use crate::settings::Settings;
use crate::table::Table;

/// What a call's end says about its replica.
#[key]
pub enum Outcome {
    /// The replica answered, be it with a refusal of its own.
    Answered,
    /// The replica failed: connection lost, answer cut, error of the endpoint.
    Failed,
    /// Says nothing: cancelled, or refused before it was sent.
    Inconclusive,
}

/// Whether a replica may be chosen.
#[key]
pub(crate) enum EjectionState {
    Available,
    HalfOpen,
    Ejected,
}

const NOT_EJECTED: u64 = 0;

#[derive(Debug)]
pub(crate) struct Health {
    failures: AtomicU32,
    /// [`NOT_EJECTED`], or the time from which the replica is half open.
    ejected_until_ms: AtomicU64,
    ejections: AtomicU32,
    probing: AtomicBool,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self {
            failures: AtomicU32::new(0),
            ejected_until_ms: AtomicU64::new(NOT_EJECTED),
            ejections: AtomicU32::new(0),
            probing: AtomicBool::new(false),
        }
    }

    pub(crate) fn ejection_state(&self, now_ms: u64) -> EjectionState {
        match self.ejected_until_ms.load(Ordering::Relaxed) {
            NOT_EJECTED => EjectionState::Available,
            until_ms if now_ms < until_ms => EjectionState::Ejected,
            _ if self.probing.load(Ordering::Relaxed) => EjectionState::Ejected,
            _ => EjectionState::HalfOpen,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until_ms() != NOT_EJECTED
    }

    pub(crate) fn ejected_until_ms(&self) -> u64 {
        self.ejected_until_ms.load(Ordering::Relaxed)
    }

    /// Takes the one probe; false when another call has it.
    pub(crate) fn begin_probe(&self) -> bool {
        !self.probing.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn end_probe(&self) {
        self.probing.store(false, Ordering::Relaxed);
    }

    pub(crate) fn restore(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
        self.ejected_until_ms.store(NOT_EJECTED, Ordering::Relaxed);
    }

    fn eject(&self, settings: &Settings, now_ms: u64) {
        const DOUBLINGS_MAX: u32 = 16;
        let ejections = self.ejections.fetch_add(1, Ordering::Relaxed);
        let factor = 1 << ejections.min(DOUBLINGS_MAX);
        let duration_ms = (settings.eject_ms * factor).min(settings.eject_max_ms);
        let until_ms = now_ms + duration_ms.max(1);
        self.ejected_until_ms.store(until_ms, Ordering::Relaxed);
    }
}

/// Ejections of one service; shared by its successive tables.
#[derive(Debug, Default)]
pub(crate) struct EjectionLock {
    locked: AtomicBool,
}

/// Takes the end of a call into account.
pub(crate) fn record_outcome(
    table: &Table,
    health: &Health,
    probe: bool,
    outcome: Outcome,
    now_ms: u64,
) {
    match outcome {
        Outcome::Inconclusive => {}
        Outcome::Answered if probe || !health.is_ejected() => health.restore(),
        // An answer to a call sent before the ejection is old news.
        Outcome::Answered => {}
        // A replica restored for the floor while its probe ran counts from the start.
        Outcome::Failed if probe && health.is_ejected() => health.eject(table.settings(), now_ms),
        Outcome::Failed => record_failure(table, health, now_ms),
    }
}

fn record_failure(table: &Table, health: &Health, now_ms: u64) {
    let failures = health.failures.fetch_add(1, Ordering::Relaxed) + 1;
    if failures < table.settings().eject_after || health.is_ejected() {
        return;
    }
    // Two threads that both counted the ejected ones would both eject and pass the
    // floor. One decides at a time; the other's replica is ejected at its next fault.
    if table.ejection_lock().locked.swap(true, Ordering::Acquire) {
        return;
    }
    if table.ejected_count() < ejected_max(table) {
        health.eject(table.settings(), now_ms);
    }
    table.ejection_lock().locked.store(false, Ordering::Release);
}

/// Most replicas of the table that may be ejected at a time.
pub(crate) fn ejected_max(table: &Table) -> usize {
    const PERMILLE: usize = 1_000;
    table.replica_states().len() * table.settings().eject_share_permille as usize / PERMILLE
}
