//! Which weight versions made a sample.
//!
//! The stamps on the chunks are the truth. A part without a stamp is attributed only
//! to a version that the endpoint's agent saw in force over the whole segment; with a
//! swap in the segment the origin is not known, and the sample is run again rather
//! than labelled by guess.

use std::collections::BTreeSet;

use derive::{value, wire};
use types::WeightVersion;

/// Origin of a text.
#[wire]
pub enum Provenance {
    /// Exactly these versions; never empty.
    Known(BTreeSet<WeightVersion>),
    /// Some part has no certain version.
    NotKnown,
}

impl Provenance {
    /// The versions, if they are known.
    pub fn versions(&self) -> Option<&BTreeSet<WeightVersion>> {
        match self {
            Provenance::Known(versions) => Some(versions),
            Provenance::NotKnown => None,
        }
    }
}

/// Collects the stamps of one sample over its chunks and resumed segments.
#[value]
#[derive(Default)]
pub struct Stamps {
    versions: BTreeSet<WeightVersion>,
    /// The current segment has a part without a stamp.
    has_unstamped: bool,
    is_unknown: bool,
}

impl Stamps {
    /// No chunk yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts from the origin of the tokens that a resumed run begins with.
    pub fn resumed_from(earlier: &Provenance) -> Self {
        Self {
            versions: earlier.versions().cloned().unwrap_or_default(),
            has_unstamped: false,
            is_unknown: earlier.versions().is_none(),
        }
    }

    /// A chunk came; `stamp` is its version if it carries one.
    pub fn record_chunk(&mut self, stamp: Option<WeightVersion>) {
        match stamp {
            Some(version) => {
                self.versions.insert(version);
            }
            None => self.has_unstamped = true,
        }
    }

    /// A unary answer came with its list of versions; an empty list is no stamp.
    pub fn record_response(&mut self, versions: &[WeightVersion]) {
        self.has_unstamped |= versions.is_empty();
        self.versions.extend(versions);
    }

    /// A segment at one endpoint ended. `witnessed` is the one version that its agent saw
    /// in force from the first chunk to the last; `None` when it saw a swap or can't say.
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

    /// Oldest version seen so far.
    pub fn oldest(&self) -> Option<WeightVersion> {
        self.versions.first().copied()
    }

    /// The origin of all parts so far. A segment that was not ended counts as unwitnessed.
    pub fn finish(mut self) -> Provenance {
        self.end_segment(None);
        if self.is_unknown || self.versions.is_empty() {
            return Provenance::NotKnown;
        }
        Provenance::Known(self.versions)
    }
}
