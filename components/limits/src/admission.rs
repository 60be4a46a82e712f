//! The queue of one service: pure, owned by one task.
//!
//! Class priority first, then the fair queue between customers. Strict priority alone
//! would let a stream of interactive requests hold up samples for ever, so a class that
//! waits is passed over a bounded number of times, and a customer who is far ahead of
//! one that waits in a lower class has no priority over it. A queued request has an answer by
//! its deadline, and is refused at once when the estimated wait is past it.

use std::collections::{BTreeSet, HashMap};

use derive::{key, value};
use types::{Cause, Class, CustomerName, Failure};

use crate::account::Accounts;
use crate::fair::{FairQueue, Place};
use crate::retry_after::retry_after_ms;
use crate::settings::AdmissionSettings;
use crate::ticket::Ticket;

/// A request that finds no room.
#[value]
pub struct Arrival {
    /// Its number.
    pub ticket: Ticket,
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

/// Slots of the service as they are now.
#[key]
pub struct Room {
    /// Requests in progress.
    pub in_progress: u32,
    /// Most requests in progress.
    pub limit: u32,
    /// How long a request holds its slot, in milliseconds.
    pub hold_ms: u32,
}

/// What the owner of the queue does next.
#[value]
pub enum Action {
    /// The request goes; it takes a slot.
    Admit(Ticket),
    /// The request has waited too long; it was not run.
    Expire(Ticket, Failure),
}

#[derive(Debug)]
struct Waiting {
    class: Class,
    place: Place,
    deadline_ms: u64,
}

#[derive(Debug)]
struct Line {
    class: Class,
    queue: FairQueue,
    /// How often it was passed over since it was last served.
    passed: u32,
}

/// Requests that wait for a slot of one service.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    lines: [Line; Class::ALL.len()],
    accounts: Accounts,
    waiting: HashMap<Ticket, Waiting>,
    deadlines: BTreeSet<(u64, Ticket)>,
}

