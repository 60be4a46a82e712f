//! Times and bounds of an entry.

use node::{FeedSettings, GossipSettings};

/// Times and bounds that are not among the flags; tests shorten them.
#[derive(Clone, Debug, Default)]
pub struct Tuning {
    /// Configuration.
    pub feed: FeedSettings,
    /// News over UDP.
    pub gossip: GossipSettings,
    /// Choice of replicas.
    pub routing: routing::Settings,
    /// Second copies of slow calls; with [`u32::MAX`] calls to know there are none.
    pub hedging: routing::hedge::HedgeSettings,
    /// Shares of customers' limits.
    pub shares: limits::ShareSettings,
    /// Queues of services.
    pub admission: limits::AdmissionSettings,
    /// Retries of a customer.
    pub retries: limits::BudgetSettings,
}
