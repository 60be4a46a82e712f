//! Incremental parser of a completions stream (server-sent events).
//!
//! After an engine died in the middle of an answer, a chunked body may still end properly. A stream
//! is complete only if a finish reason says that the completion ran to its end, and the terminator
//! `[DONE]` follows. The bytes may be split anywhere.

use std::collections::BTreeSet;

use derive::{key, value};
use quick_error::quick_error;
use serde::Deserialize;
use types::{VersionError, WeightVersion};

quick_error! {
    /// Why a stream is not a completions stream.
    #[value]
    pub enum SseError {
        /// A line exceeds the limit.
        LineTooLong(limit_bytes: usize) {
            display("line of the stream exceeds {} bytes", limit_bytes)
        }
        /// The text exceeds the limit.
        TextTooLong(limit_bytes: usize) {
            display("completion exceeds {} bytes", limit_bytes)
        }
        /// A data line is not a chunk of a completion.
        InvalidChunk {
            display("data line is not a chunk of a completion")
        }
        /// The weight version of a chunk is malformed.
        InvalidVersion(err: VersionError) {
            display("malformed weight version in a chunk: {}", err)
            from()
        }
        /// A chunk follows the terminator.
        AfterDone {
            display("data line after the terminator")
        }
    }
}

/// Why a completion ended.
#[key]
pub enum FinishReason {
    /// The model ended the completion.
    Stop,
    /// The completion reached its maximum number of tokens.
    Length,
    /// Any other reason, such as a cancellation; the completion is incomplete.
    Other,
}

impl FinishReason {
    /// Parses the value of `finish_reason`.
    pub fn parse(text: &str) -> FinishReason {
        match text {
            "stop" => FinishReason::Stop,
            "length" => FinishReason::Length,
            _ => FinishReason::Other,
        }
    }

    /// Whether the completion ran to its end.
    pub fn is_complete(self) -> bool {
        self != FinishReason::Other
    }
}

/// Content that one chunk of a stream adds to one choice.
#[value]
pub struct Piece {
    /// Number of the choice, if the request asked for several completions.
    pub index: u32,
    /// Text that the chunk adds.
    pub text: String,
    /// Ids of the tokens that the chunk adds; empty if the engine sends none.
    pub token_ids: Vec<u32>,
    /// Weight version that generated the chunk; `None` if the engine did not send it.
    pub version: Option<WeightVersion>,
    /// Finish reason, in the last chunk of the choice.
    pub finish: Option<FinishReason>,
}

/// Parses a stream incrementally and determines whether it is complete.
#[value]
pub struct Parser {
    line: Vec<u8>,
    line_bytes_max: usize,
    finish: Option<FinishReason>,
    unfinished_choices: BTreeSet<u32>,
    terminated: bool,
}

impl Parser {
    /// Creates a parser that refuses lines of more than `line_bytes_max` bytes.
    pub fn new(line_bytes_max: usize) -> Parser {
        Parser {
            line: Vec::new(),
            line_bytes_max,
            finish: None,
            unfinished_choices: BTreeSet::new(),
            terminated: false,
        }
    }

    /// Adds the next bytes and passes each piece that they complete to `on_piece`.
    pub fn push(
        &mut self,
        bytes: &[u8],
        mut on_piece: impl FnMut(Piece) -> Result<(), SseError>,
    ) -> Result<(), SseError> {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            self.extend(&rest[..end])?;
            rest = &rest[end + 1..];
            let line = std::mem::take(&mut self.line);
            for piece in self.line(&line)? {
                on_piece(piece)?;
            }
        }
        self.extend(rest)
    }

    /// Whether all choices ran to their end and the terminator was received.
    pub fn is_complete(&self) -> bool {
        self.terminated
            && self.unfinished_choices.is_empty()
            && self.finish.is_some_and(FinishReason::is_complete)
    }

    /// The finish reason, once received. Of several, the first that is [`FinishReason::Other`],
    /// else the last.
    pub fn finish(&self) -> Option<FinishReason> {
        self.finish
    }

    fn extend(&mut self, bytes: &[u8]) -> Result<(), SseError> {
        if self.line.len() + bytes.len() > self.line_bytes_max {
            return Err(SseError::LineTooLong(self.line_bytes_max));
        }
        self.line.extend_from_slice(bytes);
        Ok(())
    }

    fn line(&mut self, line: &[u8]) -> Result<Vec<Piece>, SseError> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        // Blank lines end an event; comments and other fields have no content for us.
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(Vec::new());
        };
        if self.terminated {
            return Err(SseError::AfterDone);
        }
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.terminated = true;
            return Ok(Vec::new());
        }
        let chunk: Chunk = serde_json::from_slice(data).map_err(|_| SseError::InvalidChunk)?;
        let pieces = chunk.into_pieces()?;
        pieces.iter().for_each(|piece| self.record_finish(piece));
        Ok(pieces)
    }

    fn record_finish(&mut self, piece: &Piece) {
        let Some(finish) = piece.finish else {
            self.unfinished_choices.insert(piece.index);
            return;
        };
        self.unfinished_choices.remove(&piece.index);
        if self.finish.is_none_or(FinishReason::is_complete) {
            self.finish = Some(finish);
        }
    }
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    weight_version: Option<String>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    index: u32,
    #[serde(default)]
    text: String,
    #[serde(default)]
    token_ids: Vec<u32>,
    finish_reason: Option<String>,
}

impl Chunk {
    /// Splits the chunk into one piece per choice. A chunk with usage data only has no choice.
    fn into_pieces(self) -> Result<Vec<Piece>, SseError> {
        let version = self.weight_version.as_deref().map(str::parse).transpose()?;
        let piece = |choice: Choice| Piece {
            index: choice.index,
            text: choice.text,
            token_ids: choice.token_ids,
            version,
            finish: choice.finish_reason.as_deref().map(FinishReason::parse),
        };
        Ok(self.choices.into_iter().map(piece).collect())
    }
}

/// A completion assembled from its pieces.
#[value]
#[derive(Default)]
pub struct Transcript {
    /// The text so far.
    pub text: String,
    /// Ids of the tokens; empty if the engine sends none.
    pub token_ids: Vec<u32>,
    /// Number of pieces with content; an estimate of the tokens if the engine sends no ids.
    pub pieces: u32,
    /// Distinct weight versions of the pieces, in the order of their first use.
    pub versions: Vec<WeightVersion>,
    /// Whether a piece with content had no version, so that `versions` may be incomplete.
    pub has_unstamped: bool,
}

impl Transcript {
    /// Adds a piece. Returns an error if the text would exceed `text_bytes_max`.
    pub fn add(&mut self, piece: &Piece, text_bytes_max: usize) -> Result<(), SseError> {
        if self.text.len() + piece.text.len() > text_bytes_max {
            return Err(SseError::TextTooLong(text_bytes_max));
        }
        if piece.text.is_empty() && piece.token_ids.is_empty() {
            return Ok(());
        }
        self.text.push_str(&piece.text);
        self.token_ids.extend_from_slice(&piece.token_ids);
        self.pieces += 1;
        match piece.version {
            Some(version) if self.versions.contains(&version) => {}
            Some(version) => self.versions.push(version),
            None => self.has_unstamped = true,
        }
        Ok(())
    }
}
