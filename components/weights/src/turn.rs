//! Turns at the rate-limited weight store, taken by rank without asking anyone.
//!
//! Every agent knows the replicas of its model and so its own rank among them. It waits
//! for as many loads as come before it, so that the store serves each load at a useful
//! rate instead of all of them at a crawl. Two agents that see different lists collide;
//! the store then answers 429 and the backoff spreads them.

use derive::key;

const MS_PER_S: u64 = 1_000;

/// What the store gives.
#[key]
pub struct StoreRate {
    /// All loads together.
    pub bytes_per_s: u64,
    /// One load at most.
    pub load_bytes_per_s: u64,
}

/// When a replica may load.
#[key]
pub struct Turn {
    /// Wait from the news on.
    pub delay_ms: u64,
    /// Time that the load takes at the store's rate.
    pub load_ms: u64,
}

/// Turn of the replica with `rank` (0 first) for weights of `weights_bytes`.
///
/// `replicas` bounds the rank, so that a rank from an older, longer list waits no longer
/// than the last turn.
pub fn turn(rank: u32, replicas: u32, weights_bytes: u64, store: &StoreRate) -> Turn {
    let rate_bytes_per_s = store.bytes_per_s.max(1);
    let one_bytes_per_s = store.load_bytes_per_s.clamp(1, rate_bytes_per_s);
    let at_once = rate_bytes_per_s / one_bytes_per_s;
    let rank = u64::from(rank.min(replicas.saturating_sub(1)));
    let load_ms = ms_for(weights_bytes, one_bytes_per_s);
    Turn {
        delay_ms: rank / at_once * load_ms,
        load_ms,
    }
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

fn ms_for(bytes: u64, bytes_per_s: u64) -> u64 {
    let ms = (u128::from(bytes) * u128::from(MS_PER_S)).div_ceil(u128::from(bytes_per_s));
    u64::try_from(ms).unwrap_or(u64::MAX)
}
