//! Counters and histograms of a front, and their text for whoever fetches them.

use std::fmt::Write;

use telemetry::{Label, Metrics, MetricsError, MetricsSettings, Row};
use types::Class;

/// Messages that wait for the thread that owns the metrics, at most: a second of them on a
/// busy front, 80 kB of memory.
const QUEUED_MAX: usize = 1_024;

/// Starts the figures of a process.
pub fn start() -> Result<Metrics, MetricsError> {
    Metrics::start(&MetricsSettings {
        prefix: "hornbeamrock.front".to_owned(),
        queued_max: QUEUED_MAX,
        ..MetricsSettings::default()
    })
}

/// Label of calls: reward calls are background work.
pub fn call_label(background: bool) -> Label<'static> {
    let class = if background {
        Class::Background
    } else {
        Class::Interactive
    };
    Label {
        customer: None,
        class: Some(class),
    }
}

/// Label of items.
pub fn item_label() -> Label<'static> {
    Label {
        customer: None,
        class: Some(Class::Sampling),
    }
}

/// One line a customer, the small ones together in the last.
pub fn customers_text(series: &[(String, u64)]) -> String {
    let line = |(customer, count): &(String, u64)| {
        let name = "front_customer_requests_total";
        format!("{name}{{customer=\"{customer}\"}} count={count}\n")
    };
    series.iter().map(line).collect()
}

/// One line a series: name, class, count, and of histograms the quantiles.
pub fn text(rows: &[Row]) -> String {
    let mut text = String::new();
    for row in rows {
        let Row {
            name,
            class,
            count,
            p50,
            p99,
            p999,
            max,
            ..
        } = row;
        // Writing to a string does not fail.
        let _ = write!(text, "{name}{{class=\"{class}\"}} count={count}");
        if *max > 0 {
            let _ = write!(text, " p50={p50} p99={p99} p999={p999} max={max}");
        }
        text.push('\n');
    }
    text
}
