//! The active weight version of each model.
//!
//! Only the trainer of a model announces its versions; an operator's roll-back raises the
//! epoch. Processes exchange their highest (epoch, version), and the highest wins in whatever
//! order the messages arrive. A late or repeated announcement therefore changes nothing in any
//! process, and no coordinator is needed.
//!
//! A trainer may announce a version ahead of time (`load`). Engines then fetch it at different
//! times, and the later switch of all replicas needs no transfer.

use std::collections::BTreeMap;

use derive::{value, wire, wire_key};
use quick_error::quick_error;
use types::{CustomerName, Role, ServiceName, WeightTarget as Target, WeightVersion};

quick_error! {
    /// Reason for the refusal of an announcement or a roll-back.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum AnnounceError {
        /// The token's role or customer does not allow the request: announcements need the trainer
        /// of the model's customer, roll-backs its operator.
        Forbidden {
            display("only the model's own trainer announces versions, only its operators roll back")
        }
        /// The version is below the current version, which the error contains.
        Outdated(current: WeightVersion) {
            display("version {} is in force already", current)
        }
        /// The trainer used an epoch that no operator has begun by a roll-back.
        EpochNotBegun(current: WeightVersion) {
            display("epoch {} is in force; only a roll-back begins another", current.epoch)
        }
        /// The roll-back does not raise the epoch.
        EpochNotRaised(current: WeightVersion) {
            display("a roll-back needs an epoch above {}", current.epoch)
        }
    }
}

/// Identity of a model.
#[wire]
#[derive(Hash, PartialOrd, Ord)]
pub struct ModelKey {
    /// Customer that owns the model.
    pub customer: CustomerName,
    /// Service that hosts the model.
    pub service: ServiceName,
}

/// Sender of an announcement or a roll-back, as its token states.
#[value]
pub struct Announcer<'a> {
    /// Customer that the token belongs to.
    pub customer: &'a CustomerName,
    /// Role that the token grants.
    pub role: Role,
}

/// Effect of an accepted announcement, with the target that is valid afterwards.
#[wire_key]
pub enum AnnounceOutcome {
    /// The target changed and must be sent to the other processes.
    Changed(Target),
    /// The target was known already.
    Known(Target),
}

/// Highest known versions of each model.
#[derive(Clone, Debug, Default)]
pub struct Authority {
    targets: BTreeMap<ModelKey, Target>,
}

impl Authority {
    /// Creates a table without any model.
    pub fn new() -> Self {
        Self::default()
    }

    /// Versions that the engines of the model should serve and load, if known.
    pub fn target(&self, model: &ModelKey) -> Option<Target> {
        self.targets.get(model).copied()
    }

    /// All known models with their targets.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelKey, Target)> {
        self.targets.iter().map(|(model, &target)| (model, target))
    }

    /// Makes `version` the active version, as announced by the trainer.
    ///
    /// A process that knows no version of the model accepts any epoch. After all processes were
    /// lost, the trainer is the only remaining source of the epoch; if another process knows a
    /// higher epoch, that epoch wins in [`Self::merge`].
    pub fn announce(
        &mut self,
        sender: &Announcer<'_>,
        model: &ModelKey,
        version: WeightVersion,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        self.check_trainer(sender, model, version)?;
        if let Some(current) = self.target(model)
            && version < current.serve
        {
            return Err(AnnounceError::Outdated(current.serve));
        }
        Ok(self.adopt(model, Target::serve(version)))
    }

    /// Lets engines load `version` now, which the trainer will announce soon.
    pub fn prepare(
        &mut self,
        sender: &Announcer<'_>,
        model: &ModelKey,
        version: WeightVersion,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        self.check_trainer(sender, model, version)?;
        let Some(current) = self.target(model) else {
            return Ok(self.adopt(model, Target::serve(version)));
        };
        if version < current.load {
            return Err(AnnounceError::Outdated(current.load));
        }
        let target = Target {
            serve: current.serve,
            load: version,
        };
        Ok(self.adopt(model, target))
    }

    /// Rolls the model back to `version`, which must have a higher epoch than the active one.
    pub fn roll_back(
        &mut self,
        sender: &Announcer<'_>,
        model: &ModelKey,
        version: WeightVersion,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        if sender.role != Role::Operator || *sender.customer != model.customer {
            return Err(AnnounceError::Forbidden);
        }
        if let Some(current) = self.target(model) {
            // The operator repeats a roll-back whose response was lost; this must succeed.
            if version == current.serve {
                return Ok(AnnounceOutcome::Known(current));
            }
            if version.epoch <= current.serve.epoch {
                return Err(AnnounceError::EpochNotRaised(current.serve));
            }
        }
        Ok(self.adopt(model, Target::serve(version)))
    }

    /// Merges a target that another process sent. Returns whether it changed the local target.
    pub fn merge(&mut self, model: &ModelKey, target: Target) -> bool {
        matches!(self.adopt(model, target), AnnounceOutcome::Changed(_))
    }

    /// Removes the models for which `keep` returns false. Used for models that no accepted
    /// configuration contains any more.
    pub fn retain(&mut self, mut keep: impl FnMut(&ModelKey) -> bool) {
        self.targets.retain(|model, _| keep(model));
    }

    fn check_trainer(
        &self,
        sender: &Announcer<'_>,
        model: &ModelKey,
        version: WeightVersion,
    ) -> Result<(), AnnounceError> {
        if sender.role != Role::Trainer || *sender.customer != model.customer {
            return Err(AnnounceError::Forbidden);
        }
        let Some(current) = self.target(model) else {
            return Ok(());
        };
        if version.epoch > current.serve.epoch {
            return Err(AnnounceError::EpochNotBegun(current.serve));
        }
        Ok(())
    }

    fn adopt(&mut self, model: &ModelKey, received: Target) -> AnnounceOutcome {
        let Some(known) = self.targets.get_mut(model) else {
            let target = received.merge(received);
            self.targets.insert(model.clone(), target);
            return AnnounceOutcome::Changed(target);
        };
        let merged = known.merge(received);
        if merged == *known {
            return AnnounceOutcome::Known(merged);
        }
        *known = merged;
        AnnounceOutcome::Changed(merged)
    }
}
