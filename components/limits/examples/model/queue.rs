//! Simulation of one service with a number of slots, whose customers' requests pass through
//! [`Admission`].

use std::collections::HashMap;

use limits::{Action, Admission, AdmissionSettings, Arrival, Capacity, Ticket};
use types::Class;

use super::{SplitMix64, customer};

pub const SLOTS: u32 = 16;
const HOLD_MS: u64 = 80;
/// Requests per millisecond that the service can complete.
pub const CAPACITY: f64 = SLOTS as f64 / HOLD_MS as f64;

/// One stream of requests.
#[derive(Clone)]
pub struct Stream {
    pub name: &'static str,
    pub class: Class,
    /// Offered load as a fraction of the service's capacity.
    pub load: f64,
    pub deadline_ms: u64,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Order {
    /// Fair queueing between customers and bounded class priority.
    Fair,
    /// As [`Order::Fair`], but class priority applies however far ahead a customer is.
    PriorityOnly,
    /// One queue: all requests count as of one customer and one class.
    Fifo,
}

/// Outcomes of a stream's requests.
#[derive(Clone, Default)]
pub struct Tally {
    pub waits_ms: Vec<u64>,
    pub refused: usize,
    pub expired: usize,
}

impl Tally {
    pub fn wait_ms(&self, permille: usize) -> u64 {
        let mut waits_ms = self.waits_ms.clone();
        waits_ms.sort_unstable();
        let position = waits_ms.len() * permille / 1_000;
        waits_ms.get(position).copied().unwrap_or_default()
    }

    pub fn offered(&self) -> usize {
        self.waits_ms.len() + self.refused + self.expired
    }

    pub fn admitted_share(&self) -> f64 {
        self.waits_ms.len() as f64 / self.offered().max(1) as f64
    }
}

struct Model {
    admission: Admission,
    tallies: Vec<Tally>,
    waiting: HashMap<Ticket, (usize, u64)>,
    /// Times at which the requests in progress end.
    ends_ms: Vec<u64>,
}

/// Simulates the streams for `length_ms`; deterministic for a given `seed`.
pub fn run(streams: &[Stream], order: Order, seed: u64, length_ms: u64) -> Vec<Tally> {
    let settings = AdmissionSettings {
        initial_hold_ms: HOLD_MS as u32,
        lead_requests_max: match order {
            Order::PriorityOnly => u32::MAX,
            Order::Fair | Order::Fifo => AdmissionSettings::default().lead_requests_max,
        },
        ..AdmissionSettings::default()
    };
    let mut model = Model {
        admission: Admission::new(settings),
        tallies: vec![Tally::default(); streams.len()],
        waiting: HashMap::new(),
        ends_ms: Vec::new(),
    };
    let mut rng = SplitMix64(seed);
    let mut next = 0;
    for now_ms in 0..length_ms {
        model.ends_ms.retain(|&end_ms| end_ms > now_ms);
        for (position, stream) in streams.iter().enumerate() {
            for _ in 0..arrivals(stream.load * CAPACITY, &mut rng) {
                next += 1;
                let arrival = arrival(stream, order, Ticket(next), now_ms);
                model.arrive(position, &arrival, now_ms, rng.next_u64());
            }
        }
        model.admit(now_ms, &mut rng);
    }
    model.tallies
}

/// Number of arrivals in one millisecond, approximately Poisson distributed.
fn arrivals(mean: f64, rng: &mut SplitMix64) -> usize {
    const PARTS: usize = 8;
    (0..PARTS)
        .filter(|_| rng.unit() < mean / PARTS as f64)
        .count()
}

fn arrival(stream: &Stream, order: Order, ticket: Ticket, now_ms: u64) -> Arrival {
    let (name, class) = match order {
        Order::Fair | Order::PriorityOnly => (stream.name, stream.class),
        Order::Fifo => ("all", Class::Background),
    };
    Arrival {
        ticket,
        customer: customer(name),
        weight: 1,
        class,
        cost: 1,
        deadline_ms: now_ms + stream.deadline_ms,
    }
}

impl Model {
    fn capacity(&self) -> Capacity {
        Capacity {
            in_progress: self.ends_ms.len() as u32,
            limit: SLOTS,
            hold_ms: HOLD_MS as u32,
        }
    }

    fn arrive(&mut self, stream: usize, arrival: &Arrival, now_ms: u64, random: u64) {
        match self
            .admission
            .enqueue(arrival, self.capacity(), now_ms, random)
        {
            Ok(()) => {
                self.waiting.insert(arrival.ticket, (stream, now_ms));
            }
            Err(_) => self.tallies[stream].refused += 1,
        }
    }

    fn admit(&mut self, now_ms: u64, rng: &mut SplitMix64) {
        while let Some(action) = self.admission.next_action(self.capacity(), now_ms) {
            match action {
                Action::Admit(ticket) => {
                    let (stream, since_ms) = self.waiting.remove(&ticket).unwrap();
                    self.tallies[stream].waits_ms.push(now_ms - since_ms);
                    self.ends_ms.push(now_ms + 1 + rng.below(2 * HOLD_MS - 1));
                }
                Action::Expire(ticket, _) => {
                    let (stream, _) = self.waiting.remove(&ticket).unwrap();
                    self.tallies[stream].expired += 1;
                }
            }
        }
    }
}
