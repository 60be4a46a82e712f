//! What a customer asks an entry for, counted over a time.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use derive::key;

/// Requests and tokens that were asked for in some time, refused ones too.
#[key]
#[derive(Default)]
pub struct OfferedLoad {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens and the most that may be generated.
    pub tokens: u64,
    /// Requests in progress or waiting at the end of the time.
    pub in_progress: u32,
}

/// What a customer asked this entry for.
#[key]
#[derive(Default)]
pub struct OfferedByClass {
    /// Interactive and background.
    pub calls: OfferedLoad,
    /// Sampling, which waits for room.
    pub sampling: OfferedLoad,
}

/// Counters behind an [`Offered`]; threads share them.
#[derive(Debug, Default)]
pub(crate) struct OfferedCounters {
    requests: AtomicU32,
    tokens: AtomicU64,
    pub(crate) in_progress: AtomicU32,
}

impl OfferedCounters {
    /// Counts a request that may take so many tokens.
    pub(crate) fn record(&self, tokens: u32) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.tokens.fetch_add(u64::from(tokens), Ordering::Relaxed);
    }

    /// What was counted since the last call.
    pub(crate) fn take(&self) -> OfferedLoad {
        OfferedLoad {
            requests: self.requests.swap(0, Ordering::Relaxed),
            tokens: self.tokens.swap(0, Ordering::Relaxed),
            in_progress: self.in_progress.load(Ordering::Relaxed),
        }
    }
}
