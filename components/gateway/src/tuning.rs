//! Time and size limits of an entry that are not command-line flags.

use node::{FeedSettings, GossipSettings};

/// Settings that are not command-line flags. Tests use shorter times.
#[derive(Clone, Debug, Default)]
pub struct Tuning {
    /// Reading of the configuration log.
    pub feed: FeedSettings,
    /// Gossip over UDP.
    pub gossip: GossipSettings,
    /// Choice of replicas and ejection of failing ones.
    pub routing: routing::Settings,
    /// Hedged requests. Setting the minimum number of known calls to [`u32::MAX`] disables them.
    pub hedging: routing::hedge::HedgeSettings,
    /// Division of customers' limits among the entries.
    pub shares: limits::ShareSettings,
    /// Admission queues of services.
    pub admission: limits::AdmissionSettings,
    /// Retry budgets of customers.
    pub retries: limits::BudgetSettings,
}
