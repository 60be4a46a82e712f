//! Waiting for a condition by polling a bounded number of times.

use std::time::Duration;

use crate::ProofError;

/// Number of polls after which [`wait_until`] gives an error.
pub const POLLS_MAX: u32 = 1_200;
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Polls until `poll` returns a value. Errors with `expected_event` after [`POLLS_MAX`] polls without one.
pub async fn wait_until<T>(
    expected_event: &str,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> Result<T, ProofError> {
    for _ in 0..POLLS_MAX {
        if let Some(value) = poll().await {
            return Ok(value);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(ProofError::NotFound(expected_event.to_owned()))
}
