//! The steps that an entry holds, as first or second home.
//!
//! A trainer that restarts may post a step again under its number with other prompts. The
//! new post takes the place of the old one as soon as nobody fetches that any more; the
//! digest in the cursor keeps replies of the two apart. While the old one is being
//! fetched the post is refused, so that two trainers under one token see their mistake.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive::key;
use quick_error::quick_error;
use types::WeightVersion;

use crate::copy::CopyMessage;
use crate::cursor::Cursor;
use crate::holdings::{Holdings, StepBounds};
use crate::ledger::{Action, Ledger, LedgerSettings};
use crate::step::{Step, StepDigest, StepKey};

/// A step that was posted or fetched within this time is in use.
const IN_USE_MS: u64 = 10_000;

quick_error! {
    /// Why a post is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PostError {
        /// The step is held with another content and in use.
        OtherContent {
            display("the step is in use with another content")
        }
        /// The customer has as many steps here as it may.
        NoRoom(steps_max: u32, prompt_bytes_max: usize) {
            display(
                "at most {} steps with {} bytes of prompts are held for one customer",
                steps_max, prompt_bytes_max
            )
        }
    }
}

/// What a post did.
#[key]
pub enum PostOutcome {
    /// The step was not held here.
    New,
    /// It was; only what its cursor misses is run.
    Known,
    /// It was, with another content that nobody fetches any more.
    Replaced,
    /// Nothing: a copy of a step that nobody has used for too long.
    Expired,
}

struct HeldStep {
    ledger: Ledger,
    posted_ms: u64,
    last_used_ms: u64,
}

impl HeldStep {
    fn is_in_use(&self, now_ms: u64) -> bool {
        let used_ms = self.ledger.fetched_ms().unwrap_or(0).max(self.posted_ms);
        now_ms.saturating_sub(used_ms) < IN_USE_MS
    }
}

/// Ledgers by step.
pub struct Steps {
    held: BTreeMap<StepKey, HeldStep>,
    holdings: Holdings,
    idle_ms: u64,
    ledger_count: u32,
}

impl Steps {
    /// Steps that nobody has asked for in `idle_ms` are dropped by [`Steps::retire`].
    pub fn new(idle_ms: u64) -> Self {
        Self::with_bounds(idle_ms, StepBounds::default())
    }

    /// The same, with other bounds on what is held for one customer.
    pub fn with_bounds(idle_ms: u64, bounds: StepBounds) -> Self {
        Self {
            held: BTreeMap::new(),
            holdings: Holdings::new(bounds),
            idle_ms,
            ledger_count: 0,
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
    ) -> Result<PostOutcome, PostError> {
        if let Some(held) = self.held.get_mut(&step.key) {
            if held.ledger.step().digest() == step.digest() {
                held.last_used_ms = now_ms;
                held.ledger.configure(settings);
                held.ledger.apply_cursor(cursor);
                held.ledger.announce(trainer_version, None, now_ms);
                return Ok(PostOutcome::Known);
            }
            if held.is_in_use(now_ms) {
                return Err(PostError::OtherContent);
            }
        }
        self.ledger_count = self.ledger_count.wrapping_add(1);
        let ledger = Ledger::new(Arc::clone(step), settings.clone(), cursor, trainer_version);
        let mut held = HeldStep {
            ledger: ledger.with_number_range(self.ledger_count),
            posted_ms: now_ms,
            last_used_ms: now_ms,
        };
        let old = self.remove(&step.key);
        if let Err(refused) = self.make_room(step) {
            old.into_iter().for_each(|old| self.insert(old));
            return Err(refused);
        }
        let posted = old
            .as_ref()
            .map_or(PostOutcome::New, |_| PostOutcome::Replaced);
        if let Some(old) = old {
            held.ledger.replace(old.ledger);
        }
        self.insert(held);
        Ok(posted)
    }

    /// Takes a post that the other home holds and that its trainer last used at `used_ms`.
    /// What is held here has a cursor of the trainer's own already, perhaps a later one.
    /// A step that is unused for too long does not come back this way: two homes that see
    /// each other come and go would else keep it for ever.
    pub fn post_copy(
        &mut self,
        step: &Arc<Step>,
        settings: &LedgerSettings,
        cursor: &Cursor,
        trainer_version: WeightVersion,
        used_ms: u64,
        now_ms: u64,
    ) -> Result<PostOutcome, PostError> {
        if let Some(held) = self.find_post(&step.key, step.digest()) {
            held.last_used_ms = held.last_used_ms.max(used_ms);
            held.ledger.announce(trainer_version, None, now_ms);
            return Ok(PostOutcome::Known);
        }
        if now_ms.saturating_sub(used_ms) >= self.idle_ms {
            return Ok(PostOutcome::Expired);
        }
        self.post(step, settings, cursor, trainer_version, used_ms)
    }

    /// How long ago a step was last posted or fetched, in milliseconds.
    pub fn unused_ms(&self, key: &StepKey, now_ms: u64) -> Option<u64> {
        let held = self.held.get(key)?;
        Some(now_ms.saturating_sub(held.last_used_ms))
    }

    /// Whether a step is held.
    pub fn holds(&self, key: &StepKey) -> bool {
        self.held.contains_key(key)
    }

    /// Steps that are held.
    pub fn keys(&self) -> impl Iterator<Item = &StepKey> {
        self.held.keys()
    }

    /// Drops the customer's steps whose trainers have all, the one unused longest first,
    /// until `step` fits. A trainer whose last reply was lost posts its step again.
    fn make_room(&mut self, step: &Step) -> Result<(), PostError> {
        while !self.holdings.has_room(step) {
            let done = self
                .held
                .iter()
                .filter(|(key, held)| key.customer == step.key.customer && held.ledger.is_done());
            let oldest = done.min_by_key(|(_, held)| held.last_used_ms);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                let bounds = self.holdings.bounds();
                return Err(PostError::NoRoom(bounds.steps_max, bounds.prompt_bytes_max));
            };
            self.remove(&key);
        }
        Ok(())
    }

