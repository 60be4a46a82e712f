//! The report of a run, as tables and as JSON.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::ratio::Ratios;
use super::tally::{Guarantees, Label, Sums};
use super::training::TrainingSummary;
use crate::reply::Ending;
use crate::table::Table;

/// Measurements of one slice.
pub struct SliceResult {
    /// Name of the variant.
    pub variant: String,
    /// Measured time of the slice.
    pub seconds: f64,
    /// Counts by group of requests.
    pub sums: BTreeMap<Label, Sums>,
    /// What the trainer measured; empty without a trainer.
    pub training: TrainingSummary,
    /// Violations found in the counted runs.
    pub guarantees: Guarantees,
}

/// Measurements of all slices of a run.
#[derive(Default)]
pub struct Report {
    /// Slices in the order in which they ran.
    pub slices: Vec<SliceResult>,
}

/// Measurements of all slices of one variant together.
#[derive(Default)]
struct VariantTotal {
    seconds: f64,
    sums: BTreeMap<Label, Sums>,
    training: TrainingSummary,
    guarantees: Guarantees,
}

impl Report {
    /// Whether no slice violated a guarantee.
    pub fn holds(&self) -> bool {
        let violated = |slice: &SliceResult| {
            !slice.guarantees.hold() || !slice.training.report.faults.is_empty()
        };
        !self.slices.iter().any(violated)
    }

    /// Names of the variants, in the order of their first slices.
    fn variant_names(&self) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for slice in &self.slices {
            if !names.contains(&slice.variant.as_str()) {
                names.push(&slice.variant);
            }
        }
        names
    }

    fn total(&self, variant: &str) -> VariantTotal {
        let mut total = VariantTotal::default();
        for slice in self.slices_of(variant) {
            total.seconds += slice.seconds;
            for (label, sums) in &slice.sums {
                total.sums.entry(label.clone()).or_default().add(sums);
            }
            total.training.add(&slice.training);
            total.guarantees.add(&slice.guarantees);
        }
        total
    }

    fn slices_of(&self, variant: &str) -> impl Iterator<Item = &SliceResult> {
        self.slices
            .iter()
            .filter(move |slice| slice.variant == variant)
    }

    /// Renders the report as text; with two variants, also the ratios of the first to the second.
    pub fn render(&self) -> String {
        let variants = self.variant_names();
        let mut text = String::new();
        for variant in &variants {
            let total = self.total(variant);
            text.push_str(&format!("== {variant}\n"));
            text.push_str(&request_table(&total).render());
            text.push('\n');
            text.push_str(&details(&total));
            text.push('\n');
        }
        if let [first, second] = variants.as_slice() {
            let title =
                format!("== ratios {first} / {second}: median over pairs (smallest-largest)\n");
            text.push_str(&title);
            text.push_str(&self.ratio_table(first, second).render());
        }
        text
    }

    fn ratio_table(&self, first: &str, second: &str) -> Table {
        let mut table = Table::new([
            "customer", "class", "what", "pairs", "p50", "p99", "goodput",
        ]);
        let total = self.total(first);
        for label in total.sums.keys() {
            let (mut p50, mut p99, mut goodput) =
                (Ratios::default(), Ratios::default(), Ratios::default());
            for (slice, baseline) in self.slices_of(first).zip(self.slices_of(second)) {
                let (Some(sums), Some(baseline_sums)) =
                    (slice.sums.get(label), baseline.sums.get(label))
                else {
                    continue;
                };
                let pair = |quantile| {
                    let value_of = |sums: &Sums| sums.latencies.quantile_ms(quantile);
                    (value_of(sums), value_of(baseline_sums))
                };
                let (value, baseline) = pair(0.5);
                p50.add_pair(value, baseline);
                let (value, baseline) = pair(0.99);
                p99.add_pair(value, baseline);
                goodput.add_pair(
                    sums.within_deadline as f64,
                    baseline_sums.within_deadline as f64,
                );
            }
            table.add_row([
                label.customer.clone(),
                label.class.to_string(),
                label.kind.to_owned(),
                p50.pair_count().to_string(),
                p50.render(),
                p99.render(),
                goodput.render(),
            ]);
        }
        table
    }

    /// The report as JSON, slice by slice.
    pub fn to_json(&self) -> Value {
        let slice = |slice: &SliceResult| {
            let rows = slice.sums.iter().map(|(label, sums)| row_json(label, sums));
            json!({
                "variant": slice.variant,
                "seconds": slice.seconds,
                "requests": rows.collect::<Vec<_>>(),
                "trainer": training_json(&slice.training),
                "once_calls": slice.guarantees.at_most_once_calls,
                "ran_twice": slice.guarantees.ran_twice,
                "refused_and_ran": slice.guarantees.refused_and_ran,
                "answered_and_not_run": slice.guarantees.answered_and_not_run,
            })
        };
        let slices: Vec<Value> = self.slices.iter().map(slice).collect();
        json!({ "holds": self.holds(), "slices": slices })
    }
}

