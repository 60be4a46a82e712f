//! Limits the file descriptors that connections of callers may use.
//!
//! A process without free descriptors cannot connect to agents, other entries or the log, and
//! refuses every request. The common soft limit of 1,024 is exhausted by as many idle
//! connections, which can be opened without a token.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Maximum number of connections, independent of the descriptor limit.
const CONNECTIONS_MAX: usize = 16_384;
/// Descriptors reserved for connections to agents, entries, the log and endpoints, and for files.
const RESERVED_DESCRIPTORS: usize = 512;

/// Raises the soft limit to the hard limit. Returns the resulting limit, `None` if unlimited.
pub fn raise_limit() -> Option<u64> {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        ..limit
    };
    match setrlimit(Resource::Nofile, raised) {
        Ok(()) => limit.maximum,
        // The soft limit could not be raised and remains in effect.
        Err(_) => limit.current,
    }
}

/// Returns the maximum number of connections for a descriptor limit. With a small limit, half of
/// the descriptors are reserved for other uses.
pub fn connections_max(limit: Option<u64>) -> usize {
    let Some(limit) = limit.and_then(|limit| usize::try_from(limit).ok()) else {
        return CONNECTIONS_MAX;
    };
    let reserved = RESERVED_DESCRIPTORS.min(limit / 2);
    (limit - reserved).clamp(1, CONNECTIONS_MAX)
}
