//! Work that this entry has outstanding on one replica. The counters outlive the
//! tables that refer to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use derive::key;

use crate::ejection::Health;
use crate::history::History;

/// Size of a call, as far as it is known when it is sent.
#[key]
#[derive(Default)]
pub struct Work {
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated; 0 for a plain service.
    pub max_new_tokens: u32,
}

impl Work {
    /// Tokens that the call may hold in the KV cache.
    pub fn tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.max_new_tokens)
    }
}

/// Outstanding work of this entry on one life of one replica.
#[derive(Debug)]
pub struct Counters {
    first_seen_ms: u64,
    calls: AtomicU32,
    /// Prompt tokens of calls whose answer has not begun.
    prompt_tokens: AtomicU32,
    tokens: AtomicU32,
    calls_history: History,
    prompt_tokens_history: History,
    tokens_history: History,
    pub(crate) health: Health,
}

impl Counters {
    pub(crate) fn new(first_seen_ms: u64) -> Self {
        Self {
            first_seen_ms,
            calls: AtomicU32::new(0),
            prompt_tokens: AtomicU32::new(0),
            tokens: AtomicU32::new(0),
            calls_history: History::new(),
            prompt_tokens_history: History::new(),
            tokens_history: History::new(),
            health: Health::new(),
        }
    }

    /// When this entry first saw the replica, in milliseconds.
    pub fn first_seen_ms(&self) -> u64 {
        self.first_seen_ms
    }

    /// Calls outstanding.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Prompt tokens of outstanding calls whose answer has not begun.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens.load(Ordering::Relaxed)
    }

    /// Tokens of outstanding calls, generated ones at their most.
    pub fn tokens(&self) -> u32 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Notes the present values, so that a report taken now can be corrected later.
    pub(crate) fn record(&self, now_ms: u64) {
        self.calls_history.record(now_ms, self.calls());
        self.prompt_tokens_history
            .record(now_ms, self.prompt_tokens());
        self.tokens_history.record(now_ms, self.tokens());
    }

    /// Calls, prompt tokens and tokens that were outstanding at `at_ms`.
    pub(crate) fn values_at(&self, at_ms: u64) -> (u32, u32, u32) {
        (
            self.calls_history.value_at(at_ms),
            self.prompt_tokens_history.value_at(at_ms),
            self.tokens_history.value_at(at_ms),
        )
    }
}

/// Holds one call's share of the counters; its drop gives it back.
#[derive(Debug)]
pub struct Outstanding {
    counters: Arc<Counters>,
    work: Work,
    answer_started: AtomicBool,
    probe: bool,
}

impl Outstanding {
    pub(crate) fn new(counters: &Arc<Counters>, work: Work, probe: bool, now_ms: u64) -> Self {
        counters.calls.fetch_add(1, Ordering::Relaxed);
        counters
            .prompt_tokens
            .fetch_add(work.prompt_tokens, Ordering::Relaxed);
        counters.tokens.fetch_add(work.tokens(), Ordering::Relaxed);
        counters.record(now_ms);
        Self {
            counters: Arc::clone(counters),
            work,
            answer_started: AtomicBool::new(false),
            probe,
        }
    }

    /// The answer has begun: its prompt no longer waits for compute.
    pub fn record_answer_start(&self) {
        if !self.answer_started.swap(true, Ordering::Relaxed) {
            let prompt_tokens = self.work.prompt_tokens;
            self.counters
                .prompt_tokens
                .fetch_sub(prompt_tokens, Ordering::Relaxed);
        }
    }

    /// Whether this call probes an ejected replica.
    pub fn is_probe(&self) -> bool {
        self.probe
    }

    pub(crate) fn counters(&self) -> &Counters {
        &self.counters
    }
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.record_answer_start();
        self.counters.calls.fetch_sub(1, Ordering::Relaxed);
        self.counters
            .tokens
            .fetch_sub(self.work.tokens(), Ordering::Relaxed);
        if self.probe {
            self.counters.health.end_probe();
        }
    }
}
