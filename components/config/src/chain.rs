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
//! The same goes for what a peer proves that is ahead in the log: it is held at once,
//! and the verdicts go on from the version that is current where the reader stands.

use std::sync::Arc;

use crate::accepted::{VersionedRecord, contradicts, version_of};
use crate::parse::parse_published;
use crate::pending::{PENDING_BYTES_MAX, PendingPublishes};
use crate::recent_verdicts::RecentVerdicts;
use crate::{AcceptedVersion, ID_BYTES_MAX, Publish, Refusal, Rules, Verdict};

/// The versions of one customer.
#[derive(Clone, Debug)]
pub(crate) struct VersionChain {
    /// Current at the reader's offset; only while that is certain.
    current: Option<Arc<AcceptedVersion>>,
    /// `current` (or that there was none) held at this offset, and every later publish
    /// is judged.
    certain_from: Option<u64>,
    /// Proved to have been accepted, and higher than `current`.
    proved: Option<Arc<AcceptedVersion>>,
    pending: PendingPublishes,
    recent_verdicts: RecentVerdicts,
}

impl VersionChain {
    /// A customer of which nothing was read yet; `certain_from` if it is known to have
    /// no version at that offset.
    pub(crate) fn new(certain_from: Option<u64>, complete_from: u64) -> Self {
        Self {
            current: None,
            certain_from,
            proved: None,
            pending: PendingPublishes::new(complete_from),
            recent_verdicts: RecentVerdicts::default(),
        }
    }

    /// The highest version that is known; it never goes back.
    pub(crate) fn newest_known(&self) -> Option<&Arc<AcceptedVersion>> {
        self.proved.as_ref().or(self.current.as_ref())
    }

