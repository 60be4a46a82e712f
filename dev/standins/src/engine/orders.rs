//! Models of an engine: loaded and serving versions, and the fencing of orders.

use std::collections::BTreeMap;

use adapters::{EngineModel, EngineState};
use types::WeightVersion;

use super::settings::{EngineSettings, Fencing};

struct Model {
    version: WeightVersion,
    /// In the order of loading.
    loaded: Vec<WeightVersion>,
    /// Highest fencing token of the orders accepted so far.
    fence: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    Done,
    UnknownModel,
    OldFence,
    NotLoaded,
}

/// Models of an engine's life.
pub(super) struct Models {
    fencing: Fencing,
    loaded_max: usize,
    models: BTreeMap<String, Model>,
}

impl Models {
    pub(super) fn new(settings: &EngineSettings) -> Models {
        let model = |(name, version): &(String, WeightVersion)| {
            let model = Model {
                version: *version,
                loaded: vec![*version],
                fence: 0,
            };
            (name.clone(), model)
        };
        Models {
            fencing: settings.fencing,
            loaded_max: settings.loaded_max,
            models: settings.models.iter().map(model).collect(),
        }
    }

    /// Serving version of a model.
    pub(super) fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.get(model).map(|model| model.version)
    }

    /// Checks the model and the fencing token of an order before the order runs, and records the
    /// token if it is the highest so far.
    pub(super) fn accept(&mut self, model: &str, fence: u64) -> OrderOutcome {
        let checked = self.fencing == Fencing::Checked;
        let Some(model) = self.models.get_mut(model) else {
            return OrderOutcome::UnknownModel;
        };
        if checked && fence < model.fence {
            return OrderOutcome::OldFence;
        }
        model.fence = model.fence.max(fence);
        OrderOutcome::Done
    }

    /// Adds a version to the loaded ones. Above the limit, the version loaded first among those
    /// that do not serve is unloaded.
    pub(super) fn add_loaded(&mut self, model: &str, version: WeightVersion) -> OrderOutcome {
        let loaded_max = self.loaded_max;
        let Some(model) = self.models.get_mut(model) else {
            return OrderOutcome::UnknownModel;
        };
        if model.loaded.contains(&version) {
            return OrderOutcome::Done;
        }
        model.loaded.push(version);
        if model.loaded.len() > loaded_max {
            let serving = model.version;
            let oldest = model.loaded.iter().position(|other| *other != serving);
            oldest.map(|index| model.loaded.remove(index));
        }
        OrderOutcome::Done
    }

    /// Whether the version of a model is loaded.
    pub(super) fn is_loaded(&self, model: &str, version: WeightVersion) -> bool {
        let model = self.models.get(model);
        model.is_some_and(|model| model.loaded.contains(&version))
    }

    /// Makes a loaded version the serving version.
    pub(super) fn switch(&mut self, model: &str, version: WeightVersion) -> OrderOutcome {
        if !self.is_loaded(model, version) {
            return OrderOutcome::NotLoaded;
        }
        if let Some(model) = self.models.get_mut(model) {
            model.version = version;
        }
        OrderOutcome::Done
    }

    /// State that the engine reports.
    pub(super) fn state(&self, life: u64) -> EngineState {
        let models = self.models.iter().map(|(name, model)| EngineModel {
            model: name.clone(),
            version: model.version,
            loaded: model.loaded.clone(),
        });
        EngineState {
            life,
            models: models.collect(),
        }
    }
}
