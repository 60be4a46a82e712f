//! Queries and orders to processes at their admin addresses.

use std::net::SocketAddr;

use adapters::{Endpoint, EndpointSettings, Request};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use types::CustomerName;

use crate::ControlError;

const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of concurrent requests, so that a query of a large fleet does not open a thousand
/// connections at once.
const CONCURRENT_REQUESTS_MAX: usize = 64;
const STATUS_ACCEPTED: u16 = 202;
const STATUS_OK: u16 = 200;

/// The active version of a customer's configuration at a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Name of the customer.
    pub customer: String,
    /// Number of the active version.
    pub version: u64,
}

/// A service that a process's endpoint hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Customer that owns the service.
    pub customer: String,
    /// Name of the service.
    pub service: String,
    /// Weight version that it answers with; `None` for a plain service.
    pub version: Option<String>,
}

/// The part of a process's status page that operators need; the page may have more fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Address and incarnation of the process.
    pub node: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Failure domain of the process.
    pub failure_domain: String,
    /// Whether the process is leaving.
    pub leaving: bool,
    /// Number of calls in progress.
    #[serde(default)]
    pub in_progress: u64,
    /// Active configuration version of each customer.
    pub config: Vec<ConfigRow>,
    /// Services that its endpoint hosts; empty for an entry.
    #[serde(default)]
    pub hosted: Vec<EndpointRow>,
}

/// Result of querying one process.
pub struct StatusReply {
    /// Admin address of the process.
    pub address: SocketAddr,
    /// Status of the process, or the error of the query.
    pub status: Result<NodeStatus, ControlError>,
}

/// Fetches the status of one process.
pub async fn status(address: SocketAddr) -> Result<NodeStatus, ControlError> {
    let body = exchange(address, Request::new("GET", "/status"), STATUS_OK).await?;
    serde_json::from_slice(&body).map_err(|reason| ControlError::Malformed(address, reason))
}

/// Fetches the status of many processes. The replies are in the order of the addresses.
pub async fn statuses(addresses: &[SocketAddr]) -> Vec<StatusReply> {
    let mut replies = Vec::with_capacity(addresses.len());
    for chunk in addresses.chunks(CONCURRENT_REQUESTS_MAX) {
        let mut requests = JoinSet::new();
        for &address in chunk {
            requests.spawn(async move {
                StatusReply {
                    address,
                    status: status(address).await,
                }
            });
        }
        replies.extend(requests.join_all().await);
    }
    replies.sort_by_key(|reply| {
        addresses
            .iter()
            .position(|address| *address == reply.address)
    });
    replies
}

/// Whether this version, or a later one, is active at the process.
pub fn is_active(reply: &StatusReply, customer: &CustomerName, version: u64) -> bool {
    let Ok(status) = &reply.status else {
        return false;
    };
    let row = status
        .config
        .iter()
        .find(|row| row.customer == customer.as_str());
    row.is_some_and(|row| row.version >= version)
}

/// Orders a process to drain: it finishes the calls in progress and leaves.
pub async fn drain(address: SocketAddr) -> Result<(), ControlError> {
    exchange(address, Request::new("POST", "/drain"), STATUS_ACCEPTED).await?;
    Ok(())
}

/// Sends a request and returns the body of the response. Fails unless the response has the status
/// `expected_status`.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request,
    expected_status: u16,
) -> Result<bytes::Bytes, ControlError> {
    let failed = |reason| ControlError::Process(address, reason);
    let endpoint = Endpoint::new(address, EndpointSettings::default());
    let response = endpoint
        .send(request, REQUEST_TIMEOUT_MS)
        .await
        .map_err(failed)?;
    let status = response.head.status;
    let body = response.body.read_to_end().await.map_err(failed)?;
    if status != expected_status {
        let detail = String::from_utf8_lossy(&body).into_owned();
        return Err(ControlError::UnexpectedStatus(address, status, detail));
    }
    Ok(body)
}
