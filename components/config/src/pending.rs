//! Publishes of one customer that a reader holds back until it knows which version was current
//! before them.

use std::collections::VecDeque;

use crate::Publish;

/// Maximum size of the publishes held back for one customer, in bytes.
pub(crate) const PENDING_BYTES_MAX: usize = 1024 * 1024;

/// Fixed cost of a publish in addition to its strings, so that the number of publishes with empty
/// texts is bounded too.
const PUBLISH_BYTES: usize = 256;

/// Held-back publishes with their offsets, in the order of the log.
#[derive(Clone, Debug)]
pub(crate) struct PendingPublishes {
    publishes: VecDeque<(u64, Publish)>,
    complete_from: u64,
}

impl PendingPublishes {
    pub(crate) fn new(complete_from: u64) -> Self {
        Self {
            publishes: VecDeque::new(),
            complete_from,
        }
    }

    /// First offset from which on no publish was missed or dropped.
    pub(crate) fn complete_from(&self) -> u64 {
        self.complete_from
    }

    pub(crate) fn text_bytes(&self) -> usize {
        self.publishes
            .iter()
            .map(|(_, publish)| publish.text.len())
            .sum()
    }

    /// Adds a publish. If there is not enough room, the oldest publishes are dropped; their effect
    /// can then only be learned from an anchor after them.
    pub(crate) fn push(&mut self, offset: u64, publish: &Publish, available_bytes: usize) {
        let own_available_bytes = PENDING_BYTES_MAX.saturating_sub(self.text_bytes());
        let mut available_bytes = available_bytes.min(own_available_bytes);
        while available_bytes < cost_bytes(publish) {
            let Some((dropped_offset, dropped)) = self.publishes.pop_front() else {
                self.complete_from = offset + 1;
                return;
            };
            available_bytes += cost_bytes(&dropped);
            self.complete_from = dropped_offset + 1;
        }
        self.publishes.push_back((offset, publish.clone()));
    }

    pub(crate) fn take_all(&mut self) -> VecDeque<(u64, Publish)> {
        std::mem::take(&mut self.publishes)
    }

    /// Drops all publishes; collection starts again at `offset`.
    pub(crate) fn clear(&mut self, offset: u64) {
        self.publishes.clear();
        self.complete_from = offset;
    }
}

fn cost_bytes(publish: &Publish) -> usize {
    let base_id_bytes = publish.base_id.as_ref().map_or(0, String::len);
    PUBLISH_BYTES + publish.text.len() + publish.id.len() + base_id_bytes
}
