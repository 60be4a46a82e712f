//! Timeouts of reads that wait for new records, depending on earlier failures.

use std::time::Duration;

/// Timeout of a read that checks whether a silent dependency is back. A slow dependency answers
/// within 240 ms.
const PROBE_TIMEOUT_MS: u64 = 400;

/// Wait and timeout of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimeout {
    /// How long the read waits at the dependency for new records.
    pub wait_ms: u64,
    /// Timeout of the whole read, including the wait.
    pub timeout: Duration,
}

/// Returns the wait and timeout of a read after a number of consecutive failures. Reads normally
/// wait `wait_ms` and have `slack_ms` in addition.
///
/// Every second read does not wait and has a short timeout. It finds out quickly that a silent
/// dependency, or a connection that lost an answer, is back. The other reads have the full timeout,
/// so that they succeed at a dependency that is slow under the reads of many processes.
pub fn read_timeout(failures: u32, wait_ms: u64, slack_ms: u64) -> ReadTimeout {
    match failures % 2 {
        0 => ReadTimeout {
            wait_ms,
            timeout: Duration::from_millis(wait_ms + slack_ms),
        },
        _ => ReadTimeout {
            wait_ms: 0,
            timeout: Duration::from_millis(PROBE_TIMEOUT_MS.min(wait_ms + slack_ms)),
        },
    }
}
