//! The calls of one service that wait for a replica with room, and the service's budget for retries
//! and hedged requests.

use derive::{key, value};
use limits::{
    Action, Admission, AdmissionSettings, BudgetSettings, RetryBudget, Ticket, retry_after_ms,
};
use types::{Cause, Class, CustomerName};

use crate::room::{self, ReplicaUse};

/// Waiting calls of one customer in one class.
const CUSTOMER_WAITING_MAX: u32 = 128;
/// Waiting background calls of one customer. They are reward calls, at most one for each item that
/// this process runs; a refused one only comes back a moment later.
const BACKGROUND_WAITING_MAX: u32 = 2_048;
/// Waiting calls of the service. The estimated wait usually refuses calls earlier; this bounds the
/// memory where deadlines are long.
const WAITING_MAX: usize = 4_096;
/// Customers' calls that are admitted before a waiting background call: one in four slots that
/// become free goes to background calls.
const BACKGROUND_SKIPS_MAX: u32 = 3;
/// Interval at which waiting calls look for a replica with room, in milliseconds. Slots that become
/// free are handed over at once; this finds limits that rose, pauses that ended and replicas that
/// came back.
pub const CHECK_INTERVAL_MS: u64 = 10;
/// Assumed duration of a call before any has ended.
const INITIAL_HOLD_MS: u64 = 40;
/// The newest duration has a weight of 1/16 in the moving average.
const HOLD_WEIGHT_DIVISOR: u64 = 16;
/// Callers that no replica took return within this many usual durations of a call.
const RETURN_SPREAD_HOLDS: u64 = 4;
/// Retries and hedged requests that a thousand calls earn.
const RETRIES_PERMILLE: u32 = 100;
/// Earned retries that are kept, so that a budget reflects the calls of the last seconds.
const EARNED_MAX: u32 = 50;
/// Retries that are available in each [`BASE_PERIOD_MS`] without any calls.
const BASE_RETRIES: u32 = 10;
const BASE_PERIOD_MS: u64 = 10_000;

/// A call that asks for a replica.
#[value]
pub struct Arrival {
    /// Customer in the fair queue.
    pub customer: CustomerName,
    /// Priority class of the call.
    pub class: Class,
    /// Usual duration of a call of the route. Customers share slots by time, not by calls, so that
    /// long calls do not displace short ones.
    pub typical_ms: u32,
    /// Latest useful time to send the call, in milliseconds.
    pub deadline_ms: u64,
}

/// What becomes of a call that asks for a replica.
#[value]
pub enum Arrived {
    /// A replica has room, and no call that is served before this one waits.
    Free,
    /// The call waits; [`ServiceQueue::next`] admits or refuses it.
    Waiting(Ticket),
    /// The call is not queued.
    Refused(Refusal),
}

/// Why a call was refused.
#[key]
pub enum RefusalReason {
    /// The estimated wait exceeds the time that the call has left.
    WaitTooLong,
    /// The queue, or the customer's part of it, is full.
    QueueFull,
    /// The time that the call had left passed in the queue.
    Expired,
    /// An attempt failed without a refusal by the replica, and the budget for retries is exhausted.
    BudgetSpent,
    /// No replica has taken the call, and there is none left to try.
    NotTaken,
}

impl RefusalReason {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::WaitTooLong => "wait-too-long",
            RefusalReason::QueueFull => "queue-full",
            RefusalReason::Expired => "expired",
            RefusalReason::BudgetSpent => "budget-spent",
            RefusalReason::NotTaken => "not-taken",
        }
    }
}

/// Refusal of a call that no replica has received.
#[value]
pub struct Refusal {
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// Estimated wait of a new call, in milliseconds.
    pub estimated_ms: u64,
    /// Number of waiting calls.
    pub queued: usize,
    /// Time after which the caller may return, in milliseconds.
    pub retry_after_ms: u64,
}

/// How the wait of a call ended.
#[value]
pub enum Admitted {
    /// The call is to be sent now.
    Send(Ticket),
    /// The call is refused.
    Refuse(Ticket, Refusal),
}

/// Calls of this process that wait for a replica of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    admission: Admission,
    budget: RetryBudget,
    /// Moving average of the time that a call is in flight, in microseconds.
    hold_us: u64,
    next_ticket: u64,
    /// When a waiting call last checked the replicas.
    checked_ms: u64,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        let settings = AdmissionSettings {
            waiting_max: CUSTOMER_WAITING_MAX,
            background_waiting_max: BACKGROUND_WAITING_MAX,
            // The limit on background calls at each replica leaves slots free for other calls.
            headroom_permille: 0,
            background_skips_max: BACKGROUND_SKIPS_MAX,
            ..AdmissionSettings::default()
        };
        let budget = BudgetSettings {
            earned_permille: RETRIES_PERMILLE,
            earned_max: EARNED_MAX,
            base_retries: BASE_RETRIES,
            base_period_ms: BASE_PERIOD_MS,
        };
        Self {
            admission: Admission::new(settings),
            budget: RetryBudget::new(&budget),
            hold_us: INITIAL_HOLD_MS * 1_000,
            next_ticket: 0,
            checked_ms: 0,
        }
    }
}

