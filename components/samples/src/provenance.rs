//! Determines which weight versions generated a sample.
//!
//! The version stamps on the chunks are authoritative. A part without a stamp is attributed
//! to a version only if the endpoint's agent observed that version as active during the
//! whole segment. If the weights were swapped during the segment, the provenance is unknown,
//! and the sample is run again rather than labelled with a guess.

use std::collections::BTreeSet;

use derive::{value, wire};
use types::WeightVersion;

/// Weight versions that generated a text.
#[wire]
pub enum Provenance {
    /// Exactly these versions generated the text; never empty.
    Known(BTreeSet<WeightVersion>),
    /// The version of at least one part is unknown.
    NotKnown,
}

impl Provenance {
    /// The versions; `None` if they are not known.
    pub fn versions(&self) -> Option<&BTreeSet<WeightVersion>> {
        match self {
            Provenance::Known(versions) => Some(versions),
            Provenance::NotKnown => None,
        }
    }
}

/// Collects the version stamps of one sample. A sample consists of segments, one per run,
/// and each segment of chunks.
#[value]
#[derive(Default)]
pub struct Stamps {
    versions: BTreeSet<WeightVersion>,
    /// Whether the current segment has a part without a stamp.
    has_unstamped: bool,
    is_unknown: bool,
}

impl Stamps {
    /// Creates a collector without any chunk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a collector for a resumed run, from the provenance of the tokens that it resumes
    /// from.
    pub fn resumed_from(earlier: &Provenance) -> Self {
        Self {
            versions: earlier.versions().cloned().unwrap_or_default(),
            has_unstamped: false,
            is_unknown: earlier.versions().is_none(),
        }
    }

    /// Records a chunk; `stamp` is the version on it, if any.
    pub fn record_chunk(&mut self, stamp: Option<WeightVersion>) {
        match stamp {
            Some(version) => {
                self.versions.insert(version);
            }
            None => self.has_unstamped = true,
        }
    }

    /// Records a response that is not streamed, with its list of versions. An empty list counts
    /// as a missing stamp.
    pub fn record_response(&mut self, versions: &[WeightVersion]) {
        self.has_unstamped |= versions.is_empty();
        self.versions.extend(versions);
    }

    /// Ends a segment of one endpoint. `witnessed` is the version that the endpoint's agent
    /// observed as active from the first chunk to the last; `None` if the agent observed a
    /// swap or does not know.
    pub fn end_segment(&mut self, witnessed: Option<WeightVersion>) {
        if !std::mem::take(&mut self.has_unstamped) {
            return;
        }
        match witnessed {
            Some(version) => {
                self.versions.insert(version);
            }
            None => self.is_unknown = true,
        }
    }

    /// Oldest version recorded so far.
    pub fn oldest(&self) -> Option<WeightVersion> {
        self.versions.first().copied()
    }

    /// The provenance of all recorded parts. A segment that was not ended is treated as ended
    /// without a witnessed version.
    pub fn finish(mut self) -> Provenance {
        self.end_segment(None);
        if self.is_unknown || self.versions.is_empty() {
            return Provenance::NotKnown;
        }
        Provenance::Known(self.versions)
    }
}
