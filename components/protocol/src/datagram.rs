//! Datagrams: small, periodic gossip messages over UDP. A later datagram makes up for a lost
//! one, so no datagram is acknowledged.

use std::net::SocketAddr;

use derive::{wire, wire_key};
use types::{
    CustomerName, FailureDomain, Incarnation, NodeId, Region, ServiceName, WeightTarget,
    WeightVersion,
};

/// Role of a process.
#[wire_key]
pub enum ProcessRole {
    /// Accepts requests behind the platform's load balancer and routes them to agents.
    Entry,
    /// Runs next to an endpoint and forwards calls to it.
    Agent,
}

/// Load of an endpoint: the report of its engine and the counts of its agent.
#[wire_key]
#[derive(Default)]
pub struct Load {
    /// Calls in progress at the agent.
    pub running: u32,
    /// Calls in the queue of the engine.
    pub waiting: u32,
    /// Prompt tokens of the queued calls.
    pub prompt_tokens_queued: u32,
    /// Share of the KV cache in use, in thousandths.
    pub kv_used_permille: u16,
    /// Age of the engine's report when the datagram was sent, in milliseconds.
    pub age_ms: u32,
}

/// A service that an endpoint hosts.
#[wire]
pub struct HostedService {
    /// Customer that owns the service.
    pub customer: CustomerName,
    /// Name of the service, unique for its customer.
    pub service: ServiceName,
    /// Version of the weights that the engine serves; `None` for a service without weights.
    pub weights: Option<WeightVersion>,
}

/// Answer of an agent to a probe; also sent unprompted when the agent leaves or its state
/// changes.
#[wire]
pub struct Status {
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Region of the endpoint.
    pub region: Region,
    /// The agent accepts no new work.
    pub leaving: bool,
    /// Services that the endpoint can serve now, or those of them that belong to this part;
    /// empty while the endpoint is down.
    pub hosted: Vec<HostedService>,
    /// Index of this part of the hosted services, from 0.
    pub part: u8,
    /// Number of parts into which the hosted services are split; each fits one datagram.
    pub parts: u8,
    /// Load of the endpoint when the status was generated.
    pub load: Load,
    /// Counter that rises each time the agent finds that its endpoint restarted or crashed.
    pub endpoint_life: u32,
}

/// Version and digest of one customer's configuration that the sender holds.
#[wire]
pub struct ConfigDigest {
    /// Customer whose configuration this is.
    pub customer: CustomerName,
    /// Newest version that the sender has accepted.
    pub version: u64,
    /// First 8 bytes of the SHA-256 of the configuration text.
    pub digest: u64,
}

/// Calls of one entry that were in flight at an endpoint when it crashed. A long list is split
/// into several reports.
#[wire]
pub struct CrashReport {
    /// Entry that had sent the calls.
    pub entry: SocketAddr,
    /// Address of the endpoint's agent.
    pub endpoint: SocketAddr,
    /// Digests of the calls, each over customer and content.
    pub digests: Vec<[u8; 16]>,
}

/// Demand of customers at one entry. The entries use it to divide the limits of each customer
/// among themselves.
#[wire]
#[derive(Default)]
pub struct DemandDigest {
    /// Customers with their demand in ten-thousandths of their limits, highest demand first.
    pub lines: Vec<(CustomerName, u32)>,
    /// Upper bound of the demand of every customer that is not listed.
    pub rest_max: u32,
}

/// One message of a datagram.
///
/// `Config`, `Weights`, `Leaving` and `Quarantined` are gossiped: a receiver keeps the newest
/// message on each subject and forwards it if it was new. The others go directly to their
/// recipients.
#[wire]
pub enum GossipMessage {
    /// Checks that the receiver is alive; an agent answers with its status.
    Probe,
    /// State of an agent.
    Status(Box<Status>),
    /// Configuration that the sender holds. A receiver with an older version fetches the text
    /// over TCP.
    Config(ConfigDigest),
    /// Weight versions that a trainer announced for now or ahead of time, or to which an
    /// operator rolled back.
    Weights {
        /// Customer that owns the service.
        customer: CustomerName,
        /// Service that uses the weights.
        service: ServiceName,
        /// Newest versions known to the sender.
        target: WeightTarget,
    },
    /// A process is leaving and must get no new work.
    Leaving {
        /// Address and incarnation of the leaving process.
        node: NodeId,
    },
    /// A call that crashed endpoints and is refused for a time.
    Quarantined {
        /// Digest of the call over customer and content.
        digest: [u8; 16],
        /// Time for which the call is still refused, in milliseconds.
        left_ms: u32,
    },
    /// Notifies a process that the sender knows a newer incarnation of its address, so that the
    /// process adopts a higher incarnation.
    Incarnation(Incarnation),
    /// Newest read of the configuration log by any process, as far as the sender knows.
    ConfigRead {
        /// Time since that read, in milliseconds.
        age_ms: u32,
    },
    /// Demand at the sender, an entry. Sent to every other entry.
    Demand(DemandDigest),
    /// Calls in flight at an endpoint that crashed. Sent by one entry to every other entry.
    Crashed(CrashReport),
}

/// One datagram.
#[wire]
pub struct Datagram {
    /// Address and incarnation of the sender.
    pub from: NodeId,
    /// Role of the sender.
    pub role: ProcessRole,
    /// Messages; a datagram that exceeds one packet is split between messages.
    #[serde(rename = "news")]
    pub messages: Vec<GossipMessage>,
}
