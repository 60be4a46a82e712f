//! Incremental reading of a completions stream (server-sent events).
//!
//! A chunked body may end properly though the engine died in the middle of the answer.
//! A stream is whole only when it gave a finish reason of a completion that ran to its
//! end and, after it, the terminator `[DONE]`. Bytes may be split anywhere.

use std::collections::BTreeSet;

use derive::{key, value};
use quick_error::quick_error;
use serde::Deserialize;
use types::{VersionError, WeightVersion};

quick_error! {
    /// Why a stream is not a completions stream.
    #[value]
    pub enum SseError {
        /// A line over its limit.
        LineTooLong(limit_bytes: usize) {
            display("a line of the stream has more than {} bytes", limit_bytes)
        }
        /// The text over its limit.
        TextTooLong(limit_bytes: usize) {
            display("the completion has more than {} bytes", limit_bytes)
        }
        /// A data line that is no chunk of a completion.
        InvalidChunk {
            display("a data line is no chunk of a completion")
        }
        /// A stamp that is no version.
        InvalidVersion(err: VersionError) {
            display("bad weight version in a chunk: {}", err)
            from()
        }
        /// A chunk after the terminator.
        AfterDone {
            display("data after the terminator")
        }
    }
}

/// Why a completion ended.
#[key]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// It reached the limit of its tokens.
    Length,
    /// Anything else: cancelled, aborted. Not a whole answer.
    Other,
}

impl FinishReason {
    /// The finish reason with this word.
    pub fn parse(word: &str) -> FinishReason {
        match word {
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

/// What one chunk of a stream adds to one choice.
#[value]
pub struct Piece {
    /// Which of the completions, where the request asked for several.
    pub index: u32,
    /// Text that the chunk adds.
    pub text: String,
    /// Ids of the tokens that the chunk adds, where the engine gives them.
    pub token_ids: Vec<u32>,
    /// Version that made the chunk, where the engine stamped it.
    pub version: Option<WeightVersion>,
    /// FinishReason reason, in the last chunk.
    pub finish: Option<FinishReason>,
}

/// Reads a stream piece by piece and tells whether it is whole.
#[value]
pub struct Parser {
    line: Vec<u8>,
    line_bytes_max: usize,
    finish: Option<FinishReason>,
    unfinished: BTreeSet<u32>,
    done: bool,
}

impl Parser {
    /// A parser that refuses lines of more than `line_bytes_max` bytes.
    pub fn new(line_bytes_max: usize) -> Parser {
        Parser {
            line: Vec::new(),
            line_bytes_max,
            finish: None,
            unfinished: BTreeSet::new(),
            done: false,
        }
    }

    /// Takes the next bytes in and gives each piece that they complete to `on_piece`.
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

    /// Whether the stream gave a finish reason of a whole completion and its terminator.
    pub fn is_complete(&self) -> bool {
        self.done
            && self.unfinished.is_empty()
            && self.finish.is_some_and(FinishReason::is_complete)
    }

    /// The finish reason, once it came; of several the one that is not whole.
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
        // Blank lines end an event; comments and other fields carry nothing here.
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(Vec::new());
        };
        if self.done {
            return Err(SseError::AfterDone);
        }
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.done = true;
            return Ok(Vec::new());
        }
        let chunk: Chunk = serde_json::from_slice(data).map_err(|_| SseError::InvalidChunk)?;
        let pieces = chunk.into_pieces()?;
        pieces.iter().for_each(|piece| self.note(piece));
        Ok(pieces)
    }

    fn note(&mut self, piece: &Piece) {
        let Some(finish) = piece.finish else {
            self.unfinished.insert(piece.index);
            return;
        };
        self.unfinished.remove(&piece.index);
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
    /// A chunk with the usage alone has no choice and so no piece.
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

/// One completion put together from its pieces.
#[value]
#[derive(Default)]
pub struct Transcript {
    /// The text so far.
    pub text: String,
    /// Ids of its tokens, where the engine gives them.
    pub token_ids: Vec<u32>,
    /// Pieces that added text; about the tokens, for engines that give no ids.
    pub pieces: u32,
    /// Versions on the pieces, each once, in the order of their first piece.
    pub versions: Vec<WeightVersion>,
    /// Whether a piece with text had no stamp, so that the versions are not known.
    pub has_unstamped: bool,
}

impl Transcript {
    /// Adds a piece; refuses to grow over `text_bytes_max`.
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
