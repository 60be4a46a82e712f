//! How current this front's copy of a topic is.
//!
//! When a read returns proves little: the answer may have been on its way for a second, or for as
//! long as this process was suspended. What the copy is certain to contain are the records that the
//! store had accepted when the read was sent. A final answer that something does not exist
//! therefore waits for a read that is sent after the question.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::clock::now_ms;

/// Timeout of the read barrier, in milliseconds; an idle long poll in progress returns within it.
const BARRIER_TIMEOUT_MS: u64 = 700;
/// Shortest time between the starts of two reads for barriers, in milliseconds. Bounds the calls
/// that clients cause with requests for things that do not exist.
const BARRIER_INTERVAL_MS: u64 = 100;

/// A read of a topic that has been sent.
#[derive(Clone, Copy, Debug)]
pub struct SentRead {
    /// Counts the reads of the topic, from 1.
    number: u64,
    sent_ms: u64,
}

/// State of this front's copy of a topic, shared by the follower and the tasks that depend on it.
#[derive(Debug, Default)]
pub struct TopicCopy {
    /// Number of reads sent so far.
    sent: AtomicU64,
    /// When the last read was sent.
    sent_ms: AtomicU64,
    /// Number of the last read that reached the end of the topic; 0 if none did.
    current_read: AtomicU64,
    /// When that read was sent.
    current_as_of_ms: AtomicU64,
    /// When that read returned.
    current_ms: AtomicU64,
    /// Whether the last read failed.
    failing: AtomicBool,
    /// Barriers that wait for a read.
    waiting: AtomicU32,
    /// Wakes the follower for a barrier.
    wanted: Notify,
    /// Wakes the barriers after each read that ended or failed.
    read: Notify,
}

/// Result of a lookup in a copy.
pub enum Lookup<T> {
    Found(T),
    /// The topic did not contain it when the lookup began.
    Absent,
    /// The copy does not contain it, but may be out of date.
    Unknown,
}

/// Counts a barrier as waiting until dropped.
struct Waiting<'a>(&'a TopicCopy);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

impl TopicCopy {
    /// Counts a read that is sent now.
    pub fn begin_read(&self) -> SentRead {
        let sent_ms = now_ms();
        self.sent_ms.store(sent_ms, Ordering::Relaxed);
        let number = self.sent.fetch_add(1, Ordering::SeqCst) + 1;
        SentRead { number, sent_ms }
    }

    /// Records that a read reached the end of the topic and that its records are applied.
    pub fn record_current(&self, read: SentRead, now_ms: u64) {
        self.current_as_of_ms.store(read.sent_ms, Ordering::Release);
        self.current_ms.store(now_ms, Ordering::Relaxed);
        self.failing.store(false, Ordering::Relaxed);
        self.current_read.store(read.number, Ordering::SeqCst);
        self.read.notify_waiters();
    }

    /// Records that a read returned records and that the topic has more.
    pub fn record_progress(&self) {
        self.failing.store(false, Ordering::Relaxed);
    }

    /// Records that a read failed, or brought a record that this front cannot read.
    pub fn record_failure(&self) {
        self.failing.store(true, Ordering::Relaxed);
        self.read.notify_waiters();
    }

    /// Number of the last read that was sent.
    pub fn reads_sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }

    /// Number of the last read that reached the end of the topic; 0 if none did.
    pub fn current_read(&self) -> u64 {
        self.current_read.load(Ordering::SeqCst)
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failing.load(Ordering::Relaxed)
    }

    /// The copy has all records that the store had accepted at this time, in milliseconds of
    /// [`now_ms`]; 0 if it was never read to its end. Holds for what is taken from the copy
    /// afterwards, not for what was taken before.
    pub fn as_of_ms(&self) -> u64 {
        self.current_as_of_ms.load(Ordering::Acquire)
    }

    /// When the last read that reached the end returned, in milliseconds of [`now_ms`]; 0 if none
    /// did.
    pub fn current_ms(&self) -> u64 {
        self.current_ms.load(Ordering::Relaxed)
    }

    /// Time since the last read that reached the end returned, in milliseconds; `None` if none did.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        match self.current_ms() {
            0 => None,
            current_ms => Some(now_ms.saturating_sub(current_ms)),
        }
    }

    /// Looks something up in the copy. While it is not there, waits for a read that was sent after
    /// this call and reaches the end of the topic (a read barrier). Gives up at once while reads fail,
    /// since another front may still reach the store, and otherwise after a timeout.
    pub async fn look_up<T>(&self, lookup: impl Fn() -> Option<T>) -> Lookup<T> {
        if let Some(found) = lookup() {
            return Lookup::Found(found);
        }
        if self.is_failing() {
            return Lookup::Unknown;
        }
        let sent_before = self.sent.load(Ordering::SeqCst);
        let deadline = Instant::now() + Duration::from_millis(BARRIER_TIMEOUT_MS);
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let _waiting = Waiting(self);
        self.wanted.notify_waiters();
        loop {
            let read = self.read.notified();
            let is_current = self.current_read.load(Ordering::SeqCst) > sent_before;
            if let Some(found) = lookup() {
                return Lookup::Found(found);
            }
            if is_current {
                return Lookup::Absent;
            }
            if self.is_failing() || timeout_at(deadline, read).await.is_err() {
                return Lookup::Unknown;
            }
        }
    }

    /// Whether a barrier waits for a read.
    pub fn is_wanted(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) > 0
    }

    /// Completes when the next read for a barrier may be sent; never without a barrier.
    pub async fn wait_until_wanted(&self) {
        loop {
            let wanted = self.wanted.notified();
            if self.is_wanted() {
                break;
            }
            wanted.await;
        }
        let elapsed_ms = now_ms().saturating_sub(self.sent_ms.load(Ordering::Relaxed));
        let left_ms = BARRIER_INTERVAL_MS.saturating_sub(elapsed_ms);
        tokio::time::sleep(Duration::from_millis(left_ms)).await;
    }
}
