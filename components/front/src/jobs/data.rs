//! The data of a step's items in the store: checked before any of it is written, then written
//! in a few appends.

use std::time::Duration;

use bytes::Bytes;
use index::DATA_TOPIC;
use quick_error::quick_error;
use steps::{DataError, DataRange, ItemData, ItemHead, encode_item};

use super::append::{self, Appended, PendingAppend};
use crate::state::Front;
use crate::writer::data_partition;

/// Longest time for one append on the path of a client, in milliseconds.
const APPEND_MS: u64 = 1_000;
/// Length that the store puts before each record, in bytes.
const FRAME_BYTES: usize = 4;

quick_error! {
    /// Why a step's data can't be stored.
    #[derive(Debug)]
    pub enum DataRefusal {
        /// An item can't be encoded.
        Encode(reason: DataError) {
            source(reason)
            from()
            display("cannot encode an item: {}", reason)
        }
        /// An item is longer than a record may be.
        TooLong(item: String, bytes: usize, bytes_max: usize) {
            display("item {} takes {} bytes, a record holds {}", item, bytes, bytes_max)
        }
        /// The store can't be reached.
        Unreachable {
            display("the store cannot be reached")
        }
    }
}

/// Writes the items' data; gives where it lies. What landed without an answer is named by
/// nobody and expires.
pub async fn write(
    front: &Front,
    heads: &[ItemHead],
    items: Vec<ItemData>,
    pending: &PendingAppend<'_>,
) -> Result<Vec<DataRange>, DataRefusal> {
    let mut ranges = Vec::new();
    for batch in batches(front, heads, items)? {
        ranges.push(write_batch(front, &batch, pending).await?);
    }
    Ok(ranges)
}

/// The encoded items in batches of half of what one call may bring, so that two steps at once
/// hold little memory; each item goes as it is encoded.
fn batches(
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
            let (id, most) = (head.id.clone(), store.record_bytes_max);
            return Err(DataRefusal::TooLong(id, encoded.len(), most));
        }
        let framed_bytes = encoded.len() + FRAME_BYTES;
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
    let within = Duration::from_millis(APPEND_MS);
    let append = || async {
        let appended = front.storage.append(DATA_TOPIC, partition, records, within);
        Ok(appended.await?)
    };
    match append::until_settled(front, pending, append, || false).await {
        Appended::Done(offset) => Ok(DataRange {
            partition,
            offset,
            count: records.len() as u32,
        }),
        Appended::Seen | Appended::NotDone | Appended::Unsure => Err(DataRefusal::Unreachable),
    }
}
