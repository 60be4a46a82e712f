//! Sequences of an engine: those that wait, ordered by priority, and those in the batch.

use adapters::prefix_blocks;
use std::time::Duration;
use tokio::sync::mpsc;
use types::WeightVersion;

use super::kv::{KvCache, Reservation};
use super::settings::{EngineSettings, Speeds};
use super::text::{token_id, token_text};

/// Tokens per block of KV cache memory.
const BLOCK_TOKENS: usize = 16;
/// Bytes of prompt text per token.
const TOKEN_BYTES: usize = 4;

/// Why a completion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinishReason {
    Stop,
    Length,
    Abort,
}

impl FinishReason {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
            FinishReason::Abort => "abort",
        }
    }
}

/// A generated token, or the end of a sequence without a token.
pub(super) struct Emitted {
    pub(super) id: Option<u32>,
    pub(super) text: String,
    pub(super) version: WeightVersion,
    pub(super) finish_reason: Option<FinishReason>,
}

/// A completion that waits or runs.
pub(super) struct Sequence {
    pub(super) model: String,
    pub(super) request_id: Option<String>,
    pub(super) prompt: String,
    pub(super) priority: i64,
    /// Number of the request in the engine's life; decides between equal priorities.
    pub(super) arrival: u64,
    /// Hash of prompt and seed, which determines the tokens.
    pub(super) content_hash: u64,
    /// Tokens generated so far, including those that a resumed request brought.
    pub(super) generated: u32,
    /// Tokens of the complete sequence.
    pub(super) tokens_total: u32,
    pub(super) finish_reason: FinishReason,
    pub(super) emitted: mpsc::UnboundedSender<Emitted>,
}

impl Sequence {
    pub(super) fn prompt_tokens(&self) -> usize {
        self.prompt.len().div_ceil(TOKEN_BYTES) + self.generated as usize
    }

    fn private_blocks(&self) -> usize {
        let rest =
            self.tokens_total.saturating_sub(self.generated) as usize + self.generated as usize;
        rest.div_ceil(BLOCK_TOKENS) + 1
    }

    /// Blocks of KV cache memory that the sequence needs, cached ones included.
    pub(super) fn blocks(&self) -> usize {
        prefix_blocks(&self.prompt).len() + self.private_blocks()
    }
}

struct RunningSequence {
    sequence: Sequence,
    reservation: Reservation,
}

/// All sequences of an engine's life.
#[derive(Default)]
pub(super) struct Batch {
    waiting: Vec<Sequence>,
    running: Vec<RunningSequence>,
}

/// The next step of the engine.
pub(super) enum Step {
    /// The batch is empty.
    Idle,
    /// A step of this duration.
    Run(Duration),
    /// The sequence that was to enter the batch crashes the engine.
    Crash,
}

impl Batch {
    pub(super) fn push(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
        self.waiting
            .sort_by_key(|sequence| (sequence.priority, sequence.arrival));
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn prompt_tokens_queued(&self) -> usize {
        self.waiting.iter().map(Sequence::prompt_tokens).sum()
    }

    /// Moves waiting sequences into the batch while there is room, and returns the next step.
    pub(super) fn begin_step(
        &mut self,
        kv: &mut KvCache,
        settings: &EngineSettings,
        crashes: impl Fn(&str) -> bool,
    ) -> Step {
        self.remove_disconnected(kv);
        let mut uncached_tokens = 0;
        while self.running.len() < settings.batch_max && !self.waiting.is_empty() {
            let next = &self.waiting[0];
            let prefix = prefix_blocks(&next.prompt);
            let Some(reservation) = kv.reserve(&prefix, next.private_blocks()) else {
                break;
            };
            let sequence = self.waiting.remove(0);
            if crashes(&sequence.prompt) {
                return Step::Crash;
            }
            uncached_tokens += sequence.prompt_tokens()
                - (reservation.cached_blocks * BLOCK_TOKENS).min(sequence.prompt_tokens());
            self.running.push(RunningSequence {
                sequence,
                reservation,
            });
        }
        if self.running.is_empty() {
            return Step::Idle;
        }
        Step::Run(step_duration(
            &settings.speeds,
            self.running.len(),
            uncached_tokens,
        ))
    }

    /// Generates a token for each sequence in the batch. `version_of` returns the serving version
    /// of a model.
    pub(super) fn finish_step(
        &mut self,
        kv: &mut KvCache,
        version_of: impl Fn(&str) -> WeightVersion,
    ) {
        for running in &mut self.running {
            let version = version_of(&running.sequence.model);
            running.sequence.emit(version);
        }
        self.retain_running(kv, |sequence| sequence.generated < sequence.tokens_total);
    }

    /// Aborts the sequences of a request and returns their number.
    pub(super) fn cancel(&mut self, kv: &mut KvCache, request_id: &str) -> usize {
        let before = self.running.len() + self.waiting.len();
        let is_named = |sequence: &Sequence| sequence.request_id.as_deref() == Some(request_id);
        let waiting = self.waiting.iter();
        let all = waiting.chain(self.running.iter().map(|running| &running.sequence));
        all.filter(|sequence| is_named(sequence))
            .for_each(Sequence::abort);
        self.retain_running(kv, |sequence| !is_named(sequence));
        self.waiting.retain(|sequence| !is_named(sequence));
        before - self.running.len() - self.waiting.len()
    }

    fn remove_disconnected(&mut self, kv: &mut KvCache) {
        self.retain_running(kv, |sequence| !sequence.emitted.is_closed());
        self.waiting
            .retain(|sequence| !sequence.emitted.is_closed());
    }

    fn retain_running(&mut self, kv: &mut KvCache, keep: impl Fn(&Sequence) -> bool) {
        self.running.retain(|running| {
            let keeps = keep(&running.sequence);
            if !keeps {
                kv.release(&running.reservation);
            }
            keeps
        });
    }
}

impl Sequence {
    fn emit(&mut self, version: WeightVersion) {
        if self.generated >= self.tokens_total {
            self.send(None, String::new(), version, Some(self.finish_reason));
            return;
        }
        let id = token_id(self.content_hash, self.generated, version);
        self.generated += 1;
        let finish_reason = (self.generated == self.tokens_total).then_some(self.finish_reason);
        self.send(Some(id), token_text(id, version), version, finish_reason);
    }

    fn abort(&self) {
        let version = WeightVersion::default();
        self.send(None, String::new(), version, Some(FinishReason::Abort));
    }

    fn send(
        &self,
        id: Option<u32>,
        text: String,
        version: WeightVersion,
        finish_reason: Option<FinishReason>,
    ) {
        // Sending fails after the caller disconnected; the next step removes the sequence.
        let _ = self.emitted.send(Emitted {
            id,
            text,
            version,
            finish_reason,
        });
    }
}

fn step_duration(speeds: &Speeds, running: usize, uncached_tokens: usize) -> Duration {
    let batch_us = speeds.sequence_us * running as u64;
    let prompt_us = speeds.prompt_token_us * uncached_tokens as u64;
    let step_us = speeds.step_us + batch_us + prompt_us;
    speeds.scaled(Duration::from_micros(step_us))
}
