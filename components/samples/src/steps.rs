//! The steps that an entry holds, as first or second home.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive::key;
use quick_error::quick_error;
use types::WeightVersion;

use crate::copy::Copy;
use crate::cursor::Cursor;
use crate::ledger::{Action, Ledger, LedgerSettings};
use crate::step::{Step, StepKey};

quick_error! {
    /// Why a post is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PostError {
        /// The step is held with another content.
        OtherContent {
            display("the step was posted before with another content")
        }
    }
}

/// What a post did.
#[key]
pub enum Posted {
    /// The step was not held here.
    New,
    /// It was; only what its cursor misses is run.
    Known,
}

struct Held {
    ledger: Ledger,
    touched_ms: u64,
}

/// Ledgers by step.
pub struct Steps {
    held: BTreeMap<StepKey, Held>,
    idle_ms: u64,
}

impl Steps {
    /// Steps that nobody has asked for in `idle_ms` are dropped by [`Steps::retire`].
    pub fn new(idle_ms: u64) -> Self {
        Self {
            held: BTreeMap::new(),
            idle_ms,
        }
    }

    /// Takes a post, or the same post again with a later or earlier cursor.
    pub fn post(
        &mut self,
        step: &Arc<Step>,
        settings: &LedgerSettings,
        cursor: &Cursor,
        trainer_version: WeightVersion,
        now_ms: u64,
    ) -> Result<Posted, PostError> {
        if let Some(held) = self.held.get_mut(&step.key) {
            if held.ledger.step().digest() != step.digest() {
                return Err(PostError::OtherContent);
            }
            held.touched_ms = now_ms;
            held.ledger.take_cursor(cursor);
            held.ledger.announce(trainer_version, None, now_ms);
            return Ok(Posted::Known);
        }
        let ledger = Ledger::new(Arc::clone(step), settings.clone(), cursor, trainer_version);
        let held = Held {
            ledger,
            touched_ms: now_ms,
        };
        self.held.insert(step.key.clone(), held);
        Ok(Posted::New)
    }

    /// The ledger of a step, if it is held; the trainer posts again otherwise.
    pub fn get_mut(&mut self, key: &StepKey, now_ms: u64) -> Option<&mut Ledger> {
        let held = self.held.get_mut(key)?;
        held.touched_ms = now_ms;
        Some(&mut held.ledger)
    }

    /// Every ledger, without counting as use.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&StepKey, &mut Ledger)> {
        self.held
            .iter_mut()
            .map(|(key, held)| (key, &mut held.ledger))
    }

    /// Takes a finished sample of the other home. A sample of an unknown step or of another
    /// post is dropped: the step's post comes with its copy or from the trainer.
    pub fn apply(&mut self, copy: &Copy, now_ms: u64) {
        let Copy::Finished {
            key,
            digest,
            sample,
        } = copy
        else {
            return;
        };
        let Some(held) = self.held.get_mut(key) else {
            return;
        };
        if held.ledger.step().digest() == *digest {
            held.touched_ms = now_ms;
            held.ledger.adopt(sample);
        }
    }

    /// Drops steps that nobody has asked for; gives what has to be cancelled. A trainer
    /// that comes back after that posts again with its cursor and loses nothing but time.
    pub fn retire(&mut self, now_ms: u64) -> Vec<Action> {
        let mut cancels = Vec::new();
        let idle_ms = self.idle_ms;
        self.held.retain(|_, held| {
            let keep = now_ms.saturating_sub(held.touched_ms) < idle_ms;
            if !keep {
                held.ledger.give_up();
                cancels.extend(held.ledger.drain());
            }
            keep
        });
        cancels
    }
}
