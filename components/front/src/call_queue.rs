//! The queue of calls in front of each plain service whose replicas report their start.
//!
//! A call that finds a replica with room takes a [`Slot`] there at once. Other calls wait in the
//! service's queue until a slot becomes free. A dropped slot admits waiting calls; waiting calls
//! also check at an interval, because time alone raises limits and ends ejections.
//!
//! The order, the refusals and the limits are decided in `concurrency`. The locks are held for
//! microseconds and never across an await.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use concurrency::{
    Admitted, Arrival, CHECK_INTERVAL_MS, Refusal, RefusalReason, ReplicaUse, ServiceQueue,
    has_room, usable,
};
use dispatch::{InFlightCall, Route, TypicalDuration, most_report_start};
use limits::Ticket;
use tokio::sync::oneshot;
use types::{Class, CustomerName};

use crate::call_replica::{accepts_work, choose_among};
use crate::calls::CallSpec;
use crate::clock::{now_ms, now_us};
use crate::metrics::GaugeLines;
use crate::peers::{Incarnation, Member, ReplicaTable, incarnation};
use crate::state::{Front, lock};

/// Queues by service.
#[derive(Default)]
pub struct CallQueues(Mutex<HashMap<Arc<str>, Arc<CallQueue>>>);

/// Calls that wait for a replica of one service.
pub struct CallQueue {
    service: Arc<str>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    queue: ServiceQueue,
    waiting: HashMap<Ticket, Waiter>,
}

struct Waiter {
    class: Class,
    typical_us: u64,
    tried: Vec<Incarnation>,
    answer: oneshot::Sender<Grant>,
}

/// How the wait of a call ended.
enum Grant {
    Reserved(Reserved),
    Refused(Refusal),
    NoReplica,
}

/// A place at a replica, already counted there.
struct Reserved {
    member: Member,
    in_flight: InFlightCall,
}

/// Result of asking for a replica.
pub enum Acquired<'a> {
    Slot(Slot<'a>),
    /// No replica may receive the call.
    NoReplica,
    /// The queue refuses the call; no replica receives it.
    Refused(Refusal),
}

/// A call's place at a replica; frees it when dropped.
pub struct Slot<'a> {
    front: &'a Front,
    /// `None` where the queue is not active.
    queue: Option<Arc<CallQueue>>,
    pub member: Member,
    in_flight: Option<InFlightCall>,
    began_us: u64,
    /// Whether the time for which the place was held says nothing about calls that run.
    refused: bool,
}

impl CallQueues {
    fn of(&self, service: &str) -> Arc<CallQueue> {
        let mut queues = lock(&self.0);
        if let Some(known) = queues.get(service) {
            return Arc::clone(known);
        }
        let service: Arc<str> = service.into();
        let queue = Arc::new(CallQueue {
            service: Arc::clone(&service),
            state: Mutex::default(),
        });
        queues.insert(service, Arc::clone(&queue));
        queue
    }

    /// The queue of a service; `None` if calls to the service are not queued.
    pub fn active(&self, table: &ReplicaTable, service: &str) -> Option<Arc<CallQueue>> {
        let replicas = table.of(service).iter().map(|member| &*member.replica);
        most_report_start(replicas).then(|| self.of(service))
    }

    /// Lines of the metrics page: waiting calls by service, and limits by replica.
    pub fn text(&self, table: &ReplicaTable) -> String {
        let mut lines = GaugeLines::default();
        let mut queues: Vec<Arc<CallQueue>> = lock(&self.0).values().cloned().collect();
        queues.sort_by(|a, b| a.service.cmp(&b.service));
        for queue in queues {
            let queued = lock(&queue.state).queue.len() as u64;
            lines.set_gauge("front_calls_queued", ("service", &queue.service), queued);
            let members = members_of(table, &queue.service);
            for (member, replica) in members.iter().zip(uses(&members)) {
                let limit = u64::from(replica.limit);
                lines.set_gauge(
                    "front_replica_limit",
                    ("replica", &member.replica.id),
                    limit,
                );
            }
        }
        lines.0
    }
}

