//! Partial texts of running items, and the pieces of them that are saved in the store.
//!
//! A long item takes seconds, and the front that runs it may die, shut down or lose the store
//! meanwhile. The front therefore saves the new part of each text every half second as a piece,
//! so that the next front resumes after the last saved event instead of starting again.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use index::{DATA_TOPIC, LogRecord};
use platform::replica::RESPONSE_BYTES_MAX;
use platform::store::StoreError;
use steps::{DataLocation, SavedPiece, StepId, StepRecord};

use crate::held::HeldGuard;
use crate::state::{Front, lock};
use crate::writer::{APPEND_TIMEOUT_MS, WriteError, append_limits, data_partition, write_index};

/// Timeout of reading one piece.
const READ_TIMEOUT_MS: u64 = 800;
/// Kibibytes added to a read of a piece for the length prefix of its record and for rounding.
const READ_EXTRA_KB: u32 = 1;
/// Size limit of a text. A replica that sends events without end would otherwise fill the memory.
const TEXT_BYTES_MAX: usize = RESPONSE_BYTES_MAX;
/// Fewer new events than this are not saved as a piece yet.
const PIECE_EVENTS_MIN: u64 = 4;

/// The text of an item as far as it has been generated.
#[derive(Default)]
pub struct PartialText {
    /// Data of the events so far, joined by line feeds.
    pub text: Vec<u8>,
    /// Id of the last event; 0 before the first.
    pub last_event: u64,
    /// Versions of the weights that generated the text, ascending.
    pub versions: Vec<u64>,
    /// Whether an earlier text of the item was discarded, so that its saved pieces are unusable.
    pub discarded: bool,
    /// How often the item was moved away from a slow replica.
    pub slow_moves: u32,
    /// Whether the next run opens a connection, because the replica of the last one was silent at
    /// its end. The idle connections of other replicas may be silent for the same reason.
    pub needs_new_connection: bool,
    /// Counts the text if it is a long one.
    held: Option<HeldGuard>,
    /// The part whose pieces the index is known to contain.
    saved: SavedPart,
    /// The part including the piece that was written last, until the index shows that piece.
    unconfirmed: Option<SavedPart>,
}

/// How much of a text is saved.
#[derive(Clone, Copy, Default)]
struct SavedPart {
    /// Id of the last piece; 0 before the first.
    last_piece: u64,
    last_event: u64,
    bytes: usize,
}

/// The whole text of an item.
pub struct CompleteText {
    /// Data of all events, joined by line feeds.
    pub text: Vec<u8>,
    /// Number of events.
    pub events: u64,
    /// Versions of the weights that generated the text, ascending.
    pub versions: Vec<u64>,
}

/// A partial text that the task of a run and the runner share.
pub type SharedPartialText = Arc<Mutex<PartialText>>;

impl PartialText {
    /// Makes room for `bytes` more; false if the text would be longer than a text may be, or if the
    /// front would hold too much.
    pub fn try_reserve(&mut self, front: &Front, bytes: usize) -> bool {
        // An event's data follows a line feed.
        let needed = self.text.len() + bytes + 1;
        let capacity = match needed <= self.text.capacity() {
            true => self.text.capacity(),
            false => needed.max(2 * self.text.capacity()),
        };
        let held = self.held.get_or_insert_with(|| front.held.guard());
        let fits = needed <= TEXT_BYTES_MAX && held.try_hold_text(capacity as u64);
        if fits {
            self.text.reserve_exact(capacity - self.text.len());
        }
        fits
    }

    /// Appends an event's data.
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

    /// Drops the text, so that the item restarts from its first event.
    pub fn discard(&mut self) {
        *self = Self {
            discarded: true,
            needs_new_connection: self.needs_new_connection,
            ..Self::default()
        };
    }

    /// Takes the text of a run that has reached its end; `None` if the text has no events. Later
    /// events of another run of the item do not fit what is left, so that run breaks off.
    pub fn take_complete(&mut self) -> Option<CompleteText> {
        self.held = None;
        let events = std::mem::take(&mut self.last_event);
        let complete = CompleteText {
            text: std::mem::take(&mut self.text),
            events,
            versions: std::mem::take(&mut self.versions),
        };
        (events > 0).then_some(complete)
    }

    /// Whether the newest piece in the index (0 if there is none) comes from another run, which
    /// means that another front generates this text too.
    pub fn is_superseded(&self, newest_piece: u64) -> bool {
        let is_own = self
            .unconfirmed
            .is_some_and(|part| part.last_piece == newest_piece);
        newest_piece != 0 && newest_piece != self.saved.last_piece && !is_own
    }

    /// The next piece to save and its text, if there are enough new events. `newest_piece` is the
    /// newest piece of the item in the index, 0 if there is none.
    fn next_piece(&mut self, newest_piece: u64) -> Option<(SavedPiece, Bytes)> {
        if let Some(confirmed) = self
            .unconfirmed
            .take_if(|part| part.last_piece == newest_piece)
        {
            self.saved = confirmed;
        }
        // A piece of this run cannot follow the pieces of another run.
        if self.saved.last_piece != newest_piece
            || self.last_event < self.saved.last_event + PIECE_EVENTS_MIN
        {
            return None;
        }
        let text = Bytes::copy_from_slice(&self.text[self.saved.bytes..]);
        let piece = SavedPiece {
            id: rand::random::<u64>().max(1),
            after: self.saved.last_piece,
            last_event: self.last_event,
            versions: self.versions.clone(),
            text: DataLocation {
                partition: 0,
                offset: 0,
                bytes: text.len() as u32,
            },
        };
        self.unconfirmed = Some(SavedPart {
            last_piece: piece.id,
            last_event: self.last_event,
            bytes: self.text.len(),
        });
        Some((piece, text))
    }

