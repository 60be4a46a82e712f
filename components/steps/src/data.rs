//! Data of an item: what a replica and a scorer are sent.

use derive::wire;
use quick_error::quick_error;

quick_error! {
    /// Why bytes are no data of an item.
    #[derive(Debug)]
    pub enum DataError {
        /// They can't be decoded, or the value can't be encoded.
        Codec(reason: postcard::Error) {
            source(reason)
            from()
            display("data of an item: {}", reason)
        }
    }
}

/// The reward call of an item.
#[wire]
pub struct RewardCall {
    /// Id of the call.
    pub id: String,
    /// Host of its route.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// What is sent for an item.
#[wire]
pub struct ItemData {
    /// Path of the request for tokens.
    pub path: String,
    /// Its headers.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// The reward call.
    pub scorer: Option<RewardCall>,
}

/// The bytes of an item's data.
pub fn encode_item(item: &ItemData) -> Result<Vec<u8>, DataError> {
    Ok(postcard::to_stdvec(item)?)
}

/// The item's data in these bytes.
pub fn decode_item(bytes: &[u8]) -> Result<ItemData, DataError> {
    Ok(postcard::from_bytes(bytes)?)
}
