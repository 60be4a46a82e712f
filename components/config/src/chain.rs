//! The accepted versions of one customer, as one reader of the log knows them.
//!
//! A publish is accepted if and only if its base is the version that is current at its offset and
//! its text passes the check under the rules version that the record names. Nothing else influences
//! the verdict: neither other customers' texts nor a memory of publish ids that depends on earlier
//! parts of the log. A reader that knows which version was current at one offset and has read every
//! later record therefore reaches the same verdicts as a reader of the whole log.
//!
//! A reader that does not know the current version holds publishes back. It resumes with an anchor,
//! that is the statement "version v was current up to offset t" in a keep record or from a peer,
//! provided that it has every record from t on. Without an anchor it holds the highest version that
//! is proved to have been accepted. That version can be out of date, but its text never differs
//! from what other readers hold for the same number. A proof from a peer that has read more of the
//! log is handled the same way: this reader holds the proved version at once and continues to judge
//! publishes from the version that is current at its own offset.

use std::sync::Arc;

use crate::accepted::{VersionedRecord, contradicts, version_of};
use crate::parse::parse_published;
use crate::pending::{PENDING_BYTES_MAX, PendingPublishes};
use crate::recent_verdicts::RecentVerdicts;
use crate::{AcceptedVersion, ID_BYTES_MAX, Publish, Refusal, Rules, Verdict};

/// State machine over the records about one customer.
#[derive(Clone, Debug)]
pub(crate) struct VersionChain {
    /// Version that is current at the reader's offset. Meaningful only while `certain_from` is set;
    /// `None` then means that the customer has no version.
    current: Option<Arc<AcceptedVersion>>,
    /// Offset at which `current` was the current version; every later publish has been judged.
    /// `None` while the current version is unknown.
    certain_from: Option<u64>,
    /// Version that a keep record or a peer proved to be accepted; higher than `current`.
    proved: Option<Arc<AcceptedVersion>>,
    pending: PendingPublishes,
    recent_verdicts: RecentVerdicts,
}

impl VersionChain {
    /// Creates the state of a customer without any record so far. `certain_from` is set if the
    /// customer is known to have no version at that offset.
    pub(crate) fn new(certain_from: Option<u64>, complete_from: u64) -> Self {
        Self {
            current: None,
            certain_from,
            proved: None,
            pending: PendingPublishes::new(complete_from),
            recent_verdicts: RecentVerdicts::default(),
        }
    }

    /// The highest version known to be accepted. It never decreases.
    pub(crate) fn newest_known(&self) -> Option<&Arc<AcceptedVersion>> {
        self.proved.as_ref().or(self.current.as_ref())
    }