    /// The offset up to which what is held was the current version, if that is known.
    pub(crate) fn certain_up_to(&self, next_offset: u64) -> Option<u64> {
        let certain = self.certain_from.filter(|_| self.proved.is_none());
        certain.map(|from| from.max(next_offset))
    }

    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending.text_bytes()
    }

    /// The verdict on the last publish with this id.
    pub(crate) fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.recent_verdicts.verdict(id)
    }

    /// Takes in a publish from the log; `room_bytes` is what may still be held back.
    pub(crate) fn apply_publish(
        &mut self,
        offset: u64,
        publish: &Publish,
        room_bytes: usize,
    ) -> Verdict {
        let id_bytes = publish.id.len();
        if id_bytes == 0 || id_bytes > ID_BYTES_MAX {
            return Verdict::Refused(Refusal::BadId);
        }
        let verdict = match self.certain_from {
            None => {
                self.pending.push(offset, publish, room_bytes);
                Verdict::Undecided
            }
            Some(from) if offset < from => self.verdict_before_anchor(publish),
            Some(_) => self.judge(offset, publish),
        };
        let conflict = self.reconcile_proved(offset + 1);
        let verdict = conflict.unwrap_or(verdict);
        self.recent_verdicts.record(publish, &verdict);
        verdict
    }

    fn judge(&mut self, offset: u64, publish: &Publish) -> Verdict {
        if let Some(refusal) = self.check_base(publish) {
            return self.refused_or_duplicate(publish, refusal);
        }
        let Some(rules) = Rules::of(publish.rules) else {
            self.mark_uncertain(offset);
            self.pending.push(offset, publish, PENDING_BYTES_MAX);
            return Verdict::RulesTooNew {
                rules: publish.rules,
            };
        };
        if publish.base > 0 && rules.requires_base_id && publish.base_id.is_none() {
            let base = publish.base;
            return Verdict::Refused(Refusal::BaseUnnamed { base });
        }
        let version = publish.base + 1;
        let origin = format!("{} version {version}", publish.customer);
        match parse_published(rules, &publish.customer, &publish.text, &origin) {
            Err(complaints) => Verdict::Refused(Refusal::Invalid(complaints)),
            Ok(text) => {
                let record = VersionedRecord {
                    customer: &publish.customer,
                    version,
                    id: &publish.id,
                    rules: publish.rules,
                    source: &publish.text,
                };
                self.current = Some(Arc::new(AcceptedVersion::new(record, text)));
                Verdict::Accepted { version }
            }
        }
    }

    /// What is wrong with base and id, under any rules.
    fn check_base(&self, publish: &Publish) -> Option<Refusal> {
        let current_id = self.current.as_deref().map(|current| current.id.as_str());
        let current = version_of(&self.current);
        let base = publish.base;
        let other_base = publish.base_id.is_some() && publish.base_id.as_deref() != current_id;
        let same_id = current_id == Some(publish.id.as_str());
        if base < current {
            Some(Refusal::Outdated { base, current })
        } else if base > current {
            Some(Refusal::Ahead { base, current })
        } else if other_base {
            Some(Refusal::OtherBase { base })
        } else if same_id {
            Some(Refusal::BadId)
        } else {
            None
        }
    }

    /// An append whose answer was lost is made again with the same id. Its second copy
    /// never fits the base, so it changes nothing; the operator still has to hear the
    /// verdict on the first.
    fn refused_or_duplicate(&self, publish: &Publish, refusal: Refusal) -> Verdict {
        let first = self.recent_verdicts.verdict_on_copy(publish);
        match (self.version_made_by(publish), first) {
            (Some(version), _) => Verdict::Accepted { version },
            (None, Some(accepted @ Verdict::Accepted { .. })) => accepted.clone(),
            _ => Verdict::Refused(refusal),
        }
    }

    /// The current version, if this publish made it.
    fn version_made_by(&self, publish: &Publish) -> Option<u64> {
        let current = self.current.as_deref()?;
        let next_of_base = publish.base.checked_add(1) == Some(current.version);
        let same = current.id == publish.id && *current.source == *publish.text;
        (next_of_base && same).then_some(current.version)
    }

    /// The anchor already counts this publish in, however it went.
    fn verdict_before_anchor(&self, publish: &Publish) -> Verdict {
        match self.version_made_by(publish) {
            Some(version) => Verdict::Accepted { version },
            None => Verdict::Covered,
        }
    }

    /// The current version at `offset` is no longer known.
    fn mark_uncertain(&mut self, offset: u64) {
        let current = self.current.take();
        self.proved = self.proved.take().or(current);
        self.certain_from = None;
        self.pending.clear(offset);
    }

    /// Drops what was proved once the current version has come to it. Should they be
    /// two texts, somebody wrote what is not true: the first one stays, and nothing is
    /// judged until an anchor from `next_offset` or later.
    fn reconcile_proved(&mut self, next_offset: u64) -> Option<Verdict> {
        self.certain_from?;
        let proved = self.proved.as_deref()?;
        let (version, held) = (version_of(&self.current), proved.version);
        if version < held {
            return None;
        }
        if version == held && contradicts(self.current.as_deref(), Some(proved)) {
            self.current = None;
            self.mark_uncertain(next_offset);
            return Some(Verdict::Conflict { version, held });
        }
        self.proved = None;
        None
    }

    /// The records before `offset` and after what was read are gone.
    pub(crate) fn mark_gap(&mut self, offset: u64) {
        if self.certain_from.is_none_or(|from| from < offset) {
            self.mark_uncertain(offset);
        }
    }

    /// Takes in "this was the current version up to `through`"; `next_offset` is the
    /// first offset that was not read.
    pub(crate) fn apply_anchor(
        &mut self,
        accepted: Option<Arc<AcceptedVersion>>,
        through: u64,
        next_offset: u64,
    ) -> Verdict {
        match self.certain_from {
            Some(from) if through <= from.max(next_offset) => {
                self.check_against_current(accepted.as_deref())
            }
            Some(_) => self.advance_to(accepted, through, next_offset),
            None if through < self.pending.complete_from() => match accepted {
                Some(accepted) => self.apply_peer_proof(accepted),
                None => Verdict::Known,
            },
            None => self.judge_pending(accepted, through, next_offset),
        }
    }

    /// Takes in "this version was accepted once" from a record that was read: if the
    /// current version is certain, it must be that one or a later one.
    pub(crate) fn apply_logged_proof(&mut self, accepted: Arc<AcceptedVersion>) -> Verdict {
        match self.certain_from {
            Some(_) => self.check_against_current(Some(&accepted)),
            None => self.apply_peer_proof(accepted),
        }
    }

    /// Takes in "this version was accepted once" from a peer, which may be ahead.
    pub(crate) fn apply_peer_proof(&mut self, accepted: Arc<AcceptedVersion>) -> Verdict {
        let held = self.newest_known().cloned();
        let (version, held_version) = (accepted.version, version_of(&held));
        if version > held_version {
            self.proved = Some(accepted);
            return Verdict::Learned { version };
        }
        if version == held_version && contradicts(held.as_deref(), Some(&accepted)) {
            let held = held_version;
            return Verdict::Conflict { version, held };
        }
        Verdict::Known
    }

    /// Whether news about an offset that was judged here agrees with that.
    fn check_against_current(&self, accepted: Option<&AcceptedVersion>) -> Verdict {
        let held = version_of(&self.current);
        let version = accepted.map_or(0, |accepted| accepted.version);
        let other_text = version == held && contradicts(self.current.as_deref(), accepted);
        if version > held || other_text {
            return Verdict::Conflict { version, held };
        }
        Verdict::Known
    }

    /// Goes forward to a peer that has read more of the log.
    fn advance_to(
        &mut self,
        accepted: Option<Arc<AcceptedVersion>>,
        through: u64,
        next_offset: u64,
    ) -> Verdict {
        let (version, held) = (version_of(&accepted), version_of(&self.current));
        let other_text =
            version == held && contradicts(self.current.as_deref(), accepted.as_deref());
        if version < held || other_text {
            return Verdict::Conflict { version, held };
        }
        self.current = accepted;
        self.certain_from = Some(through);
        if let Some(conflict) = self.reconcile_proved(next_offset) {
            return conflict;
        }
        match version == held {
            true => Verdict::Known,
            false => Verdict::Learned { version },
        }
    }

    /// Knows the current version again, and judges what was held back.
    fn judge_pending(
        &mut self,
        accepted: Option<Arc<AcceptedVersion>>,
        through: u64,
        next_offset: u64,
    ) -> Verdict {
        let before = self.newest_known().map_or(0, |held| held.version);
        self.current = accepted;
        self.certain_from = Some(through);
        for (offset, publish) in self.pending.take_all() {
            self.apply_publish(offset, &publish, PENDING_BYTES_MAX);
        }
        if let Some(conflict) = self.reconcile_proved(next_offset) {
            return conflict;
        }
        let version = self.newest_known().map_or(0, |held| held.version);
        // The replay may have come to rules that are too new, and know no more.
        match self.certain_from.is_some() || version > before {
            true => Verdict::Learned { version },
            false => Verdict::Known,
        }
    }
}