impl<'a> Slot<'a> {
    /// A place at a replica of a service whose calls are not queued.
    pub fn unqueued(front: &'a Front, member: Member, typical_us: u64, background: bool) -> Self {
        let in_flight = member.peer.load.begin(typical_us, background);
        Self::new(front, None, Reserved { member, in_flight })
    }

    fn new(front: &'a Front, queue: Option<Arc<CallQueue>>, reserved: Reserved) -> Self {
        Self {
            front,
            queue,
            member: reserved.member,
            in_flight: Some(reserved.in_flight),
            began_us: now_us(),
            refused: false,
        }
    }

    /// Records the replica's answer to a call of `route`.
    pub fn record_answer(&self, route: &Route, background: bool) {
        if self.queue.is_none() {
            return;
        }
        let (now_us, slots) = (now_us(), self.member.replica.slots);
        let took_us = now_us - self.began_us;
        let (sent_ms, now_ms) = (self.began_us / 1_000, now_us / 1_000);
        let mut limit = lock(&self.member.peer.limit);
        match background {
            true => limit.record_background_answer(slots, now_ms),
            false => limit.record_answer(&route.name, took_us, slots, sent_ms, now_ms),
        }
    }

    /// Records that the replica refused the call because it is full.
    pub fn record_refusal(&mut self) {
        self.refused = true;
        let (running, slots) = (self.member.peer.load.calls(), self.member.replica.slots);
        let mut limit = lock(&self.member.peer.limit);
        let sent_ms = self.began_us / 1_000;
        limit.record_refusal(running, slots, sent_ms, now_ms(), rand::random());
    }

    /// Records that the call was not sent, because the replica could not be reached.
    pub fn record_not_sent(&mut self) {
        self.refused = true;
    }

    /// Records that the replica did not answer in time.
    pub fn record_late(&self) {
        record_late(&self.member, self.began_us / 1_000);
    }
}

/// Records that a replica has not answered a call, sent at `sent_ms`, in the time that others take.
pub fn record_late(member: &Member, sent_ms: u64) {
    lock(&member.peer.limit).record_late(member.replica.slots, sent_ms, now_ms());
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        drop(self.in_flight.take());
        if let Some(queue) = &self.queue {
            if !self.refused {
                lock(&queue.state)
                    .queue
                    .record_hold(now_us() - self.began_us);
            }
            queue.admit_waiting(self.front);
        }
    }
}

/// A waiting call. Dropped before its wait ended, it leaves the queue.
struct WaitGuard<'a> {
    front: &'a Front,
    queue: &'a Arc<CallQueue>,
    ticket: Ticket,
    answer: oneshot::Receiver<Grant>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.answer.close();
        // A place that was granted and not read is free again.
        let granted = self.answer.try_recv().is_ok();
        let mut state = lock(&self.queue.state);
        state.queue.cancel(self.ticket);
        state.waiting.remove(&self.ticket);
        drop(state);
        if granted {
            self.queue.admit_waiting(self.front);
        }
    }
}

/// What a call needs to be placed.
pub struct SlotRequest<'a> {
    pub spec: &'a CallSpec<'a>,
    pub typical: &'a TypicalDuration,
    /// Replicas that have received the call.
    pub tried: &'a [Incarnation],
    /// Whether a full replica refused the last attempt without running it. The call then goes on to
    /// wait: that is no retry, and pauses keep such calls from being sent in quick succession.
    pub was_refused: bool,
}

impl SlotRequest<'_> {
    /// The call in the fair queue. The call has to be sent while enough time for an answer is left.
    fn arrival(&self) -> Arrival {
        let typical_ms = self.typical.us() / 1_000;
        Arrival {
            customer: queue_name(self.spec.customer),
            class: self.spec.class(),
            typical_ms: typical_ms as u32,
            deadline_ms: self.spec.deadline_at_ms.saturating_sub(typical_ms),
        }
    }
}

/// Name of a customer in the fair queue, whose names are a subset of those that a configuration may
/// have. Calls without a customer share one name.
fn queue_name(customer: Option<&str>) -> CustomerName {
    let customer = customer.unwrap_or("public");
    CustomerName::new(customer).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        customer.hash(&mut hasher);
        let name = format!("h{:016x}", hasher.finish());
        CustomerName::new(&name).unwrap_or_else(|_| unreachable!("a letter and hex digits"))
    })
}

