//! Requests to the admin addresses of processes and to stand-ins.

use std::net::SocketAddr;

use adapters::{Endpoint, EndpointSettings, Request};
use bytes::Bytes;
use serde_json::Value;

use crate::ProofError;

const DEADLINE_MS: u64 = 5_000;

/// Fetches the status page of a process.
pub async fn status_page(admin: SocketAddr) -> Result<Value, ProofError> {
    let body = exchange(admin, Request::new("GET", "/status")).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Replicas of a service that an entry's status page lists and that are not leaving.
pub fn active_replicas(page: &Value, service: &str) -> Vec<Value> {
    let services = page["services"].as_array().into_iter().flatten();
    let rows = services.filter(|row| row["service"] == service);
    let replicas = rows.flat_map(|row| row["replicas"].as_array().into_iter().flatten());
    replicas
        .filter(|replica| replica["leaving"] != true)
        .cloned()
        .collect()
}

/// Sends a request and returns the answer's body; errors unless the status is 2xx.
pub async fn exchange(address: SocketAddr, request: Request) -> Result<Bytes, ProofError> {
    let endpoint = Endpoint::new(address, EndpointSettings::default());
    let response = endpoint.send(request, DEADLINE_MS).await?;
    let status = response.head.status;
    let body = response.body.read_to_end().await?;
    match (200..300).contains(&status) {
        true => Ok(body),
        false => Err(ProofError::Status(address, status)),
    }
}
