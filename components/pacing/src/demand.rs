//! Tracks how urgently a process needs the newest records.

use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::Urgency;

/// An activity of the process that depends on the newest records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// The process runs items of training steps.
    Items = 1,
    /// The process gives orders to replicas.
    Orders = 2,
    /// The process is the first to take over giving orders, and must notice soon that no other
    /// process does.
    LeaseSuccessor = 4,
}

/// Activities for which records are read as soon as they are written.
const ACTING_MASK: u8 = Activity::Items as u8 | Activity::Orders as u8;

/// Demand of a process for the newest records, shared by all tasks that follow a topic.
#[derive(Debug, Default)]
pub struct Demand {
    /// One bit for each [`Activity`].
    activities: AtomicU8,
    waiting: AtomicU32,
    raised: Notify,
}

impl Demand {
    /// Sets whether this process is engaged in an activity.
    pub fn set_active(&self, activity: Activity, active: bool) {
        let bit = activity as u8;
        let before = match active {
            true => self.activities.fetch_or(bit, Ordering::Relaxed),
            false => self.activities.fetch_and(!bit, Ordering::Relaxed),
        };
        if active && before & bit == 0 {
            self.raised.notify_waiters();
        }
    }

    /// Requests one read at once, for example because the process was assigned other partitions.
    pub fn refresh(&self) {
        self.raised.notify_waiters();
    }

    /// Registers a client that waits for records until the guard is dropped.
    pub fn begin_wait(&self) -> WaitGuard<'_> {
        if self.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.raised.notify_waiters();
        }
        WaitGuard(self)
    }

    /// How soon the next read is needed.
    pub fn urgency(&self) -> Urgency {
        let activities = self.activities.load(Ordering::Relaxed);
        let waiting = self.waiting.load(Ordering::Relaxed) > 0;
        match (activities & ACTING_MASK != 0, activities != 0 || waiting) {
            (true, _) => Urgency::Acting,
            (false, true) => Urgency::Waiting,
            (false, false) => Urgency::Idle,
        }
    }

    /// Resolves when a read is needed sooner than before. The future observes changes from this
    /// call on, even if it has not been polled yet.
    pub fn raised(&self) -> Notified<'_> {
        self.raised.notified()
    }
}

/// Counts a client as waiting for records until dropped.
#[derive(Debug)]
pub struct WaitGuard<'a>(&'a Demand);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
