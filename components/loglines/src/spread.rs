//! Propagation times: how long a change takes from the first front that receives it to the last.

use std::collections::BTreeMap;

use derive::key;
use serde::Serialize;

use crate::LogLine;

/// Kinds of changes that every front logs when it receives them.
#[key]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A new version of the configuration.
    Configuration,
    /// A replica started to drain.
    Draining,
    /// The record of a replica was removed.
    Gone,
    /// A trainer announced a version of a model's weights.
    Weights,
}

impl ChangeKind {
    /// Name of the kind in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            ChangeKind::Configuration => "configuration",
            ChangeKind::Draining => "draining",
            ChangeKind::Gone => "gone",
            ChangeKind::Weights => "weights",
        }
    }
}

/// Propagation times of all changes of one kind. Changes that only one front received are left out,
/// because they have no propagation time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChangeRow {
    /// Kind of the changes.
    pub kind: ChangeKind,
    /// Number of changes that at least two fronts received.
    pub changes: usize,
    /// Median over the changes of the time until half of the fronts had received the change.
    pub half_ms: f64,
    /// Median over the changes of the time until the last front had received the change.
    pub last_ms: f64,
    /// Maximum over the changes of the time until the last front had received the change.
    pub slowest_ms: f64,
    /// Maximum number of fronts that received the same change.
    pub fronts: usize,
}

/// Times at which each front received each change.
#[derive(Debug, Default)]
pub struct PropagationTimes {
    received_ms: BTreeMap<(ChangeKind, String), BTreeMap<String, f64>>,
}

impl PropagationTimes {
    /// Records a log line; lines that report no change are ignored. If a front logs a change
    /// several times, for example after a restart, only its first line counts.
    pub fn record(&mut self, line: &LogLine<'_>) {
        let Some((kind, change)) = change_of(line) else {
            return;
        };
        let fronts = self.received_ms.entry((kind, change)).or_default();
        fronts.entry(line.front.to_owned()).or_insert(line.at_ms);
    }

    /// Returns one row per kind of change. A front that receives a change more than `within_ms`
    /// after the first front is not counted for that change, because it is assumed to have been
    /// stopped or disconnected.
    pub fn rows(&self, within_ms: f64) -> Vec<ChangeRow> {
        let mut by_kind: BTreeMap<ChangeKind, Vec<Vec<f64>>> = BTreeMap::new();
        for ((kind, _), fronts) in &self.received_ms {
            let first_ms = fronts.values().copied().fold(f64::INFINITY, f64::min);
            let delays = fronts.values().map(|at_ms| at_ms - first_ms);
            let mut delays: Vec<f64> = delays.filter(|delay_ms| *delay_ms <= within_ms).collect();
            delays.sort_by(f64::total_cmp);
            if delays.len() > 1 {
                by_kind.entry(*kind).or_default().push(delays);
            }
        }
        by_kind
            .into_iter()
            .map(|(kind, changes)| summarize(kind, &changes))
            .collect()
    }
}

fn change_of(line: &LogLine<'_>) -> Option<(ChangeKind, String)> {
    let field = |name| line.field(name).map(str::to_owned);
    match line.event {
        "routes-in-force" => Some((ChangeKind::Configuration, field("version")?)),
        "replica-draining" => Some((ChangeKind::Draining, field("replica")?)),
        "replica-gone" => Some((ChangeKind::Gone, field("replica")?)),
        "version-named" => {
            let change = format!("{}/{}", field("model")?, field("version")?);
            Some((ChangeKind::Weights, change))
        }
        _ => None,
    }
}

/// Summarizes the changes of a kind; each has the sorted delays of its fronts.
fn summarize(kind: ChangeKind, changes: &[Vec<f64>]) -> ChangeRow {
    let half = |delays: &Vec<f64>| delays[delays.len() / 2];
    let last = |delays: &Vec<f64>| delays[delays.len() - 1];
    ChangeRow {
        kind,
        changes: changes.len(),
        half_ms: median(changes.iter().map(half)),
        last_ms: median(changes.iter().map(last)),
        slowest_ms: changes.iter().map(last).fold(0.0, f64::max),
        fronts: changes.iter().map(Vec::len).max().unwrap_or(0),
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
