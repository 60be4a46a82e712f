//! The report of a visit: its checks as a table, and the latencies by class.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::latencies::Latencies;
use crate::reply::Reply;
use crate::table::Table;

const MICROS_PER_MS: f64 = 1_000.0;

/// One action of the visit with the check of its result; a row of the table.
pub struct Check {
    /// Name of the action.
    pub action: String,
    /// Ending of the action, with the cause of a failure.
    pub outcome: String,
    /// Duration of the action.
    pub latency: Duration,
    /// Weight versions that generated the answer, separated by blanks; empty without a model.
    pub versions: String,
    /// The required result and the observed one.
    pub note: String,
    /// Whether the observed result is the required one.
    pub holds: bool,
}

impl Check {
    /// A row about one reply, without a requirement yet.
    pub fn from_reply(action: impl Into<String>, reply: &Reply) -> Check {
        let outcome = match reply.cause.as_str() {
            "" => reply.ending.as_str().to_owned(),
            cause => format!("{} ({cause})", reply.ending.as_str()),
        };
        let versions: Vec<String> = reply.versions.iter().map(ToString::to_string).collect();
        Check {
            action: action.into(),
            outcome,
            latency: reply.latency,
            versions: versions.join(" "),
            note: String::new(),
            holds: true,
        }
    }

    /// Sets the requirement and whether it is met.
    pub fn with_result(self, note: impl Into<String>, holds: bool) -> Check {
        Check {
            note: note.into(),
            holds,
            ..self
        }
    }
}

/// Checks, latencies and figures of a visit.
#[derive(Default)]
pub struct Report {
    checks: Vec<Check>,
    latencies: BTreeMap<String, Latencies>,
    /// Name and value of further results, such as the trainer's figures.
    pub figures: Vec<(String, String)>,
}

impl Report {
    /// Adds a row to the table.
    pub fn add(&mut self, check: Check) {
        self.checks.push(check);
    }

    /// Records the latency of a request under the name of its class and kind.
    pub fn record_latency(&mut self, class: &str, latency: Duration) {
        let latencies = self.latencies.entry(class.to_owned()).or_default();
        latencies.record(latency);
    }

    /// Adds a further result below the table.
    pub fn add_figure(&mut self, name: &str, value: impl ToString) {
        self.figures.push((name.to_owned(), value.to_string()));
    }

    /// Whether there is at least one check and all checks passed.
    pub fn holds(&self) -> bool {
        !self.checks.is_empty() && self.checks.iter().all(|check| check.holds)
    }

    /// Renders the checks, the figures and the latencies.
    pub fn render(&self) -> String {
        let mut text = self.check_table().render();
        text.push('\n');
        for (name, value) in &self.figures {
            text.push_str(&format!("{name:<28}{value}\n"));
        }
        text.push('\n');
        text.push_str(&self.latency_table().render());
        text
    }

    fn check_table(&self) -> Table {
        let titles = ["", "what", "outcome", "ms", "versions", "must hold"];
        let mut table = Table::new(titles);
        for check in &self.checks {
            let verdict = if check.holds { "ok" } else { "FAILED" };
            table.add_row([
                verdict.to_owned(),
                check.action.clone(),
                check.outcome.clone(),
                format!("{:.1}", check.latency.as_micros() as f64 / MICROS_PER_MS),
                check.versions.clone(),
                check.note.clone(),
            ]);
        }
        table
    }

    fn latency_table(&self) -> Table {
        let mut table = Table::new(["class", "requests", "p50 ms", "p99 ms", "max ms"]);
        for (class, latencies) in &self.latencies {
            table.add_row([
                class.clone(),
                latencies.count().to_string(),
                format!("{:.1}", latencies.quantile_ms(0.5)),
                format!("{:.1}", latencies.quantile_ms(0.99)),
                format!("{:.1}", latencies.max_ms()),
            ]);
        }
        table
    }
}