    fn insert(&mut self, held: HeldStep) {
        let step = held.ledger.step();
        self.holdings.add(step);
        self.held.insert(step.key.clone(), held);
    }

    fn remove(&mut self, key: &StepKey) -> Option<HeldStep> {
        let held = self.held.remove(key)?;
        self.holdings.remove(held.ledger.step());
        Some(held)
    }

    /// The ledger of a step, if it is held, for its trainer; it posts again otherwise.
    pub fn get_mut(&mut self, key: &StepKey, now_ms: u64) -> Option<&mut Ledger> {
        let held = self.held.get_mut(key)?;
        held.last_used_ms = now_ms;
        Some(&mut held.ledger)
    }

    /// The ledger of a step, without counting as use: what becomes of its own runs would
    /// else keep a step that its trainer has done with for ever.
    pub fn find_mut(&mut self, key: &StepKey) -> Option<&mut Ledger> {
        self.held.get_mut(key).map(|held| &mut held.ledger)
    }

    /// Every ledger, without counting as use.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&StepKey, &mut Ledger)> {
        self.held
            .iter_mut()
            .map(|(key, held)| (key, &mut held.ledger))
    }

    /// Takes a finished sample of the other home, or that its trainer fetches there. What is
    /// said of an unknown step or of another post is dropped: the step's post comes with
    /// its copy or from the trainer.
    pub fn apply(&mut self, copy: &CopyMessage, now_ms: u64) {
        match copy {
            CopyMessage::Post { .. } => {}
            CopyMessage::Finished {
                key,
                digest,
                sample,
            } => {
                if let Some(held) = self.find_post(key, *digest) {
                    held.ledger.adopt(sample);
                }
            }
            CopyMessage::Fetched {
                key,
                digest,
                complete,
            } => {
                let Some(held) = self.find_post(key, *digest) else {
                    return;
                };
                held.last_used_ms = held.last_used_ms.max(now_ms);
                if *complete {
                    held.ledger.mark_all_offered();
                }
            }
        }
    }

    fn find_post(&mut self, key: &StepKey, digest: StepDigest) -> Option<&mut HeldStep> {
        let held = self.held.get_mut(key)?;
        (held.ledger.step().digest() == digest).then_some(held)
    }

    /// Drops steps that nobody has asked for; gives what has to be cancelled. A trainer
    /// that comes back after that posts again with its cursor and loses nothing but time.
    pub fn remove_idle(&mut self, now_ms: u64) -> Vec<Action> {
        let mut cancels = Vec::new();
        let (idle_ms, holdings) = (self.idle_ms, &mut self.holdings);
        self.held.retain(|_, held| {
            let keep = now_ms.saturating_sub(held.last_used_ms) < idle_ms;
            if !keep {
                holdings.remove(held.ledger.step());
                held.ledger.cancel_all();
                cancels.extend(held.ledger.take_actions());
            }
            keep
        });
        cancels
    }
}
