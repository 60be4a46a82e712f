//! What a visit saw, as a table and as a verdict.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::latencies::Latencies;
use crate::reply::Reply;
use crate::table::Table;

const MICROS_PER_MS: f64 = 1_000.0;

/// One thing that the visit did.
pub struct Line {
    /// What.
    pub what: String,
    /// How it ended.
    pub outcome: String,
    /// Time that it took.
    pub latency: Duration,
    /// Versions that made it, if a model did.
    pub versions: String,
    /// What must hold, and what was seen.
    pub note: String,
    /// Whether it holds.
    pub holds: bool,
}

impl Line {
    /// A line about one reply.
    pub fn of(what: impl Into<String>, reply: &Reply) -> Line {
        let outcome = match reply.cause.as_str() {
            "" => reply.ending.as_str().to_owned(),
            cause => format!("{} ({cause})", reply.ending.as_str()),
        };
        let versions: Vec<String> = reply.versions.iter().map(ToString::to_string).collect();
        Line {
            what: what.into(),
            outcome,
            latency: reply.latency,
            versions: versions.join(" "),
            note: String::new(),
            holds: true,
        }
    }

    /// The same line with what must hold.
    pub fn must(self, note: impl Into<String>, holds: bool) -> Line {
        Line {
            note: note.into(),
            holds,
            ..self
        }
    }
}

/// All that a visit saw.
#[derive(Default)]
pub struct Report {
    lines: Vec<Line>,
    classes: BTreeMap<String, Latencies>,
    /// Further text, such as the trainer's figures.
    pub figures: Vec<(String, String)>,
}

impl Report {
    /// Adds a line.
    pub fn add(&mut self, line: Line) {
        self.lines.push(line);
    }

    /// Counts the latency of a request of this class.
    pub fn latency(&mut self, class: &str, latency: Duration) {
        let class = self.classes.entry(class.to_owned()).or_default();
        class.record(latency);
    }

    /// Adds a figure.
    pub fn figure(&mut self, name: &str, value: impl ToString) {
        self.figures.push((name.to_owned(), value.to_string()));
    }

    /// Whether everything holds.
    pub fn holds(&self) -> bool {
        !self.lines.is_empty() && self.lines.iter().all(|line| line.holds)
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut text = self.outcomes().text();
        text.push('\n');
        for (name, value) in &self.figures {
            text.push_str(&format!("{name:<28}{value}\n"));
        }
        text.push('\n');
        text.push_str(&self.latencies().text());
        text
    }

    fn outcomes(&self) -> Table {
        let titles = ["", "what", "outcome", "ms", "versions", "must hold"];
        let mut table = Table::new(titles);
        for line in &self.lines {
            let verdict = if line.holds { "ok" } else { "FAILED" };
            table.add([
                verdict.to_owned(),
                line.what.clone(),
                line.outcome.clone(),
                format!("{:.1}", line.latency.as_micros() as f64 / MICROS_PER_MS),
                line.versions.clone(),
                line.note.clone(),
            ]);
        }
        table
    }

    fn latencies(&self) -> Table {
        let mut table = Table::new(["class", "requests", "p50 ms", "p99 ms", "max ms"]);
        for (class, latencies) in &self.classes {
            table.add([
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
