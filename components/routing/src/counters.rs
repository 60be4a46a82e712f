//! Work that this entry has outstanding on one replica. The counters are shared by successive
//! tables, since calls outlive the table that their replica was chosen from.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use derive::key;

use crate::ejection::Health;
use crate::history::History;

/// Size of a call, as far as it is known when the call is sent.
#[key]
#[derive(Default)]
pub struct Work {
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that the engine may generate; 0 for a plain service.
    pub max_new_tokens: u32,
}

impl Work {
    /// Maximum number of tokens that the call holds in the KV cache.
    pub fn tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.max_new_tokens)
    }
}

/// Outstanding work of this entry on one incarnation of a replica.
#[derive(Debug)]
pub struct Counters {
    first_seen_ms: u64,
    calls: AtomicU32,
    /// Prompt tokens of the calls whose answer has not started.
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

    /// Time at which this entry first saw the replica, in milliseconds; its slow start begins then.
    pub fn first_seen_ms(&self) -> u64 {
        self.first_seen_ms
    }

    /// Number of outstanding calls.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Prompt tokens of the outstanding calls whose answer has not started.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens.load(Ordering::Relaxed)
    }

    /// Tokens of the outstanding calls: prompt tokens and the maximum of generated tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Records the current values, so that a report taken now can be corrected when it arrives.
    pub(crate) fn record(&self, now_ms: u64) {
        self.calls_history.record(now_ms, self.calls());
        self.prompt_tokens_history
            .record(now_ms, self.prompt_tokens());
        self.tokens_history.record(now_ms, self.tokens());
    }

    /// Calls, prompt tokens and all tokens that were outstanding at `at_ms`.
    pub(crate) fn values_at(&self, at_ms: u64) -> (u32, u32, u32) {
        (
            self.calls_history.value_at(at_ms),
            self.prompt_tokens_history.value_at(at_ms),
            self.tokens_history.value_at(at_ms),
        )
    }
}

/// Guard of one call's outstanding work; subtracts it from the counters when dropped.
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

    /// Records that the answer has started: the prompt has been processed and no longer waits for
    /// compute. Only the first call has an effect.
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
