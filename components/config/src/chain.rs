//! The versions of one customer, as one reader of the log knows them.
//!
//! A publish is accepted iff its base is the version that is current at its offset and
//! its text passes the check by its own rules. Nothing else goes into the verdict: not
//! other customers' texts, and no memory of ids that an earlier part of the log would
//! fill. So a reader that knows which version was current at one offset, and has read
//! every later record, reaches the same verdicts as a reader of the whole log.
//!
//! A reader that does not know holds the publishes back. What brings it to know is an
//! anchor, "version v was current up to offset t", from a keep record or a peer, if the
//! reader has every record from t on. Without one it holds the highest version that it
//! has seen proved, which can be behind but never be another text than another reader's.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::accepted::source_digest;
use crate::parse::judge;
use crate::{Accepted, ID_BYTES_MAX, Publish, Refusal, Rules, Verdict};

/// Verdicts that are remembered for the operators' questions.
const VERDICTS_MAX: usize = 32;
/// Publishes that a reader holds back for one customer, in bytes.
const PENDING_BYTES_MAX: usize = 1024 * 1024;

/// One remembered verdict.
#[derive(Clone, Debug)]
struct Judged {
    id: String,
    base: u64,
    digest: u64,
    verdict: Verdict,
}

impl Judged {
    fn is_copy(&self, publish: &Publish, digest: u64) -> bool {
        self.id == publish.id && self.base == publish.base && self.digest == digest
    }
}

/// One publish that waits for an anchor.
#[derive(Clone, Debug)]
struct Pending {
    offset: u64,
    publish: Publish,
}

/// The versions of one customer.
#[derive(Clone, Debug)]
pub(crate) struct Chain {
    held: Option<Arc<Accepted>>,
    /// `held` was current at this offset, and every later publish is judged.
    certain_from: Option<u64>,
    /// No publish at or after this offset was missed or dropped.
    complete_from: u64,
    pending: VecDeque<Pending>,
    judged: VecDeque<Judged>,
}

impl Chain {
    /// A customer of which nothing was read yet; `certain_from` if it is known to have
    /// no version at that offset.
    pub(crate) fn new(certain_from: Option<u64>, complete_from: u64) -> Self {
        Self {
            held: None,
            certain_from,
            complete_from,
            pending: VecDeque::new(),
            judged: VecDeque::new(),
        }
    }

    pub(crate) fn held(&self) -> Option<&Arc<Accepted>> {
        self.held.as_ref()
    }

