//! Writes the data of a step's items to the store. All items are encoded and checked against the
//! record limit first, then written in a few appends.

use std::time::Duration;

use bytes::Bytes;
use index::{DATA_TOPIC, LENGTH_PREFIX_BYTES};
use quick_error::quick_error;
use steps::{DataError, DataRange, ItemData, ItemHead, encode_item};

use super::append::{self, AppendOutcome, PendingAppend};
use crate::state::Front;
use crate::writer::data_partition;

/// Timeout of one append attempt, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 1_000;

quick_error! {
    /// Why the data of a step could not be stored.
    #[derive(Debug)]
    pub enum DataRefusal {
        Encode(reason: DataError) {
            source(reason)
            from()
            display("failed to encode item data: {}", reason)
        }
        /// An encoded item exceeds the size limit of the store's records.
        TooLong(item: String, bytes: usize, bytes_max: usize) {
            display("item {} too long: got {} bytes, a record holds {}", item, bytes, bytes_max)
        }
        /// The store refused the records for their content.
        Refused {
            display("failed to append item data: the store refuses it")
        }
        /// The append did not succeed in time.
        Unreachable {
            display("failed to append item data: the store did not accept it in time")
        }
    }
}

/// Writes the data of the items and returns its location in the data topic. Data of a failed call
/// may still have been stored, but no record refers to it, so it expires.
pub async fn write_data(
    front: &Front,
    heads: &[ItemHead],
    items: Vec<ItemData>,
    pending: &PendingAppend<'_>,
) -> Result<Vec<DataRange>, DataRefusal> {
    let mut ranges = Vec::new();
    for batch in encode_batches(front, heads, items)? {
        ranges.push(write_batch(front, &batch, pending).await?);
    }
    Ok(ranges)
}

/// Encodes the items in batches of half the size that one append may have, so that two concurrent
/// submissions use little memory. Each item is dropped once it is encoded.
fn encode_batches(
    front: &Front,
    heads: &[ItemHead],
    items: Vec<ItemData>,
) -> Result<Vec<Vec<Bytes>>, DataRefusal> {
    let store = &front.settings.store;
    let batch_bytes_max = store.append_bytes_max / 2;
    let mut batches = vec![Vec::new()];
    let mut bytes = 0;
    for (head, item) in heads.iter().zip(items) {
        let encoded = encode_item(&item)?;
        if encoded.len() > store.record_bytes_max {
            let (id, bytes_max) = (head.id.clone(), store.record_bytes_max);
            return Err(DataRefusal::TooLong(id, encoded.len(), bytes_max));
        }
        let framed_bytes = encoded.len() + LENGTH_PREFIX_BYTES;
        if bytes + framed_bytes > batch_bytes_max && bytes > 0 {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += framed_bytes;
        if let Some(batch) = batches.last_mut() {
            batch.push(Bytes::from(encoded));
        }
    }
    Ok(batches)
}

async fn write_batch(
    front: &Front,
    records: &[Bytes],
    pending: &PendingAppend<'_>,
) -> Result<DataRange, DataRefusal> {
    let partition = data_partition(front);
    let timeout = Duration::from_millis(APPEND_TIMEOUT_MS);
    let append = || async {
        let appended = front
            .storage
            .append(DATA_TOPIC, partition, records, timeout);
        Ok(appended.await?)
    };
    match append::append_for_client(front, pending, append, || false).await {
        AppendOutcome::Stored(offset) => Ok(DataRange {
            partition,
            offset,
            count: records.len() as u32,
        }),
        AppendOutcome::Refused => Err(DataRefusal::Refused),
        AppendOutcome::FoundInIndex | AppendOutcome::NotStored | AppendOutcome::Unknown => {
            Err(DataRefusal::Unreachable)
        }
    }
}
