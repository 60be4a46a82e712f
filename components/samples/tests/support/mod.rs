//! Helpers that create steps, ledgers, replicas with free runs, and completions.

#![allow(dead_code)] // Each test file uses only some of the helpers.
#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

use std::net::SocketAddr;
use std::sync::Arc;

use samples::{
    Action, Completion, Cursor, CursorKeys, Group, Ledger, LedgerSettings, Provenance, Replica,
    RunCapacity, Start, Step, StepKey,
};
use types::WeightVersion;

pub fn key(step: u64) -> StepKey {
    StepKey {
        customer: "office".parse().unwrap(),
        service: "redacteurs".parse().unwrap(),
        step,
    }
}

pub fn step_of(groups: u32, samples: u32) -> Arc<Step> {
    let group = |number| Group {
        prompt: format!("opinion {number}"),
        samples,
    };
    Arc::new(Step::new(key(7), (0..groups).map(group).collect(), 64).unwrap())
}

pub fn keys() -> CursorKeys {
    CursorKeys::new([1; 32], None)
}

pub fn version(epoch: u32, version: u64) -> WeightVersion {
    WeightVersion { epoch, version }
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

/// Creates the replicas 0 to `replicas` - 1, each with `free_runs` and `version`.
pub fn room(replicas: u16, free_runs: u32, version: WeightVersion) -> RunCapacity {
    let replica = |number| Replica {
        address: address(number),
        free_runs,
        version: Some(version),
    };
    RunCapacity {
        in_progress_max: u32::MAX,
        replicas: (0..replicas).map(replica).collect(),
    }
}

pub fn ledger(step: &Arc<Step>, settings: LedgerSettings, at: WeightVersion) -> Ledger {
    Ledger::new(Arc::clone(step), settings, &Cursor::start(step), at)
}

pub fn completion(text: &str, versions: impl IntoIterator<Item = WeightVersion>) -> Completion {
    Completion {
        text: text.to_owned(),
        tokens: 10,
        provenance: Provenance::Known(versions.into_iter().collect()),
    }
}

/// Takes the ledger's actions and returns the runs to start.
pub fn starts(ledger: &mut Ledger) -> Vec<Start> {
    let start = |action| match action {
        Action::Start(start) => Some(start),
        _ => None,
    };
    ledger
        .take_actions()
        .into_iter()
        .filter_map(start)
        .collect()
}
