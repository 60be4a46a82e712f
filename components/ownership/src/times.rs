//! Times of a membership in the group.

/// Time to live of a member, in milliseconds: how long items stand still after a process died.
pub const MEMBER_TTL_MS: u64 = 1_300;
/// How long partitions may take to change hands, in milliseconds.
pub const REBALANCE_MS: u64 = 700;
/// Interval between joins, in milliseconds; two may be lost before the membership is.
const JOIN_MS: u64 = 350;
/// Interval between joins while partitions change hands, in milliseconds. A partition stands
/// still until its old owner has joined again and the new one behind it.
const SETTLING_JOIN_MS: u64 = 70;

/// Interval until the next join, in milliseconds.
pub fn join_interval_ms(settling: bool) -> u64 {
    if settling { SETTLING_JOIN_MS } else { JOIN_MS }
}
