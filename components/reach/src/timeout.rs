//! How long a read that waits for news may take, after reads that failed.

use std::time::Duration;

/// Time for a read that finds out whether a silent dependency is back, in milliseconds; a slow
/// one answers within 240, as measured.
const PROBE_MS: u64 = 400;

/// Times of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimeout {
    /// How long it waits for news at the dependency, in milliseconds.
    pub wait_ms: u64,
    /// Longest time for all of it.
    pub timeout: Duration,
}

/// Times of a read after so many failed ones in a row, if it usually waits `wait_ms` and has
/// `slack_ms` beyond.
///
/// Every second one asks for what is there and is short: it finds out soon that a silent
/// dependency, or a connection that lost an answer, is back. The others get through to one
/// that is slow under the reads of many processes.
pub fn read_timeout(failed: u32, wait_ms: u64, slack_ms: u64) -> ReadTimeout {
    match failed % 2 {
        0 => ReadTimeout {
            wait_ms,
            timeout: Duration::from_millis(wait_ms + slack_ms),
        },
        _ => ReadTimeout {
            wait_ms: 0,
            timeout: Duration::from_millis(PROBE_MS.min(wait_ms + slack_ms)),
        },
    }
}
