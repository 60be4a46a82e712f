//! Data of an item: the requests that are sent to a replica and to the scorer.

use derive::wire;
use quick_error::quick_error;

quick_error! {
    /// Failure to encode or decode the data of an item.
    #[derive(Debug)]
    pub enum DataError {
        /// The bytes can't be decoded, or the value can't be encoded.
        Codec(reason: postcard::Error) {
            source(reason)
            from()
            display("cannot encode or decode the data of an item: {}", reason)
        }
    }
}

/// The call to the scorer that yields the reward of an item.
#[wire]
pub struct RewardCall {
    /// Request id that the scorer receives.
    pub id: String,
    /// Host of the route to the scorer.
    pub host: String,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// The requests for one item.
#[wire]
pub struct ItemData {
    /// Path of the request that generates the text.
    pub path: String,
    /// Headers of that request.
    pub headers: Vec<(String, String)>,
    /// Body of that request.
    pub body: Vec<u8>,
    /// Call that scores the text; `None` if the item needs no reward.
    pub scorer: Option<RewardCall>,
}

/// Encodes the data of an item for the data topic.
pub fn encode_item(item: &ItemData) -> Result<Vec<u8>, DataError> {
    Ok(postcard::to_stdvec(item)?)
}

/// Decodes the data of an item from a record of the data topic.
pub fn decode_item(bytes: &[u8]) -> Result<ItemData, DataError> {
    Ok(postcard::from_bytes(bytes)?)
}
