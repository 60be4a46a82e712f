//! Ejection of replicas that fail consecutive calls (outlier detection).
//!
//! An ejection is based only on what this entry observes, so the share of ejected replicas is
//! limited. Otherwise a network fault near this entry, or an outage of the whole service, would
//! eject every replica and turn a partial outage into a complete one. When the ejection time is
//! over, the replica becomes half-open: one call at a time probes it.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use derive::key;

use crate::settings::Settings;
use crate::table::Table;

/// What the end of a call says about the health of its replica.
#[key]
pub enum Outcome {
    /// The replica answered; a refusal by the replica is an answer too.
    Answered,
    /// The replica failed: the connection was lost, the answer was truncated, or the endpoint
    /// returned an error.
    Failed,
    /// The end says nothing about the replica: the call was cancelled, or refused before it was
    /// sent.
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
    /// [`NOT_EJECTED`], or the time from which the replica is half-open.
    ejected_until_ms: AtomicU64,
    /// Consecutive ejections; each doubles the duration of the next one.
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

    /// Claims the single probe of a half-open replica; false if another call is probing it.
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

/// Lock held while a replica of the service is being ejected; shared by successive tables.
#[derive(Debug, Default)]
pub(crate) struct EjectionLock {
    locked: AtomicBool,
}

/// Updates the health of a replica after a call. `probe` tells whether the call was the probe of a
/// half-open replica.
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
        // The call was sent before the ejection, so its answer does not show a recovery.
        Outcome::Answered => {}
        // If the replica was restored during the probe because the service shrank, the failure
        // counts as the first of a new series.
        Outcome::Failed if probe && health.is_ejected() => health.eject(table.settings(), now_ms),
        Outcome::Failed => record_failure(table, health, now_ms),
    }
}

fn record_failure(table: &Table, health: &Health, now_ms: u64) {
    let failures = health.failures.fetch_add(1, Ordering::Relaxed) + 1;
    if failures < table.settings().eject_after || health.is_ejected() {
        return;
    }
    // Two threads that count the ejected replicas at the same time could both eject one and exceed
    // the maximum share. Only one thread decides at a time; a replica that is skipped because of
    // that is ejected at its next failure.
    if table.ejection_lock().locked.swap(true, Ordering::Acquire) {
        return;
    }
    if table.ejected_count() < ejected_max(table) {
        health.eject(table.settings(), now_ms);
    }
    table.ejection_lock().locked.store(false, Ordering::Release);
}

/// Maximum number of replicas of the table that may be ejected at a time.
pub(crate) fn ejected_max(table: &Table) -> usize {
    const PERMILLE: usize = 1_000;
    table.replica_states().len() * table.settings().eject_share_permille as usize / PERMILLE
}
