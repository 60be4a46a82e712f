//! Reads the requests of a step's items from the data topic.

use super::*;
use crate::storage::data_read;

/// Reads the data of all items of a step, in their order. Returns `None`, after logging the reason,
/// if a read fails or brings no record of the step, or if a record is malformed.
pub(super) async fn read_data(front: &Front, head: &StepHead) -> Option<Vec<Arc<ItemData>>> {
    let mut data = Vec::with_capacity(head.items.len());
    while data.len() < head.items.len() {
        let (partition, offset) = head.data_location(data.len())?;
        let timeout = Duration::from_millis(DATA_TIMEOUT_MS);
        let page = front
            .storage
            .read(data_read(partition, offset, DATA_READ_KB), timeout)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                log::warn!(event = "items-not-read", id = head.id, error:% = error; "");
                return None;
            }
        };
        let read_before = data.len();
        for (index, record) in page.records.iter().enumerate() {
            // Records after the end of a range do not belong to this step.
            if head.data_location(read_before + index) != Some((partition, offset + index as u64)) {
                break;
            }
            match decode_item(record) {
                Ok(item) => data.push(Arc::new(item)),
                Err(error) => {
                    log::error!(event = "item-data-malformed", id = head.id, error:% = error; "");
                    return None;
                }
            }
        }
        if data.len() == read_before {
            log::warn!(event = "items-not-read", id = head.id, offset; "");
            return None;
        }
    }
    Some(data)
}
