//! The most recent verdicts on a customer's publishes, kept for operators' queries. They never
//! influence later verdicts, because readers that start at different offsets remember different
//! ones.

use std::collections::VecDeque;

use crate::accepted::source_digest;
use crate::{Publish, Verdict};

/// Maximum number of verdicts kept per customer.
const VERDICTS_MAX: usize = 32;

#[derive(Clone, Debug)]
struct Entry {
    id: String,
    base: u64,
    digest: u64,
    verdict: Verdict,
}

/// The most recent verdicts, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentVerdicts {
    entries: VecDeque<Entry>,
}

impl RecentVerdicts {
    /// The verdict on the newest publish with this id.
    pub(crate) fn verdict(&self, id: &str) -> Option<&Verdict> {
        let newest_first = self.entries.iter().rev();
        let mut with_id = newest_first.filter(|entry| entry.id == id);
        with_id.next().map(|entry| &entry.verdict)
    }

    /// The verdict on an earlier copy of this publish: same id, base and text.
    pub(crate) fn verdict_on_copy(&self, publish: &Publish) -> Option<&Verdict> {
        let digest = source_digest(&publish.text);
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.is_copy(publish, digest));
        entry.map(|entry| &entry.verdict)
    }

    pub(crate) fn record(&mut self, publish: &Publish, verdict: &Verdict) {
        let digest = source_digest(&publish.text);
        self.entries.retain(|entry| !entry.is_copy(publish, digest));
        self.entries.push_back(Entry {
            id: publish.id.clone(),
            base: publish.base,
            digest,
            verdict: verdict.clone(),
        });
        if self.entries.len() > VERDICTS_MAX {
            self.entries.pop_front();
        }
    }
}

impl Entry {
    fn is_copy(&self, publish: &Publish, digest: u64) -> bool {
        self.id == publish.id && self.base == publish.base && self.digest == digest
    }
}
