use derive::wire;

/// What a process writes into the log about the lease.
#[wire]
pub enum LeaseRecord {
    /// `holder` takes the lease, having read it up to `after`. Allows no order yet.
    #[serde(rename = "Take")]
    Acquire {
        /// VM of the taker.
        holder: String,
        /// Number of the taker's attempt, for reading it back.
        attempt: u64,
        /// Offset of the newest record of the lease that the taker knew.
        after: Option<u64>,
    },
    /// The holder with this fencing number lives.
    Renew {
        /// Fencing number of the holder.
        fence: u64,
        /// Number of the renewal, for reading it back.
        attempt: u64,
        /// Whether it announces orders.
        orders: bool,
    },
    /// The holder with this fencing number gives no more orders.
    Release {
        /// Fencing number of the holder.
        fence: u64,
    },
}
