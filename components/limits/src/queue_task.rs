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

/// Maximum sleep, after which the task checks whether its gate was dropped.
const SLEEP_MAX_MS: u64 = 1_000;

pub(crate) type Answer = oneshot::Sender<Result<Permit, Failure>>;

/// Message from the gate to the queue's task.
pub(crate) enum QueueEvent {
    /// A request found no free slot and is counted as waiting.
    Arrived {
        arrival: Arrival,
        random: u64,
        answer: Answer,
    },
    /// The caller of a waiting request has disconnected.
    Cancelled(Ticket),
}

/// Runs the queue until the gate and all its permits are dropped.
pub(crate) async fn run(gate: Weak<Shared>, mut events: mpsc::Receiver<QueueEvent>) {
    let Some(mut queue) = gate.upgrade().map(|shared| Queue::new(&shared)) else {
        return;
    };
    while let Some(shared) = gate.upgrade() {
        queue.admit(&shared);
        let sleep = Duration::from_millis(queue.sleep_ms(&shared));
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => queue.handle(&shared, event),
                None => return,
            },
            () = shared.freed.notified() => {}
            () = time::sleep(sleep) => {}
        }
        while let Ok(event) = events.try_recv() {
            queue.handle(&shared, event);
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

    fn handle(&mut self, shared: &Shared, event: QueueEvent) {
        match event {
            QueueEvent::Arrived {
                arrival,
                random,
                answer,
            } => self.handle_arrival(shared, &arrival, random, answer),
            QueueEvent::Cancelled(ticket) => self.handle_cancel(shared, ticket),
        }
    }

    fn handle_arrival(&mut self, shared: &Shared, arrival: &Arrival, random: u64, answer: Answer) {
        let now_ms = (shared.clock)();
        let queued = self
            .admission
            .enqueue(arrival, shared.capacity(), now_ms, random);
        match queued {
            Ok(()) => {
                self.answers.insert(arrival.ticket, answer);
            }
            Err(failure) => {
                shared.remove_waiting();
                let _ = answer.send(Err(failure));
            }
        }
    }

    fn handle_cancel(&mut self, shared: &Shared, ticket: Ticket) {
        if self.admission.cancel(ticket) {
            self.answers.remove(&ticket);
            shared.remove_waiting();
        }
    }

    fn admit(&mut self, shared: &Arc<Shared>) {
        let now_ms = (shared.clock)();
        while let Some(action) = self.admission.next_action(shared.capacity(), now_ms) {
            match action {
                Action::Admit(ticket) => {
                    let permit = shared.admit_waiting(now_ms);
                    self.send_answer(ticket, Ok(permit));
                }
                Action::Expire(ticket, failure) => {
                    shared.remove_waiting();
                    self.send_answer(ticket, Err(failure));
                }
            }
        }
    }

    /// Sends the answer to a request. If the caller has disconnected, the permit is dropped unread,
    /// which frees the slot.
    fn send_answer(&mut self, ticket: Ticket, answer: Result<Permit, Failure>) {
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
