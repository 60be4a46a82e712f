//! Client of the VM list, which lags behind the actual state of the VMs.

use std::net::SocketAddr;

use derive::{wire, wire_key};
use types::{FailureDomain, Region};

use crate::client::{Client, ClientSettings};
use crate::error::PlatformError;

/// Which process of the system a VM runs.
#[wire_key]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry, which receives calls from customers.
    Entry,
    /// An agent beside an endpoint.
    Agent,
}

impl VmRole {
    /// Parses the name of a role.
    pub fn parse(text: &str) -> Option<VmRole> {
        match text {
            "entry" => Some(VmRole::Entry),
            "agent" => Some(VmRole::Agent),
            _ => None,
        }
    }
}

/// State of a VM according to the list.
#[wire_key]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A VM and the process on it.
#[wire]
pub struct Vm {
    /// Inner address of the process.
    pub address: SocketAddr,
    /// Role of the process.
    pub role: VmRole,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// State of the VM.
    pub state: VmState,
}

#[wire]
struct VmListResponse {
    vms: Vec<Vm>,
}

/// Client of the VM list; clones share its connections.
#[derive(Clone)]
pub struct VmList {
    client: Client,
}

impl VmList {
    /// Creates a client of the list at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> VmList {
        VmList {
            client: Client::new(address, settings),
        }
    }

    /// Reads all VMs of the list.
    pub async fn list(&self) -> Result<Vec<Vm>, PlatformError> {
        let deadline_ms = self.client.deadline_ms();
        let response: VmListResponse = self.client.get("/vms".to_owned(), deadline_ms).await?;
        Ok(response.vms)
    }
}
