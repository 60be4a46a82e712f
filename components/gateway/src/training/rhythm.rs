//! When a trainer will announce its next version, if it keeps a rhythm.

use std::collections::HashMap;

use types::WeightVersion;
use weights::ModelKey;

struct Beat {
    version: WeightVersion,
    last_ms: u64,
    every_ms: Option<u64>,
}

/// Announcements of each model so far.
#[derive(Default)]
pub struct Rhythm {
    beats: HashMap<ModelKey, Beat>,
}

impl Rhythm {
    /// Notes a version in force; gives the time of the next one, if it can be told.
    pub fn announced(
        &mut self,
        model: &ModelKey,
        version: WeightVersion,
        now_ms: u64,
    ) -> Option<u64> {
        let beat = self.beats.entry(model.clone()).or_insert(Beat {
            version,
            last_ms: now_ms,
            every_ms: None,
        });
        if version > beat.version {
            beat.every_ms = Some(now_ms.saturating_sub(beat.last_ms));
            beat.version = version;
            beat.last_ms = now_ms;
        }
        beat.every_ms.map(|every_ms| beat.last_ms + every_ms)
    }
}
