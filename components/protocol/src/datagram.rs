//! Datagrams: small periodic news over UDP. A lost one is made good by the next.

use std::net::SocketAddr;

use derive::{wire, wire_key};
use types::{
    CustomerName, FailureDomain, Incarnation, NodeId, Region, ServiceName, WeightTarget,
    WeightVersion,
};

/// What a process is.
#[wire_key]
pub enum ProcessRole {
    /// In front of the endpoints, behind the platform's balancer.
    Entry,
    /// Beside an endpoint.
    Agent,
}

/// What an endpoint's engine reports of its load, or its agent counts.
#[wire_key]
#[derive(Default)]
pub struct Load {
    /// Calls that the agent has in progress.
    pub running: u32,
    /// Calls that wait in the engine.
    pub waiting: u32,
    /// Prompt tokens that wait in the engine.
    pub prompt_tokens_queued: u32,
    /// KV cache in use, in thousandths.
    pub kv_used_permille: u16,
    /// Age of the engine's report when this was sent, in milliseconds.
    pub age_ms: u32,
}

/// One service that an endpoint hosts now.
#[wire]
pub struct HostedService {
    /// Owner of the service.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// Version that the engine answers with; `None` for a plain service.
    pub weights: Option<WeightVersion>,
}

/// Answer of an agent to a probe, and its notice when it leaves.
#[wire]
pub struct Status {
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Region of the endpoint.
    pub region: Region,
    /// No new work is taken.
    pub leaving: bool,
    /// Services that the endpoint can serve now, or the share of them in this part; empty
    /// while it is down.
    pub hosted: Vec<HostedService>,
    /// Which part of the hosted services this is, from 0 on.
    pub part: u8,
    /// Parts that the hosted services need; a datagram takes one.
    pub parts: u8,
    /// Load of the endpoint.
    pub load: Load,
    /// Raised each time the endpoint behind this agent was found restarted or crashed.
    pub endpoint_life: u32,
}

/// Version of one customer's configuration that the sender holds.
#[wire]
pub struct ConfigDigest {
    /// The customer.
    pub customer: CustomerName,
    /// Its newest accepted version.
    pub version: u64,
    /// First 8 bytes of the text's SHA-256.
    pub digest: u64,
}

/// Calls of one entry that were in flight at an endpoint when it crashed, or a part of them.
#[wire]
pub struct CrashReport {
    /// The entry.
    pub entry: SocketAddr,
    /// The endpoint's agent.
    pub endpoint: SocketAddr,
    /// Digests of customer and content.
    pub digests: Vec<[u8; 16]>,
}

/// What customers ask of one entry, so that the others take less of their limits.
#[wire]
#[derive(Default)]
pub struct DemandDigest {
    /// Customers and their demand in ten thousandths of their limits, highest first.
    pub lines: Vec<(CustomerName, u32)>,
    /// No customer that is left out has more.
    pub rest_max: u32,
}

/// One piece of news. All but the probe, the status and the demand are rumours: the receiver keeps
/// the higher and passes on what was new to it.
#[wire]
pub enum GossipMessage {
    /// Asks an agent for its status.
    Probe,
    /// Answers a probe.
    Status(Box<Status>),
    /// Configuration that the sender holds; the text is fetched over TCP.
    Config(ConfigDigest),
    /// Weight versions that a trainer announced or named ahead of time, or that an operator
    /// rolled back to.
    Weights {
        /// Owner of the service.
        customer: CustomerName,
        /// The service.
        service: ServiceName,
        /// Highest versions known to the sender.
        target: WeightTarget,
    },
    /// A life of a process that is leaving.
    Leaving {
        /// The process.
        node: NodeId,
    },
    /// A request that crashed endpoints.
    Quarantined {
        /// Digest of customer and content.
        digest: [u8; 16],
        /// How long it is still refused, in milliseconds.
        left_ms: u32,
    },
    /// Tells a process that another life at its address is known, so that it takes a
    /// higher number.
    Incarnation(Incarnation),
    /// The newest read of the log's configuration by any process that the sender knows of.
    ConfigRead {
        /// How long ago that read was, in milliseconds.
        age_ms: u32,
    },
    /// Demand at the sender, an entry, told to each other entry.
    Demand(DemandDigest),
    /// What an entry had in flight at an endpoint that crashed, told to each other entry.
    Crashed(CrashReport),
}

/// One datagram.
#[wire]
pub struct Datagram {
    /// The sender.
    pub from: NodeId,
    /// What the sender is.
    pub role: ProcessRole,
    /// The news, as many as fit.
    #[serde(rename = "news")]
    pub messages: Vec<GossipMessage>,
}
