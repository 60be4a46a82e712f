//! When a trainer will announce its next version, if it keeps a rhythm.

use std::collections::HashMap;

use weights::ModelKey;

struct Beat {
    last_ms: u64,
    every_ms: Option<u64>,
}

/// Announcements of each model so far.
#[derive(Default)]
pub struct Rhythm {
    beats: HashMap<ModelKey, Beat>,
}

impl Rhythm {
    /// Notes an announcement; gives the time of the next one, if it can be told.
    pub fn announced(&mut self, model: &ModelKey, now_ms: u64) -> Option<u64> {
        let beat = self.beats.entry(model.clone()).or_insert(Beat {
            last_ms: now_ms,
            every_ms: None,
        });
        let since_ms = now_ms.saturating_sub(beat.last_ms);
        beat.last_ms = now_ms;
        if since_ms > 0 {
            beat.every_ms = Some(since_ms);
        }
        beat.every_ms.map(|every_ms| now_ms + every_ms)
    }
}