fn request_table(total: &VariantTotal) -> Table {
    let mut table = Table::new([
        "customer", "class", "what", "requests", "good/s", "p50 ms", "p99 ms", "p99.9 ms",
        "max ms", "whole", "not-run", "unknown", "failed", "lost", "again",
    ]);
    for (label, sums) in &total.sums {
        let quantile = |quantile| format!("{:.1}", sums.latencies.quantile_ms(quantile));
        let mut row = vec![
            label.customer.clone(),
            label.class.to_string(),
            label.kind.to_owned(),
            sums.request_count().to_string(),
            format!("{:.1}", sums.within_deadline as f64 / total.seconds),
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            format!("{:.1}", sums.latencies.max_ms()),
        ];
        row.extend(Ending::ALL.map(|ending| sums.count_of(ending).to_string()));
        row.push(sums.retries.to_string());
        table.add_row(row);
    }
    table
}

fn details(total: &VariantTotal) -> String {
    let mut lines = Vec::new();
    for (label, sums) in &total.sums {
        for (cause, count) in &sums.causes {
            lines.push(format!(
                "without a complete answer: {} {}: {cause}: {count}",
                label.customer, label.kind
            ));
        }
        if sums.not_offered > 0 {
            lines.push(format!(
                "not offered: {} {}: {}",
                label.customer, label.kind, sums.not_offered
            ));
        }
    }
    let training = &total.training;
    if training.report.steps > 0 || !training.abandoned_runs.is_empty() {
        lines.push(format!(
            "trainer: steps {}, samples {}, idle {:.1} % of {} ms, staleness p50 {} p99 {} max {}, \
             samples of several versions {}, retries {}, violated guarantees {}",
            training.report.steps,
            training.report.samples,
            training.idle_permille() as f64 / 10.0,
            training.report.run_ms,
            training.staleness_quantile(500),
            training.staleness_quantile(990),
            training.staleness_quantile(1_000),
            training.report.mixed,
            training.report.retries,
            training.report.faults.len(),
        ));
    }
    lines.extend(
        training
            .abandoned_runs
            .iter()
            .map(|error| format!("trainer run failed: {error}")),
    );
    lines.extend(
        training
            .report
            .faults
            .iter()
            .map(|fault| format!("VIOLATED: {fault:?}")),
    );
    let guarantees = &total.guarantees;
    lines.push(format!(
        "at-most-once calls: {}, ran twice {}, refused but ran {}, answered but not run {}",
        guarantees.at_most_once_calls,
        guarantees.ran_twice,
        guarantees.refused_and_ran,
        guarantees.answered_and_not_run
    ));
    lines.join("\n") + "\n"
}

fn row_json(label: &Label, sums: &Sums) -> Value {
    let endings = Ending::ALL.map(|ending| (ending.as_str(), sums.count_of(ending)));
    json!({
        "customer": label.customer,
        "class": label.class.as_str(),
        "what": label.kind,
        "requests": sums.request_count(),
        "good": sums.within_deadline,
        "p50_ms": sums.latencies.quantile_ms(0.5),
        "p99_ms": sums.latencies.quantile_ms(0.99),
        "p999_ms": sums.latencies.quantile_ms(0.999),
        "max_ms": sums.latencies.max_ms(),
        "endings": BTreeMap::from(endings),
        "causes": sums.causes,
        "not_offered": sums.not_offered,
        "sent_again": sums.retries,
    })
}

fn training_json(training: &TrainingSummary) -> Value {
    json!({
        "steps": training.report.steps,
        "samples": training.report.samples,
        "idle_ms": training.report.idle_ms,
        "run_ms": training.report.run_ms,
        "by_staleness": training.report.by_staleness,
        "mixed": training.report.mixed,
        "retries": training.report.retries,
        "broken_promises": training.report.faults.len(),
        "given_up": training.abandoned_runs,
    })
}
