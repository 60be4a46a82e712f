//! Series of numbers by name, customer and class, bounded in their count.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Series that one process keeps at most; later ones are counted under customer `other`.
pub const SERIES_MAX: usize = 2_048;

/// Name under which the series of customers beyond [`SERIES_MAX`] are added up.
const OTHER: &str = "other";

/// Greatest value that a histogram tells apart; a greater one counts as this.
const VALUE_MAX: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// What identifies a series.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Series {
    pub(crate) name: &'static str,
    pub(crate) customer: String,
    pub(crate) class: &'static str,
}

enum SeriesValue {
    Count(u64),
    Gauge(u64),
    Histogram(Box<Histogram<u64>>),
}

/// One series as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Name of the metric; its unit is its suffix.
    pub name: &'static str,
    /// Customer, or empty.
    pub customer: String,
    /// Class, or empty.
    pub class: &'static str,
    /// Count of events, last level, or count of recorded values.
    pub count: u64,
    /// Median of recorded values; 0 for counts and levels.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Greatest recorded value.
    pub max: u64,
}

/// All series of a process. Owned by one thread.
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
        let known = self.rows.contains_key(&series);
        if !known && self.rows.len() >= SERIES_MAX {
            // Names and classes are few and fixed, so only customers can fill the
            // table; the rows named `other` are as many as names times classes.
            series.customer = OTHER.to_owned();
        }
        self.rows.entry(series).or_insert_with(fresh)
    }

    pub(crate) fn rows(&self) -> Vec<Row> {
        let mut sorted: Vec<_> = self.rows.iter().collect();
        sorted.sort_by_key(|(series, _)| *series);
        sorted
            .into_iter()
            .map(|(series, value)| row(series, value))
            .collect()
    }
}

fn empty_histogram() -> SeriesValue {
    // The bounds are constants that the library allows; a plain count stands in, so
    // that no branch of this can end the process.
    Histogram::new_with_bounds(1, VALUE_MAX, SIGNIFICANT_DIGITS)
        .map_or(SeriesValue::Count(0), |empty| {
            SeriesValue::Histogram(Box::new(empty))
        })
}

fn row(series: &Series, value: &SeriesValue) -> Row {
    let mut row = Row {
        name: series.name,
        customer: series.customer.clone(),
        class: series.class,
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
