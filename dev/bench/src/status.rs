//! What processes and stand-ins say of themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use adapters::{Endpoint, EndpointSettings, Request};
use bytes::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::error::BenchError;

const DEADLINE_MS: u64 = 2_000;
const POLL: Duration = Duration::from_millis(50);
const OK: u16 = 200;

/// Part of an entry's status that the tools act on.
#[derive(Debug, Default, Deserialize)]
pub struct EntryStatus {
    /// Services and their replicas.
    #[serde(default)]
    pub services: Vec<ServiceStatus>,
}

/// A service as an entry sees it.
#[derive(Debug, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub service: String,
    /// Its replicas.
    #[serde(default)]
    pub replicas: Vec<ReplicaStatus>,
}

/// A replica as an entry sees it.
#[derive(Debug, Deserialize)]
pub struct ReplicaStatus {
    /// Weights that it serves, if it is a model.
    #[serde(default)]
    pub weights: Option<String>,
}

impl EntryStatus {
    /// Replicas of all services together.
    pub fn replicas(&self) -> usize {
        self.services
            .iter()
            .map(|service| service.replicas.len())
            .sum()
    }

    /// How many replicas of a model serve each version.
    pub fn versions(&self, model: &str) -> BTreeMap<String, usize> {
        let mut versions = BTreeMap::new();
        let services = self.services.iter().filter(|s| s.service == model);
        for replica in services.flat_map(|service| &service.replicas) {
            let weights = replica.weights.clone().unwrap_or_default();
            *versions.entry(weights).or_insert(0) += 1;
        }
        versions
    }
}

/// Reads a page.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, BenchError> {
    let endpoint = Endpoint::new(address, EndpointSettings::default());
    let lost = |err| BenchError::NoAnswer(address, err);
    let request = Request::new("GET", path);
    let response = endpoint.send(request, DEADLINE_MS).await.map_err(lost)?;
    let status = response.head.status;
    let body = response.body.read_to_end().await.map_err(lost)?;
    if status != OK {
        return Err(BenchError::Answer(address, status));
    }
    Ok(body)
}

/// Reads a JSON page.
pub async fn json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, BenchError> {
    Ok(serde_json::from_slice(&get(address, path).await?)?)
}

/// Status of an entry, from its admin address.
pub async fn entry(admin: SocketAddr) -> Result<EntryStatus, BenchError> {
    json(admin, "/status").await
}

/// Waits until each of these entries sees so many replicas.
pub async fn await_replicas(
    admins: &[SocketAddr],
    replicas: usize,
    wait_ms: u64,
) -> Result<(), BenchError> {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    for &admin in admins {
        loop {
            let seen = entry(admin).await.map(|status| status.replicas());
            if seen.as_ref().is_ok_and(|seen| *seen >= replicas) {
                break;
            }
            if Instant::now() > end {
                let seen = seen.unwrap_or(0);
                let what = format!("entry {admin} sees {seen} of {replicas} replicas");
                return Err(BenchError::NotUp(what, wait_ms));
            }
            sleep(POLL).await;
        }
    }
    Ok(())
}

/// Runs at these plain services by tag, added up.
pub async fn runs(services: &[SocketAddr]) -> Result<BTreeMap<String, u64>, BenchError> {
    let mut runs = BTreeMap::new();
    for &service in services {
        let some: BTreeMap<String, u64> = json(service, "/standin/runs").await?;
        for (tag, count) in some {
            *runs.entry(tag).or_insert(0) += count;
        }
    }
    Ok(runs)
}
