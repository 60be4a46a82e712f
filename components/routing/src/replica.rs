//! The description of a replica that the membership provides.

use derive::{key, value};
use types::{FailureDomain, NodeId, Region, WeightVersion};

use crate::prefix::PrefixId;

/// Load of an endpoint at some past time, as reported by its agent.
#[key]
pub struct Report {
    /// Calls that the engine is running.
    pub running: u32,
    /// Calls that wait in the engine's queue.
    pub waiting: u32,
    /// Prompt tokens of the calls that wait in the engine's queue.
    pub prompt_tokens_queued: u32,
    /// Used part of the engine's KV cache, in thousandths.
    pub kv_used_permille: u16,
    /// Time at which the engine's load was measured, in milliseconds of this process's clock: the
    /// arrival of the report minus the age that the report states.
    pub taken_at_ms: u64,
}

/// An endpoint that hosts the service, for the lifetime of one incarnation of its agent.
#[value]
pub struct Replica {
    /// Address and incarnation of the replica's agent.
    pub node: NodeId,
    /// Failure domain that the endpoint runs in.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
    /// Whether the replica is draining and accepts no new calls.
    pub leaving: bool,
    /// Weight version that answers calls; `None` for a plain service.
    pub weights: Option<WeightVersion>,
    /// Newest load report; `None` until the first one arrives.
    pub report: Option<Report>,
    /// Number of the replica in a [`crate::BlockTable`]; `None` if its cache is not tracked.
    pub prefix_id: Option<PrefixId>,
}

/// Location of the entry that chooses replicas; replicas close to it are preferred.
#[value]
pub struct Locality {
    /// Failure domain that the entry runs in.
    pub failure_domain: FailureDomain,
    /// Region of the failure domain.
    pub region: Region,
}
