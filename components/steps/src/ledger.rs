//! State of all steps, derived from the records of the index topic.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use derive::value;

use crate::step::ItemProgress;
use crate::{FailedPart, ListedResult, SavedPiece, Step, StepHead, StepId, StepRecord};

/// How long a step that closes after its retention stays readable, in milliseconds. Trainers read
/// about twice a second, and again after an outage.
pub const LATE_READ_MS: u64 = 30_000;

/// Effect of a record on the ledger.
#[value]
pub enum Change {
    /// No effect: the record repeats an earlier one or refers to an unknown step.
    Nothing,
    /// A step was accepted.
    Accepted(StepId),
    /// An item got its result.
    Listed(StepId, u32),
    /// Failure counts, saved pieces or reservations changed.
    Progress(StepId),
    /// A step was ended.
    Ended(StepId),
}

/// All steps within their retention, keyed by the offset of their accepting record.
#[derive(Debug, Default)]
pub struct Ledger {
    steps: BTreeMap<StepId, Step>,
    /// Steps by the id that the trainer gave; several customers may use the same id.
    by_trainer_id: HashMap<String, Vec<StepId>>,
}

impl Ledger {
    /// Applies the record at `offset`. Records must be applied in the order of the log.
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
        let is_pending = |step: &&mut Step| !step.ended && !step.is_listed(item);
        let Some(step) = self.steps.get_mut(&id).filter(is_pending) else {
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

    /// Finds a step by its customer and the id that the trainer gave. The same id of another
    /// customer names a different step, so an answer never reveals which ids others use.
    pub fn find(&self, customer: Option<&str>, id: &str) -> Option<&Step> {
        let steps = self.by_trainer_id.get(id)?.iter();
        let mut steps = steps.filter_map(|id| self.steps.get(id));
        steps.find(|step| step.head.customer.as_deref() == customer)
    }

    /// Finds the step that a customer may read and end under this id: the customer's own step, or
    /// else a step that was submitted without a key.
    pub fn find_visible(&self, customer: Option<&str>, id: &str) -> Option<&Step> {
        let own = self.find(customer, id);
        own.or_else(|| self.find(None, id))
    }

    /// The step whose accepting record has this offset.
    pub fn get(&self, id: StepId) -> Option<&Step> {
        self.steps.get(&id)
    }

    /// All steps, oldest first.
    pub fn steps(&self) -> impl Iterator<Item = &Step> {
        self.steps.values()
    }

    /// Removes steps that are closed and whose accepting record this process read more than
    /// `retention_ms` ago. A step that closes later stays for [`LATE_READ_MS`], in which its trainer
    /// reads the last results.
    pub fn remove_older_than(&mut self, retention_ms: u64, now_ms: u64) {
        let Self {
            steps,
            by_trainer_id,
        } = self;
        steps.retain(|_, step| {
            if step.is_open() {
                step.open_ms = now_ms;
            }
            let until_ms = step.read_ms + retention_ms;
            now_ms < until_ms.max(step.open_ms + LATE_READ_MS)
        });
        by_trainer_id.retain(|_, ids| {
            ids.retain(|id| steps.contains_key(id));
            !ids.is_empty()
        });
    }
}
