//! What a run measured, as tables and as JSON.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::ratio::Ratios;
use super::tally::{Label, Promises, Sums};
use super::training::Trained;
use crate::reply::Ending;
use crate::table::Table;

/// What one slice measured.
pub struct SliceResult {
    /// Its variant.
    pub variant: String,
    /// Its length.
    pub seconds: f64,
    /// Sums by label.
    pub sums: BTreeMap<Label, Sums>,
    /// The trainer's.
    pub trained: Trained,
    /// What the counted runs say.
    pub promises: Promises,
}

/// What a run measured.
#[derive(Default)]
pub struct Report {
    /// Slices in their order.
    pub slices: Vec<SliceResult>,
}

/// Sums of one variant.
#[derive(Default)]
struct Total {
    seconds: f64,
    sums: BTreeMap<Label, Sums>,
    trained: Trained,
    promises: Promises,
}

impl Report {
    /// Whether no promise was seen broken.
    pub fn holds(&self) -> bool {
        let broken =
            |slice: &SliceResult| !slice.promises.hold() || !slice.trained.report.faults.is_empty();
        !self.slices.iter().any(broken)
    }

    /// Names of the variants, in the order of their first slices.
    fn variants(&self) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for slice in &self.slices {
            if !names.contains(&slice.variant.as_str()) {
                names.push(&slice.variant);
            }
        }
        names
    }

    fn total(&self, variant: &str) -> Total {
        let mut total = Total::default();
        for slice in self.of(variant) {
            total.seconds += slice.seconds;
            for (label, sums) in &slice.sums {
                total.sums.entry(label.clone()).or_default().add(sums);
            }
            total.trained.add(&slice.trained);
            total.promises.add(&slice.promises);
        }
        total
    }

    fn of(&self, variant: &str) -> impl Iterator<Item = &SliceResult> {
        self.slices
            .iter()
            .filter(move |slice| slice.variant == variant)
    }

    /// The report as text; with two variants, ratios of the first to the second.
    pub fn text(&self) -> String {
        let variants = self.variants();
        let mut text = String::new();
        for variant in &variants {
            let total = self.total(variant);
            text.push_str(&format!("== {variant}\n"));
            text.push_str(&requests(&total).text());
            text.push('\n');
            text.push_str(&rest(&total));
            text.push('\n');
        }
        if let [first, second] = variants.as_slice() {
            let title =
                format!("== ratios {first} / {second}: median over pairs (smallest-largest)\n");
            text.push_str(&title);
            text.push_str(&self.ratios(first, second).text());
        }
        text
    }

    fn ratios(&self, first: &str, second: &str) -> Table {
        let mut table = Table::new([
            "customer", "class", "what", "pairs", "p50", "p99", "goodput",
        ]);
        let total = self.total(first);
        for label in total.sums.keys() {
            let (mut p50, mut p99, mut good) =
                (Ratios::default(), Ratios::default(), Ratios::default());
            for (one, other) in self.of(first).zip(self.of(second)) {
                let (Some(one), Some(other)) = (one.sums.get(label), other.sums.get(label)) else {
                    continue;
                };
                let pair = |quantile| {
                    let of = |sums: &Sums| sums.latencies.quantile_ms(quantile);
                    (of(one), of(other))
                };
                let (value, baseline) = pair(0.5);
                p50.add(value, baseline);
                let (value, baseline) = pair(0.99);
                p99.add(value, baseline);
                good.add(one.good as f64, other.good as f64);
            }
            table.add([
                label.customer.clone(),
                label.class.to_string(),
                label.what.to_owned(),
                p50.pairs().to_string(),
                p50.text(),
                p99.text(),
                good.text(),
            ]);
        }
        table
    }

    /// The report as JSON.
    pub fn json(&self) -> Value {
        let slice = |slice: &SliceResult| {
            let rows = slice.sums.iter().map(|(label, sums)| row_json(label, sums));
            json!({
                "variant": slice.variant,
                "seconds": slice.seconds,
                "requests": rows.collect::<Vec<_>>(),
                "trainer": trained_json(&slice.trained),
                "once_calls": slice.promises.once_calls,
                "ran_twice": slice.promises.ran_twice,
                "refused_and_ran": slice.promises.refused_and_ran,
                "answered_and_not_run": slice.promises.answered_and_not_run,
            })
        };
        let slices: Vec<Value> = self.slices.iter().map(slice).collect();
        json!({ "holds": self.holds(), "slices": slices })
    }
}

