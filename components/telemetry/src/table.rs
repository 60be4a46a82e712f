//! Table of metric series by name, customer and class. The number of series is bounded, so that
//! many customers cannot exhaust the memory.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Maximum number of series of one process. Once it is reached, new series are aggregated under the
/// customer `other`.
pub const SERIES_MAX: usize = 2_048;

/// Customer under which series beyond [`SERIES_MAX`] are aggregated.
const OTHER_CUSTOMERS: &str = "other";

/// Greatest value that a histogram stores; greater values are recorded as this value. For
/// milliseconds this is an hour.
const VALUE_MAX: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Identifies a series. `customer` and `class` are empty if the metric does not belong to one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Series {
    pub(crate) name: &'static str,
    pub(crate) customer: String,
    pub(crate) class: &'static str,
    pub(crate) tag: Option<(&'static str, String)>,
}

enum SeriesValue {
    Count(u64),
    Gauge(u64),
    Histogram(Box<Histogram<u64>>),
}

/// Current values of one series.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Name of the metric; its suffix states the unit.
    pub name: &'static str,
    /// Customer, or empty if the metric does not belong to a customer.
    pub customer: String,
    /// Request class, or empty if the metric does not belong to a class.
    pub class: &'static str,
    /// Name and value of a further label, such as a route.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tag: Option<(&'static str, String)>,
    /// Sum of a counter, last value of a gauge, or number of values in a histogram.
    pub count: u64,
    /// Median of the values in a histogram; 0 for counters and gauges.
    pub p50: u64,
    /// 99th percentile of the values in a histogram; 0 for counters and gauges.
    pub p99: u64,
    /// 99.9th percentile of the values in a histogram; 0 for counters and gauges.
    pub p999: u64,
    /// Greatest value in a histogram; 0 for counters and gauges.
    pub max: u64,
}

/// All series of a process, owned by the metrics thread.
#[derive(Default)]
pub(crate) struct Table {
    rows: HashMap<Series, SeriesValue>,
}

impl Table {
    pub(crate) fn count(&mut self, series: Series, by: u64) {
        if let SeriesValue::Count(sum) = self.value_mut(series, || SeriesValue::Count(0)) {
            *sum += by;
        }
    }

    pub(crate) fn set_gauge(&mut self, series: Series, value: u64) {
        if let SeriesValue::Gauge(last) = self.value_mut(series, || SeriesValue::Gauge(0)) {
            *last = value;
        }
    }

    pub(crate) fn record(&mut self, series: Series, value: u64) {
        if let SeriesValue::Histogram(histogram) = self.value_mut(series, empty_histogram) {
            histogram.saturating_record(value);
        }
    }

    fn value_mut(
        &mut self,
        mut series: Series,
        fresh: impl FnOnce() -> SeriesValue,
    ) -> &mut SeriesValue {
        let is_known = self.rows.contains_key(&series);
        if !is_known && self.rows.len() >= SERIES_MAX {
            // There are few metric names and classes and their number is fixed, so only customers
            // and tags can fill the table. At most one series per name and class has the customer
            // `other` and no tag.
            series.customer = OTHER_CUSTOMERS.to_owned();
            series.tag = None;
        }
        self.rows.entry(series).or_insert_with(fresh)
    }

    pub(crate) fn rows(&self) -> Vec<Row> {
        let mut sorted: Vec<_> = self.rows.iter().collect();
        sorted.sort_by_key(|(series, _)| *series);
        sorted
            .into_iter()
            .map(|(series, value)| to_row(series, value))
            .collect()
    }
}

fn empty_histogram() -> SeriesValue {
    // The library accepts these constant bounds. If it refused them, a counter would be used
    // instead, because metrics must not end the process.
    Histogram::new_with_bounds(1, VALUE_MAX, SIGNIFICANT_DIGITS)
        .map_or(SeriesValue::Count(0), |empty| {
            SeriesValue::Histogram(Box::new(empty))
        })
}

fn to_row(series: &Series, value: &SeriesValue) -> Row {
    let mut row = Row {
        name: series.name,
        customer: series.customer.clone(),
        class: series.class,
        tag: series.tag.clone(),
        count: 0,
        p50: 0,
        p99: 0,
        p999: 0,
        max: 0,
    };
    match value {
        SeriesValue::Count(value) | SeriesValue::Gauge(value) => row.count = *value,
        SeriesValue::Histogram(histogram) => {
            row.count = histogram.len();
            row.p50 = histogram.value_at_quantile(0.5);
            row.p99 = histogram.value_at_quantile(0.99);
            row.p999 = histogram.value_at_quantile(0.999);
            row.max = histogram.max();
        }
    }
    row
}
