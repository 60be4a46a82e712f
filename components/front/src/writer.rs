//! Appends records to the index, the data topic and the usage topic.
//!
//! Results of many items are written in one append. Readers ignore repeated records and use the
//! first one in the order of the log, so an append whose response was lost is simply repeated.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use index::{DATA_TOPIC, INDEX_PARTITION, INDEX_TOPIC, IndexError, LogRecord, USAGE_TOPIC};
use platform::store::StoreError;
use quick_error::quick_error;
use steps::{DataLocation, ErrorCause, FailedPart, ResultState, StepId, StepRecord};
use tokio::sync::mpsc;
use usage::UsageRecord;

use crate::clock::now_ms;
use crate::state::Front;

/// Timeout of an append; the store refuses appends once two seconds of them are queued.
pub const APPEND_TIMEOUT_MS: u64 = 1_500;
/// How long results are gathered before they are written. Gathering saves appends; the delay is
/// small against a trainer's pause between reads.
const GATHER_MS: u64 = 8;
/// Size of the texts in one append from which on no further text is added. Bounds the memory for
/// the copy of the texts that an append makes.
const BATCH_BYTES: usize = 256 * 1024;
/// Backoff after the first failed append; doubles with each failure, up to [`BACKOFF_MS_MAX`].
const BACKOFF_MS: u64 = 50;
const BACKOFF_MS_MAX: u64 = 800;

quick_error! {
    /// Why a record was not written.
    #[derive(Debug)]
    pub enum WriteError {
        /// The record could not be encoded.
        Encode(reason: IndexError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// The append failed at the store.
        Store(reason: StoreError) {
            source(reason)
            from()
            display("append to the store failed: {}", reason)
        }
    }
}

impl WriteError {
    /// Whether the record certainly was not written and will not be written later.
    pub fn is_not_done(&self) -> bool {
        match self {
            WriteError::Encode(_) => true,
            WriteError::Store(reason) => reason.is_not_done(),
        }
    }
}

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

pub fn encode(records: &[LogRecord]) -> Result<Vec<Bytes>, WriteError> {
    records
        .iter()
        .map(|record| Ok(index::encode(record)?))
        .collect()
}

/// Encodes records and appends them to the index.
pub async fn write_index(front: &Front, records: &[LogRecord]) -> Result<u64, WriteError> {
    append_index(front, &encode(records)?).await
}

/// Appends encoded records to the index; returns the offset of the first.
pub async fn append_index(front: &Front, encoded: &[Bytes]) -> Result<u64, WriteError> {
    let timeout = Duration::from_millis(APPEND_TIMEOUT_MS);
    Ok(front
        .storage
        .append(INDEX_TOPIC, INDEX_PARTITION, encoded, timeout)
        .await?)
}

/// Encodes a record of usage and appends it to the usage topic; returns its offset.
pub async fn append_usage(front: &Front, record: &UsageRecord) -> Result<u64, WriteError> {
    let encoded = [index::encode_usage(record)?];
    let timeout = Duration::from_millis(APPEND_TIMEOUT_MS);
    Ok(front
        .storage
        .append(USAGE_TOPIC, INDEX_PARTITION, &encoded, timeout)
        .await?)
}

/// Records a failed run or reward call of an item in the index, so that a front that takes over
/// counts it too.
pub async fn record_failure(front: &Front, (step, item): (StepId, u32), part: FailedPart) {
    let record = [LogRecord::Step(StepRecord::Failed { step, item, part })];
    if let Err(error) = write_index(front, &record).await {
        // This front still counts the failure; a front that takes over allows one more attempt.
        log::warn!(event = "failure-not-written", step = step.0, item, error:% = error; "");
    }
}

/// Partition of the data topic that this front writes to, chosen by the name of its node.
pub fn data_partition(front: &Front) -> u32 {
    ownership::partition_of(&front.settings.node, front.settings.store.partitions)
}

/// Writes the results of ended items in batches until the channel is closed.
pub async fn write_results(front: Arc<Front>, mut ended: mpsc::Receiver<EndedItem>) {
    let mut batch = Vec::new();
    while let Some(first) = ended.recv().await {
        batch.push(first);
        tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        let mut bytes = batch.iter().map(text_bytes).sum::<usize>();
        while bytes < BATCH_BYTES
            && let Ok(next) = ended.try_recv()
        {
            bytes += text_bytes(&next);
            batch.push(next);
        }
        write_batch(&front, &batch).await;
        batch.clear();
    }
}

fn text_bytes(ended: &EndedItem) -> usize {
    match &ended.outcome {
        ItemOutcome::Text { text, .. } => text.len(),
        ItemOutcome::Error(_) => 0,
    }
}

async fn write_batch(front: &Front, batch: &[EndedItem]) {
    let texts: Vec<Bytes> = batch
        .iter()
        .filter_map(|ended| match &ended.outcome {
            ItemOutcome::Text { text, .. } => Some(text.clone()),
            ItemOutcome::Error(_) => None,
        })
        .collect();
    let partition = data_partition(front);
    let timeout = Duration::from_millis(APPEND_TIMEOUT_MS);
    let mut offset = 0;
    if !texts.is_empty() {
        offset = append_with_retry(front, "results", || async {
            let append = front.storage.append(DATA_TOPIC, partition, &texts, timeout);
            track_unwritable(front, append.await.map_err(WriteError::from))
        })
        .await;
    }
    let mut records = Vec::with_capacity(batch.len());
    for ended in batch {
        let state = match &ended.outcome {
            ItemOutcome::Error(cause) => ResultState::Errored(*cause),
            ItemOutcome::Text {
                text,
                versions,
                score,
            } => {
                let location = DataLocation {
                    partition,
                    offset,
                    bytes: text.len() as u32,
                };
                offset += 1;
                ResultState::Succeeded {
                    versions: versions.clone(),
                    score: score.clone(),
                    text: location,
                }
            }
        };
        log::debug!(event = "item-ended", step = ended.step.0, item = ended.item; "");
        records.push(LogRecord::Step(StepRecord::Listed {
            step: ended.step,
            item: ended.item,
            state,
        }));
    }
    append_with_retry(front, "results", || async {
        track_unwritable(front, write_index(front, &records).await)
    })
    .await;
}

/// Records the time since which results could not be written; passes the outcome on.
fn track_unwritable(front: &Front, appended: Result<u64, WriteError>) -> Result<u64, WriteError> {
    let since_ms = &front.unwritable_since_ms;
    match &appended {
        Ok(_) => since_ms.store(0, Ordering::Relaxed),
        Err(_) => {
            // Only the first of several failures in a row sets the time.
            let now_ms = now_ms().max(1);
            let _ = since_ms.compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        }
    }
    appended
}

/// Repeats an append, with exponential backoff, until it succeeds; returns the offset of the first
/// record. `what` names the records in log lines.
pub async fn append_with_retry<F>(
    front: &Front,
    what: &'static str,
    mut append: impl FnMut() -> F,
) -> u64
where
    F: Future<Output = Result<u64, WriteError>>,
{
    let mut pause_ms = BACKOFF_MS;
    loop {
        let recoveries = front.storage.recoveries();
        match append().await {
            Ok(offset) => return offset,
            Err(error) => {
                if front.storage.recoveries() != recoveries {
                    pause_ms = BACKOFF_MS;
                }
                log::warn!(event = "records-not-written", what, pause_ms, error:% = error; "");
                front.storage.pause(pause_ms).await;
                pause_ms = (pause_ms * 2).min(BACKOFF_MS_MAX);
            }
        }
    }
}
