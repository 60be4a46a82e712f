//! The list of VMs, which lags behind what it lists.

use std::net::SocketAddr;

use derive::{wire, wire_key};
use types::{FailureDomain, Region};

use crate::client::{Client, ClientSettings};
use crate::error::PlatformError;

/// Which process of the system a VM runs.
#[wire_key]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry.
    Entry,
    /// An agent beside an endpoint.
    Agent,
}

impl VmRole {
    /// The role with this word, if there is one.
    pub fn parse(text: &str) -> Option<VmRole> {
        match text {
            "entry" => Some(VmRole::Entry),
            "agent" => Some(VmRole::Agent),
            _ => None,
        }
    }
}

/// State of a VM as its list has it.
#[wire_key]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to go away.
    Leaving,
}

/// One VM.
#[wire]
pub struct Vm {
    /// Inner address of the process on it.
    pub address: SocketAddr,
    /// Which process that is.
    pub role: VmRole,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Its state.
    pub state: VmState,
}

#[wire]
struct Listing {
    vms: Vec<Vm>,
}

/// Client of the VM list; a clone shares its connections.
#[derive(Clone)]
pub struct VmList {
    client: Client,
}

impl VmList {
    /// A client of the list at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> VmList {
        VmList {
            client: Client::new(address, settings),
        }
    }

    /// All VMs that the list has now.
    pub async fn list(&self) -> Result<Vec<Vm>, PlatformError> {
        let deadline_ms = self.client.deadline_ms();
        let listing: Listing = self.client.get("/vms".to_owned(), deadline_ms).await?;
        Ok(listing.vms)
    }
}
