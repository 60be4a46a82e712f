//! Waiting for an event by looking for it, a bounded number of times.

use std::time::Duration;

use crate::ProofError;

/// Looks until an event counts as missing.
pub const POLLS_MAX: u32 = 1_200;
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Looks until there is something to see. Errors with `what` when there never is.
pub async fn wait_until<T>(
    what: &str,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> Result<T, ProofError> {
    for _ in 0..POLLS_MAX {
        if let Some(seen) = poll().await {
            return Ok(seen);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(ProofError::TimedOut(what.to_owned()))
}
