//! The state of the lease as one process derives it from the log.

use std::collections::VecDeque;

use crate::{LeaseRecord, LeaseSettings};

/// Upper bound on sent records that this process has not read back yet. Older ones are dropped; an
/// announcement that is dropped permits no orders, which is safe.
const SENT_MAX: usize = 16;

/// Upper bound on remembered former holders. Their late renewals must not be taken for those of an
/// unknown holder: records arrive seconds late, and a change of holder takes more than a second.
const SUPERSEDED_MAX: usize = 8;

/// No record was read yet that shows when orders were last announced.
const NONE_READ: Option<u64> = None;

#[derive(Clone, Debug)]
struct KnownHolder {
    fence: u64,
    /// `None` if this process began to read the log after the acquisition.
    vm: Option<String>,
    /// Offset of the newest record of this holder; an acquisition must refer to it.
    newest_offset: u64,
    /// When the newest record of this holder was read.
    read_ms: u64,
    released: bool,
    /// Whether announcements of other holders were read since the acquisition.
    disputed: bool,
    /// Fencing tokens of holders that lost the lease to this one in the log's order, newest first.
    superseded: VecDeque<u64>,
}

impl KnownHolder {
    fn unknown(fence: u64, offset: u64, now_ms: u64) -> Self {
        Self {
            fence,
            vm: None,
            newest_offset: offset,
            read_ms: now_ms,
            released: false,
            disputed: false,
            superseded: VecDeque::new(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SentRecord {
    attempt: u64,
    sent_ms: u64,
    orders: bool,
}

/// The state of the lease as one process derives it from the log.
#[derive(Debug)]
pub struct Lease {
    own_vm: String,
    settings: LeaseSettings,
    known: Option<KnownHolder>,
    /// When the newest announcement of another holder was read; `None` if none was read, 0 if the
    /// pause after it is known to be over.
    others_announced_ms: Option<u64>,
    /// When a renewal of a holder other than the known one was last read.
    other_holder_read_ms: Option<u64>,
    /// Number of the newest attempt; starts at a value that no earlier incarnation of this VM used.
    last_attempt: u64,
    sent: VecDeque<SentRecord>,
    last_sent_ms: Option<u64>,
    orders_until_ms: u64,
    /// Set by [`Lease::release`]; no record is written from then on.
    resigned: bool,
    /// Fence of the lease that this process has released last.
    released_fence: Option<u64>,
}

impl Lease {
    /// Creates the state before any record is read. The attempt numbers that start at
    /// `first_attempt` must not overlap with those of an earlier incarnation of the VM.
    pub fn new(own_vm: &str, first_attempt: u64, settings: LeaseSettings) -> Self {
        Self {
            own_vm: own_vm.to_owned(),
            settings,
            known: None,
            others_announced_ms: NONE_READ,
            other_holder_read_ms: None,
            last_attempt: first_attempt,
            sent: VecDeque::new(),
            last_sent_ms: None,
            orders_until_ms: 0,
            resigned: false,
            released_fence: None,
        }
    }

    /// Applies the record at `offset`. Records must be applied in the order of the log.
    pub fn apply(&mut self, offset: u64, record: &LeaseRecord, now_ms: u64) {
        match record {
            LeaseRecord::Acquire { holder, after, .. } => {
                self.apply_acquire(offset, holder, *after, now_ms);
            }
            LeaseRecord::Renew {
                fence,
                attempt,
                orders,
            } => {
                self.apply_renew(offset, *fence, *attempt, *orders, now_ms);
            }
            LeaseRecord::Release { fence } => self.apply_release(offset, *fence, now_ms),
        }
    }

    fn apply_acquire(&mut self, offset: u64, holder: &str, after: Option<u64>, now_ms: u64) {
        // A process that began to read in the middle of the log can't verify the first acquisition
        // and accepts it. A wrongly accepted holder only makes this process wait.
        if let Some(known) = &self.known
            && after != Some(known.newest_offset)
        {
            return;
        }
        let superseded = self.known.take().map_or_else(VecDeque::new, |known| {
            let mut superseded = known.superseded;
            superseded.push_front(known.fence);
            superseded.truncate(SUPERSEDED_MAX);
            superseded
        });
        self.known = Some(KnownHolder {
            vm: Some(holder.to_owned()),
            superseded,
            ..KnownHolder::unknown(offset + 1, offset, now_ms)
        });
        self.orders_until_ms = 0;
    }

    fn apply_renew(&mut self, offset: u64, fence: u64, attempt: u64, orders: bool, now_ms: u64) {
        let known = self
            .known
            .get_or_insert_with(|| KnownHolder::unknown(fence, offset, now_ms));
        if known.superseded.contains(&fence) {
            return;
        }
        if known.fence != fence {
            self.apply_other_holder(offset, fence, now_ms);
        } else if !known.released {
            known.newest_offset = offset;
            known.read_ms = now_ms;
        }
        self.apply_announcement(fence, attempt, orders, now_ms);
    }

    /// Applies a renewal of a holder other than the known one. Both acquired the lease because the
    /// log lost the records that would have shown one to the other. The older holder keeps the
    /// lease, unless the known one released it or is silent.
    fn apply_other_holder(&mut self, offset: u64, fence: u64, now_ms: u64) {
        let Some(known) = &self.known else { return };
        self.other_holder_read_ms = Some(now_ms);
        let silent = known.released || now_ms >= known.read_ms + self.settings.silent_ms;
        if fence < known.fence || silent {
            self.known = Some(KnownHolder::unknown(fence, offset, now_ms));
            self.orders_until_ms = 0;
        }
    }

    fn apply_announcement(&mut self, fence: u64, attempt: u64, orders: bool, now_ms: u64) {
        let Some(known) = &mut self.known else { return };
        if known.released && known.fence == fence {
            return;
        }
        let is_own = known.fence == fence && known.vm.as_deref() == Some(self.own_vm.as_str());
        if !is_own {
            if orders {
                self.others_announced_ms = Some(now_ms);
                known.disputed = true;
            }
            return;
        }
        // This VM, perhaps in an earlier incarnation, announced orders under this fencing token.
        // So the pause after each announcement before the acquisition was over by then. That does
        // not follow for announcements of other holders that came after the acquisition.
        if orders && !known.disputed {
            self.others_announced_ms = Some(0);
        }
        self.confirm(attempt);
    }

    fn apply_release(&mut self, offset: u64, fence: u64, now_ms: u64) {
        let Some(known) = &mut self.known else {
            return;
        };
        if known.fence == fence && !known.released {
            known.released = true;
            known.newest_offset = offset;
            known.read_ms = now_ms;
            self.orders_until_ms = 0;
        }
    }

    /// Handles an own renewal that was read back from the log. An announcement permits orders from
    /// the moment at which it was sent.
    fn confirm(&mut self, attempt: u64) {
        let Some(at) = self.sent.iter().position(|sent| sent.attempt == attempt) else {
            return;
        };
        let sent = self.sent[at];
        self.sent.drain(..=at);
        // The pause after another holder's announcement applies no matter who holds the lease.
        // Two holders that don't know of each other can therefore not alternate.
        let others_announced_ms = self.others_announced_ms.unwrap_or(0);
        let in_pause = others_announced_ms > 0
            && sent.sent_ms < others_announced_ms + self.settings.exclusive_ms;
        if sent.orders && !in_pause {
            let until_ms = sent.sent_ms + self.settings.order_ms;
            self.orders_until_ms = self.orders_until_ms.max(until_ms);
        }
    }

    /// Discards the derived state, because the log lost records that this process had not read.
    pub fn reset(&mut self) {
        self.known = None;
        self.other_holder_read_ms = None;
        // Another holder's announcement may stand in the gap, before an announcement of this
        // process that has not come back yet.
        self.sent.clear();
        self.orders_until_ms = 0;
        self.others_announced_ms = NONE_READ;
    }

    /// Whether this VM holds the lease.
    pub fn is_held_here(&self) -> bool {
        self.known.as_ref().is_some_and(|known| self.is_own(known)) && !self.resigned
    }

    /// The VM and the fencing token of the holder according to the log, without regard to
    /// timeouts. The VM is `None` if its acquisition is no longer in the log. The result is `None`
    /// once the lease was released.
    pub fn holder(&self) -> Option<(Option<&str>, u64)> {
        let known = self.known.as_ref().filter(|known| !known.released)?;
        Some((known.vm.as_deref(), known.fence))
    }

    /// Time since a record of the holder was last read, in milliseconds; counted from `started_ms`
    /// if none was read.
    pub fn silent_for_ms(&self, started_ms: u64, now_ms: u64) -> u64 {
        let last_read_ms = self
            .known
            .as_ref()
            .map_or(started_ms, |known| known.read_ms);
        now_ms.saturating_sub(last_read_ms)
    }

    /// The fencing token while this process may give orders, else `None`.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let known = self.known.as_ref()?;
        (self.is_held_here() && now_ms < self.orders_until_ms).then_some(known.fence)
    }

    /// The record to write now, if any. `read_since_ms` is the time since which this process has
    /// read the log without a gap. If it has read no announcement, it waits as if another holder
    /// had announced orders at that time. `wants_orders` requests an announcement.
    pub fn next_record(
        &mut self,
        read_since_ms: u64,
        wants_orders: bool,
        now_ms: u64,
    ) -> Option<LeaseRecord> {
        if self.resigned {
            return None;
        }
        let known = self.known.clone();
        match &known {
            Some(known) if self.is_own(known) => {
                self.renewal(known, read_since_ms, wants_orders, now_ms)
            }
            _ => self.acquire(known.as_ref(), now_ms),
        }
    }

    fn is_own(&self, known: &KnownHolder) -> bool {
        known.vm.as_deref() == Some(self.own_vm.as_str()) && !known.released
    }

    fn renewal(
        &mut self,
        known: &KnownHolder,
        read_since_ms: u64,
        wants_orders: bool,
        now_ms: u64,
    ) -> Option<LeaseRecord> {
        let orders = wants_orders && self.may_announce(read_since_ms, now_ms);
        let is_announcing = self
            .sent
            .iter()
            .any(|sent| sent.orders && now_ms < sent.sent_ms + self.settings.resend_ms);
        // The next announcement is sent while half of the permitted time is left, so that a long
        // round of orders is not interrupted.
        let is_extended = now_ms + self.settings.order_ms / 2 < self.orders_until_ms;
        let is_due = self
            .last_sent_ms
            .is_none_or(|sent_ms| now_ms >= sent_ms + self.settings.renew_ms);
        let must_announce = orders && !is_announcing && !is_extended;
        if !is_due && !must_announce {
            return None;
        }
        let attempt = self.note_sent(orders, now_ms);
        Some(LeaseRecord::Renew {
            fence: known.fence,
            attempt,
            orders,
        })
    }

    /// Whether the pause after the orders of another holder is over.
    fn may_announce(&self, read_since_ms: u64, now_ms: u64) -> bool {
        let last_ms = self.others_announced_ms.unwrap_or(read_since_ms);
        now_ms >= last_ms + self.settings.exclusive_ms
    }

    fn acquire(&mut self, known: Option<&KnownHolder>, now_ms: u64) -> Option<LeaseRecord> {
        let resend_ms = self.settings.resend_ms;
        if self
            .last_sent_ms
            .is_some_and(|sent_ms| now_ms < sent_ms + resend_ms)
        {
            return None;
        }
        let free_ms = match known {
            Some(known) if !known.released => known.read_ms + self.settings.silent_ms,
            Some(_) | None => 0,
        };
        // As long as a holder other than the known one renews, this process must not acquire the
        // lease: the next renewal of that holder makes it the known one.
        let other_free_ms = self
            .other_holder_read_ms
            .map_or(0, |read_ms| read_ms + self.settings.silent_ms);
        if now_ms < free_ms.max(other_free_ms) {
            return None;
        }
        let after = known.map(|known| known.newest_offset);
        let attempt = self.note_sent(false, now_ms);
        Some(LeaseRecord::Acquire {
            holder: self.own_vm.clone(),
            attempt,
            after,
        })
    }

    fn note_sent(&mut self, orders: bool, now_ms: u64) -> u64 {
        self.last_attempt += 1;
        self.last_sent_ms = Some(now_ms);
        self.sent.push_back(SentRecord {
            attempt: self.last_attempt,
            sent_ms: now_ms,
            orders,
        });
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.last_attempt
    }

    /// Stops this process from acquiring or renewing the lease for good. The returned record, if
    /// any, releases the lease in the log. To be called again after records were applied: an
    /// acquisition that was sent before may only now stand in the log.
    pub fn release(&mut self) -> Option<LeaseRecord> {
        self.resigned = true;
        let known = self.known.as_ref().filter(|known| self.is_own(known))?;
        let fence = known.fence;
        if self.released_fence.replace(fence) == Some(fence) {
            return None;
        }
        Some(LeaseRecord::Release { fence })
    }
}
