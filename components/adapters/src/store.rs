//! Client of the rate-limited weight store.
//!
//! Only the stand-in engine and tests use the client: engines load from the store themselves, and
//! an agent only orders the load.

use std::net::SocketAddr;

use bytes::Bytes;
use types::WeightVersion;

use crate::client::{Client, ClientSettings};
use crate::error::PlatformError;

/// Client of the weight store; clones share its connections.
#[derive(Clone)]
pub struct WeightStore {
    client: Client,
}

impl WeightStore {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> WeightStore {
        WeightStore {
            client: Client::new(address, settings),
        }
    }

    /// Fetches the weights of one version. Above its rate the store refuses with 429 and the time
    /// after which to retry.
    pub async fn fetch(&self, model: &str, version: WeightVersion) -> Result<Bytes, PlatformError> {
        let path = format!("/weights/{model}/{version}");
        let deadline_ms = self.client.deadline_ms();
        self.client.get_bytes(path, deadline_ms).await
    }
}