impl ServiceQueue {
    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.admission.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.admission.is_empty()
    }

    /// Whether a new call of `class` finds a replica with room and no call that is served before it
    /// waits.
    pub fn is_free(&self, class: Class, replicas: &[ReplicaUse]) -> bool {
        let has_room = room::usable(replicas).any(|(_, replica)| room::has_room(replica, class));
        has_room && self.admission.waiting_up_to(class) == 0
    }

    /// Decides what becomes of a call. `random` spreads the time after which a refused caller
    /// returns. After [`Arrived::Waiting`] the caller calls [`ServiceQueue::next`].
    pub fn arrive(
        &mut self,
        arrival: &Arrival,
        replicas: &[ReplicaUse],
        now_ms: u64,
        random: u64,
    ) -> Arrived {
        if self.is_free(arrival.class, replicas) {
            return Arrived::Free;
        }
        match self.enqueue(arrival, replicas, now_ms, random) {
            Ok(ticket) => Arrived::Waiting(ticket),
            Err(refusal) => Arrived::Refused(refusal),
        }
    }

    /// Queues a call, or refuses it if it would wait too long.
    pub fn enqueue(
        &mut self,
        arrival: &Arrival,
        replicas: &[ReplicaUse],
        now_ms: u64,
        random: u64,
    ) -> Result<Ticket, Refusal> {
        let ticket = Ticket(self.next_ticket);
        let queued = limits::Arrival {
            ticket,
            customer: arrival.customer.clone(),
            weight: 1,
            class: arrival.class,
            cost: arrival.typical_ms,
            deadline_ms: arrival.deadline_ms,
        };
        let capacity = room::estimate_capacity(replicas, self.hold_ms());
        let estimated_ms = self.admission.estimated_wait_ms(&queued, capacity);
        let waiting = self.admission.len();
        let refuse = |reason| Err(refusal(reason, estimated_ms, waiting, random));
        if now_ms.saturating_add(estimated_ms) >= arrival.deadline_ms {
            return refuse(RefusalReason::WaitTooLong);
        }
        if waiting >= WAITING_MAX {
            return refuse(RefusalReason::QueueFull);
        }
        match self.admission.enqueue(&queued, capacity, now_ms, random) {
            Ok(()) => {
                self.next_ticket += 1;
                Ok(ticket)
            }
            Err(failure) if failure.cause == Cause::DeadlinePassed => {
                refuse(RefusalReason::WaitTooLong)
            }
            Err(_) => refuse(RefusalReason::QueueFull),
        }
    }

    /// The next call whose wait ends. To be called until it returns `None`, whenever a call has
    /// ended or the replicas have changed; the caller sends an admitted call before it asks again.
    pub fn next(&mut self, replicas: &[ReplicaUse], now_ms: u64, random: u64) -> Option<Admitted> {
        if self.admission.is_empty() {
            return None;
        }
        let capacity = room::free_capacity(replicas, self.hold_ms());
        let closed = room::closed_classes(replicas);
        let action = self
            .admission
            .next_action_without(&closed, capacity, now_ms)?;
        Some(match action {
            Action::Admit(ticket) => Admitted::Send(ticket),
            Action::Expire(ticket, _) => Admitted::Refuse(
                ticket,
                self.refusal(RefusalReason::Expired, replicas, random),
            ),
        })
    }

    /// Whether a waiting call is to check the replicas now; then takes it as done. Each waiting call
    /// asks once in [`CHECK_INTERVAL_MS`], and one check serves all of them: a check reads the state
    /// of all replicas of the service.
    pub fn take_check(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms.saturating_sub(self.checked_ms) >= CHECK_INTERVAL_MS;
        if is_due {
            self.checked_ms = now_ms;
        }
        is_due
    }

    /// Refusal of a call for `reason`, with the wait that a new call would have now.
    pub fn refusal(&self, reason: RefusalReason, replicas: &[ReplicaUse], random: u64) -> Refusal {
        let capacity = room::estimate_capacity(replicas, self.hold_ms());
        let queued = self.admission.len();
        let slots = u64::from(capacity.limit.max(1));
        let hold_ms = u64::from(capacity.hold_ms);
        let estimated_ms = (queued as u64 + 1) * hold_ms / slots;
        let refusal = refusal(reason, estimated_ms, queued, random);
        match reason {
            // The replicas are full with calls of other processes, whose number is not known.
            RefusalReason::BudgetSpent | RefusalReason::NotTaken => Refusal {
                retry_after_ms: estimated_ms + hold_ms + random % (hold_ms * RETURN_SPREAD_HOLDS),
                ..refusal
            },
            _ => refusal,
        }
    }

    /// Removes a call whose client has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.admission.cancel(ticket);
    }

    /// Records how long a call was in flight at a replica. Refusals of a replica are left out,
    /// because a refused call holds no slot.
    pub fn record_hold(&mut self, held_us: u64) {
        let sum_us = self.hold_us * (HOLD_WEIGHT_DIVISOR - 1) + held_us;
        self.hold_us = sum_us / HOLD_WEIGHT_DIVISOR;
    }

    /// Mean time that a call is in flight; at least 1 ms, because no wait would be estimated
    /// without it.
    fn hold_ms(&self) -> u32 {
        self.hold_us.div_ceil(1_000).clamp(1, u64::from(u32::MAX)) as u32
    }

    /// Counts the first attempt of a call, which earns a part of a retry.
    pub fn record_first_attempt(&self) {
        self.budget.record_first_attempt();
    }

    /// Takes one retry or hedged request from the budget; false if the budget is exhausted.
    pub fn try_spend_retry(&self, now_ms: u64) -> bool {
        self.budget.try_spend(now_ms)
    }
}

fn refusal(reason: RefusalReason, estimated_ms: u64, queued: usize, random: u64) -> Refusal {
    Refusal {
        reason,
        estimated_ms,
        queued,
        retry_after_ms: u64::from(retry_after_ms(estimated_ms, random)),
    }
}
