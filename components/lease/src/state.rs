//! The lease as one process sees it.

use std::collections::VecDeque;

use crate::{LeaseRecord, LeaseSettings};

/// Sent records whose place in the log is not known yet, at most; older ones are forgotten,
/// which only makes this process believe less.
const SENT_MAX: usize = 16;

#[derive(Clone, Debug)]
struct Held {
    fence: u64,
    /// Not known where this process began to read behind the take.
    holder: Option<String>,
    newest_offset: u64,
    read_ms: u64,
    released: bool,
}

/// The lease as one process sees it.
#[derive(Debug)]
pub struct Lease {
    me: String,
    settings: LeaseSettings,
    held: Option<Held>,
    /// This process's number of attempts; starts at a value that no earlier life used.
    attempts: u64,
    sent: VecDeque<(u64, u64)>,
    sent_last_ms: Option<u64>,
    holds_until_ms: u64,
    given_up: bool,
}

impl Lease {
    /// A view without knowledge. `first_attempt` must differ between lives of one VM.
    pub fn new(me: &str, first_attempt: u64, settings: LeaseSettings) -> Self {
        Self {
            me: me.to_owned(),
            settings,
            held: None,
            attempts: first_attempt,
            sent: VecDeque::new(),
            sent_last_ms: None,
            holds_until_ms: 0,
            given_up: false,
        }
    }

    /// Takes a record that stands at `offset` of the log, in the log's order.
    pub fn apply(&mut self, offset: u64, record: &LeaseRecord, now_ms: u64) {
        match record {
            LeaseRecord::Take {
                holder,
                attempt,
                after,
            } => {
                self.apply_take(offset, holder, *attempt, *after, now_ms);
            }
            LeaseRecord::Renew { fence, attempt } => {
                self.apply_renew(offset, *fence, *attempt, now_ms);
            }
            LeaseRecord::Release { fence } => self.apply_release(offset, *fence, now_ms),
        }
    }

    fn apply_take(
        &mut self,
        offset: u64,
        holder: &str,
        attempt: u64,
        after: Option<u64>,
        now_ms: u64,
    ) {
        // A process that began to read in the middle can't judge its first take, and takes
        // it for good: to believe in a holder too many only makes it wait.
        if let Some(held) = &self.held
            && after != Some(held.newest_offset)
        {
            return;
        }
        self.held = Some(Held {
            fence: offset + 1,
            holder: Some(holder.to_owned()),
            newest_offset: offset,
            read_ms: now_ms,
            released: false,
        });
        self.holds_until_ms = 0;
        if holder == self.me {
            self.confirm(attempt);
        }
    }

    fn apply_renew(&mut self, offset: u64, fence: u64, attempt: u64, now_ms: u64) {
        let known = self.held.get_or_insert(Held {
            fence,
            holder: None,
            newest_offset: offset,
            read_ms: now_ms,
            released: false,
        });
        if known.fence != fence || known.released {
            return;
        }
        known.newest_offset = offset;
        known.read_ms = now_ms;
        if known.holder.as_deref() == Some(self.me.as_str()) {
            self.confirm(attempt);
        }
    }

    fn apply_release(&mut self, offset: u64, fence: u64, now_ms: u64) {
        let Some(held) = &mut self.held else {
            return;
        };
        if held.fence == fence && !held.released {
            held.released = true;
            held.newest_offset = offset;
            held.read_ms = now_ms;
            self.holds_until_ms = 0;
        }
    }

    /// The record of this attempt was read back: it holds from its sending on.
    fn confirm(&mut self, attempt: u64) {
        let Some(at) = self.sent.iter().position(|(sent, _)| *sent == attempt) else {
            return;
        };
        let (_, sent_ms) = self.sent[at];
        self.sent.drain(..=at);
        let until_ms = sent_ms + self.settings.hold_ms;
        self.holds_until_ms = self.holds_until_ms.max(until_ms);
    }

    /// Forgets what was read, as the log lost records that this process had not read.
    pub fn forget(&mut self) {
        self.held = None;
        self.holds_until_ms = 0;
    }

    /// The fencing number, while this process may give orders.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let held = self.held.as_ref()?;
        let mine = held.holder.as_deref() == Some(self.me.as_str()) && !held.released;
        (mine && !self.given_up && now_ms < self.holds_until_ms).then_some(held.fence)
    }

    /// Who holds the lease as far as is known, and since when nothing was read of it.
    pub fn holder(&self) -> Option<(&str, u64)> {
        let held = self.held.as_ref().filter(|held| !held.released)?;
        Some((held.holder.as_deref()?, held.read_ms))
    }

    /// The record to write now, if any. `read_since_ms` is the time from which on this
    /// process has read the log without a gap; it waits as if somebody had renewed then.
    pub fn next_record(&mut self, read_since_ms: u64, now_ms: u64) -> Option<LeaseRecord> {
        if self.given_up {
            return None;
        }
        let resend_ms = self.settings.resend_ms;
        if self
            .sent_last_ms
            .is_some_and(|sent_ms| now_ms < sent_ms + resend_ms)
        {
            return None;
        }
        let held = self.held.clone();
        let record = match &held {
            Some(held) if self.is_mine(held) && now_ms < self.holds_until_ms => {
                self.renewal(held, now_ms)?
            }
            _ => self.take(held.as_ref(), read_since_ms, now_ms)?,
        };
        self.sent_last_ms = Some(now_ms);
        Some(record)
    }

    fn is_mine(&self, held: &Held) -> bool {
        held.holder.as_deref() == Some(self.me.as_str()) && !held.released
    }

    fn renewal(&mut self, held: &Held, now_ms: u64) -> Option<LeaseRecord> {
        let renewed_ms = self.holds_until_ms - self.settings.hold_ms;
        if now_ms < renewed_ms + self.settings.renew_ms {
            return None;
        }
        Some(LeaseRecord::Renew {
            fence: held.fence,
            attempt: self.note_sent(now_ms),
        })
    }

    fn take(
        &mut self,
        held: Option<&Held>,
        read_since_ms: u64,
        now_ms: u64,
    ) -> Option<LeaseRecord> {
        let free_ms = match held {
            // A restart of the VM that held it: the same holder gives orders on.
            Some(held) if self.is_mine(held) => 0,
            Some(held) if held.released => held.read_ms + self.settings.handover_ms,
            Some(held) => held.read_ms + self.settings.free_ms,
            None => read_since_ms,
        };
        if now_ms < free_ms {
            return None;
        }
        let after = held.map(|held| held.newest_offset);
        let attempt = self.note_sent(now_ms);
        Some(LeaseRecord::Take {
            holder: self.me.clone(),
            attempt,
            after,
        })
    }

    fn note_sent(&mut self, now_ms: u64) -> u64 {
        self.attempts += 1;
        self.sent.push_back((self.attempts, now_ms));
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.attempts
    }

    /// Gives the lease up for good; the record says so to the others.
    pub fn give_up(&mut self, now_ms: u64) -> Option<LeaseRecord> {
        let fence = self.fence(now_ms);
        self.given_up = true;
        fence.map(|fence| LeaseRecord::Release { fence })
    }
}
