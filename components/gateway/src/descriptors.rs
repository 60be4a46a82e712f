//! File descriptors of the process, and how many of them callers may take.
//!
//! A process that gives its last descriptor to a caller can reach no agent, no other
//! entry and not the log, and every caller gets a refusal. The usual soft limit of 1,024
//! is used up by as many idle connections, for which nobody needs a token.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Connections of callers at a time, however many descriptors there are.
const CONNECTIONS_MAX: usize = 16_384;
/// Descriptors for connections to agents, entries, the log and endpoints, and for files.
const RESERVED_DESCRIPTORS: usize = 512;

/// Raises the soft limit to the hard one; gives the limit in force, `None` without one.
pub fn raise_limit() -> Option<u64> {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        ..limit
    };
    match setrlimit(Resource::Nofile, raised) {
        Ok(()) => limit.maximum,
        // The soft limit is what there is.
        Err(_) => limit.current,
    }
}

/// Connections of callers under a limit of descriptors. Under a small one half is left
/// for everything else.
pub fn connections_max(limit: Option<u64>) -> usize {
    let Some(limit) = limit.and_then(|limit| usize::try_from(limit).ok()) else {
        return CONNECTIONS_MAX;
    };
    let reserved = RESERVED_DESCRIPTORS.min(limit / 2);
    (limit - reserved).clamp(1, CONNECTIONS_MAX)
}