impl CallQueue {
    /// Takes a place at a replica for a call that waits at no other queue; `None` if the call would
    /// have to wait here.
    fn try_acquire<'a>(
        self: &Arc<Self>,
        front: &'a Front,
        request: &SlotRequest<'_>,
        class: Class,
    ) -> Option<Slot<'a>> {
        let table = front.replicas.load();
        let members = members_of(&table, &self.service);
        let state = lock(&self.state);
        let replicas = uses(&members);
        if !state.queue.is_free(class, &replicas) {
            return None;
        }
        let typical_us = request.typical.us();
        let at = open_replica(front, &members, &replicas, class, typical_us, request.tried)?;
        let reserved = reserve(members[at], typical_us, class);
        Some(Slot::new(front, Some(Arc::clone(self)), reserved))
    }

    /// Takes a place for a call, or waits for one. A retry is first taken from the budget. While the
    /// call waits, it also looks for room at the services of `others`.
    pub async fn acquire<'a>(
        self: &Arc<Self>,
        front: &'a Front,
        request: &SlotRequest<'_>,
        others: &[Arc<CallQueue>],
    ) -> Acquired<'a> {
        if request.tried.is_empty() {
            lock(&self.state).queue.record_first_attempt();
        } else if !request.was_refused && !lock(&self.state).queue.try_spend_retry(now_ms()) {
            return Acquired::Refused(self.refusal(front, RefusalReason::BudgetSpent));
        }
        let class = request.spec.class();
        let anywhere = || {
            let queues = std::iter::once(self).chain(others);
            queues
                .into_iter()
                .find_map(|queue| queue.try_acquire(front, request, class))
        };
        if let Some(slot) = anywhere() {
            return Acquired::Slot(slot);
        }
        let (ticket, answer) = match self.enqueue(front, request) {
            Ok(waiting) => waiting,
            Err(refusal) => return Acquired::Refused(refusal),
        };
        let mut guard = WaitGuard {
            front,
            queue: self,
            ticket,
            answer,
        };
        self.admit_waiting(front);
        loop {
            tokio::select! {
                biased;
                grant = &mut guard.answer => return match grant {
                    Ok(Grant::Reserved(reserved)) => {
                        Acquired::Slot(Slot::new(front, Some(Arc::clone(self)), reserved))
                    }
                    Ok(Grant::Refused(refusal)) => Acquired::Refused(refusal),
                    Ok(Grant::NoReplica) | Err(_) => Acquired::NoReplica,
                },
                () = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)) => {}
            }
            if !front
                .replicas
                .load()
                .of(&self.service)
                .iter()
                .any(accepts_work)
            {
                return Acquired::NoReplica;
            }
            if lock(&self.state).queue.take_check(now_ms()) {
                self.admit_waiting(front);
            }
            let other = others
                .iter()
                .find_map(|queue| queue.try_acquire(front, request, class));
            if let Some(slot) = other {
                return Acquired::Slot(slot);
            }
        }
    }

    /// A place for a hedged request. A hedged request never waits, and is not sent while calls wait
    /// or the budget is exhausted.
    pub fn try_hedge<'a>(
        self: &Arc<Self>,
        front: &'a Front,
        request: &SlotRequest<'_>,
    ) -> Option<Slot<'a>> {
        if !lock(&self.state).queue.is_empty() {
            return None;
        }
        // The limit on background calls does not bind hedged requests, which are few.
        let mut slot = self.try_acquire(front, request, Class::Interactive)?;
        if lock(&self.state).queue.try_spend_retry(now_ms()) {
            return Some(slot);
        }
        slot.refused = true;
        None
    }

    fn enqueue(
        &self,
        front: &Front,
        request: &SlotRequest<'_>,
    ) -> Result<(Ticket, oneshot::Receiver<Grant>), Refusal> {
        let table = front.replicas.load();
        let members = members_of(&table, &self.service);
        let arrival = request.arrival();
        let mut state = lock(&self.state);
        let replicas = uses(&members);
        let random = rand::random();
        let ticket = state.queue.enqueue(&arrival, &replicas, now_ms(), random)?;
        let (answer, answered) = oneshot::channel();
        let waiter = Waiter {
            class: arrival.class,
            typical_us: request.typical.us(),
            tried: request.tried.to_vec(),
            answer,
        };
        state.waiting.insert(ticket, waiter);
        Ok((ticket, answered))
    }

    /// Refusal of a call that this queue does not hold.
    pub fn refusal(&self, front: &Front, reason: RefusalReason) -> Refusal {
        let table = front.replicas.load();
        let replicas = uses(&members_of(&table, &self.service));
        lock(&self.state)
            .queue
            .refusal(reason, &replicas, rand::random())
    }

    /// Hands free places to waiting calls, and refuses those whose time is over.
    fn admit_waiting(&self, front: &Front) {
        let table = front.replicas.load();
        let mut grants = Vec::new();
        let mut state = lock(&self.state);
        if state.queue.is_empty() {
            return;
        }
        let members = members_of(&table, &self.service);
        while let Some(admitted) = {
            let replicas = uses(&members);
            state.queue.next(&replicas, now_ms(), rand::random())
        } {
            let (Admitted::Send(ticket) | Admitted::Refuse(ticket, _)) = &admitted;
            let Some(waiter) = state.waiting.remove(ticket) else {
                continue;
            };
            let grant = match admitted {
                Admitted::Send(_) => place(front, &members, &waiter),
                Admitted::Refuse(_, refusal) => Grant::Refused(refusal),
            };
            grants.push((waiter.answer, grant));
        }
        drop(state);
        for (answer, grant) in grants {
            // A caller that has just disconnected leaves the place free; the next check finds it.
            let _ = answer.send(grant);
        }
    }
}