fn requests(total: &Total) -> Table {
    let mut table = Table::new([
        "customer", "class", "what", "requests", "good/s", "p50 ms", "p99 ms", "p99.9 ms",
        "max ms", "whole", "not-run", "unknown", "failed", "lost", "again",
    ]);
    for (label, sums) in &total.sums {
        let quantile = |quantile| format!("{:.1}", sums.latencies.quantile_ms(quantile));
        let mut row = vec![
            label.customer.clone(),
            label.class.to_string(),
            label.what.to_owned(),
            sums.requests().to_string(),
            format!("{:.1}", sums.good as f64 / total.seconds),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            format!("{:.1}", sums.latencies.max_ms()),
        ];
        row.extend(Ending::ALL.map(|ending| sums.ended(ending).to_string()));
        row.push(sums.sent_again.to_string());
        table.add(row);
    }
    table
}

fn rest(total: &Total) -> String {
    let mut lines = Vec::new();
    for (label, sums) in &total.sums {
        for (cause, count) in &sums.causes {
            lines.push(format!(
                "without a whole answer: {} {}: {cause}: {count}",
                label.customer, label.what
            ));
        }
        if sums.not_offered > 0 {
            lines.push(format!(
                "not offered: {} {}: {}",
                label.customer, label.what, sums.not_offered
            ));
        }
    }
    let trained = &total.trained;
    if trained.report.steps > 0 || !trained.given_up.is_empty() {
        lines.push(format!(
            "trainer: steps {}, samples {}, idle {:.1} % of {} ms, staleness p50 {} p99 {} max {}, \
             of several versions {}, exchanges again {}, broken promises {}",
            trained.report.steps,
            trained.report.samples,
            trained.idle_permille() as f64 / 10.0,
            trained.report.run_ms,
            trained.staleness(500),
            trained.staleness(990),
            trained.staleness(1_000),
            trained.report.mixed,
            trained.report.retries,
            trained.report.faults.len(),
        ));
    }
    lines.extend(
        trained
            .given_up
            .iter()
            .map(|why| format!("trainer gave up: {why}")),
    );
    lines.extend(
        trained
            .report
            .faults
            .iter()
            .map(|fault| format!("BROKEN: {fault:?}")),
    );
    let promises = &total.promises;
    lines.push(format!(
        "calls that may run once: {}, ran twice {}, refused and ran {}, answered and not run {}",
        promises.once_calls,
        promises.ran_twice,
        promises.refused_and_ran,
        promises.answered_and_not_run
    ));
    lines.join("\n") + "\n"
}

fn row_json(label: &Label, sums: &Sums) -> Value {
    let endings = Ending::ALL.map(|ending| (ending.as_str(), sums.ended(ending)));
    json!({
        "customer": label.customer,
        "class": label.class.as_str(),
        "what": label.what,
        "requests": sums.requests(),
        "good": sums.good,
        "p50_ms": sums.latencies.quantile_ms(0.5),
        "p99_ms": sums.latencies.quantile_ms(0.99),
        "p999_ms": sums.latencies.quantile_ms(0.999),
        "max_ms": sums.latencies.max_ms(),
        "endings": BTreeMap::from(endings),
        "causes": sums.causes,
        "not_offered": sums.not_offered,
        "sent_again": sums.sent_again,
    })
}

fn trained_json(trained: &Trained) -> Value {
    json!({
        "steps": trained.report.steps,
        "samples": trained.report.samples,
        "idle_ms": trained.report.idle_ms,
        "run_ms": trained.report.run_ms,
        "by_staleness": trained.report.by_staleness,
        "mixed": trained.report.mixed,
        "retries": trained.report.retries,
        "broken_promises": trained.report.faults.len(),
        "given_up": trained.given_up,
    })
}
