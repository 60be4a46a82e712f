//! Texts that are not whole yet, and their pieces in the store.
//!
//! A long item takes seconds, and the machine that runs it may die, leave or lose the store
//! in the middle. So what was made is written every half second, and whoever runs the item
//! next goes on behind it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use index::{DATA_TOPIC, LogRecord};
use platform::store::StoreError;
use steps::{DataLocation, SavedPiece, StepId, StepRecord};

use crate::state::{Front, lock};
use crate::writer::{APPEND_MS, WriteError, data_partition, write_index};

/// Longest time for reading a piece, in milliseconds.
const READ_MS: u64 = 800;
/// Kibibytes asked for beyond a piece: its length, rounding.
const READ_EXTRA_KB: u32 = 1;
/// New events that are worth a piece of their own.
const EVENTS_MIN: u64 = 4;

/// What is there of an item's text.
#[derive(Default)]
pub struct Partial {
    /// Data of the events so far, joined by line feeds.
    pub text: Vec<u8>,
    /// Id of the last event; 0 before the first.
    pub last_event: u64,
    /// Versions that made it, ascending.
    pub versions: Vec<u64>,
    /// Whether an earlier text was of no use, so that what is saved is of none either.
    pub discarded: bool,
    /// How often it was moved away from a slow replica.
    pub moves: u32,
    saved: Saved,
    unsure: Option<Saved>,
}

/// How much of a text is saved.
#[derive(Clone, Copy, Default)]
struct Saved {
    piece: u64,
    last_event: u64,
    bytes: usize,
}

/// A text that the run and the runner share.
pub type SharedPartial = Arc<Mutex<Partial>>;

impl Partial {
    /// Adds an event.
    pub fn push(&mut self, data: &[u8], id: u64, version: u64) {
        if self.last_event > 0 {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(data);
        self.last_event = id;
        if let Err(at) = self.versions.binary_search(&version) {
            self.versions.insert(at, version);
        }
    }

    /// Begins anew.
    pub fn discard(&mut self) {
        *self = Self {
            discarded: true,
            ..Self::default()
        };
    }

    /// Whether the newest piece in the index is of another run: another front makes this text too.
    pub fn is_overtaken(&self, newest: u64) -> bool {
        let unsure = self.unsure.is_some_and(|unsure| unsure.piece == newest);
        newest != 0 && newest != self.saved.piece && !unsure
    }

    /// The piece that is not saved yet, if it is worth saving. `newest` is the newest piece
    /// that stands in the index.
    fn unsaved(&mut self, newest: u64) -> Option<(SavedPiece, Bytes)> {
        if let Some(unsure) = self.unsure.take_if(|unsure| unsure.piece == newest) {
            self.saved = unsure;
        }
        // Another run's pieces stand there: nothing of this one can follow them.
        if self.saved.piece != newest || self.last_event < self.saved.last_event + EVENTS_MIN {
            return None;
        }
        let text = Bytes::copy_from_slice(&self.text[self.saved.bytes..]);
        let piece = SavedPiece {
            id: rand::random::<u64>().max(1),
            after: self.saved.piece,
            last_event: self.last_event,
            versions: self.versions.clone(),
            text: DataLocation {
                partition: 0,
                offset: 0,
                bytes: text.len() as u32,
            },
        };
        self.unsure = Some(Saved {
            piece: piece.id,
            last_event: self.last_event,
            bytes: self.text.len(),
        });
        Some((piece, text))
    }

    /// The text in these pieces.
    fn from_pieces(pieces: &[SavedPiece], texts: &[Bytes]) -> Option<Self> {
        let last = pieces.last()?;
        let text = texts.concat();
        let saved = Saved {
            piece: last.id,
            last_event: last.last_event,
            bytes: text.len(),
        };
        Some(Self {
            text,
            last_event: last.last_event,
            versions: last.versions.clone(),
            discarded: false,
            moves: 0,
            saved,
            unsure: None,
        })
    }
}

/// Writes what is new of these texts.
pub async fn save(front: &Front, texts: Vec<((StepId, u32), SharedPartial)>) {
    let mut pieces = Vec::new();
    let mut bytes = Vec::new();
    for ((step, item), partial) in texts {
        let newest = {
            let index = front.index();
            let known = index.ledger.get(step).filter(|step| !step.is_listed(item));
            known.map(|step| step.pieces(item).last().map_or(0, |piece| piece.id))
        };
        let unsaved = newest.and_then(|newest| lock(&partial).unsaved(newest));
        if let Some((piece, text)) = unsaved {
            pieces.push((step, item, piece));
            bytes.push(text);
        }
    }
    if pieces.is_empty() {
        return;
    }
    if let Err(error) = write(front, pieces, &bytes).await {
        // What was made stays with its run; only another process would miss it.
        log::info!(event = "pieces-not-written", error:% = error; "");
    }
}

/// Tells how long this front goes on with items, in milliseconds.
pub async fn keep(front: &Front, items: Vec<(StepId, u32)>, for_ms: u32) {
    if items.is_empty() {
        return;
    }
    let count = items.len();
    let record = [LogRecord::Step(StepRecord::Reserved { items, for_ms })];
    match write_index(front, &record).await {
        Ok(_) => log::info!(event = "items-kept", items = count, for_ms; ""),
        // Others begin with them too, which costs runs and no result.
        Err(error) => log::warn!(event = "kept-not-written", error:% = error; ""),
    }
}

async fn write(
    front: &Front,
    pieces: Vec<(StepId, u32, SavedPiece)>,
    texts: &[Bytes],
) -> Result<(), WriteError> {
    let partition = data_partition(front);
    let within = Duration::from_millis(APPEND_MS);
    let mut offset = front
        .storage
        .append(DATA_TOPIC, partition, texts, within)
        .await?;
    let mut records = Vec::with_capacity(pieces.len());
    for (step, item, mut piece) in pieces {
        piece.text = DataLocation {
            partition,
            offset,
            bytes: piece.text.bytes,
        };
        offset += 1;
        records.push(LogRecord::Step(StepRecord::Saved { step, item, piece }));
    }
    write_index(front, &records).await?;
    Ok(())
}

/// Reads a text back from its pieces.
pub async fn restore(front: &Front, pieces: &[SavedPiece]) -> Result<Partial, StoreError> {
    let mut texts = Vec::with_capacity(pieces.len());
    for piece in pieces {
        let DataLocation {
            partition,
            offset,
            bytes,
        } = piece.text;
        let within = Duration::from_millis(READ_MS);
        let kb = bytes / 1_024 + READ_EXTRA_KB;
        let text = front
            .storage
            .read_data_record(partition, offset, kb, within)
            .await?;
        if text.len() != bytes as usize {
            let why = format!("no piece of {bytes} bytes at {offset}");
            return Err(StoreError::Malformed(why));
        }
        texts.push(text);
    }
    Partial::from_pieces(pieces, &texts)
        .ok_or_else(|| StoreError::Malformed("no pieces".to_owned()))
}
