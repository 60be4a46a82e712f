//! What the engines of a model should do: the version to serve, and the one to have in
//! memory for the switch that comes next.

use derive::wire_key;

use crate::WeightVersion;

/// Versions to serve and to hold.
#[wire_key]
pub struct WeightTarget {
    /// Version to serve.
    pub serve: WeightVersion,
    /// Version to have loaded, at least `serve`.
    pub load: WeightVersion,
}

impl WeightTarget {
    /// Serve this version.
    pub fn serve(version: WeightVersion) -> Self {
        Self {
            serve: version,
            load: version,
        }
    }

    /// What follows from both, in whatever order they come.
    pub fn merge(self, other: WeightTarget) -> WeightTarget {
        let serve = self.serve.max(other.serve);
        let load = self.load.max(other.load).max(serve);
        // A version prepared before a roll-back belongs to the abandoned epoch.
        let load = if load.epoch == serve.epoch {
            load
        } else {
            serve
        };
        WeightTarget { serve, load }
    }
}
