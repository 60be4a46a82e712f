//! A model engine's control interface: orders, its state, and reports on load and prefix cache.

use std::net::SocketAddr;

use derive::{wire, wire_key};
use serde::{Deserialize, Deserializer, Serialize};
use types::WeightVersion;

use crate::client::{Client, ClientSettings};
use crate::error::PlatformError;

/// A model on an engine.
#[wire]
pub struct EngineModel {
    /// Name of the model at the engine.
    pub model: String,
    /// Version that serves calls.
    #[serde(with = "version_text")]
    pub version: WeightVersion,
    /// Versions in memory, to which the engine can switch.
    #[serde(with = "version_texts")]
    pub loaded: Vec<WeightVersion>,
}

/// State of an engine.
#[wire]
pub struct EngineState {
    /// Increases with each start of the engine.
    pub life: u64,
    /// The models that the engine hosts.
    pub models: Vec<EngineModel>,
}

/// An engine's load as it was `age_ms` ago.
#[wire]
#[derive(Copy, Default)]
pub struct LoadReport {
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences that wait for a slot in the batch.
    pub waiting: u32,
    /// Prompt tokens of the waiting sequences.
    pub prompt_tokens_queued: u64,
    /// Share of the KV cache's memory that sequences occupy, in thousandths.
    pub kv_used_permille: u32,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
}

/// How the prefix cache changed.
#[wire_key]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted from the cache.
    Removed,
}

/// One change of the prefix cache.
#[wire]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub seq: u64,
    /// Whether the block was added or evicted.
    pub kind: CacheEventKind,
    /// Hash of the block (see [`crate::prefix_blocks`]).
    #[serde(deserialize_with = "block_from_hex", serialize_with = "block_to_hex")]
    pub block: u64,
}

/// Cache events from a sequence number on.
#[wire]
pub struct CachePage {
    /// Sequence number from which to read next.
    pub next: u64,
    /// Events from the requested sequence number on that the engine has recorded so far.
    pub events: Vec<CacheEvent>,
}

#[derive(Serialize)]
struct OrderRequest<'a> {
    model: &'a str,
    #[serde(with = "version_text")]
    version: WeightVersion,
    fence: u64,
}

#[derive(Serialize)]
struct CancelRequest<'a> {
    request_id: &'a str,
}

/// Client of one engine's control interface; clones share its connections.
#[derive(Clone)]
pub struct Engine {
    client: Client,
}

impl Engine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> Engine {
        Engine {
            client: Client::new(address, settings),
        }
    }

    /// Loads a version into memory beside the serving one. Loading takes long, so that the caller
    /// sets the deadline. The engine refuses with 409 for an outdated fencing token, if it checks
    /// tokens, and with 503 if the weight store is unavailable.
    pub async fn load(
        &self,
        model: &str,
        version: WeightVersion,
        fence: u64,
        deadline_ms: u64,
    ) -> Result<(), PlatformError> {
        self.send_order("/engine/load", model, version, fence, deadline_ms)
            .await
    }

    /// Makes a loaded version the serving one. Only [`Engine::state`] tells which version serves
    /// afterwards, whatever the answer is.
    pub async fn switch(
        &self,
        model: &str,
        version: WeightVersion,
        fence: u64,
        deadline_ms: u64,
    ) -> Result<(), PlatformError> {
        self.send_order("/engine/switch", model, version, fence, deadline_ms)
            .await
    }

    /// Reads the engine's models and versions.
    pub async fn state(&self) -> Result<EngineState, PlatformError> {
        let deadline_ms = self.client.deadline_ms();
        self.client
            .get("/engine/state".to_owned(), deadline_ms)
            .await
    }

    /// Cancels the sequences of a request; succeeds if there are none.
    pub async fn cancel(&self, request_id: &str) -> Result<(), PlatformError> {
        let deadline_ms = self.client.deadline_ms();
        let cancel = CancelRequest { request_id };
        self.client
            .post_for_bytes("/engine/cancel", &cancel, deadline_ms)
            .await?;
        Ok(())
    }

    /// Reads the engine's load.
    pub async fn load_report(&self) -> Result<LoadReport, PlatformError> {
        let deadline_ms = self.client.deadline_ms();
        self.client
            .get("/engine/load".to_owned(), deadline_ms)
            .await
    }

    /// Reads the changes of the prefix cache from the event `from` on. Unused so far; see
    /// `routing::PrefixTracker`.
    pub async fn cache_events(&self, from: u64) -> Result<CachePage, PlatformError> {
        let path = format!("/engine/cache-events?from={from}");
        let deadline_ms = self.client.deadline_ms();
        self.client.get(path, deadline_ms).await
    }

    async fn send_order(
        &self,
        path: &str,
        model: &str,
        version: WeightVersion,
        fence: u64,
        deadline_ms: u64,
    ) -> Result<(), PlatformError> {
        let order = OrderRequest {
            model,
            version,
            fence,
        };
        self.client
            .post_for_bytes(path, &order, deadline_ms)
            .await?;
        Ok(())
    }
}

fn block_from_hex<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
}

fn block_to_hex<S: serde::Serializer>(block: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{block:016x}"))
}

/// Serializes a version as `EPOCH.VERSION`.
pub(crate) mod version_text {
    use serde::{Deserialize, Deserializer, Serializer};
    use types::WeightVersion;

    pub fn serialize<S: Serializer>(version: &WeightVersion, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(version)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<WeightVersion, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(from)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Serializes versions as a list of `EPOCH.VERSION`.
mod version_texts {
    use serde::{Deserialize, Deserializer, Serializer};
    use types::WeightVersion;

    pub fn serialize<S: Serializer>(versions: &[WeightVersion], to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(versions.iter().map(WeightVersion::to_string))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<WeightVersion>, D::Error> {
        let texts = Vec::<String>::deserialize(from)?;
        let versions = texts.iter().map(|text| text.parse());
        versions
            .collect::<Result<_, _>>()
            .map_err(serde::de::Error::custom)
    }
}
