//! When a trainer will announce its next version, if it keeps a steady interval.

use std::collections::HashMap;

use types::WeightVersion;
use weights::ModelKey;

/// The newest announcement of a model.
struct Announced {
    version: WeightVersion,
    last_ms: u64,
    every_ms: Option<u64>,
}

/// Announcements of each model so far.
#[derive(Default)]
pub struct Cadence {
    newest: HashMap<ModelKey, Announced>,
}

impl Cadence {
    /// Notes a version in force; gives the time of the next one, if it can be told.
    pub fn announced(
        &mut self,
        model: &ModelKey,
        version: WeightVersion,
        now_ms: u64,
    ) -> Option<u64> {
        let known = self.newest.entry(model.clone()).or_insert(Announced {
            version,
            last_ms: now_ms,
            every_ms: None,
        });
        if version > known.version {
            known.every_ms = Some(now_ms.saturating_sub(known.last_ms));
            known.version = version;
            known.last_ms = now_ms;
        }
        known.every_ms.map(|every_ms| known.last_ms + every_ms)
    }
}
