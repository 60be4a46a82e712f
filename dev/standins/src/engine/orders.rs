//! Models, their versions, and orders to load and switch them.

use std::collections::BTreeMap;

use adapters::{EngineModel, EngineState};
use types::WeightVersion;

use super::settings::{EngineSettings, Fencing};

struct Model {
    version: WeightVersion,
    loaded: Vec<WeightVersion>,
    fence: u64,
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Done,
    UnknownModel,
    OldFence,
    NotLoaded,
}

/// The models of one life of an engine.
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

    /// Version of a model that serves now.
    pub(super) fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.get(model).map(|model| model.version)
    }

    /// Checks an order before anything is done for it, and takes its fencing number.
    pub(super) fn accept(&mut self, model: &str, fence: u64) -> Verdict {
        let checked = self.fencing == Fencing::Checked;
        let Some(model) = self.models.get_mut(model) else {
            return Verdict::UnknownModel;
        };
        if checked && fence < model.fence {
            return Verdict::OldFence;
        }
        model.fence = model.fence.max(fence);
        Verdict::Done
    }

    /// Puts a version into memory; the oldest one that does not serve makes room.
    pub(super) fn loaded(&mut self, model: &str, version: WeightVersion) -> Verdict {
        let loaded_max = self.loaded_max;
        let Some(model) = self.models.get_mut(model) else {
            return Verdict::UnknownModel;
        };
        if model.loaded.contains(&version) {
            return Verdict::Done;
        }
        model.loaded.push(version);
        if model.loaded.len() > loaded_max {
            let serving = model.version;
            let oldest = model.loaded.iter().position(|other| *other != serving);
            oldest.map(|at| model.loaded.remove(at));
        }
        Verdict::Done
    }

    /// Whether a model has this version in memory.
    pub(super) fn has(&self, model: &str, version: WeightVersion) -> bool {
        let model = self.models.get(model);
        model.is_some_and(|model| model.loaded.contains(&version))
    }

    /// Makes a loaded version the serving one.
    pub(super) fn switch(&mut self, model: &str, version: WeightVersion) -> Verdict {
        if !self.has(model, version) {
            return Verdict::NotLoaded;
        }
        if let Some(model) = self.models.get_mut(model) {
            model.version = version;
        }
        Verdict::Done
    }

    /// What the engine says of itself.
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
