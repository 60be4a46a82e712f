//! Predicts when a trainer announces its next version, assuming that the interval between
//! announcements stays the same.

use std::collections::HashMap;

use types::WeightVersion;
use weights::ModelKey;

/// The newest announcement of a model.
struct LatestAnnouncement {
    version: WeightVersion,
    announced_ms: u64,
    interval_ms: Option<u64>,
}

/// Newest announcement and last interval of each model.
#[derive(Default)]
pub struct Cadence {
    latest: HashMap<ModelKey, LatestAnnouncement>,
}

impl Cadence {
    /// Records an active version. Returns the expected time of the next announcement; `None` until
    /// two versions have been announced.
    pub fn record_announcement(
        &mut self,
        model: &ModelKey,
        version: WeightVersion,
        now_ms: u64,
    ) -> Option<u64> {
        let latest = self
            .latest
            .entry(model.clone())
            .or_insert(LatestAnnouncement {
                version,
                announced_ms: now_ms,
                interval_ms: None,
            });
        if version > latest.version {
            latest.interval_ms = Some(now_ms.saturating_sub(latest.announced_ms));
            latest.version = version;
            latest.announced_ms = now_ms;
        }
        latest
            .interval_ms
            .map(|interval_ms| latest.announced_ms + interval_ms)
    }
}
