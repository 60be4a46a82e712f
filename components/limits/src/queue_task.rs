//! The task that owns a gate's queue.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time;
use types::Failure;

use crate::admission::{Action, Admission, Arrival};
use crate::gate::{Permit, Shared};
use crate::ticket::Ticket;

/// Longest sleep, so that the task finds out when its gate is gone.
const SLEEP_MAX_MS: u64 = 1_000;

pub(crate) type Answer = oneshot::Sender<Result<Permit, Failure>>;

/// News for the queue.
pub(crate) enum Event {
    /// A request found no room and is counted among the waiting.
    Arrived {
        arrival: Arrival,
        random: u64,
        answer: Answer,
    },
    /// The caller of a waiting request went away.
    Left(Ticket),
}

/// Runs the queue until the gate is gone.
pub(crate) async fn run(gate: Weak<Shared>, mut events: mpsc::Receiver<Event>) {
    let Some(mut queue) = gate.upgrade().map(|shared| Queue::new(&shared)) else {
        return;
    };
    while let Some(shared) = gate.upgrade() {
        queue.admit(&shared);
        let sleep = Duration::from_millis(queue.sleep_ms(&shared));
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => queue.take(&shared, event),
                None => return,
            },
            () = shared.freed.notified() => {}
            () = time::sleep(sleep) => {}
        }
        while let Ok(event) = events.try_recv() {
            queue.take(&shared, event);
        }
    }
}

struct Queue {
    admission: Admission,
    answers: HashMap<Ticket, Answer>,
}

impl Queue {
    fn new(shared: &Shared) -> Self {
        Self {
            admission: Admission::new(shared.settings.clone()),
            answers: HashMap::new(),
        }
    }

    fn take(&mut self, shared: &Shared, event: Event) {
        match event {
            Event::Arrived {
                arrival,
                random,
                answer,
            } => self.arrived(shared, &arrival, random, answer),
            Event::Left(ticket) => self.left(shared, ticket),
        }
    }

    fn arrived(&mut self, shared: &Shared, arrival: &Arrival, random: u64, answer: Answer) {
        let now_ms = (shared.clock)();
        let queued = self
            .admission
            .arrive(arrival, shared.room(), now_ms, random);
        match queued {
            Ok(()) => {
                self.answers.insert(arrival.ticket, answer);
            }
            Err(failure) => {
                shared.left_queue();
                let _ = answer.send(Err(failure));
            }
        }
    }

    fn left(&mut self, shared: &Shared, ticket: Ticket) {
        if self.admission.cancel(ticket) {
            self.answers.remove(&ticket);
            shared.left_queue();
        }
    }

    fn admit(&mut self, shared: &Arc<Shared>) {
        let now_ms = (shared.clock)();
        while let Some(action) = self.admission.next(shared.room(), now_ms) {
            match action {
                Action::Admit(ticket) => {
                    let permit = shared.admit_waiting(now_ms);
                    self.answer(ticket, Ok(permit));
                }
                Action::Expire(ticket, failure) => {
                    shared.left_queue();
                    self.answer(ticket, Err(failure));
                }
            }
        }
    }

    /// A caller that went away drops the permit unread, which frees the slot again.
    fn answer(&mut self, ticket: Ticket, answer: Result<Permit, Failure>) {
        if let Some(waiting) = self.answers.remove(&ticket) {
            let _ = waiting.send(answer);
        }
    }

    fn sleep_ms(&self, shared: &Shared) -> u64 {
        let now_ms = (shared.clock)();
        let deadline_ms = self.admission.next_deadline_ms();
        let left_ms = deadline_ms.map_or(SLEEP_MAX_MS, |at_ms| at_ms.saturating_sub(now_ms));
        left_ms.clamp(1, SLEEP_MAX_MS)
    }
}