    /// Joins the pieces of a text; `None` without pieces.
    fn from_pieces(pieces: &[SavedPiece], texts: &[Bytes]) -> Option<Self> {
        let last = pieces.last()?;
        let text = texts.concat();
        let saved = SavedPart {
            last_piece: last.id,
            last_event: last.last_event,
            bytes: text.len(),
        };
        Some(Self {
            text,
            last_event: last.last_event,
            versions: last.versions.clone(),
            discarded: false,
            slow_moves: 0,
            needs_new_connection: false,
            held: None,
            saved,
            unconfirmed: None,
        })
    }
}

/// Saves the new events of these texts as pieces: all texts in one append to the data topic, then
/// the records of the pieces in one append to the index.
pub async fn save(front: &Front, partials: Vec<((StepId, u32), SharedPartialText)>) {
    let bytes_max = append_limits(front).longest_record();
    let mut pieces = Vec::new();
    let mut texts = Vec::new();
    for ((step, item), partial) in partials {
        let newest_piece = {
            let index = front.index();
            let known = index.ledger.get(step).filter(|step| !step.is_listed(item));
            known.map(|step| step.pieces(item).last().map_or(0, |piece| piece.id))
        };
        let next = newest_piece.and_then(|newest| lock(&partial).next_piece(newest));
        match next {
            Some((_, text)) if text.len() > bytes_max => {
                // A front that takes over resumes after the piece before.
                let (step, bytes) = (step.0, text.len());
                log::info!(event = "piece-too-long", step, item, bytes, bytes_max; "");
            }
            Some((piece, text)) => {
                pieces.push((step, item, piece));
                texts.push(text);
            }
            None => {}
        }
    }
    if pieces.is_empty() {
        return;
    }
    let count = pieces.len();
    match write_pieces(front, pieces, &texts).await {
        Ok(()) => log::debug!(event = "pieces-written", pieces = count; ""),
        // This front still has the texts; only a front that takes over would lack the pieces.
        Err(error) => log::info!(event = "pieces-not-written", error:% = error; ""),
    }
}

/// Reserves items that this front runs although other fronts own their shards: the owners do not
/// start them for `for_ms`. 0 ends the reservation.
pub async fn reserve(front: &Front, items: Vec<(StepId, u32)>, for_ms: u32) {
    if items.is_empty() {
        return;
    }
    let count = items.len();
    let record = [LogRecord::Step(StepRecord::Reserved { items, for_ms })];
    match write_index(front, &record).await {
        Ok(_) => log::info!(event = "items-kept", items = count, for_ms; ""),
        // The owners start the items too, which costs duplicate runs but no result.
        Err(error) => log::warn!(event = "kept-not-written", error:% = error; ""),
    }
}

/// Writes pieces in as few appends as the store allows.
async fn write_pieces(
    front: &Front,
    pieces: Vec<(StepId, u32, SavedPiece)>,
    texts: &[Bytes],
) -> Result<(), WriteError> {
    let partition = data_partition(front);
    let timeout = Duration::from_millis(APPEND_TIMEOUT_MS);
    let mut pieces = pieces.into_iter();
    for group in append_limits(front).group_records(texts) {
        let texts = &texts[group];
        let append = front.storage.append(DATA_TOPIC, partition, texts, timeout);
        let first = append.await?;
        let located = (first..).zip(pieces.by_ref().take(texts.len()));
        let records: Vec<LogRecord> = located
            .map(|(offset, (step, item, mut piece))| {
                piece.text = DataLocation {
                    partition,
                    offset,
                    bytes: piece.text.bytes,
                };
                LogRecord::Step(StepRecord::Saved { step, item, piece })
            })
            .collect();
        write_index(front, &records).await?;
    }
    Ok(())
}

/// Reads a partial text from its saved pieces.
pub async fn restore(front: &Front, pieces: &[SavedPiece]) -> Result<PartialText, StoreError> {
    let mut texts = Vec::with_capacity(pieces.len());
    for piece in pieces {
        let DataLocation {
            partition,
            offset,
            bytes,
        } = piece.text;
        let timeout = Duration::from_millis(READ_TIMEOUT_MS);
        let kb = bytes / 1_024 + READ_EXTRA_KB;
        let text = front
            .storage
            .read_data_record(partition, offset, kb, timeout)
            .await?;
        if text.len() != bytes as usize {
            let reason = format!("record at offset {offset} is not a saved piece of {bytes} bytes");
            return Err(StoreError::Malformed(reason));
        }
        texts.push(text);
    }
    PartialText::from_pieces(pieces, &texts)
        .ok_or_else(|| StoreError::Malformed("restoring a text: it has no pieces".to_owned()))
}
