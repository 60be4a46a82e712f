use std::collections::BTreeMap;
use std::sync::Arc;

use derive::value;

use crate::{CustomerCount, UsageRecord, Window, WindowCounts};

/// A batch of counts, written until the log has it.
#[value]
pub struct Batch {
    /// Its number in the life of this front, from 1 on.
    pub number: u32,
    /// The counts.
    pub windows: Vec<WindowCounts>,
}

impl Batch {
    /// The batch as a record of the front's life `writer`.
    pub fn record(&self, writer: u64) -> UsageRecord {
        UsageRecord::Counted {
            writer,
            number: self.number,
            windows: self.windows.clone(),
        }
    }
}

/// Requests that began at this front and are not in a batch yet.
#[derive(Debug, Default)]
pub struct Tally {
    open: BTreeMap<Window, BTreeMap<Arc<str>, u32>>,
    batches: u32,
}

impl Tally {
    /// Notes that a customer's request began in a window.
    pub fn note(&mut self, window: Window, customer: &str) {
        let counts = self.open.entry(window).or_default();
        match counts.get_mut(customer) {
            Some(requests) => *requests += 1,
            None => {
                counts.insert(customer.into(), 1);
            }
        }
    }

    /// Whether nothing waits for a batch.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// All that was noted since the last batch. The next one is taken when this one stands in
    /// the log: a reader passes over numbers that are not above the last one of the front.
    pub fn next_batch(&mut self) -> Option<Batch> {
        if self.open.is_empty() {
            return None;
        }
        self.batches += 1;
        let windows = std::mem::take(&mut self.open);
        Some(Batch {
            number: self.batches,
            windows: windows.into_iter().map(counts_of).collect(),
        })
    }
}

fn counts_of((window, counts): (Window, BTreeMap<Arc<str>, u32>)) -> WindowCounts {
    let count = |(customer, requests): (Arc<str>, u32)| CustomerCount {
        customer: customer.to_string(),
        requests,
    };
    WindowCounts {
        window,
        customers: counts.into_iter().map(count).collect(),
    }
}
