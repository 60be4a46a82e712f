//! Admission to one service from several threads.
//!
//! In-progress and waiting counts stand in one atomic number. While nobody waits and
//! there is room, admission is one compare-and-swap. Else the request goes through a
//! bounded channel to the queue's task and waits for a oneshot; only that task admits
//! while somebody waits, so nobody overtakes the queue. A [`Permit`] gives its slot back
//! when it is dropped and wakes the task if somebody waits.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use derive::value;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, mpsc, oneshot};
use types::{Cause, Class, CustomerName, Failure};

use crate::admission::{Arrival, Capacity};
use crate::queue_task::{self, QueueEvent};
use crate::retry_after::retry_after_ms;
use crate::settings::AdmissionSettings;
use crate::ticket::Ticket;

/// Arrivals on their way to the queue's task.
const CHANNEL_MAX: usize = 1_024;
/// Weight of the newest hold time in its mean.
const HOLD_SAMPLES: u32 = 16;

/// Tells the time of the process's monotonic clock, in milliseconds.
pub type Clock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// A request that asks for a slot.
#[value]
pub struct Request {
    /// Who pays for it.
    pub customer: CustomerName,
    /// The customer's share in the fair queue.
    pub weight: u32,
    /// Its class.
    pub class: Class,
    /// Its size in the fair queue: tokens for a model, 1 for a plain service.
    pub cost: u32,
    /// When its caller gives up, in milliseconds.
    pub deadline_ms: u64,
}

/// Slots of one service on this entry; a cheap clone.
#[derive(Clone)]
pub struct Gate {
    pub(crate) shared: Arc<Shared>,
}

pub(crate) struct Shared {
    /// Requests in progress in the upper half, waiting ones in the lower.
    counts: AtomicU64,
    limit: AtomicU32,
    hold_ms: AtomicU32,
    next_ticket: AtomicU64,
    pub(crate) settings: AdmissionSettings,
    pub(crate) clock: Clock,
    pub(crate) freed: Notify,
    events: mpsc::Sender<QueueEvent>,
}

const IN_PROGRESS: u64 = 1 << 32;
const WAITING: u64 = 1;

fn in_progress(counts: u64) -> u32 {
    (counts >> 32) as u32
}

fn waiting(counts: u64) -> u32 {
    counts as u32
}

impl Gate {
    /// A gate with `limit` slots, and its queue's task: spawn it, or nobody who has to
    /// wait is ever admitted. The task ends when the gate and all permits are gone.
    pub fn new(
        settings: AdmissionSettings,
        limit: u32,
        clock: Clock,
    ) -> (Gate, impl Future<Output = ()> + Send + 'static) {
        let (events, arrivals) = mpsc::channel(CHANNEL_MAX);
        let shared = Arc::new(Shared {
            counts: AtomicU64::new(0),
            limit: AtomicU32::new(limit),
            hold_ms: AtomicU32::new(settings.initial_hold_ms),
            next_ticket: AtomicU64::new(0),
            settings,
            clock,
            freed: Notify::new(),
            events,
        });
        let task = queue_task::run(Arc::downgrade(&shared), arrivals);
        (Gate { shared }, task)
    }

    /// Changes the number of slots; requests in progress above it run on.
    pub fn set_limit(&self, limit: u32) {
        self.shared.limit.store(limit, Ordering::Relaxed);
        self.shared.freed.notify_one();
    }

