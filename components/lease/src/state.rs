//! The lease as one process sees it.

use std::collections::VecDeque;

use crate::{LeaseRecord, LeaseSettings};

/// Sent records whose place in the log is not known yet, at most; older ones are forgotten,
/// which only makes this process believe less.
const SENT_MAX: usize = 16;

/// Former holders whose late renewals are told from those of another holder: records land
/// seconds late, and a change of holder takes more than one.
const SUPERSEDED_MAX: usize = 8;

/// Nothing was read yet that tells when orders were announced last.
const SINCE_START: Option<u64> = None;

#[derive(Clone, Debug)]
struct Held {
    fence: u64,
    /// Not known where this process began to read behind the take.
    holder: Option<String>,
    newest_offset: u64,
    read_ms: u64,
    released: bool,
    /// Announcements of other holders were read since the take.
    disputed: bool,
    /// Holders that lost the lease to this one in the log's order, newest first.
    superseded: VecDeque<u64>,
}

impl Held {
    fn unknown(fence: u64, offset: u64, now_ms: u64) -> Self {
        Self {
            fence,
            holder: None,
            newest_offset: offset,
            read_ms: now_ms,
            released: false,
            disputed: false,
            superseded: VecDeque::new(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    attempt: u64,
    sent_ms: u64,
    orders: bool,
}

/// The lease as one process sees it.
#[derive(Debug)]
pub struct Lease {
    me: String,
    settings: LeaseSettings,
    held: Option<Held>,
    /// When the newest announcement of another VM was read; none before the first.
    others_orders_ms: Option<u64>,
    /// When a holder beside the known one was heard last.
    other_ms: Option<u64>,
    /// This process's number of attempts; starts at a value that no earlier life used.
    attempts: u64,
    sent: VecDeque<Sent>,
    sent_last_ms: Option<u64>,
    orders_until_ms: u64,
    given_up: bool,
}

impl Lease {
    /// A view without knowledge. `first_attempt` must differ between lives of one VM.
    pub fn new(me: &str, first_attempt: u64, settings: LeaseSettings) -> Self {
        Self {
            me: me.to_owned(),
            settings,
            held: None,
            others_orders_ms: SINCE_START,
            other_ms: None,
            attempts: first_attempt,
            sent: VecDeque::new(),
            sent_last_ms: None,
            orders_until_ms: 0,
            given_up: false,
        }
    }

    /// Takes a record that stands at `offset` of the log, in the log's order.
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
        // A process that began to read in the middle can't judge its first take, and takes
        // it for good: to believe in a holder too many only makes it wait.
        if let Some(held) = &self.held
            && after != Some(held.newest_offset)
        {
            return;
        }
        let superseded = self.held.take().map_or_else(VecDeque::new, |held| {
            let mut superseded = held.superseded;
            superseded.push_front(held.fence);
            superseded.truncate(SUPERSEDED_MAX);
            superseded
        });
        self.held = Some(Held {
            holder: Some(holder.to_owned()),
            superseded,
            ..Held::unknown(offset + 1, offset, now_ms)
        });
        self.orders_until_ms = 0;
    }

    fn apply_renew(&mut self, offset: u64, fence: u64, attempt: u64, orders: bool, now_ms: u64) {
        let known = self
            .held
            .get_or_insert_with(|| Held::unknown(fence, offset, now_ms));
        if known.superseded.contains(&fence) {
            return;
        }
        if known.fence != fence {
            self.apply_other(offset, fence, now_ms);
        } else if !known.released {
            known.newest_offset = offset;
            known.read_ms = now_ms;
        }
        self.apply_announcement(fence, attempt, orders, now_ms);
    }

    /// Another holder than the known one lives: each has taken the lease without knowing of
    /// the other, as the log lost what would have told. The older one keeps it, or the one
    /// that is heard.
    fn apply_other(&mut self, offset: u64, fence: u64, now_ms: u64) {
        let Some(held) = &self.held else { return };
        self.other_ms = Some(now_ms);
        let silent = held.released || now_ms >= held.read_ms + self.settings.silent_ms;
        if fence < held.fence || silent {
            self.held = Some(Held::unknown(fence, offset, now_ms));
            self.orders_until_ms = 0;
        }
    }

    fn apply_announcement(&mut self, fence: u64, attempt: u64, orders: bool, now_ms: u64) {
        let Some(held) = &mut self.held else { return };
        if held.released && held.fence == fence {
            return;
        }
        let mine = held.fence == fence && held.holder.as_deref() == Some(self.me.as_str());
        if !mine {
            if orders {
                self.others_orders_ms = Some(now_ms);
                held.disputed = true;
            }
            return;
        }
        // An earlier life of this VM announced orders, so the pause behind every other VM's
        // announcement before the take was over by then. It tells nothing of those behind it.
        if orders && !held.disputed {
            self.others_orders_ms = Some(0);
        }
        self.confirm(attempt);
    }

    fn apply_release(&mut self, offset: u64, fence: u64, now_ms: u64) {
        let Some(held) = &mut self.held else {
            return;
        };
        if held.fence == fence && !held.released {
            held.released = true;
            held.newest_offset = offset;
            held.read_ms = now_ms;
            self.orders_until_ms = 0;
        }
    }

    /// This process's renewal was read back: it counts from its sending on.
    fn confirm(&mut self, attempt: u64) {
        let Some(at) = self.sent.iter().position(|sent| sent.attempt == attempt) else {
            return;
        };
        let sent = self.sent[at];
        self.sent.drain(..=at);
        // Another holder's announcement stands before this one: the pause behind it holds
        // whoever has the lease, so two holders that don't know of each other never order
        // in turns.
        let others_ms = self.others_orders_ms.unwrap_or(0);
        let in_pause = others_ms > 0 && sent.sent_ms < others_ms + self.settings.exclusive_ms;
        if sent.orders && !in_pause {
            let until_ms = sent.sent_ms + self.settings.order_ms;
            self.orders_until_ms = self.orders_until_ms.max(until_ms);
        }
    }

    /// Forgets what was read, as the log lost records that this process had not read.
    pub fn reset(&mut self) {
        self.held = None;
        self.other_ms = None;
        // What stood between an announcement and the gap is not known any more.
        self.sent.clear();
        self.orders_until_ms = 0;
        self.others_orders_ms = SINCE_START;
    }

    /// Whether this VM holds the lease.
    pub fn is_held_here(&self) -> bool {
        self.held.as_ref().is_some_and(|held| self.is_mine(held)) && !self.given_up
    }

    /// Who holds the lease, by the log alone: the VM, if its record is still there, and its
    /// fencing number. None once it was given up.
    pub fn holder(&self) -> Option<(Option<&str>, u64)> {
        let held = self.held.as_ref().filter(|held| !held.released)?;
        Some((held.holder.as_deref(), held.fence))
    }

    /// How long nothing of a holder was read, in milliseconds; since `started_ms` where nothing
    /// ever was.
    pub fn silent_for_ms(&self, started_ms: u64, now_ms: u64) -> u64 {
        let heard_ms = self.held.as_ref().map_or(started_ms, |held| held.read_ms);
        now_ms.saturating_sub(heard_ms)
    }

    /// The fencing number, while this process may give orders.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let held = self.held.as_ref()?;
        (self.is_held_here() && now_ms < self.orders_until_ms).then_some(held.fence)
    }

    /// The record to write now, if any. `read_since_ms` is the time from which on this
    /// process has read the log without a gap; it waits as if somebody had announced orders
    /// then. `wants_orders` asks for an announcement.
    pub fn next_record(
        &mut self,
        read_since_ms: u64,
        wants_orders: bool,
        now_ms: u64,
    ) -> Option<LeaseRecord> {
        if self.given_up {
            return None;
        }
        let held = self.held.clone();
        match &held {
            Some(held) if self.is_mine(held) => {
                self.renewal(held, read_since_ms, wants_orders, now_ms)
            }
            _ => self.acquire(held.as_ref(), now_ms),
        }
    }

    fn is_mine(&self, held: &Held) -> bool {
        held.holder.as_deref() == Some(self.me.as_str()) && !held.released
    }

    fn renewal(
        &mut self,
        held: &Held,
        read_since_ms: u64,
        wants_orders: bool,
        now_ms: u64,
    ) -> Option<LeaseRecord> {
        let orders = wants_orders && self.may_announce(read_since_ms, now_ms);
        let announced = self
            .sent
            .iter()
            .any(|sent| sent.orders && now_ms < sent.sent_ms + self.settings.resend_ms);
        // Half of the allowed time is left when the next announcement goes out, so that a
        // round of orders that takes longer is not interrupted.
        let fresh = now_ms + self.settings.order_ms / 2 < self.orders_until_ms;
        let due = self
            .sent_last_ms
            .is_none_or(|sent_ms| now_ms >= sent_ms + self.settings.renew_ms);
        let news = orders && !announced && !fresh;
        if !due && !news {
            return None;
        }
        let attempt = self.note_sent(orders, now_ms);
        Some(LeaseRecord::Renew {
            fence: held.fence,
            attempt,
            orders,
        })
    }

    /// Whether the pause behind another VM's orders is over.
    fn may_announce(&self, read_since_ms: u64, now_ms: u64) -> bool {
        let last_ms = self.others_orders_ms.unwrap_or(read_since_ms);
        now_ms >= last_ms + self.settings.exclusive_ms
    }

    fn acquire(&mut self, held: Option<&Held>, now_ms: u64) -> Option<LeaseRecord> {
        let resend_ms = self.settings.resend_ms;
        if self
            .sent_last_ms
            .is_some_and(|sent_ms| now_ms < sent_ms + resend_ms)
        {
            return None;
        }
        let free_ms = match held {
            Some(held) if !held.released => held.read_ms + self.settings.silent_ms,
            Some(_) | None => 0,
        };
        // While another holder is heard, its next renewal makes it the known one.
        let other_free_ms = self
            .other_ms
            .map_or(0, |other_ms| other_ms + self.settings.silent_ms);
        if now_ms < free_ms.max(other_free_ms) {
            return None;
        }
        let after = held.map(|held| held.newest_offset);
        let attempt = self.note_sent(false, now_ms);
        Some(LeaseRecord::Acquire {
            holder: self.me.clone(),
            attempt,
            after,
        })
    }

    fn note_sent(&mut self, orders: bool, now_ms: u64) -> u64 {
        self.attempts += 1;
        self.sent_last_ms = Some(now_ms);
        self.sent.push_back(Sent {
            attempt: self.attempts,
            sent_ms: now_ms,
            orders,
        });
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.attempts
    }

    /// Gives the lease up for good; the record says so to the others.
    pub fn release(&mut self) -> Option<LeaseRecord> {
        let fence = self.held.as_ref().map(|held| held.fence);
        let mine = self.is_held_here();
        self.given_up = true;
        fence
            .filter(|_| mine)
            .map(|fence| LeaseRecord::Release { fence })
    }
}
