//! Reading the data of a step's items.

use super::*;
use crate::storage::data_read;

pub(super) async fn read_data(front: &Front, head: &StepHead) -> Option<Vec<Arc<ItemData>>> {
    let mut data = Vec::with_capacity(head.items.len());
    while data.len() < head.items.len() {
        let (partition, offset) = head.data_location(data.len())?;
        let within = Duration::from_millis(DATA_MS);
        let page = front
            .storage
            .read(data_read(partition, offset, DATA_KB), within)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                log::warn!(event = "items-not-read", id = head.id, error:% = error; "");
                return None;
            }
        };
        let before = data.len();
        for (at, record) in page.records.iter().enumerate() {
            // Records behind the end of a range are not of this step.
            if head.data_location(before + at) != Some((partition, offset + at as u64)) {
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
        if data.len() == before {
            log::warn!(event = "items-not-read", id = head.id, offset; "");
            return None;
        }
    }
    Some(data)
}
