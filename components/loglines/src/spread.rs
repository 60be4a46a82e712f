//! How long a change takes from the first front that knows it to the last.

use std::collections::BTreeMap;

use derive::key;
use serde::Serialize;

use crate::LogLine;

/// Kinds of changes that fronts log when they learn of them.
#[key]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// A version of the configuration.
    Configuration,
    /// A replica that drains.
    Draining,
    /// A replica whose record is gone.
    Gone,
    /// A version of weights that a trainer named.
    Weights,
}

impl ChangeKind {
    /// The kind in one word, for tables.
    pub fn as_str(self) -> &'static str {
        match self {
            ChangeKind::Configuration => "configuration",
            ChangeKind::Draining => "draining",
            ChangeKind::Gone => "gone",
            ChangeKind::Weights => "weights",
        }
    }
}

/// All changes of one kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChangeRow {
    /// The kind.
    pub kind: ChangeKind,
    /// Changes that two fronts or more learnt of.
    pub changes: usize,
    /// Time until half of the fronts knew, in the middle change, in milliseconds.
    pub half_ms: f64,
    /// Time until the last front knew, in the middle change, in milliseconds.
    pub last_ms: f64,
    /// The same in the slowest change, in milliseconds.
    pub slowest_ms: f64,
    /// Most fronts that learnt of one change.
    pub fronts: usize,
}

/// When each front learnt of each change.
#[derive(Debug, Default)]
pub struct PropagationTimes {
    known_ms: BTreeMap<(ChangeKind, String), BTreeMap<String, f64>>,
}

impl PropagationTimes {
    /// Takes a line in. A front that starts later, or again, learns of a change late by itself; its
    /// first word counts.
    pub fn record(&mut self, line: &LogLine<'_>) {
        let Some((kind, change)) = change_of(line) else {
            return;
        };
        let fronts = self.known_ms.entry((kind, change)).or_default();
        fronts.entry(line.front.to_owned()).or_insert(line.at_ms);
    }

    /// One row a kind. Of each change the fronts that knew it within `within_ms` of the first count:
    /// the others were away.
    pub fn rows(&self, within_ms: f64) -> Vec<ChangeRow> {
        let mut by_kind: BTreeMap<ChangeKind, Vec<Vec<f64>>> = BTreeMap::new();
        for ((kind, _), fronts) in &self.known_ms {
            let first_ms = fronts.values().copied().fold(f64::INFINITY, f64::min);
            let after = fronts.values().map(|at_ms| at_ms - first_ms);
            let mut after: Vec<f64> = after.filter(|after_ms| *after_ms <= within_ms).collect();
            after.sort_by(f64::total_cmp);
            if after.len() > 1 {
                by_kind.entry(*kind).or_default().push(after);
            }
        }
        by_kind
            .into_iter()
            .map(|(kind, changes)| row(kind, &changes))
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

fn row(kind: ChangeKind, changes: &[Vec<f64>]) -> ChangeRow {
    let half = |after: &Vec<f64>| after[after.len() / 2];
    let last = |after: &Vec<f64>| after[after.len() - 1];
    ChangeRow {
        kind,
        changes: changes.len(),
        half_ms: middle(changes.iter().map(half)),
        last_ms: middle(changes.iter().map(last)),
        slowest_ms: changes.iter().map(last).fold(0.0, f64::max),
        fronts: changes.iter().map(Vec::len).max().unwrap_or(0),
    }
}

fn middle(figures: impl Iterator<Item = f64>) -> f64 {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}
