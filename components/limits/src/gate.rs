//! Admission to one service from several threads.
//!
//! The numbers of requests in progress and of waiting requests share one atomic integer. While no
//! request waits and a slot is free, admission is one compare-and-swap. Otherwise the request is
//! sent through a bounded channel to the queue's task and waits for the answer on a oneshot
//! channel. While requests wait, only that task admits requests, so none overtakes the queue. A
//! dropped [`Permit`] frees its slot and wakes the task if requests wait.

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

/// Capacity of the channel to the queue's task. A request that finds it full is refused.
const CHANNEL_MAX: usize = 1_024;
/// The newest hold time has a weight of 1/16 in the exponentially weighted moving average.
const HOLD_WEIGHT_DIVISOR: u32 = 16;

/// Monotonic clock of the process, in milliseconds.
pub type Clock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// A request that asks for a slot.
#[value]
pub struct Request {
    /// Customer whose limits the request counts against.
    pub customer: CustomerName,
    /// Weight of the customer in the fair queue; 0 counts as 1.
    pub weight: u32,
    /// Priority class of the request.
    pub class: Class,
    /// Size of the request in the fair queue: tokens for a model, 1 for a plain service.
    pub cost: u32,
    /// Time at which the request expires, in milliseconds of the gate's clock.
    pub deadline_ms: u64,
}

/// Slots of one service at this entry. Clones share the same slots.
#[derive(Clone)]
pub struct Gate {
    pub(crate) shared: Arc<Shared>,
}

pub(crate) struct Shared {
    /// Number of requests in progress in the upper half, of waiting requests in the lower half.
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
    /// Creates a gate with `limit` slots and the task of its queue. The caller must spawn the task,
    /// or requests that have to wait are never admitted. The task ends when the gate and all
    /// permits are dropped.
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

    /// Changes the number of slots. If more requests are in progress, they continue.
    pub fn set_limit(&self, limit: u32) {
        self.shared.limit.store(limit, Ordering::Relaxed);
        self.shared.freed.notify_one();
    }

    /// Current use of the slots.
    pub fn capacity(&self) -> Capacity {
        self.shared.capacity()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> u32 {
        waiting(self.shared.counts.load(Ordering::Acquire))
    }

    /// Waits for a slot. Fails if the deadline passes or the queue refuses the request. Dropping
    /// the future removes the request from the queue.
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
                let retry_ms = retry_after_ms(hold_ms, random);
                return Err(Failure::not_run(Cause::QueueFull).retry_after(retry_ms));
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

    /// Takes a slot and returns true, or counts the request as waiting and returns false. Both are
    /// one atomic update: a permit that is dropped between two separate ones would see no waiting
    /// request and would not wake the task.
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

    /// Counts a waiting request as in progress.
    pub(crate) fn admit_waiting(self: &Arc<Self>, now_ms: u64) -> Permit {
        self.counts
            .fetch_add(IN_PROGRESS - WAITING, Ordering::AcqRel);
        Permit::new(self, now_ms)
    }

    /// Stops counting a request as waiting that gets no slot.
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
        // At least 1 ms: with a mean of zero every estimated wait would be zero, and no request
        // would be refused for a long queue.
        let held_ms = held_ms.clamp(1, u64::from(u32::MAX)) as u32;
        let mean_ms = self.hold_ms.load(Ordering::Relaxed);
        let step_ms = held_ms.abs_diff(mean_ms).div_ceil(HOLD_WEIGHT_DIVISOR);
        let next_ms = match held_ms > mean_ms {
            true => mean_ms + step_ms,
            false => mean_ms - step_ms,
        };
        // Two concurrent updates may overwrite each other; the mean then misses one sample.
        self.hold_ms.store(next_ms, Ordering::Relaxed);
    }
}

/// Guard of a slot of a service; frees the slot when dropped.
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

/// Guard of a queued request; dropped before the answer, it removes the request from the queue.
struct QueueGuard<'a> {
    shared: &'a Shared,
    ticket: Option<Ticket>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            // If the channel is full, the request stays queued until it is admitted or expires. The
            // permit is then dropped unread, which frees the slot at once.
            let _ = self.shared.events.try_send(QueueEvent::Cancelled(ticket));
        }
    }
}
