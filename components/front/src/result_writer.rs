//! Writes the results of ended items: the texts to the data topic, then the results to the index.
//!
//! Results of many items are written together. A text that is longer than a record of the store is
//! divided into several. If the store refuses the records of a text for their content, the item is
//! listed as errored, as no front could ever list its text.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use index::{DATA_TOPIC, INDEX_PARTITION, INDEX_TOPIC, LogRecord};
use steps::{DataLocation, ErrorCause, ResultState, StepId, StepRecord};
use tokio::sync::mpsc;

use crate::state::Front;
use crate::writer::{RetriedRecords, append_limits, append_records, data_partition, encode_each};

/// How long results are gathered before they are written. Gathering saves appends; the delay is
/// small against a trainer's pause between reads.
const GATHER_MS: u64 = 8;
/// Size of the texts in one append from which on no further text is added. Bounds the memory for
/// the copy of the texts that an append makes.
const BATCH_BYTES: usize = 256 * 1024;

/// An item with its outcome, to be listed in the index.
pub struct EndedItem {
    pub step: StepId,
    /// Number of the item in the step.
    pub item: u32,
    pub outcome: ItemOutcome,
}

/// How an item ended.
pub enum ItemOutcome {
    /// The text is complete and scored.
    Text {
        text: Bytes,
        /// Versions of the weights that generated the text, ascending.
        versions: Vec<u64>,
        /// The scorer's signature; empty for an item without a reward call.
        score: String,
    },
    /// The item has no result but this error.
    Error(ErrorCause),
}

impl EndedItem {
    fn text(&self) -> Option<&Bytes> {
        match &self.outcome {
            ItemOutcome::Text { text, .. } => Some(text),
            ItemOutcome::Error(_) => None,
        }
    }

    fn text_bytes(&self) -> usize {
        self.text().map_or(0, Bytes::len)
    }
}

/// Writes the results of ended items in batches until the channel is closed.
pub async fn write_results(front: Arc<Front>, mut ended: mpsc::Receiver<EndedItem>) {
    while let Some(first) = ended.recv().await {
        let mut batch = vec![first];
        tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        let mut bytes = batch[0].text_bytes();
        while bytes < BATCH_BYTES
            && let Ok(next) = ended.try_recv()
        {
            bytes += next.text_bytes();
            batch.push(next);
        }
        write_batch(&front, batch).await;
    }
}

async fn write_batch(front: &Front, batch: Vec<EndedItem>) {
    let texts: Vec<Bytes> = batch.iter().filter_map(EndedItem::text).cloned().collect();
    let mut stored = store_texts(front, &texts).await.into_iter();
    let mut records = Vec::with_capacity(batch.len());
    for ended in batch {
        let EndedItem { step, item, .. } = ended;
        let state = match ended.outcome {
            ItemOutcome::Error(cause) => ResultState::Errored(cause),
            ItemOutcome::Text {
                versions, score, ..
            } => match stored.next().flatten() {
                Some(parts) => ResultState::succeeded(versions, score, parts),
                None => {
                    log::error!(event = "text-refused", step = step.0, item; "");
                    ResultState::Errored(ErrorCause::Refused)
                }
            },
        };
        log::debug!(event = "item-ended", step = step.0, item; "");
        records.push(LogRecord::Step(StepRecord::Listed { step, item, state }));
    }
    let what = RetriedRecords::Results;
    let records = encode_each(front, what, &records);
    append_records(front, what, INDEX_TOPIC, INDEX_PARTITION, &records).await;
}

/// Stores texts in the data topic. Returns the locations of each text's parts, `None` for a text
/// that the store refuses.
async fn store_texts(front: &Front, texts: &[Bytes]) -> Vec<Option<Vec<DataLocation>>> {
    let limits = append_limits(front);
    let mut records = Vec::new();
    let mut text_numbers = Vec::new();
    for (number, text) in texts.iter().enumerate() {
        for record in limits.split_text(text) {
            records.push(record);
            text_numbers.push(number);
        }
    }
    let partition = data_partition(front);
    let what = RetriedRecords::Results;
    let offsets = append_records(front, what, DATA_TOPIC, partition, &records).await;
    let mut stored = vec![Some(Vec::new()); texts.len()];
    for ((offset, record), number) in offsets.into_iter().zip(&records).zip(text_numbers) {
        match (offset, &mut stored[number]) {
            (Some(offset), Some(parts)) => parts.push(DataLocation {
                partition,
                offset,
                bytes: record.len() as u32,
            }),
            (None, parts) => *parts = None,
            (Some(_), None) => {}
        }
    }
    stored
}
