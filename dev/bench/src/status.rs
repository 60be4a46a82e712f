//! Reads the status pages of processes and the run counts of stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use adapters::{Endpoint, EndpointSettings, Request};
use bytes::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;

use crate::error::BenchError;

const REQUEST_TIMEOUT_MS: u64 = 2_000;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const STATUS_OK: u16 = 200;

/// The part of an entry's status page that the tools evaluate.
#[derive(Debug, Default, Deserialize)]
pub struct EntryStatus {
    /// Services that the entry knows.
    #[serde(default)]
    pub services: Vec<ServiceStatus>,
}

/// A service as an entry sees it.
#[derive(Debug, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Replicas that the entry may call.
    #[serde(default)]
    pub replicas: Vec<ReplicaStatus>,
}

/// A replica as an entry sees it.
#[derive(Debug, Deserialize)]
pub struct ReplicaStatus {
    /// Weight version that a model's replica serves; `None` for a plain service.
    #[serde(default)]
    pub weights: Option<String>,
}

impl EntryStatus {
    /// Number of replicas of all services together.
    pub fn replica_count(&self) -> usize {
        self.services
            .iter()
            .map(|service| service.replicas.len())
            .sum()
    }

    /// Number of replicas of a model by the weight version that they serve.
    pub fn replicas_by_version(&self, model: &str) -> BTreeMap<String, usize> {
        let mut versions = BTreeMap::new();
        let services = self.services.iter().filter(|s| s.service == model);
        for replica in services.flat_map(|service| &service.replicas) {
            let weights = replica.weights.clone().unwrap_or_default();
            *versions.entry(weights).or_insert(0) += 1;
        }
        versions
    }
}

/// Reads a page; any status but 200 is an error.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, BenchError> {
    let endpoint = Endpoint::new(address, EndpointSettings::default());
    let no_answer = |err| BenchError::NoAnswer(address, err);
    let request = Request::new("GET", path);
    let response = endpoint
        .send(request, REQUEST_TIMEOUT_MS)
        .await
        .map_err(no_answer)?;
    let status = response.head.status;
    let body = response.body.read_to_end().await.map_err(no_answer)?;
    if status != STATUS_OK {
        return Err(BenchError::UnexpectedStatus(address, status));
    }
    Ok(body)
}

/// Reads and parses a JSON page.
pub async fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<T, BenchError> {
    Ok(serde_json::from_slice(&get(address, path).await?)?)
}

/// Reads an entry's status page at its admin address.
pub async fn entry_status(admin: SocketAddr) -> Result<EntryStatus, BenchError> {
    get_json(admin, "/status").await
}

/// Waits until each of these entries sees at least `replicas` replicas.
pub async fn wait_for_replicas(
    admins: &[SocketAddr],
    replicas: usize,
    wait_ms: u64,
) -> Result<(), BenchError> {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    for &admin in admins {
        loop {
            let seen = entry_status(admin)
                .await
                .map(|status| status.replica_count());
            if seen.as_ref().is_ok_and(|seen| *seen >= replicas) {
                break;
            }
            if Instant::now() > deadline {
                let seen = seen.unwrap_or(0);
                let state = format!("entry {admin} sees {seen} of {replicas} replicas");
                return Err(BenchError::Timeout(state, wait_ms));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Number of runs of each call at these plain services together, by the tag of the call.
pub async fn run_counts(services: &[SocketAddr]) -> Result<BTreeMap<String, u64>, BenchError> {
    let mut total = BTreeMap::new();
    for &service in services {
        let counts: BTreeMap<String, u64> = get_json(service, "/standin/runs").await?;
        for (tag, count) in counts {
            *total.entry(tag).or_insert(0) += count;
        }
    }
    Ok(total)
}
