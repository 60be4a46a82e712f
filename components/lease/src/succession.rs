//! Which processes try to acquire a free lease.

use crate::Lease;

/// Partitions whose owners follow the index closely and acquire a free lease first. With eight of
/// them, some owner usually survives the loss of a third of all processes.
const SUCCESSOR_PARTITIONS: u32 = 8;
/// Silence of a holder after which any process may acquire the lease, in milliseconds.
const ANY_PROCESS_AFTER_MS: u64 = 4_000;

/// Whether the owner of these partitions is among the first to acquire a free lease.
pub fn is_successor<'a>(mut owned: impl Iterator<Item = &'a u32>) -> bool {
    owned.any(|partition| *partition < SUCCESSOR_PARTITIONS)
}

/// Whether a process renews the lease, or acquires it when it is free.
///
/// Owners of partitions go first. Their number is bounded by the number of partitions, so that in a
/// large fleet not all processes write at the moment at which a holder falls silent. Without an
/// owner, any process acquires the lease after a longer silence.
pub fn is_candidate(lease: &Lease, owns: bool, started_ms: u64, now_ms: u64) -> bool {
    owns || lease.is_held_here() || lease.silent_for_ms(started_ms, now_ms) >= ANY_PROCESS_AFTER_MS
}
