//! One replica of a service, as membership knows it.

use derive::{key, value};
use types::{FailureDomain, NodeId, Region, WeightVersion};

use crate::prefix::PrefixId;

/// Load of an endpoint as its agent reported it, with its age.
#[key]
pub struct Report {
    /// Calls in progress.
    pub running: u32,
    /// Calls that wait in the engine.
    pub waiting: u32,
    /// Prompt tokens that wait in the engine.
    pub prompt_tokens_queued: u32,
    /// KV cache in use, in thousandths.
    pub kv_used_permille: u16,
    /// When the engine took the report: this process's clock at its arrival less the
    /// stated age, in milliseconds.
    pub taken_at_ms: u64,
}

/// One life of one endpoint that hosts the service.
#[value]
pub struct Replica {
    /// Address and incarnation of its agent.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Takes no new work.
    pub leaving: bool,
    /// Version that it answers with; `None` for a plain service.
    pub weights: Option<WeightVersion>,
    /// Its newest load report.
    pub report: Option<Report>,
    /// Where [`crate::Prefixes`] keeps what it caches.
    pub prefix_id: Option<PrefixId>,
}

/// Where the entry itself stands.
#[value]
pub struct Locality {
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
}
