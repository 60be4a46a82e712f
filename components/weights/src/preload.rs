//! Delays that spread the replicas' loads from the rate-limited weight store, without
//! coordination between the replicas.
//!
//! A version that is announced ahead of time is not urgent, so the replicas spread their loads
//! over a window: each replica waits for a part of the window that is computed from a hash of
//! its address and the version. The delay differs from version to version, so no replica is
//! always the last. A delay by rank among the replicas would avoid all collisions, but an agent
//! does not know which other replicas serve the same model: the VM list contains no pools, and
//! distributing that information would cost each agent messages in proportion to the number of
//! replicas. If too many replicas load at the same time, the store reports that it is busy, and
//! the refused replicas retry.

use std::net::SocketAddr;

use types::{WeightVersion, rendezvous};

use crate::ModelKey;

const MS_PER_S: u64 = 1_000;

/// Delay before the replica whose agent has the address `own` loads the version, in
/// milliseconds. Always less than `window_ms`, or 0 if that is 0.
pub fn preload_delay_ms(
    own: SocketAddr,
    model: &ModelKey,
    version: WeightVersion,
    window_ms: u64,
) -> u64 {
    let key = format!("{}/{}/{version}", model.customer, model.service);
    rendezvous::weight(key.as_bytes(), own) % window_ms.max(1)
}

/// Rate in bytes per second that the store must provide so that all replicas have new weights in
/// time:
///
/// `replicas * weights_bytes / (window - spread - switch)`
///
/// `window_ms` is the time from the announcement until the last replica serves the version,
/// `spread_ms` the time until the announcement has reached every agent, and `switch_ms` the time
/// that an engine needs to switch to loaded weights. For a version that is announced ahead of
/// time, `window_ms` is the lead time; the 6 s that are allowed for the change to the active
/// version then include only the spread and the switch. Returns `None` if spread and switch
/// leave no time for the load.
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
