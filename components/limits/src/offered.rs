//! Offered load: the requests and tokens that a customer asks an entry for, counted between two
//! reads of the counters.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use derive::key;

/// Offered load of one interval, including refused requests.
#[key]
#[derive(Default)]
pub struct OfferedLoad {
    /// Number of requests that arrived in the interval.
    pub requests: u32,
    /// Tokens of these requests: prompt tokens and the maximum of generated tokens.
    pub tokens: u64,
    /// Requests in progress or waiting at the end of the interval.
    pub in_progress: u32,
}

/// Offered load of one customer at this entry. Sampling is counted apart because it waits for
/// capacity instead of being refused.
#[key]
#[derive(Default)]
pub struct OfferedByClass {
    /// Load of the classes interactive and background.
    pub calls: OfferedLoad,
    /// Load of the class sampling.
    pub sampling: OfferedLoad,
}

/// Atomic counters of an [`OfferedLoad`].
#[derive(Debug, Default)]
pub(crate) struct OfferedCounters {
    requests: AtomicU32,
    tokens: AtomicU64,
    pub(crate) in_progress: AtomicU32,
}

impl OfferedCounters {
    /// Counts a request of at most `tokens` tokens.
    pub(crate) fn record(&self, tokens: u32) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.tokens.fetch_add(u64::from(tokens), Ordering::Relaxed);
    }

    /// Returns the load since the last call of this method and starts a new interval.
    pub(crate) fn take(&self) -> OfferedLoad {
        OfferedLoad {
            requests: self.requests.swap(0, Ordering::Relaxed),
            tokens: self.tokens.swap(0, Ordering::Relaxed),
            in_progress: self.in_progress.load(Ordering::Relaxed),
        }
    }
}
