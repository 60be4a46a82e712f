//! The steps that an entry holds, as first or second home.
//!
//! A trainer that restarts may post a step again under the same number with other prompts.
//! The new post replaces the old one once that is no longer in use; the digest in the cursor
//! distinguishes the replies of the two posts. While the old post is in use, the new one is
//! refused, so that two trainers that use the same token by mistake get an error.

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

/// A step counts as in use for this long after its last post or fetch.
const IN_USE_MS: u64 = 10_000;

quick_error! {
    /// Why a post is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PostError {
        /// A step with the same key and another content is held and in use.
        OtherContent {
            display("the step is in use with another content")
        }
        /// The customer's limit of steps or prompt bytes is reached, and none of its steps is
        /// done. Carries both limits.
        NoRoom(steps_max: u32, prompt_bytes_max: usize) {
            display(
                "at most {} steps with {} bytes of prompts are held for one customer",
                steps_max, prompt_bytes_max
            )
        }
    }
}

/// Effect of a post.
#[key]
pub enum PostOutcome {
    /// The step was not held; it is held now.
    New,
    /// The same step was held already; only the slots that its cursor lists as missing run.
    Known,
    /// A step with another content, no longer in use, was replaced.
    Replaced,
    /// The post was ignored: it is a copy of a step that has been unused for the idle time.
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

/// Ledgers of all steps that an entry holds.
pub struct Steps {
    held: BTreeMap<StepKey, HeldStep>,
    holdings: Holdings,
    idle_ms: u64,
    ledger_count: u32,
}

impl Steps {
    /// Creates an empty set. Steps unused for `idle_ms` are dropped by [`Steps::remove_idle`].
    pub fn new(idle_ms: u64) -> Self {
        Self::with_bounds(idle_ms, StepBounds::default())
    }

    /// Like [`Steps::new`], with other limits on what is held for one customer.
    pub fn with_bounds(idle_ms: u64, bounds: StepBounds) -> Self {
        Self {
            held: BTreeMap::new(),
            holdings: Holdings::new(bounds),
            idle_ms,
            ledger_count: 0,
        }
    }

    /// Adds a posted step. If the same post is held, applies its cursor, which may be later or
    /// earlier than the last one.
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
        if let Err(error) = self.make_room(step) {
            old.into_iter().for_each(|old| self.insert(old));
            return Err(error);
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

    /// Adds a post that the other home holds and that the trainer last used at `used_ms`.
    /// If the post is held here, its cursor is not applied, because the one held here came
    /// from the trainer and may be later. A step that has been unused for the idle time is
    /// not added: two homes that repeatedly lose and regain contact would otherwise copy it
    /// back and forth and never drop it.
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

    /// Time since the step was last posted or fetched; `None` if it is not held.
    pub fn unused_ms(&self, key: &StepKey, now_ms: u64) -> Option<u64> {
        let held = self.held.get(key)?;
        Some(now_ms.saturating_sub(held.last_used_ms))
    }

    /// Whether the step is held here.
    pub fn holds(&self, key: &StepKey) -> bool {
        self.held.contains_key(key)
    }

    /// Keys of all steps that are held, in order.
    pub fn keys(&self) -> impl Iterator<Item = &StepKey> {
        self.held.keys()
    }

    /// Drops the customer's done steps, the least recently used first, until `step` fits its
    /// limits. A trainer that lost the last reply of a dropped step posts the step again.
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

    /// The ledger of a step for a request of its trainer, which counts as use. On `None`, the
    /// trainer has to post the step again.
    pub fn get_mut(&mut self, key: &StepKey, now_ms: u64) -> Option<&mut Ledger> {
        let held = self.held.get_mut(key)?;
        held.last_used_ms = now_ms;
        Some(&mut held.ledger)
    }

    /// The ledger of a step, without counting as use. Events of runs go through this method;
    /// if they counted as use, a step that its trainer has abandoned would never be dropped.
    pub fn find_mut(&mut self, key: &StepKey) -> Option<&mut Ledger> {
        self.held.get_mut(key).map(|held| &mut held.ledger)
    }

    /// All ledgers by step, without counting as use.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&StepKey, &mut Ledger)> {
        self.held
            .iter_mut()
            .map(|(key, held)| (key, &mut held.ledger))
    }

    /// Applies a message of the other home: a finished sample, or a notification that the
    /// trainer fetches there. A message about an unknown step or another post is dropped; the
    /// step's post arrives through [`Steps::post_copy`] or from the trainer.
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

    /// Drops steps unused for the idle time and returns the actions that cancel their runs. A
    /// trainer that returns later posts the step again with its cursor; its missing slots are
    /// then run again, and no sample is lost or duplicated.
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
