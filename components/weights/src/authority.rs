//! Which weight version of each model is in force.
//!
//! The trainer of a model is the only authority for its versions; an operator's
//! roll-back raises the epoch. Processes tell each other their highest (epoch, version),
//! and the highest wins, whatever the order of the news. A late or repeated announcement
//! therefore changes nothing anywhere, without a coordinator.
//!
//! A trainer may name a version ahead of time (`load`), so that engines fetch it in turn
//! and the switch of all replicas costs no transfer.

use std::collections::BTreeMap;

use derive::{value, wire, wire_key};
use quick_error::quick_error;
use types::{CustomerName, Role, ServiceName, WeightTarget as Target, WeightVersion};

quick_error! {
    /// Why an announcement is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum AnnounceError {
        /// Neither the trainer (announcement) nor an operator (roll-back) of the customer.
        Forbidden {
            display("only the model's own trainer announces versions, only its operators roll back")
        }
        /// Below the version in force.
        Outdated(current: WeightVersion) {
            display("version {} is in force already", current)
        }
        /// A trainer named an epoch that no operator has begun.
        EpochNotBegun(current: WeightVersion) {
            display("epoch {} is in force; only a roll-back begins another", current.epoch)
        }
        /// A roll-back that does not raise the epoch.
        EpochNotRaised(current: WeightVersion) {
            display("a roll-back needs an epoch above {}", current.epoch)
        }
    }
}

/// Name of a model.
#[wire]
#[derive(Hash, PartialOrd, Ord)]
pub struct ModelKey {
    /// Customer that owns it.
    pub customer: CustomerName,
    /// Its service.
    pub service: ServiceName,
}

/// Who speaks.
#[value]
pub struct Announcer<'a> {
    /// Customer of the token.
    pub customer: &'a CustomerName,
    /// Role of the token.
    pub role: Role,
}

/// What an accepted announcement did.
#[wire_key]
pub enum AnnounceOutcome {
    /// It is news: pass it on.
    Changed(Target),
    /// It was known.
    Known(Target),
}

/// Highest known version of each model.
#[derive(Clone, Debug, Default)]
pub struct Authority {
    targets: BTreeMap<ModelKey, Target>,
}

impl Authority {
    /// Nothing known.
    pub fn new() -> Self {
        Self::default()
    }

    /// What engines of the model should do, if anything is known.
    pub fn target(&self, model: &ModelKey) -> Option<Target> {
        self.targets.get(model).copied()
    }

    /// Every known model.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelKey, Target)> {
        self.targets.iter().map(|(model, &target)| (model, target))
    }

    /// The trainer puts `version` in force.
    ///
    /// A process that knows nothing of the model takes any epoch: after the loss of every
    /// process the trainer is the only one left to ask, and where a higher epoch is
    /// known elsewhere the merge lets it win.
    pub fn announce(
        &mut self,
        by: &Announcer<'_>,
        model: &ModelKey,
        version: WeightVersion,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        self.check_trainer(by, model, version)?;
        if let Some(current) = self.target(model)
            && version < current.serve
        {
            return Err(AnnounceError::Outdated(current.serve));
        }
        Ok(self.adopt(model, Target::serve(version)))
    }

    /// The trainer will put `version` in force soon: engines may load it now.
    pub fn prepare(
        &mut self,
        by: &Announcer<'_>,
        model: &ModelKey,
        version: WeightVersion,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        self.check_trainer(by, model, version)?;
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

    /// An operator goes back: `version` names a raised epoch.
    pub fn roll_back(
        &mut self,
        by: &Announcer<'_>,
        model: &ModelKey,
        version: WeightVersion,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        if by.role != Role::Operator || *by.customer != model.customer {
            return Err(AnnounceError::Forbidden);
        }
        if let Some(current) = self.target(model) {
            // The operator's repeat after a lost answer is no second roll-back.
            if version == current.serve {
                return Ok(AnnounceOutcome::Known(current));
            }
            if version.epoch <= current.serve.epoch {
                return Err(AnnounceError::EpochNotRaised(current.serve));
            }
        }
        Ok(self.adopt(model, Target::serve(version)))
    }

    /// News from another process; true if it is news here as well.
    pub fn merge(&mut self, model: &ModelKey, target: Target) -> bool {
        matches!(self.adopt(model, target), AnnounceOutcome::Changed(_))
    }

    /// Forgets models that no accepted configuration names any more.
    pub fn retain(&mut self, mut keep: impl FnMut(&ModelKey) -> bool) {
        self.targets.retain(|model, _| keep(model));
    }

    fn check_trainer(
        &self,
        by: &Announcer<'_>,
        model: &ModelKey,
        version: WeightVersion,
    ) -> Result<(), AnnounceError> {
        if by.role != Role::Trainer || *by.customer != model.customer {
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

    fn adopt(&mut self, model: &ModelKey, news: Target) -> AnnounceOutcome {
        let Some(known) = self.targets.get_mut(model) else {
            let target = news.merge(news);
            self.targets.insert(model.clone(), target);
            return AnnounceOutcome::Changed(target);
        };
        let merged = known.merge(news);
        if merged == *known {
            return AnnounceOutcome::Known(merged);
        }
        *known = merged;
        AnnounceOutcome::Changed(merged)
    }
}
