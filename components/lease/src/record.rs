use derive::wire;

/// A record about the lease in the index topic.
#[wire]
pub enum LeaseRecord {
    /// A VM acquires the lease. Permits no orders yet. The fencing token of the new holder is the
    /// offset of this record plus one.
    #[serde(rename = "Take")]
    Acquire {
        /// VM that acquires the lease.
        holder: String,
        /// Number of the writer's attempt, by which it recognizes its own record in the log.
        attempt: u64,
        /// Offset of the newest lease record that the writer had read; `None` if it had read none.
        after: Option<u64>,
    },
    /// Heartbeat of the holder.
    Renew {
        /// Fencing token of the holder.
        fence: u64,
        /// Number of the writer's attempt, by which it recognizes its own record in the log.
        attempt: u64,
        /// Whether the renewal announces orders.
        orders: bool,
    },
    /// The holder gives no more orders, so that the lease can be acquired without a timeout.
    Release {
        /// Fencing token of the holder.
        fence: u64,
    },
}
