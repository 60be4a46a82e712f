//! The rate-limited weight store.
//!
//! Not wired: engines load from the store themselves, and an agent only orders the load.
//! The client serves the stand-in engine and tests.

use std::net::SocketAddr;

use bytes::Bytes;
use types::WeightVersion;

use crate::client::{Client, ClientSettings};
use crate::error::PlatformError;

/// Client of the weight store; a clone shares its connections.
#[derive(Clone)]
pub struct WeightStore {
    client: Client,
}

impl WeightStore {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> WeightStore {
        WeightStore {
            client: Client::new(address, settings),
        }
    }

    /// The weights of one version; refused with 429 and a time to come back over the
    /// store's rate.
    pub async fn fetch(&self, model: &str, version: WeightVersion) -> Result<Bytes, PlatformError> {
        let path = format!("/weights/{model}/{version}");
        let deadline_ms = self.client.deadline_ms();
        self.client.get_bytes(path, deadline_ms).await
    }
}
