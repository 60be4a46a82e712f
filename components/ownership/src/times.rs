//! Times of a membership in the group.

/// TTL of a member, in milliseconds. After a process died, its items stall for this long.
pub const MEMBER_TTL_MS: u64 = 1_300;
/// How long it may take until reassigned partitions have new owners, in milliseconds.
pub const REBALANCE_MS: u64 = 700;
/// Interval between joins, in milliseconds. Two consecutive joins may be lost before the TTL
/// passes.
const JOIN_MS: u64 = 350;
/// Interval between joins during a rebalance, in milliseconds. A partition stalls until its old
/// owner has joined again and its new owner has joined after that.
const REBALANCE_JOIN_MS: u64 = 70;

/// Interval until the next join, in milliseconds.
pub fn join_interval_ms(rebalancing: bool) -> u64 {
    if rebalancing {
        REBALANCE_JOIN_MS
    } else {
        JOIN_MS
    }
}