fn members_of<'t>(table: &'t ReplicaTable, service: &str) -> Vec<&'t Member> {
    let members = table.of(service).iter();
    members.filter(|member| accepts_work(member)).collect()
}

fn uses(members: &[&Member]) -> Vec<ReplicaUse> {
    let now_ms = now_ms();
    let replica_use = |member: &&Member| {
        let load = &member.peer.load;
        let limit = lock(&member.peer.limit);
        ReplicaUse {
            limit: limit.calls(member.replica.slots, now_ms),
            paused: limit.is_paused(now_ms),
            calls: load.calls(),
            background: load.background(),
            ejected: load.is_ejected(now_ms),
        }
    };
    members.iter().map(replica_use).collect()
}

/// The untried replica with room for a call that is expected to answer first.
fn open_replica(
    front: &Front,
    members: &[&Member],
    replicas: &[ReplicaUse],
    class: Class,
    typical_us: u64,
    tried: &[Incarnation],
) -> Option<usize> {
    let is_untried = |at: usize| !tried.contains(&incarnation(&members[at].replica));
    let open = usable(replicas)
        .filter(|(at, replica)| is_untried(*at) && has_room(replica, class))
        .map(|(at, _)| at);
    choose_among(front, members, open.collect(), typical_us)
}

/// Places an admitted call. A retry exceeds the limit of a replica by one if only replicas that
/// have received it have room: they do not get it again.
fn place(front: &Front, members: &[&Member], waiter: &Waiter) -> Grant {
    let Waiter {
        class,
        typical_us,
        tried,
        ..
    } = waiter;
    let open = open_replica(front, members, &uses(members), *class, *typical_us, tried);
    let untried = || {
        let is_untried = |at: &usize| !tried.contains(&incarnation(&members[*at].replica));
        let untried = (0..members.len()).filter(is_untried).collect();
        choose_among(front, members, untried, *typical_us)
    };
    match open.or_else(untried) {
        Some(at) => Grant::Reserved(reserve(members[at], *typical_us, *class)),
        None => Grant::NoReplica,
    }
}

fn reserve(member: &Member, typical_us: u64, class: Class) -> Reserved {
    Reserved {
        member: member.clone(),
        in_flight: member
            .peer
            .load
            .begin(typical_us, class != Class::Interactive),
    }
}