    pub(crate) fn certain_from(&self) -> Option<u64> {
        self.certain_from
    }

    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending.iter().map(|one| one.publish.text.len()).sum()
    }

    /// The verdict on the last publish with this id.
    pub(crate) fn verdict(&self, id: &str) -> Option<&Verdict> {
        let newest_first = self.judged.iter().rev();
        let with_id = newest_first.filter(|judged| judged.id == id);
        with_id.map(|judged| &judged.verdict).next()
    }

    /// Takes in a publish from the log; `room_bytes` is what may still be held back.
    pub(crate) fn publish(&mut self, offset: u64, publish: &Publish, room_bytes: usize) -> Verdict {
        let verdict = match self.certain_from {
            None => {
                self.pend(offset, publish, room_bytes);
                Verdict::Undecided
            }
            Some(from) if offset < from => self.before_anchor(publish),
            Some(_) => self.judge(offset, publish),
        };
        self.remember(publish, verdict)
    }

    fn judge(&mut self, offset: u64, publish: &Publish) -> Verdict {
        if let Some(refusal) = self.base_refusal(publish) {
            return self.refused_or_copy(publish, refusal);
        }
        let Some(rules) = Rules::of(publish.rules) else {
            self.lose(offset);
            self.pend(offset, publish, PENDING_BYTES_MAX);
            return Verdict::RulesTooNew {
                rules: publish.rules,
            };
        };
        if publish.base > 0 && rules.base_id_stated && publish.base_id.is_none() {
            let base = publish.base;
            return Verdict::Refused(Refusal::BaseUnnamed { base });
        }
        let version = publish.base + 1;
        let origin = format!("{} version {version}", publish.customer);
        match judge(rules, &publish.customer, &publish.text, &origin) {
            Err(complaints) => Verdict::Refused(Refusal::Invalid(complaints)),
            Ok(text) => {
                self.held = Some(Arc::new(Accepted {
                    customer: publish.customer.clone(),
                    version,
                    id: publish.id.clone(),
                    rules: publish.rules,
                    source: Arc::from(publish.text.as_str()),
                    text: Arc::new(text),
                }));
                Verdict::Accepted { version }
            }
        }
    }

    /// What is wrong with base and id, under any rules.
    fn base_refusal(&self, publish: &Publish) -> Option<Refusal> {
        let held = self.held.as_deref();
        let current = held.map_or(0, |accepted| accepted.version);
        let current_id = held.map(|accepted| accepted.id.as_str());
        let base = publish.base;
        let other_base = publish.base_id.is_some() && publish.base_id.as_deref() != current_id;
        let id = publish.id.as_str();
        let bad_id = id.is_empty() || id.len() > ID_BYTES_MAX || current_id == Some(id);
        if base < current {
            Some(Refusal::Outdated { base, current })
        } else if base > current {
            Some(Refusal::Ahead { base, current })
        } else if other_base {
            Some(Refusal::OtherBase { base })
        } else if bad_id {
            Some(Refusal::BadId)
        } else {
            None
        }
    }

    /// An append whose answer was lost is made again with the same id. Its second copy
    /// never fits the base, so it changes nothing; the operator still has to hear the
    /// verdict on the first.
    fn refused_or_copy(&self, publish: &Publish, refusal: Refusal) -> Verdict {
        let digest = source_digest(&publish.text);
        if let Some(version) = self.made_held(publish) {
            return Verdict::Accepted { version };
        }
        let copies = |judged: &&Judged| judged.is_copy(publish, digest);
        match self.judged.iter().find(copies) {
            Some(first) if matches!(first.verdict, Verdict::Accepted { .. }) => {
                first.verdict.clone()
            }
            _ => Verdict::Refused(refusal),
        }
    }

    /// The held version, if this publish made it.
    fn made_held(&self, publish: &Publish) -> Option<u64> {
        let held = self.held.as_deref()?;
        let next_of_base = publish.base.checked_add(1) == Some(held.version);
        let same = held.id == publish.id && *held.source == *publish.text;
        (next_of_base && same).then_some(held.version)
    }

    /// The anchor already counts this publish in, however it went.
    fn before_anchor(&self, publish: &Publish) -> Verdict {
        match self.made_held(publish) {
            Some(version) => Verdict::Accepted { version },
            None => Verdict::Covered,
        }
    }

    fn remember(&mut self, publish: &Publish, verdict: Verdict) -> Verdict {
        let digest = source_digest(&publish.text);
        self.judged
            .retain(|judged| !judged.is_copy(publish, digest));
        self.judged.push_back(Judged {
            id: publish.id.clone(),
            base: publish.base,
            digest,
            verdict: verdict.clone(),
        });
        if self.judged.len() > VERDICTS_MAX {
            self.judged.pop_front();
        }
        verdict
    }

    fn pend(&mut self, offset: u64, publish: &Publish, room_bytes: usize) {
        let mut room_bytes = room_bytes.min(PENDING_BYTES_MAX.saturating_sub(self.pending_bytes()));
        while room_bytes < publish.text.len() {
            let Some(dropped) = self.pending.pop_front() else {
                // Too large to be held back at all: only an anchor behind it helps.
                self.complete_from = offset + 1;
                return;
            };
            room_bytes += dropped.publish.text.len();
            self.complete_from = dropped.offset + 1;
        }
        self.pending.push_back(Pending {
            offset,
            publish: publish.clone(),
        });
    }

    /// The current version at `offset` is no longer known.
    fn lose(&mut self, offset: u64) {
        self.certain_from = None;
        self.complete_from = offset;
        self.pending.clear();
    }

    /// The records before `offset` and after what was read are gone.
    pub(crate) fn gap(&mut self, offset: u64) {
        if self.certain_from.is_none_or(|from| from < offset) {
            self.lose(offset);
        }
    }

    /// Takes in "this was the current version up to `through`"; `next_offset` is the
    /// first offset that was not read.
    pub(crate) fn anchor(
        &mut self,
        accepted: Option<Arc<Accepted>>,
        through: u64,
        next_offset: u64,
    ) -> Verdict {
        match self.certain_from {
            Some(from) if through <= from.max(next_offset) => self.compare(accepted.as_deref()),
            Some(_) => self.jump(accepted, through),
            None if through < self.complete_from => match accepted {
                Some(accepted) => self.fact(accepted),
                None => Verdict::Known,
            },
            None => self.settle(accepted, through, next_offset),
        }
    }

    /// Takes in "this version was accepted once" while the current one is not known.
    pub(crate) fn fact(&mut self, accepted: Arc<Accepted>) -> Verdict {
        let verdict = self.compare(Some(&accepted));
        let version = accepted.version;
        let higher = matches!(verdict, Verdict::Conflict { held, .. } if version > held);
        if self.certain_from.is_some() || !higher {
            return verdict;
        }
        self.held = Some(accepted);
        Verdict::Learned { version }
    }

    /// Whether news about an offset that was judged here agrees with what is held.
    fn compare(&self, accepted: Option<&Accepted>) -> Verdict {
        let held = self.held.as_deref();
        let held_version = held.map_or(0, |held| held.version);
        let version = accepted.map_or(0, |accepted| accepted.version);
        let same_text = match (held, accepted) {
            (Some(held), Some(accepted)) => held.source == accepted.source,
            _ => true,
        };
        if version > held_version || (version == held_version && !same_text) {
            let held = held_version;
            return Verdict::Conflict { version, held };
        }
        Verdict::Known
    }

    /// Goes forward to a peer that has read more of the log.
    fn jump(&mut self, accepted: Option<Arc<Accepted>>, through: u64) -> Verdict {
        let held = self.held.as_ref().map_or(0, |held| held.version);
        let version = accepted.as_ref().map_or(0, |accepted| accepted.version);
        let agrees = match self.compare(accepted.as_deref()) {
            Verdict::Conflict { .. } => version > held,
            _ => version == held,
        };
        if !agrees {
            return Verdict::Conflict { version, held };
        }
        self.certain_from = Some(through);
        if version == held {
            return Verdict::Known;
        }
        self.held = accepted;
        Verdict::Learned { version }
    }

    /// Knows the current version again, and judges what was held back.
    fn settle(
        &mut self,
        accepted: Option<Arc<Accepted>>,
        through: u64,
        next_offset: u64,
    ) -> Verdict {
        let proved = self.held.take();
        self.held = accepted;
        self.certain_from = Some(through);
        for pending in std::mem::take(&mut self.pending) {
            self.publish(pending.offset, &pending.publish, PENDING_BYTES_MAX);
        }
        let version = self.held.as_ref().map_or(0, |held| held.version);
        let Verdict::Conflict { .. } = self.compare(proved.as_deref()) else {
            return Verdict::Learned { version };
        };
        // A proved version is never given up: either the replay stopped at rules that
        // are too new, or somebody wrote what is not true.
        let held = proved.as_ref().map_or(0, |proved| proved.version);
        self.held = proved;
        if self.certain_from.is_none() {
            return Verdict::Known;
        }
        self.lose(next_offset);
        Verdict::Conflict { version, held }
    }
}
