use std::collections::BTreeMap;
use std::sync::Arc;

use derive::value;

use crate::{CustomerCount, UsageRecord, Window, WindowCounts};

/// A batch of counts. A front retries the append of a batch until the log contains it.
#[value]
pub struct Batch {
    /// Number of the batch within the incarnation of this front, from 1.
    pub number: u32,
    /// Counts by window.
    pub windows: Vec<WindowCounts>,
}

impl Batch {
    /// The record of this batch; `writer` identifies the incarnation of the front.
    pub fn record(&self, writer: u64) -> UsageRecord {
        UsageRecord::Counted {
            writer,
            number: self.number,
            windows: self.windows.clone(),
        }
    }
}

/// Requests that started at this front and are not in a batch yet.
#[derive(Debug, Default)]
pub struct Tally {
    pending: BTreeMap<Window, BTreeMap<Arc<str>, u32>>,
    batches: u32,
}

impl Tally {
    /// Counts one request of a customer that started in a window.
    pub fn note(&mut self, window: Window, customer: &str) {
        let counts = self.pending.entry(window).or_default();
        match counts.get_mut(customer) {
            Some(requests) => *requests += 1,
            None => {
                counts.insert(customer.into(), 1);
            }
        }
    }

    /// Whether all counted requests are in a batch.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Moves all counts since the last batch into a new batch; `None` if there are none. Call it
    /// only when the previous batch is in the log: readers skip batches whose number is not above
    /// the last one of the front.
    pub fn next_batch(&mut self) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        self.batches += 1;
        let windows = std::mem::take(&mut self.pending);
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
