//! Turns at the rate-limited weight store, taken without asking anyone.
//!
//! A version that is named ahead of time is not urgent, so the replicas spread their loads
//! over a window: each waits for a share of it that follows from its address and the
//! version. The share is new with each version, so that nobody is always the last. A rank
//! among the replicas would spread them without any collision, but an agent doesn't know
//! which others stand beside the same model: the VM list names no pools, and to be told
//! would cost every agent messages that grow with the replicas. Where two collide the
//! store answers that it is busy, and the one that was refused comes back.

use std::net::SocketAddr;

use types::{WeightVersion, rendezvous};

use crate::ModelKey;

const MS_PER_S: u64 = 1_000;

/// Wait of the replica whose agent has this address before it loads the version, below
/// `window_ms`.
pub fn preload_delay_ms(
    own: SocketAddr,
    model: &ModelKey,
    version: WeightVersion,
    window_ms: u64,
) -> u64 {
    let key = format!("{}/{}/{version}", model.customer, model.service);
    rendezvous::weight(key.as_bytes(), own) % window_ms.max(1)
}

/// Rate that the store needs for all replicas to hold new weights in time, bytes a second:
///
/// `replicas * weights_bytes / (window - spread - switch)`
///
/// where `window_ms` runs from the news to the last replica, `spread_ms` is the time
/// for the news to reach every agent and `switch_ms` an engine's time to switch to loaded
/// weights. With weights named ahead of time the window is that lead; the 6 s then hold
/// only spread and switch. `None` when spread and switch leave no time.
pub fn store_rate_needed_bytes_per_s(
    replicas: u32,
    weights_bytes: u64,
    window_ms: u64,
    spread_ms: u64,
    switch_ms: u64,
) -> Option<u64> {
    let overhead_ms = spread_ms.saturating_add(switch_ms);
    let left_ms = window_ms
        .checked_sub(overhead_ms)
        .filter(|&left| left > 0)?;
    let all_bytes = u128::from(replicas) * u128::from(weights_bytes);
    let rate = (all_bytes * u128::from(MS_PER_S)).div_ceil(u128::from(left_ms));
    u64::try_from(rate).ok()
}
