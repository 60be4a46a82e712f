//! Sequences: those that wait, by priority, and those in the batch.

use adapters::prefix_blocks;
use std::time::Duration;
use tokio::sync::mpsc;
use types::WeightVersion;

use super::kv::{Held, Kv};
use super::settings::{EngineSettings, Speeds};
use super::text::{token_id, token_text};

/// Tokens that fill a block of memory.
const BLOCK_TOKENS: usize = 16;
/// Bytes of prompt text that make a token.
const TOKEN_BYTES: usize = 4;

/// Why the engine ends a completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    Stop,
    Length,
    Abort,
}

impl Ending {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Ending::Stop => "stop",
            Ending::Length => "length",
            Ending::Abort => "abort",
        }
    }
}

/// One token, or the end alone.
pub(super) struct Emitted {
    pub(super) id: Option<u32>,
    pub(super) text: String,
    pub(super) version: WeightVersion,
    pub(super) ending: Option<Ending>,
}

/// A sequence.
pub(super) struct Sequence {
    pub(super) model: String,
    pub(super) request_id: Option<String>,
    pub(super) prompt: String,
    pub(super) priority: i64,
    pub(super) arrived: u64,
    pub(super) content: u64,
    pub(super) made: u32,
    pub(super) tokens: u32,
    pub(super) ending: Ending,
    pub(super) out: mpsc::UnboundedSender<Emitted>,
}

impl Sequence {
    pub(super) fn prompt_tokens(&self) -> usize {
        self.prompt.len().div_ceil(TOKEN_BYTES) + self.made as usize
    }

    fn private_blocks(&self) -> usize {
        let rest = self.tokens.saturating_sub(self.made) as usize + self.made as usize;
        rest.div_ceil(BLOCK_TOKENS) + 1
    }

    /// Blocks of memory that it needs in all.
    pub(super) fn blocks(&self) -> usize {
        prefix_blocks(&self.prompt).len() + self.private_blocks()
    }
}

struct Running {
    sequence: Sequence,
    held: Held,
}

/// All sequences of an engine.
#[derive(Default)]
pub(super) struct Batch {
    waiting: Vec<Sequence>,
    running: Vec<Running>,
}

/// What the next step takes.
pub(super) enum Step {
    /// Nothing to do.
    Idle,
    /// A step of this length.
    Takes(Duration),
    /// The sequence that would begin now crashes the engine.
    Crashes,
}

impl Batch {
    pub(super) fn push(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
        self.waiting
            .sort_by_key(|sequence| (sequence.priority, sequence.arrived));
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

    /// Takes waiting sequences into the batch and gives the length of the next step.
    pub(super) fn begin(
        &mut self,
        kv: &mut Kv,
        settings: &EngineSettings,
        crashes: impl Fn(&str) -> bool,
    ) -> Step {
        self.drop_abandoned(kv);
        let mut read_tokens = 0;
        while self.running.len() < settings.batch_max && !self.waiting.is_empty() {
            let next = &self.waiting[0];
            let prefix = prefix_blocks(&next.prompt);
            let Some(held) = kv.hold(&prefix, next.private_blocks()) else {
                break;
            };
            let sequence = self.waiting.remove(0);
            if crashes(&sequence.prompt) {
                return Step::Crashes;
            }
            read_tokens += sequence.prompt_tokens()
                - (held.found * BLOCK_TOKENS).min(sequence.prompt_tokens());
            self.running.push(Running { sequence, held });
        }
        if self.running.is_empty() {
            return Step::Idle;
        }
        Step::Takes(step_time(&settings.speeds, self.running.len(), read_tokens))
    }

    /// Emits a token of each sequence in the batch; `version_of` knows the versions.
    pub(super) fn finish(&mut self, kv: &mut Kv, version_of: impl Fn(&str) -> WeightVersion) {
        for running in &mut self.running {
            let version = version_of(&running.sequence.model);
            running.sequence.emit(version);
        }
        self.retain(kv, |sequence| sequence.made < sequence.tokens);
    }

    /// Ends the sequences of a request and gives their number.
    pub(super) fn cancel(&mut self, kv: &mut Kv, request_id: &str) -> usize {
        let before = self.running.len() + self.waiting.len();
        let named = |sequence: &Sequence| sequence.request_id.as_deref() == Some(request_id);
        let waiting = self.waiting.iter();
        let all = waiting.chain(self.running.iter().map(|running| &running.sequence));
        all.filter(|sequence| named(sequence))
            .for_each(Sequence::abort);
        self.retain(kv, |sequence| !named(sequence));
        self.waiting.retain(|sequence| !named(sequence));
        before - self.running.len() - self.waiting.len()
    }

    fn drop_abandoned(&mut self, kv: &mut Kv) {
        self.retain(kv, |sequence| !sequence.out.is_closed());
        self.waiting.retain(|sequence| !sequence.out.is_closed());
    }

    fn retain(&mut self, kv: &mut Kv, keep: impl Fn(&Sequence) -> bool) {
        self.running.retain(|running| {
            let kept = keep(&running.sequence);
            if !kept {
                kv.release(&running.held);
            }
            kept
        });
    }
}

impl Sequence {
    fn emit(&mut self, version: WeightVersion) {
        if self.made >= self.tokens {
            self.send(None, String::new(), version, Some(self.ending));
            return;
        }
        let id = token_id(self.content, self.made, version);
        self.made += 1;
        let ending = (self.made == self.tokens).then_some(self.ending);
        self.send(Some(id), token_text(id, version), version, ending);
    }

    fn abort(&self) {
        let version = WeightVersion::default();
        self.send(None, String::new(), version, Some(Ending::Abort));
    }

    fn send(&self, id: Option<u32>, text: String, version: WeightVersion, ending: Option<Ending>) {
        // Nobody listens any more: the next step drops the sequence.
        let _ = self.out.send(Emitted {
            id,
            text,
            version,
            ending,
        });
    }
}

fn step_time(speeds: &Speeds, running: usize, read_tokens: usize) -> Duration {
    let batch_us = speeds.sequence_us * running as u64;
    let prompt_us = speeds.prompt_token_us * read_tokens as u64;
    let step_us = speeds.step_us + batch_us + prompt_us;
    speeds.scaled(Duration::from_micros(step_us))
}
