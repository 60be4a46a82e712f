//! All steps that are not forgotten yet.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use derive::value;

use crate::step::ItemProgress;
use crate::{FailedPart, ListedResult, SavedPiece, Step, StepHead, StepId, StepRecord};

/// What a record changed.
#[value]
pub enum Change {
    /// Nothing: a repetition, or a step that is not known.
    Nothing,
    /// A step was accepted.
    Accepted(StepId),
    /// An item was listed.
    Listed(StepId, u32),
    /// Counts of failures or saved pieces changed.
    Progress(StepId),
    /// A step was ended.
    Ended(StepId),
}

/// All steps that are not forgotten yet.
#[derive(Debug, Default)]
pub struct Ledger {
    steps: BTreeMap<StepId, Step>,
    /// Steps by the trainer's id; those of several customers may have the same.
    by_trainer_id: HashMap<String, Vec<StepId>>,
}

impl Ledger {
    /// Takes the record that stands at `offset`, in the log's order.
    pub fn apply(&mut self, offset: u64, record: StepRecord, now_ms: u64) -> Change {
        match record {
            StepRecord::Accepted(head) => self.accept(StepId(offset), *head, now_ms),
            StepRecord::Listed { step, item, state } => {
                self.list(step, ListedResult { item, state })
            }
            StepRecord::Failed { step, item, part } => self.fail(step, item, part),
            StepRecord::Ended { step } => self.end(step),
            StepRecord::Saved { step, item, piece } => self.save(step, item, piece),
            StepRecord::Reserved { items, for_ms } => {
                self.reserve(&items, now_ms + u64::from(for_ms))
            }
        }
    }

    fn accept(&mut self, id: StepId, head: StepHead, now_ms: u64) -> Change {
        if self.find(head.customer.as_deref(), &head.id).is_some() {
            return Change::Nothing;
        }
        self.by_trainer_id
            .entry(head.id.clone())
            .or_default()
            .push(id);
        self.steps.insert(id, Step::new(id, head, now_ms));
        Change::Accepted(id)
    }

    fn list(&mut self, id: StepId, result: ListedResult) -> Change {
        let item = result.item;
        let Some(step) = self.steps.get_mut(&id) else {
            return Change::Nothing;
        };
        let Some(progress) = step.progress.get_mut(item as usize) else {
            return Change::Nothing;
        };
        if progress.listed {
            return Change::Nothing;
        }
        progress.listed = true;
        step.saved.remove(&item);
        step.results.push(Arc::new(result));
        Change::Listed(id, item)
    }

    fn fail(&mut self, id: StepId, item: u32, part: FailedPart) -> Change {
        let Some(progress) = self.progress_mut(id, item) else {
            return Change::Nothing;
        };
        match part {
            FailedPart::Run => progress.failed_runs += 1,
            FailedPart::Reward => progress.failed_rewards += 1,
        }
        Change::Progress(id)
    }

    fn end(&mut self, id: StepId) -> Change {
        match self.steps.get_mut(&id) {
            Some(step) if !step.ended => {
                step.ended = true;
                step.saved.clear();
                Change::Ended(id)
            }
            _ => Change::Nothing,
        }
    }

    fn save(&mut self, id: StepId, item: u32, piece: SavedPiece) -> Change {
        let open = |step: &&mut Step| !step.ended && !step.is_listed(item);
        let Some(step) = self.steps.get_mut(&id).filter(open) else {
            return Change::Nothing;
        };
        let newest = step.pieces(item).last().map_or(0, |newest| newest.id);
        if piece.after != newest || piece.id == newest {
            return Change::Nothing;
        }
        step.saved.entry(item).or_default().push(piece);
        Change::Progress(id)
    }

    fn reserve(&mut self, items: &[(StepId, u32)], until_ms: u64) -> Change {
        let mut change = Change::Nothing;
        for (id, item) in items {
            if let Some(step) = self.steps.get_mut(id).filter(|step| step.is_open()) {
                step.reserved_until_ms.insert(*item, until_ms);
                change = Change::Progress(*id);
            }
        }
        change
    }

    fn progress_mut(&mut self, id: StepId, item: u32) -> Option<&mut ItemProgress> {
        self.steps.get_mut(&id)?.progress.get_mut(item as usize)
    }

    /// The customer's step with the trainer's id. Another customer's step with that id is
    /// another step: nobody learns from an answer which ids others use.
    pub fn find(&self, customer: Option<&str>, name: &str) -> Option<&Step> {
        let steps = self.by_trainer_id.get(name)?.iter();
        let mut steps = steps.filter_map(|id| self.steps.get(id));
        steps.find(|step| step.head.customer.as_deref() == customer)
    }

    /// The step that a customer may read and end under this id: its own, else one that nobody
    /// showed a key for.
    pub fn find_visible(&self, customer: Option<&str>, name: &str) -> Option<&Step> {
        let own = self.find(customer, name);
        own.or_else(|| self.find(None, name))
    }

    /// The step that this offset names.
    pub fn get(&self, id: StepId) -> Option<&Step> {
        self.steps.get(&id)
    }

    /// All steps, oldest first.
    pub fn steps(&self) -> impl Iterator<Item = &Step> {
        self.steps.values()
    }

    /// Forgets steps that this process read of more than `kept_ms` ago.
    pub fn remove_older_than(&mut self, kept_ms: u64, now_ms: u64) {
        let Self {
            steps,
            by_trainer_id,
        } = self;
        steps.retain(|_, step| now_ms < step.read_ms + kept_ms);
        by_trainer_id.retain(|_, ids| {
            ids.retain(|id| steps.contains_key(id));
            !ids.is_empty()
        });
    }
}