    /// Offset up to which [`VersionChain::newest_known`] was the current version; `None` if that is
    /// unknown.
    pub(crate) fn certain_up_to(&self, next_offset: u64) -> Option<u64> {
        let certain = self.certain_from.filter(|_| self.proved.is_none());
        certain.map(|from| from.max(next_offset))
    }

    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending.text_bytes()
    }

    /// The verdict on the newest publish with this id.
    pub(crate) fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.recent_verdicts.verdict(id)
    }

    /// Judges a publish read from the log. `available_bytes` limits the bytes that may still be
    /// held back.
    pub(crate) fn apply_publish(
        &mut self,
        offset: u64,
        publish: &Publish,
        available_bytes: usize,
    ) -> Verdict {
        let id_bytes = publish.id.len();
        if id_bytes == 0 || id_bytes > ID_BYTES_MAX {
            return Verdict::Refused(Refusal::BadId);
        }
        let verdict = match self.certain_from {
            None => {
                self.pending.push(offset, publish, available_bytes);
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
            Ok(config) => {
                let record = VersionedRecord {
                    customer: &publish.customer,
                    version,
                    id: &publish.id,
                    rules: publish.rules,
                    source: &publish.text,
                };
                self.current = Some(Arc::new(AcceptedVersion::new(record, config)));
                Verdict::Accepted { version }
            }
        }
    }

    /// Checks base and id; these checks are the same under every rules version.
    fn check_base(&self, publish: &Publish) -> Option<Refusal> {
        let current_id = self.current.as_deref().map(|current| current.id.as_str());
        let current = version_of(&self.current);
        let base = publish.base;
        let base_id_differs = publish.base_id.is_some() && publish.base_id.as_deref() != current_id;
        let repeats_current_id = current_id == Some(publish.id.as_str());
        if base < current {
            Some(Refusal::Outdated { base, current })
        } else if base > current {
            Some(Refusal::Ahead { base, current })
        } else if base_id_differs {
            Some(Refusal::OtherBase { base })
        } else if repeats_current_id {
            Some(Refusal::BadId)
        } else {
            None
        }
    }

    /// Returns the first copy's verdict if `publish` is a duplicate of an accepted publish, else
    /// the refusal. A client that loses the answer to an append repeats it with the same id. The
    /// second copy never fits the base, so it changes nothing, but the operator still needs the
    /// verdict on the first copy.
    fn refused_or_duplicate(&self, publish: &Publish, refusal: Refusal) -> Verdict {
        let first = self.recent_verdicts.verdict_on_copy(publish);
        match (self.version_made_by(publish), first) {
            (Some(version), _) => Verdict::Accepted { version },
            (None, Some(accepted @ Verdict::Accepted { .. })) => accepted.clone(),
            _ => Verdict::Refused(refusal),
        }
    }

    /// The current version, if this publish created it.
    fn version_made_by(&self, publish: &Publish) -> Option<u64> {
        let current = self.current.as_deref()?;
        let follows_base = publish.base.checked_add(1) == Some(current.version);
        let is_same_publish = current.id == publish.id && *current.source == *publish.text;
        (follows_base && is_same_publish).then_some(current.version)
    }

    /// Verdict on a publish whose outcome, accepted or refused, is already included in the anchor.
    fn verdict_before_anchor(&self, publish: &Publish) -> Verdict {
        match self.version_made_by(publish) {
            Some(version) => Verdict::Accepted { version },
            None => Verdict::Covered,
        }
    }

    /// Records that the current version at `offset` is unknown, and discards the publishes held
    /// back before it.
    fn mark_uncertain(&mut self, offset: u64) {
        let current = self.current.take();
        self.proved = self.proved.take().or(current);
        self.certain_from = None;
        self.pending.clear(offset);
    }

    /// Drops the proved version once the current version has reached its number. If their texts
    /// differ, a process or record made a false statement: the proved version is kept, and no
    /// publish is judged until an anchor at `next_offset` or later arrives.
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

    /// Marks the current version as uncertain after a gap: the log no longer has the records
    /// between the last one read and `offset`.
    pub(crate) fn mark_gap(&mut self, offset: u64) {
        if self.certain_from.is_none_or(|from| from < offset) {
            self.mark_uncertain(offset);
        }
    }

    /// Applies an anchor: `accepted` was the current version up to the offset `through`.
    /// `next_offset` is the first offset that this reader has not read.
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

    /// Applies a record of the log that states that a version was accepted at some time. While the
    /// current version is certain, a version above it or another text of it is a conflict.
    pub(crate) fn apply_logged_proof(&mut self, accepted: Arc<AcceptedVersion>) -> Verdict {
        match self.certain_from {
            Some(_) => self.check_against_current(Some(&accepted)),
            None => self.apply_peer_proof(accepted),
        }
    }

    /// Applies a peer's statement that a version was accepted at some time. The peer may have read
    /// more of the log than this reader.
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

    /// Compares a statement about an offset that this reader has already judged with its own
    /// result.
    fn check_against_current(&self, accepted: Option<&AcceptedVersion>) -> Verdict {
        let held = version_of(&self.current);
        let version = accepted.map_or(0, |accepted| accepted.version);
        let text_differs = version == held && contradicts(self.current.as_deref(), accepted);
        if version > held || text_differs {
            return Verdict::Conflict { version, held };
        }
        Verdict::Known
    }

    /// Adopts the current version of a peer that has read more of the log.
    fn advance_to(
        &mut self,
        accepted: Option<Arc<AcceptedVersion>>,
        through: u64,
        next_offset: u64,
    ) -> Verdict {
        let (version, held) = (version_of(&accepted), version_of(&self.current));
        let text_differs =
            version == held && contradicts(self.current.as_deref(), accepted.as_deref());
        if version < held || text_differs {
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

    /// Adopts an anchor after a time of uncertainty and judges the publishes held back.
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
        // A held-back publish may name rules that this binary does not know; the current version is
        // then uncertain again.
        match self.certain_from.is_some() || version > before {
            true => Verdict::Learned { version },
            false => Verdict::Known,
        }
    }
}
