//! What processes say of themselves at their admin addresses.

use std::net::SocketAddr;

use adapters::{Endpoint, EndpointSettings, Request};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use types::CustomerName;

use crate::ControlError;

const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Processes that are asked at a time, so that a large fleet doesn't open a thousand
/// connections at once.
const CONCURRENT_REQUESTS_MAX: usize = 64;
const STATUS_ACCEPTED: u16 = 202;
const STATUS_OK: u16 = 200;

/// One customer's version at a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigRow {
    /// The customer.
    pub customer: String,
    /// The version in force there.
    pub version: u64,
}

/// One service that an endpoint hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Owner of the service.
    pub customer: String,
    /// The service.
    pub service: String,
    /// Weights that it answers with.
    pub version: Option<String>,
}

/// The part of a process's status that operators act on; more fields may follow.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Address and incarnation.
    pub node: String,
    /// `entry` or `agent`.
    pub role: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Calls in progress.
    #[serde(default)]
    pub in_progress: u64,
    /// Versions in force.
    pub config: Vec<ConfigRow>,
    /// What its endpoint hosts; empty for an entry.
    #[serde(default)]
    pub hosted: Vec<EndpointRow>,
}

/// What one process answered.
pub struct StatusReply {
    /// Its admin address.
    pub address: SocketAddr,
    /// Its status, or why there is none.
    pub status: Result<NodeStatus, ControlError>,
}

/// Asks one process.
pub async fn status(address: SocketAddr) -> Result<NodeStatus, ControlError> {
    let body = exchange(address, Request::new("GET", "/status"), STATUS_OK).await?;
    serde_json::from_slice(&body).map_err(|reason| ControlError::Malformed(address, reason))
}

/// Asks many processes; the replies come in the order of the addresses.
pub async fn statuses(addresses: &[SocketAddr]) -> Vec<StatusReply> {
    let mut replies = Vec::with_capacity(addresses.len());
    for few in addresses.chunks(CONCURRENT_REQUESTS_MAX) {
        let mut asked = JoinSet::new();
        for &address in few {
            asked.spawn(async move {
                StatusReply {
                    address,
                    status: status(address).await,
                }
            });
        }
        replies.extend(asked.join_all().await);
    }
    replies.sort_by_key(|reply| {
        addresses
            .iter()
            .position(|address| *address == reply.address)
    });
    replies
}

/// Whether this process answers requests by at least this version.
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

/// Tells a process to leave; it finishes what is in progress.
pub async fn drain(address: SocketAddr) -> Result<(), ControlError> {
    exchange(address, Request::new("POST", "/drain"), STATUS_ACCEPTED).await?;
    Ok(())
}

/// One exchange that must end with `wanted`.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request,
    wanted: u16,
) -> Result<bytes::Bytes, ControlError> {
    let failed = |reason| ControlError::Process(address, reason);
    let endpoint = Endpoint::new(address, EndpointSettings::default());
    let response = endpoint
        .send(request, REQUEST_TIMEOUT_MS)
        .await
        .map_err(failed)?;
    let status = response.head.status;
    let body = response.body.read_to_end().await.map_err(failed)?;
    if status != wanted {
        let detail = String::from_utf8_lossy(&body).into_owned();
        return Err(ControlError::UnexpectedStatus(address, status, detail));
    }
    Ok(body)
}
