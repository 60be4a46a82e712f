//! Who needs the newest records at this moment.

use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::Urgency;

/// What a process does on the strength of the newest records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It runs items of steps.
    Items = 1,
    /// It gives orders to replicas.
    Orders = 2,
    /// It is the first to give orders when nobody does, and must notice that soon.
    Standby = 4,
}

/// Activities whose records are wanted as they are written.
const ACTING: u8 = Activity::Items as u8 | Activity::Orders as u8;

/// Demand of a process for the newest records, shared by its followers.
#[derive(Debug, Default)]
pub struct Demand {
    /// Bits of the activities.
    activities: AtomicU8,
    waiting: AtomicU32,
    raised: Notify,
}

impl Demand {
    /// Notes whether this process is engaged in an activity.
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

    /// Asks for one read at once: what the process is responsible for has changed.
    pub fn refresh(&self) {
        self.raised.notify_waiters();
    }

    /// Notes that a client waits for records until the guard is dropped.
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
        match (activities & ACTING != 0, activities != 0 || waiting) {
            (true, _) => Urgency::Acting,
            (false, true) => Urgency::Waiting,
            (false, false) => Urgency::Idle,
        }
    }

    /// Resolves when a read is needed sooner than before. Counts from this call on, polled or not.
    pub fn raised(&self) -> Notified<'_> {
        self.raised.notified()
    }
}

/// A client that waits for records.
#[derive(Debug)]
pub struct WaitGuard<'a>(&'a Demand);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
