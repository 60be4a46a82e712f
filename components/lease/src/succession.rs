//! Who takes a lease that is free.

use crate::Lease;

/// Partitions whose owners follow the lease closely, so that they take it first. As many as survive
/// the loss of a third of all processes, as a rule.
const SUCCESSORS: u32 = 8;
/// How long nothing may be heard of a holder before any process takes the lease, in milliseconds.
const ANYBODY_MS: u64 = 4_000;

/// Whether the owner of these partitions is among the first to take the lease.
pub fn is_successor<'a>(mut owned: impl Iterator<Item = &'a u32>) -> bool {
    owned.any(|partition| *partition < SUCCESSORS)
}

/// Whether a process holds the lease or takes it when it is free. Owners of partitions go first:
/// there are as many of them as partitions at most, so that not all processes of a large fleet
/// write at the moment at which a holder falls silent. Without owners anybody goes.
pub fn is_candidate(lease: &Lease, owns: bool, started_ms: u64, now_ms: u64) -> bool {
    owns || lease.is_held_here() || lease.silent_for_ms(started_ms, now_ms) >= ANYBODY_MS
}
