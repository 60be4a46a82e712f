//! A new agent announces itself to the entries, so that they can use it before they read it in
//! the VM list.

use std::collections::VecDeque;
use std::net::SocketAddr;

use membership::ListedVm;
use protocol::ProcessRole;

/// Time between two announcements: 390 entries are reached within 8 s, with a few KB/s.
const INTERVAL_MS: u64 = 20;

/// Entries that have not received the announcement yet.
#[derive(Default)]
pub(crate) struct StartAnnouncement {
    /// `None` until the VM list was read.
    remaining: Option<VecDeque<SocketAddr>>,
    next_ms: u64,
}

impl StartAnnouncement {
    /// Processes a VM list. Only the first list is used: entries that start later probe this
    /// process themselves.
    pub(crate) fn on_list(&mut self, listed: &[ListedVm]) {
        if self.remaining.is_none() {
            let entries = listed.iter().filter(|vm| vm.role == ProcessRole::Entry);
            self.remaining = Some(entries.map(|vm| vm.address).collect());
        }
    }

    /// The entry to which an announcement is due now, if any.
    pub(crate) fn next_recipient(&mut self, now_ms: u64) -> Option<SocketAddr> {
        if now_ms < self.next_ms {
            return None;
        }
        let entry = self.remaining.as_mut()?.pop_front()?;
        self.next_ms = now_ms + INTERVAL_MS;
        Some(entry)
    }

    /// When the next announcement is due; `None` if no entry remains.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        let remaining = self.remaining.as_ref()?;
        (!remaining.is_empty()).then_some(self.next_ms)
    }
}