impl Admission {
    /// An empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        let line = |class| Line {
            class,
            queue: FairQueue::default(),
            passed: 0,
        };
        Self {
            settings,
            lines: Class::ALL.map(line),
            accounts: Accounts::default(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The nearest deadline of a waiting request, in milliseconds.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.deadlines.first().map(|&(deadline_ms, _)| deadline_ms)
    }

    /// Queues the request, or refuses it at once.
    pub fn arrive(
        &mut self,
        arrival: &Arrival,
        room: Room,
        now_ms: u64,
        random: u64,
    ) -> Result<(), Failure> {
        if arrival.deadline_ms <= now_ms {
            return Err(Failure::not_run(Cause::DeadlinePassed));
        }
        let wait_ms = self.wait_ms(arrival, room);
        let line = self.line_mut(arrival.class);
        let full = line.queue.waiting_of(&arrival.customer);
        let too_late = now_ms.saturating_add(wait_ms) >= arrival.deadline_ms;
        if too_late || full >= self.settings.waiting_max {
            let back_ms = retry_after_ms(wait_ms, random);
            return Err(Failure::not_run(Cause::QueueFull).retry_after(back_ms));
        }
        self.push(arrival);
        Ok(())
    }

    fn push(&mut self, arrival: &Arrival) {
        let ticket = arrival.ticket;
        let line = self.line_mut(arrival.class);
        let place = line
            .queue
            .push(ticket, &arrival.customer, arrival.weight, arrival.cost);
        let waiting = Waiting {
            class: arrival.class,
            place,
            deadline_ms: arrival.deadline_ms,
        };
        self.deadlines.insert((waiting.deadline_ms, ticket));
        self.waiting.insert(ticket, waiting);
    }

    /// Estimated wait of a request, in milliseconds: those before it, at the rate at
    /// which slots come free.
    pub fn wait_ms(&self, arrival: &Arrival, room: Room) -> u64 {
        let before = |line: &Line| match line.class.cmp(&arrival.class) {
            std::cmp::Ordering::Less => line.queue.len() as u64,
            std::cmp::Ordering::Equal => line.queue.ahead_of(&arrival.customer, arrival.weight),
            std::cmp::Ordering::Greater => 0,
        };
        let ahead: u64 = self.lines.iter().map(before).sum();
        let slots = self.settings.slots(arrival.class, room.limit);
        if slots == 0 {
            return u64::MAX;
        }
        (ahead + 1) * u64::from(room.hold_ms) / u64::from(slots)
    }

    /// What to do next; to be asked until there is nothing.
    pub fn next(&mut self, room: Room, now_ms: u64) -> Option<Action> {
        // Deadlines first: an owner that was paused must not hand over requests whose
        // callers have given up meanwhile.
        if let Some(&(deadline_ms, ticket)) = self.deadlines.first()
            && deadline_ms <= now_ms
        {
            self.cancel(ticket);
            let failure = Failure::not_run(Cause::DeadlinePassed);
            return Some(Action::Expire(ticket, failure));
        }
        self.admit(room).map(Action::Admit)
    }

    /// Takes out a request whose caller went away.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.deadlines.remove(&(waiting.deadline_ms, ticket));
        self.line_mut(waiting.class).queue.remove(waiting.place);
        self.even_out();
        true
    }

    fn admit(&mut self, room: Room) -> Option<Ticket> {
        if room.in_progress >= room.limit {
            return None;
        }
        let class = self.turn(room)?;
        let least = self.least_given();
        let (ticket, request) = self.line_mut(class).queue.pop()?;
        self.accounts.give(&request, least);
        self.count_passed(class);
        if let Some(waiting) = self.waiting.remove(&ticket) {
            self.deadlines.remove(&(waiting.deadline_ms, ticket));
        }
        self.even_out();
        Some(ticket)
    }

    fn even_out(&mut self) {
        if self.waiting.is_empty() {
            self.accounts.clear();
        }
    }

    /// The class that goes next: one that was passed over too often, lowest first, else
    /// the highest whose next customer is not too far ahead.
    fn turn(&self, room: Room) -> Option<Class> {
        let settings = &self.settings;
        let mut waits = self.lines.iter().filter(|line| !line.queue.is_empty());
        let is_overdue = |line: &&Line| line.passed >= settings.passed_max(line.class);
        if let Some(overdue) = waits.clone().rev().find(is_overdue) {
            return Some(overdue.class);
        }
        let highest = waits.clone().next()?;
        let least = self.least_given();
        let next = waits.find(|line| !self.is_too_far_ahead(line, least))?;
        // The slots left free are for higher classes; not for a customer who is ahead.
        let passes = next.class > highest.class;
        let has_room = room.in_progress < settings.slots(next.class, room.limit);
        (passes || has_room).then_some(next.class)
    }

    fn is_too_far_ahead(&self, line: &Line, least: u64) -> bool {
        let Some(first) = line.queue.first() else {
            return false;
        };
        let lead = self.accounts.given(&first.customer) - least;
        lead > first
            .length
            .saturating_mul(u64::from(self.settings.lead_max))
    }

    /// The least that a customer next in its class has been given.
    fn least_given(&self) -> u64 {
        let firsts = self.lines.iter().filter_map(|line| line.queue.first());
        let given = firsts.map(|first| self.accounts.given(&first.customer));
        given.min().unwrap_or_default()
    }

    fn count_passed(&mut self, served: Class) {
        for line in &mut self.lines {
            if line.class == served || line.queue.is_empty() {
                line.passed = 0;
            } else if line.class > served {
                line.passed += 1;
            }
        }
    }

    fn line_mut(&mut self, class: Class) -> &mut Line {
        let [interactive, background, sampling] = &mut self.lines;
        match class {
            Class::Interactive => interactive,
            Class::Background => background,
            Class::Sampling => sampling,
        }
    }
}
