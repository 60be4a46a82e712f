//! Writing to the index and the data topic. Records of many items go in one append.
//!
//! Writing a record twice changes nothing, as the first one in the log's order holds. So an
//! append without an answer is simply made again.

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

/// Longest time for an append, in milliseconds; the store refuses when two seconds wait.
pub const APPEND_MS: u64 = 1_500;
/// How long results are gathered before they are written, in milliseconds: a part of what a
/// trainer's pause between reads costs, against an append for each item.
const GATHER_MS: u64 = 8;
/// Texts written in one append, at most, in bytes; bounds the copy that is made of them.
const BATCH_BYTES: usize = 256 * 1024;
/// Pause after an append that failed, in milliseconds; doubles up to the greatest.
const PAUSE_MS: u64 = 50;
const PAUSE_MS_MAX: u64 = 800;

quick_error! {
    /// Why a record can't be written.
    #[derive(Debug)]
    pub enum WriteError {
        /// It can't be encoded.
        Encode(reason: IndexError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// The store did not take it.
        Store(reason: StoreError) {
            source(reason)
            from()
            display("cannot append: {}", reason)
        }
    }
}

impl WriteError {
    /// Whether it is certain that nothing was written and nothing will be.
    pub fn is_not_done(&self) -> bool {
        match self {
            WriteError::Encode(_) => true,
            WriteError::Store(reason) => reason.is_not_done(),
        }
    }
}

/// An item that ended.
pub struct Ended {
    /// Its step.
    pub step: StepId,
    /// Its number in the step.
    pub item: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// How an item ended.
pub enum Outcome {
    /// With a text.
    Text {
        /// The text.
        text: Bytes,
        /// Versions that made it, ascending.
        versions: Vec<u64>,
        /// The scorer's signature.
        score: String,
    },
    /// Without.
    Error(ErrorCause),
}

/// The bytes of records.
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

/// Appends encoded records to the index; gives the offset of the first.
pub async fn append_index(front: &Front, encoded: &[Bytes]) -> Result<u64, WriteError> {
    let within = Duration::from_millis(APPEND_MS);
    Ok(front
        .storage
        .append(INDEX_TOPIC, INDEX_PARTITION, encoded, within)
        .await?)
}

/// Appends a record of usage.
pub async fn append_usage(front: &Front, record: &UsageRecord) -> Result<u64, WriteError> {
    let encoded = [index::encode_usage(record)?];
    let within = Duration::from_millis(APPEND_MS);
    Ok(front
        .storage
        .append(USAGE_TOPIC, INDEX_PARTITION, &encoded, within)
        .await?)
}

/// Notes in the index that a part of an item failed.
pub async fn note_failed(front: &Front, (step, item): (StepId, u32), part: FailedPart) {
    let record = [LogRecord::Step(StepRecord::Failed { step, item, part })];
    if let Err(error) = write_index(front, &record).await {
        // This process counts on; another one that takes over allows one attempt more.
        log::warn!(event = "failure-not-written", step = step.0, item, error:% = error; "");
    }
}

/// Partition of the data topic that this front writes to.
pub fn data_partition(front: &Front) -> u32 {
    ownership::partition_of(&front.settings.node, front.settings.store.partitions)
}

/// Writes the results of items until the sender's side is closed.
pub async fn write_results(front: Arc<Front>, mut ended: mpsc::Receiver<Ended>) {
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

fn text_bytes(ended: &Ended) -> usize {
    match &ended.outcome {
        Outcome::Text { text, .. } => text.len(),
        Outcome::Error(_) => 0,
    }
}

async fn write_batch(front: &Front, batch: &[Ended]) {
    let texts: Vec<Bytes> = batch
        .iter()
        .filter_map(|ended| match &ended.outcome {
            Outcome::Text { text, .. } => Some(text.clone()),
            Outcome::Error(_) => None,
        })
        .collect();
    let partition = data_partition(front);
    let within = Duration::from_millis(APPEND_MS);
    let mut offset = 0;
    if !texts.is_empty() {
        offset = until_done(front, "results", || async {
            let append = front.storage.append(DATA_TOPIC, partition, &texts, within);
            noted(front, append.await.map_err(WriteError::from))
        })
        .await;
    }
    let mut records = Vec::with_capacity(batch.len());
    for ended in batch {
        let state = match &ended.outcome {
            Outcome::Error(cause) => ResultState::Errored(*cause),
            Outcome::Text {
                text,
                versions,
                score,
            } => {
                let place = DataLocation {
                    partition,
                    offset,
                    bytes: text.len() as u32,
                };
                offset += 1;
                ResultState::Succeeded {
                    versions: versions.clone(),
                    score: score.clone(),
                    text: place,
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
    until_done(front, "results", || async {
        noted(front, write_index(front, &records).await)
    })
    .await;
}

/// Notes since when no result could be written.
fn noted(front: &Front, appended: Result<u64, WriteError>) -> Result<u64, WriteError> {
    let since = &front.unwritable_since_ms;
    match &appended {
        Ok(_) => since.store(0, Ordering::Relaxed),
        Err(_) => {
            // Later failures of the same row change nothing.
            let now_ms = now_ms().max(1);
            let _ = since.compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        }
    }
    appended
}

/// Repeats an append until the store takes it; `what` it is stands in the log.
pub async fn until_done<F>(front: &Front, what: &'static str, mut append: impl FnMut() -> F) -> u64
where
    F: Future<Output = Result<u64, WriteError>>,
{
    let mut pause_ms = PAUSE_MS;
    loop {
        let returns = front.storage.recoveries();
        match append().await {
            Ok(offset) => return offset,
            Err(error) => {
                if front.storage.recoveries() != returns {
                    pause_ms = PAUSE_MS;
                }
                log::warn!(event = "records-not-written", what, pause_ms, error:% = error; "");
                front.storage.pause(pause_ms).await;
                pause_ms = (pause_ms * 2).min(PAUSE_MS_MAX);
            }
        }
    }
}
