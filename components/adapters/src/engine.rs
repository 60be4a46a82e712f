//! A model engine's control interface: orders, read-back, load and cache reports.

use std::net::SocketAddr;

use derive::{wire, wire_key};
use serde::{Deserialize, Deserializer, Serialize};
use types::WeightVersion;

use crate::client::{Client, ClientSettings};
use crate::error::PlatformError;

/// One model as an engine hosts it.
#[wire]
pub struct EngineModel {
    /// Name of the model.
    pub model: String,
    /// Version that serves.
    #[serde(with = "version_text")]
    pub version: WeightVersion,
    /// Versions in memory, ready to switch to.
    #[serde(with = "version_texts")]
    pub loaded: Vec<WeightVersion>,
}

/// What an engine says of itself.
#[wire]
pub struct EngineState {
    /// Grows with each start of the engine.
    pub life: u64,
    /// The models on it.
    pub models: Vec<EngineModel>,
}

/// An engine's load; it lags behind by `age_ms`.
#[wire]
#[derive(Copy, Default)]
pub struct LoadReport {
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences that wait for a place in it.
    pub waiting: u32,
    /// Prompt tokens of those that wait.
    pub prompt_tokens_queued: u64,
    /// Share of the KV cache's memory that sequences hold, in thousandths.
    pub kv_used_permille: u32,
    /// How old the figures are.
    pub age_ms: u64,
}

/// What happened to a block of the prefix cache.
#[wire_key]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The block is in the cache.
    Stored,
    /// The block left the cache.
    Removed,
}

/// One change of the prefix cache.
#[wire]
pub struct CacheEvent {
    /// Number of the event; a jump means that events are lost.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block (see [`crate::prefix_blocks`]).
    #[serde(deserialize_with = "block_from_hex", serialize_with = "block_to_hex")]
    pub block: u64,
}

/// Cache events from one number on.
#[wire]
pub struct CachePage {
    /// Number to ask from next.
    pub next: u64,
    /// The events that are known by now.
    pub events: Vec<CacheEvent>,
}

#[derive(Serialize)]
struct Order<'a> {
    model: &'a str,
    #[serde(with = "version_text")]
    version: WeightVersion,
    fence: u64,
}

#[derive(Serialize)]
struct Cancel<'a> {
    request_id: &'a str,
}

/// Client of one engine's control interface; a clone shares its connections.
#[derive(Clone)]
pub struct Engine {
    client: Client,
}

impl Engine {
    /// A client of the engine at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> Engine {
        Engine {
            client: Client::new(address, settings),
        }
    }

    /// Loads a version into memory beside the serving one. Loading takes long, so the
    /// deadline is the caller's. Refused with 409 for an old fencing number, where the
    /// engine checks it, and with 503 when the weight store gives nothing.
    pub async fn load(
        &self,
        model: &str,
        version: WeightVersion,
        fence: u64,
        deadline_ms: u64,
    ) -> Result<(), PlatformError> {
        self.order("/engine/load", model, version, fence, deadline_ms)
            .await
    }

    /// Makes a loaded version the serving one. Whatever the answer, only
    /// [`Engine::state`] tells which version serves.
    pub async fn switch(
        &self,
        model: &str,
        version: WeightVersion,
        fence: u64,
        deadline_ms: u64,
    ) -> Result<(), PlatformError> {
        self.order("/engine/switch", model, version, fence, deadline_ms)
            .await
    }

    /// Reads back what the engine hosts.
    pub async fn state(&self) -> Result<EngineState, PlatformError> {
        let deadline_ms = self.client.deadline_ms();
        self.client
            .get("/engine/state".to_owned(), deadline_ms)
            .await
    }

    /// Gives up the sequences of a request; no error if there are none.
    pub async fn cancel(&self, request_id: &str) -> Result<(), PlatformError> {
        let deadline_ms = self.client.deadline_ms();
        let cancel = Cancel { request_id };
        self.client
            .order("/engine/cancel", &cancel, deadline_ms)
            .await?;
        Ok(())
    }

    /// The engine's load.
    pub async fn load_report(&self) -> Result<LoadReport, PlatformError> {
        let deadline_ms = self.client.deadline_ms();
        self.client
            .get("/engine/load".to_owned(), deadline_ms)
            .await
    }

    /// Changes of the prefix cache from the event `from` on. Not wired yet; see
    /// `routing::PrefixTracker`.
    pub async fn cache_events(&self, from: u64) -> Result<CachePage, PlatformError> {
        let path = format!("/engine/cache-events?from={from}");
        let deadline_ms = self.client.deadline_ms();
        self.client.get(path, deadline_ms).await
    }

    async fn order(
        &self,
        path: &str,
        model: &str,
        version: WeightVersion,
        fence: u64,
        deadline_ms: u64,
    ) -> Result<(), PlatformError> {
        let order = Order {
            model,
            version,
            fence,
        };
        self.client.order(path, &order, deadline_ms).await?;
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

/// A version as `EPOCH.VERSION`.
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

/// Versions as a list of `EPOCH.VERSION`.
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
