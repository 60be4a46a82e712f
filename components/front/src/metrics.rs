//! Counters and histograms of a front, and their text form for the metrics page.

use std::fmt::Write;

use telemetry::{Label, Metrics, MetricsError, MetricsSettings, Row};
use types::Class;

/// Capacity of the queue to the metrics thread: one second of updates on a busy front, which
/// take 80 kB of memory.
const QUEUED_MAX: usize = 1_024;

/// Starts the thread that aggregates the metrics of this process.
pub fn start() -> Result<Metrics, MetricsError> {
    Metrics::start(&MetricsSettings {
        prefix: "hornbeamrock.front".to_owned(),
        queued_max: QUEUED_MAX,
        ..MetricsSettings::default()
    })
}

/// Label of calls. Reward calls are background work; calls of clients are interactive.
pub fn call_label(background: bool) -> Label<'static> {
    let class = if background {
        Class::Background
    } else {
        Class::Interactive
    };
    Label {
        class: Some(class),
        ..Label::default()
    }
}

pub fn item_label() -> Label<'static> {
    Label {
        class: Some(Class::Sampling),
        ..Label::default()
    }
}

/// Label of calls with a further tag, such as their route.
pub fn tagged_call_label<'a>(background: bool, tag: (&'static str, &'a str)) -> Label<'a> {
    Label {
        tag: Some(tag),
        ..call_label(background)
    }
}

/// Lines of gauges that are read when the metrics page is requested.
#[derive(Default)]
pub struct GaugeLines(pub String);

impl GaugeLines {
    /// Adds the line of one series.
    pub fn set_gauge(&mut self, name: &'static str, (tag, of): (&str, &str), value: u64) {
        // Writing to a `String` never fails.
        let _ = writeln!(self.0, "{name}{{{tag}=\"{of}\"}} count={value}");
    }
}

/// One line per customer. The last line is the sum of customers without a series of their own.
pub fn customers_text(series: &[(String, u64)]) -> String {
    let line = |(customer, count): &(String, u64)| {
        let name = "front_customer_requests_total";
        format!("{name}{{customer=\"{customer}\"}} count={count}\n")
    };
    series.iter().map(line).collect()
}

/// One line per series with name, class and count, and for histograms the quantiles.
pub fn text(rows: &[Row]) -> String {
    let mut text = String::new();
    for row in rows {
        let Row {
            name,
            class,
            tag,
            count,
            p50,
            p99,
            p999,
            max,
            ..
        } = row;
        // Writing to a `String` never fails.
        let _ = write!(text, "{name}{{class=\"{class}\"");
        if let Some((tag, value)) = tag {
            let _ = write!(text, ",{tag}=\"{value}\"");
        }
        let _ = write!(text, "}} count={count}");
        if *max > 0 {
            let _ = write!(text, " p50={p50} p99={p99} p999={p999} max={max}");
        }
        text.push('\n');
    }
    text
}
