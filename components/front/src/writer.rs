//! Appends records to the index, the data topic and the usage topic.
//!
//! Readers ignore repeated records and use the first one in the order of the log, so an append
//! whose response was lost is simply repeated. An append that the store refuses for its content is
//! not.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use derive::key;
use index::{AppendLimits, INDEX_PARTITION, INDEX_TOPIC, IndexError, LogRecord, USAGE_TOPIC};
use platform::store::StoreError;
use quick_error::quick_error;
use steps::{FailedPart, StepId, StepRecord};
use telemetry::Label;
use usage::UsageRecord;

use crate::clock::now_ms;
use crate::state::Front;

/// Timeout of an append; the store refuses appends once two seconds of them are queued.
pub const APPEND_TIMEOUT_MS: u64 = 1_500;
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

    /// Whether the store refused the record for its content, so that no repeat succeeds.
    pub fn is_refused_content(&self) -> bool {
        matches!(self, WriteError::Store(reason) if reason.is_refused_content())
    }
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

/// Appends a record of usage and repeats the append until the store has taken or refused it.
pub async fn write_usage(front: &Front, record: &UsageRecord) {
    let what = RetriedRecords::Usage;
    match index::encode_usage(record) {
        Ok(encoded) => {
            append_records(front, what, USAGE_TOPIC, INDEX_PARTITION, &[encoded]).await;
        }
        Err(error) => refuse_unencodable(front, what, &error),
    }
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

/// Records whose append is repeated until the store has taken them.
#[key]
pub enum RetriedRecords {
    /// Results of items and their texts.
    Results,
    /// Reports of crashed replicas.
    CrashReports,
    /// Counts of customers' requests.
    Usage,
    /// This front's record in the address book, or its removal.
    FrontRecord,
}

impl RetriedRecords {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Results => "results",
            Self::CrashReports => "crash reports",
            Self::Usage => "usage",
            Self::FrontRecord => "front-record",
        }
    }
}

/// Limits of the store on the content of an append.
pub fn append_limits(front: &Front) -> AppendLimits {
    let store = &front.settings.store;
    AppendLimits {
        record_bytes_max: store.record_bytes_max,
        append_bytes_max: store.append_bytes_max,
    }
}

/// Encodes records; leaves out those that cannot be encoded or are longer than a record may be.
pub fn encode_each(front: &Front, what: RetriedRecords, records: &[LogRecord]) -> Vec<Bytes> {
    let bytes_max = append_limits(front).longest_record();
    let encode = |record: &LogRecord| match index::encode(record) {
        Ok(encoded) if encoded.len() <= bytes_max => Some(encoded),
        Ok(encoded) => {
            let (bytes, why) = (encoded.len(), "too long");
            log::error!(event = "record-refused", what = what.as_str(), bytes, why; "");
            count_refused(front, what);
            None
        }
        Err(error) => {
            refuse_unencodable(front, what, &error);
            None
        }
    };
    records.iter().filter_map(encode).collect()
}

/// Appends records in as few appends as the store allows, each repeated until it succeeds. Returns
/// the offset of each record; `None` for a record that the store refuses for its content. Such a
/// record holds up no other one.
pub async fn append_records(
    front: &Front,
    what: RetriedRecords,
    topic: &str,
    partition: u32,
    records: &[Bytes],
) -> Vec<Option<u64>> {
    let mut offsets = Vec::with_capacity(records.len());
    for group in append_limits(front).group_records(records) {
        let group = &records[group];
        match append_with_retry(front, what, topic, partition, group).await {
            Some(first) => offsets.extend((first..).map(Some).take(group.len())),
            None if group.len() == 1 => offsets.push(None),
            None => {
                for record in group {
                    let alone = std::slice::from_ref(record);
                    offsets.push(append_with_retry(front, what, topic, partition, alone).await);
                }
            }
        }
    }
    offsets
}

/// Repeats an append, with exponential backoff, until it succeeds; returns the offset of the first
/// record. `None` if the store refuses the records for their content, which nothing would change.
async fn append_with_retry(
    front: &Front,
    what: RetriedRecords,
    topic: &str,
    partition: u32,
    records: &[Bytes],
) -> Option<u64> {
    let timeout = Duration::from_millis(APPEND_TIMEOUT_MS);
    let mut pause_ms = BACKOFF_MS;
    loop {
        let recoveries = front.storage.recoveries();
        let appended = front
            .storage
            .append(topic, partition, records, timeout)
            .await;
        if what == RetriedRecords::Results {
            track_unwritable(front, &appended);
        }
        let error = match appended {
            Ok(offset) => return Some(offset),
            Err(error) => error,
        };
        if error.is_refused_content() {
            let (what_name, count) = (what.as_str(), records.len());
            log::error!(
                event = "records-refused", what = what_name, topic, records = count, error:% = error; ""
            );
            count_refused(front, what);
            return None;
        }
        if front.storage.recoveries() != recoveries {
            pause_ms = BACKOFF_MS;
        }
        log::warn!(event = "records-not-written", what = what.as_str(), pause_ms, error:% = error; "");
        front.storage.pause(pause_ms).await;
        pause_ms = (pause_ms * 2).min(BACKOFF_MS_MAX);
    }
}

/// Records the time since which results could not be written. A refusal of their content shows that
/// the store takes others.
fn track_unwritable(front: &Front, appended: &Result<u64, StoreError>) {
    let since_ms = &front.unwritable_since_ms;
    let is_unwritable = appended
        .as_ref()
        .is_err_and(|error| !error.is_refused_content());
    if !is_unwritable {
        since_ms.store(0, Ordering::Relaxed);
        return;
    }
    // Only the first of several failures in a row sets the time.
    let now_ms = now_ms().max(1);
    let _ = since_ms.compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
}

fn refuse_unencodable(front: &Front, what: RetriedRecords, error: &IndexError) {
    log::error!(event = "record-refused", what = what.as_str(), why:% = error; "");
    count_refused(front, what);
}

fn count_refused(front: &Front, what: RetriedRecords) {
    let label = Label {
        tag: Some(("records", what.as_str())),
        ..Label::default()
    };
    front.metrics.count("front_appends_refused_total", label, 1);
}
