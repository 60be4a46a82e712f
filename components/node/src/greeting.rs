//! A new agent greets the entries, so that they need not read of it in the VM list first.

use std::collections::VecDeque;
use std::net::SocketAddr;

use membership::ListedVm;
use protocol::ProcessRole;

/// Time between two greetings: 390 entries hear of a new agent within 8 s, at a few KB/s.
const PAUSE_MS: u64 = 20;

/// Entries that are still to be greeted.
#[derive(Default)]
pub(crate) struct Greeting {
    /// `None` until the list was read once.
    left: Option<VecDeque<SocketAddr>>,
    next_ms: u64,
}

impl Greeting {
    /// Takes the list in; only the first one counts, for later entries probe this process.
    pub(crate) fn on_list(&mut self, listed: &[ListedVm]) {
        if self.left.is_none() {
            let entries = listed.iter().filter(|vm| vm.role == ProcessRole::Entry);
            self.left = Some(entries.map(|vm| vm.address).collect());
        }
    }

    /// Whom to greet now.
    pub(crate) fn due(&mut self, now_ms: u64) -> Option<SocketAddr> {
        if now_ms < self.next_ms {
            return None;
        }
        let entry = self.left.as_mut()?.pop_front()?;
        self.next_ms = now_ms + PAUSE_MS;
        Some(entry)
    }

    /// When the next greeting is due, if any is left.
    pub(crate) fn next_ms(&self) -> Option<u64> {
        let left = self.left.as_ref()?;
        (!left.is_empty()).then_some(self.next_ms)
    }
}
