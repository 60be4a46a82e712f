//! Target state of a model's engines: the weight version to serve, and the version to have loaded
//! for the next switch.

use derive::wire_key;

use crate::WeightVersion;

/// Weight versions that the engines of a model should serve and have loaded.
#[wire_key]
pub struct WeightTarget {
    /// Version that answers requests.
    pub serve: WeightVersion,
    /// Version to have in memory. Never lower than `serve`; equal to `serve` if the trainer has
    /// not announced a version ahead of time.
    pub load: WeightVersion,
}

impl WeightTarget {
    /// Target to serve `version` with no other version loaded ahead of time.
    pub fn serve(version: WeightVersion) -> Self {
        Self {
            serve: version,
            load: version,
        }
    }

    /// Combines two targets into the newer one. The result does not depend on the order in which
    /// targets are merged.
    pub fn merge(self, other: WeightTarget) -> WeightTarget {
        let serve = self.serve.max(other.serve);
        let load = self.load.max(other.load).max(serve);
        // A version that was loaded ahead of time before a rollback belongs to the abandoned epoch.
        let load = if load.epoch == serve.epoch {
            load
        } else {
            serve
        };
        WeightTarget { serve, load }
    }
}
