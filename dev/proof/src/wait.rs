//! Waiting for an event by looking for it, a bounded number of times.

use std::time::Duration;

use crate::ProofError;

/// Looks until an event counts as missing.
pub const TRIES_MAX: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(25);

/// Looks until there is something to see. Errors with `what` when there never is.
pub async fn until<T>(
    what: &str,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T, ProofError> {
    for _ in 0..TRIES_MAX {
        if let Some(seen) = look().await {
            return Ok(seen);
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(ProofError::NotSeen(what.to_owned()))
}