    /// Slots taken and slots in all.
    pub fn capacity(&self) -> Capacity {
        self.shared.capacity()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> u32 {
        waiting(self.shared.counts.load(Ordering::Acquire))
    }

    /// Waits for a slot, or is refused. To drop the future gives the place up.
    pub async fn admit(&self, request: Request, random: u64) -> Result<Permit, Failure> {
        let now_ms = (self.shared.clock)();
        if request.deadline_ms <= now_ms {
            return Err(Failure::not_run(Cause::DeadlinePassed));
        }
        if self.shared.take_slot_or_wait(request.class) {
            return Ok(Permit::new(&self.shared, now_ms));
        }
        self.wait(request, random).await
    }

    async fn wait(&self, request: Request, random: u64) -> Result<Permit, Failure> {
        let ticket = Ticket(self.shared.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (answer, answered) = oneshot::channel();
        let arrival = Arrival {
            ticket,
            customer: request.customer,
            weight: request.weight,
            class: request.class,
            cost: request.cost,
            deadline_ms: request.deadline_ms,
        };
        let sent = self.shared.events.try_send(QueueEvent::Arrived {
            arrival,
            random,
            answer,
        });
        match sent {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                self.shared.remove_waiting();
                let hold_ms = u64::from(self.capacity().hold_ms);
                let back_ms = retry_after_ms(hold_ms, random);
                return Err(Failure::not_run(Cause::QueueFull).retry_after(back_ms));
            }
            Err(TrySendError::Closed(_)) => {
                self.shared.remove_waiting();
                return Err(Failure::not_run(Cause::Internal));
            }
        }
        let mut guard = QueueGuard {
            shared: &self.shared,
            ticket: Some(ticket),
        };
        let outcome = answered.await;
        guard.ticket = None;
        outcome.unwrap_or(Err(Failure::not_run(Cause::Internal)))
    }
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("room", &self.capacity())
            .field("waiting", &self.waiting())
            .finish_non_exhaustive()
    }
}

impl Shared {
    pub(crate) fn capacity(&self) -> Capacity {
        Capacity {
            in_progress: in_progress(self.counts.load(Ordering::Acquire)),
            limit: self.limit.load(Ordering::Relaxed),
            hold_ms: self.hold_ms.load(Ordering::Relaxed),
        }
    }

    /// Takes a slot and says so, or counts the request among the waiting. Both in one
    /// step: a permit dropped in between would see nobody waiting and wake no one.
    fn take_slot_or_wait(&self, class: Class) -> bool {
        let slots = self
            .settings
            .slots_for(class, self.limit.load(Ordering::Relaxed));
        let free = |counts| waiting(counts) == 0 && in_progress(counts) < slots;
        let step = |counts| match free(counts) {
            true => Some(counts + IN_PROGRESS),
            false => Some(counts + WAITING),
        };
        let before = self
            .counts
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, step);
        before.is_ok_and(free)
    }

    /// Turns a waiting request into one in progress.
    pub(crate) fn admit_waiting(self: &Arc<Self>, now_ms: u64) -> Permit {
        self.counts
            .fetch_add(IN_PROGRESS - WAITING, Ordering::AcqRel);
        Permit::new(self, now_ms)
    }

    /// A waiting request has left without a slot.
    pub(crate) fn remove_waiting(&self) {
        self.counts.fetch_sub(WAITING, Ordering::AcqRel);
    }

    fn release(&self, held_ms: u64) {
        let before = self.counts.fetch_sub(IN_PROGRESS, Ordering::AcqRel);
        self.update_hold_ms(held_ms);
        if waiting(before) > 0 {
            self.freed.notify_one();
        }
    }

    fn update_hold_ms(&self, held_ms: u64) {
        // Kept above zero, or the queue would never be thought too long.
        let held_ms = held_ms.clamp(1, u64::from(u32::MAX)) as u32;
        let mean_ms = self.hold_ms.load(Ordering::Relaxed);
        let step_ms = held_ms.abs_diff(mean_ms).div_ceil(HOLD_SAMPLES);
        let next_ms = match held_ms > mean_ms {
            true => mean_ms + step_ms,
            false => mean_ms - step_ms,
        };
        // Two threads may overwrite each other: the mean loses one sample.
        self.hold_ms.store(next_ms, Ordering::Relaxed);
    }
}

/// A slot of a service; its drop gives it back.
pub struct Permit {
    shared: Arc<Shared>,
    since_ms: u64,
}

impl Permit {
    fn new(shared: &Arc<Shared>, since_ms: u64) -> Self {
        Self {
            shared: Arc::clone(shared),
            since_ms,
        }
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("since_ms", &self.since_ms)
            .finish_non_exhaustive()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now_ms = (self.shared.clock)();
        self.shared.release(now_ms.saturating_sub(self.since_ms));
    }
}

/// A place in the queue; its drop gives it up unless it was answered.
struct QueueGuard<'a> {
    shared: &'a Shared,
    ticket: Option<Ticket>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            // With the channel full the place is kept until its turn or its deadline,
            // and the slot comes straight back.
            let _ = self.shared.events.try_send(QueueEvent::Cancelled(ticket));
        }
    }
}
