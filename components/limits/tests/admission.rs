//! The order in which waiting requests are admitted, and the answers to refused requests.

#![allow(clippy::unwrap_used)]

mod common;

use common::queue::{self, Order, Stream};
use common::{SplitMix64, customer};
use limits::{Action, Admission, AdmissionSettings, Arrival, Capacity, Ticket, retry_after_ms};
use types::{Cause, Class, Failure, RunState};

const FREE: Capacity = Capacity {
    in_progress: 0,
    limit: 10,
    hold_ms: 100,
};
const FULL: Capacity = Capacity {
    in_progress: 10,
    ..FREE
};

fn arrival(ticket: u64, name: &str, class: Class) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        customer: customer(name),
        weight: 1,
        class,
        cost: 1,
        deadline_ms: 1_000_000,
    }
}

fn admission() -> Admission {
    Admission::new(AdmissionSettings::default())
}

/// Admits up to `count` requests and returns their tickets in order.
fn order(admission: &mut Admission, count: usize) -> Vec<u64> {
    let one = |_| match admission.next_action(FREE, 0) {
        Some(Action::Admit(ticket)) => Some(ticket.0),
        _ => None,
    };
    (0..count).map_while(one).collect()
}

#[test]
fn orders_by_class_then_between_customers() {
    struct Case {
        name: &'static str,
        arrivals: Vec<Arrival>,
        expected: Vec<u64>,
    }
    let (interactive, sampling) = (Class::Interactive, Class::Sampling);
    let heavy = |ticket, name| Arrival {
        weight: 3,
        ..arrival(ticket, name, interactive)
    };
    let large = |ticket, name| Arrival {
        cost: 3,
        ..arrival(ticket, name, interactive)
    };
    let cases = [
        Case {
            name: "an interactive request is admitted before samples",
            arrivals: vec![
                arrival(1, "a", sampling),
                arrival(2, "a", Class::Background),
                arrival(3, "b", interactive),
            ],
            expected: vec![3, 2, 1],
        },
        Case {
            name: "a single request of b is admitted after one of a's many",
            arrivals: vec![
                arrival(1, "a", interactive),
                arrival(2, "a", interactive),
                arrival(3, "a", interactive),
                arrival(4, "b", interactive),
            ],
            expected: vec![1, 4, 2, 3],
        },
        Case {
            name: "weight 3 gets three admissions for one of weight 1",
            arrivals: [1, 2, 3, 4]
                .map(|ticket| arrival(ticket, "a", interactive))
                .into_iter()
                .chain([5, 6, 7, 8].map(|ticket| heavy(ticket, "b")))
                .collect(),
            expected: vec![1, 5, 6, 7, 2, 8, 3, 4],
        },
        Case {
            name: "large requests get fewer admissions",
            arrivals: [1, 2]
                .map(|ticket| large(ticket, "a"))
                .into_iter()
                .chain([3, 4, 5, 6].map(|ticket| arrival(ticket, "b", interactive)))
                .collect(),
            expected: vec![1, 3, 4, 5, 2, 6],
        },
    ];
    for case in cases {
        let mut admission = admission();
        for arrival in &case.arrivals {
            admission.enqueue(arrival, FULL, 0, 0).unwrap();
        }
        assert_eq!(order(&mut admission, 20), case.expected, "{}", case.name);
    }
}

// Guards against starvation of samples. A sample waits while interactive requests keep the service
// full; strict priority would never admit the sample. It is admitted after 16 of them.
#[test]
fn a_waiting_class_is_skipped_a_bounded_number_of_times() {
    let mut admission = admission();
    admission
        .enqueue(&arrival(0, "a", Class::Sampling), FULL, 0, 0)
        .unwrap();
    for ticket in 1..=40 {
        let interactive = arrival(ticket, "a", Class::Interactive);
        admission.enqueue(&interactive, FULL, 0, 0).unwrap();
    }
    let order = order(&mut admission, 41);
    assert_eq!(order.iter().position(|&ticket| ticket == 0), Some(16));
}

#[test]
fn samples_leave_slots_for_interactive_requests() {
    let mut admission = admission();
    let capacity = |in_progress| Capacity {
        in_progress,
        limit: 20,
        ..FREE
    };
    admission
        .enqueue(&arrival(1, "a", Class::Sampling), capacity(20), 0, 0)
        .unwrap();
    assert_eq!(admission.next_action(capacity(18), 0), None);
    admission
        .enqueue(&arrival(2, "a", Class::Interactive), capacity(20), 0, 0)
        .unwrap();
    assert_eq!(
        admission.next_action(capacity(18), 0),
        Some(Action::Admit(Ticket(2)))
    );
    assert_eq!(
        admission.next_action(capacity(17), 0),
        Some(Action::Admit(Ticket(1)))
    );
}

#[test]
fn refuses_at_once_requests_that_cannot_be_admitted_in_time() {
    struct Case {
        name: &'static str,
        waiting: u64,
        of: &'static str,
        deadline_ms: u64,
        expected: Option<Cause>,
    }
    let case = |name, waiting, of, deadline_ms, expected| Case {
        name,
        waiting,
        of,
        deadline_ms,
        expected,
    };
    let (full, passed) = (Some(Cause::QueueFull), Some(Cause::DeadlinePassed));
    let cases = [
        case("can wait for a short queue", 10, "b", 1_000, None),
        case(
            "errors when the queue is longer than the deadline",
            30,
            "b",
            200,
            full,
        ),
        case(
            "can overtake the queue of another customer",
            30,
            "a",
            200,
            None,
        ),
        case(
            "errors when the customer has the maximum of waiting requests",
            64,
            "b",
            900_000,
            full,
        ),
        case("errors when the deadline has passed", 0, "b", 100, passed),
    ];
    for case in cases {
        let mut admission = admission();
        for ticket in 0..case.waiting {
            let before = arrival(ticket, case.of, Class::Interactive);
            admission.enqueue(&before, FULL, 100, 0).unwrap();
        }
        let last = Arrival {
            deadline_ms: case.deadline_ms,
            ..arrival(99, "b", Class::Interactive)
        };
        let refused = admission.enqueue(&last, FULL, 100, u64::MAX).err();
        assert_eq!(
            refused.map(|failure| failure.cause),
            case.expected,
            "{}",
            case.name
        );
        let is_not_run = |failure: Failure| failure.run == RunState::NotRun;
        assert!(refused.is_none_or(is_not_run), "{}", case.name);
        let has_time = |failure: Failure| failure.retry_after_ms.is_some();
        let in_queue = case.expected == Some(Cause::QueueFull);
        assert_eq!(refused.is_some_and(has_time), in_queue, "{}", case.name);
    }
}

// Guards against running work whose callers have timed out. The process was paused with requests
// queued, and the deadlines of some passed during the pause.
#[test]
fn a_paused_owner_expires_before_it_admits() {
    let mut admission = admission();
    for ticket in 0..3 {
        let queued = Arrival {
            deadline_ms: 1_000 * (ticket + 1),
            ..arrival(ticket, "a", Class::Interactive)
        };
        admission.enqueue(&queued, FULL, 0, 0).unwrap();
    }
    let expired = Failure::not_run(Cause::DeadlinePassed);
    assert_eq!(
        admission.next_action(FREE, 2_500),
        Some(Action::Expire(Ticket(0), expired))
    );
    assert_eq!(
        admission.next_action(FREE, 2_500),
        Some(Action::Expire(Ticket(1), expired))
    );
    assert_eq!(
        admission.next_action(FREE, 2_500),
        Some(Action::Admit(Ticket(2)))
    );
    assert_eq!(admission.next_action(FREE, 2_500), None);
}

// Guards against charging a customer for expired requests. During a stall A's requests expire while
// a request of C keeps the queue from becoming empty. If A were charged, B, which arrives after the
// stall, would precede A for as long as the stall lasted.
#[test]
fn expired_requests_are_not_charged() {
    let mut admission = admission();
    admission
        .enqueue(&arrival(0, "c", Class::Interactive), FULL, 0, 0)
        .unwrap();
    let mut ticket = 0;
    for round in 0..50 {
        let now_ms = round * 1_000;
        for _ in 0..20 {
            ticket += 1;
            let queued = Arrival {
                deadline_ms: now_ms + 500,
                ..arrival(ticket, "a", Class::Interactive)
            };
            admission.enqueue(&queued, FULL, now_ms, 0).unwrap();
        }
        while admission.next_action(FULL, now_ms + 900).is_some() {}
    }
    admission
        .enqueue(&arrival(5_001, "a", Class::Interactive), FULL, 60_000, 0)
        .unwrap();
    for ticket in 6_001..6_011 {
        admission
            .enqueue(&arrival(ticket, "b", Class::Interactive), FULL, 60_000, 0)
            .unwrap();
    }
    let position = order(&mut admission, 20)
        .iter()
        .position(|&ticket| ticket == 5_001);
    assert!(position < Some(4), "{position:?}");
}

fn stream(name: &'static str, class: Class, load: f64) -> Stream {
    Stream {
        name,
        class,
        load,
        deadline_ms: 10_000,
    }
}

// Guards against harm by an overloading customer. A sends ten times its share, B stays below its
// share. B's waits may grow by the time that A's requests in progress take, and B is not refused;
// with one FIFO queue, B would wait behind A and most of its requests would be refused.
#[test]
fn a_customer_at_ten_times_its_share_does_not_harm_another() {
    const FACTOR_MAX: f64 = 2.0;
    for (class_a, class_b) in [
        (Class::Interactive, Class::Interactive),
        (Class::Sampling, Class::Interactive),
        (Class::Interactive, Class::Sampling),
    ] {
        let b_with = |load_a, order| {
            let streams = [stream("a", class_a, load_a), stream("b", class_b, 0.4)];
            queue::run(&streams, order, 7, 100_000).remove(1)
        };
        let quiet = b_with(0.5, Order::Fair);
        let fair = b_with(5.0, Order::Fair);
        let fifo = b_with(5.0, Order::Fifo);
        let factor = fair.wait_ms(990) as f64 / quiet.wait_ms(990) as f64;
        println!(
            "{class_a} beside {class_b}: p99 {} -> {} ms, x{factor:.2}; one line {} ms, {:.0} % admitted",
            quiet.wait_ms(990),
            fair.wait_ms(990),
            fifo.wait_ms(990),
            100.0 * fifo.admitted_share(),
        );
        assert!(factor < FACTOR_MAX, "{class_a} beside {class_b}: {factor}");
        assert!(fair.admitted_share() > 0.999);
        assert!(fifo.admitted_share() < 0.5);
    }
}

#[test]
fn no_class_and_no_customer_starves_under_overload() {
    let streams: Vec<Stream> = ["a", "b", "c"]
        .into_iter()
        .flat_map(|name| Class::ALL.map(|class| stream(name, class, 0.5)))
        .collect();
    let tallies = queue::run(&streams, Order::Fair, 3, 100_000);
    for (stream, tally) in streams.iter().zip(&tallies) {
        let share = tally.admitted_share();
        assert!(share > 0.02, "{} {}: {share}", stream.name, stream.class);
    }
}

// Guards against a class that may not use the free slots and holds back the other classes, and
// against one that stays behind once it may use them.
#[test]
fn other_classes_overtake_a_closed_class_until_it_opens() {
    let mut admission = Admission::new(AdmissionSettings {
        background_skips_max: 1,
        ..AdmissionSettings::default()
    });
    let background = [Class::Background];
    for (ticket, class) in [
        (0, Class::Background),
        (1, Class::Interactive),
        (2, Class::Interactive),
        (3, Class::Interactive),
    ] {
        let queued = arrival(ticket, "a", class);
        admission.enqueue(&queued, FREE, 0, 0).unwrap();
    }
    let waiting =
        [Class::Interactive, Class::Background].map(|class| admission.waiting_up_to(class));
    assert_eq!(waiting, [3, 4]);
    let admitted = |ticket| Some(Action::Admit(Ticket(ticket)));
    for ticket in [1, 2] {
        let next = admission.next_action_without(&background, FREE, 0);
        assert_eq!(next, admitted(ticket));
    }
    assert_eq!(admission.next_action(FREE, 0), admitted(0));
    assert_eq!(
        admission.next_action_without(&background, FREE, 0),
        admitted(3)
    );
    assert!(admission.is_empty());
}

checks::seeded! {
    // For random arrivals and cancellations each request is answered exactly once, and the queue is
    // empty in the end.
    fn every_request_has_one_answer(seed: u64) -> bool {
        let mut rng = SplitMix64(seed);
        let mut admission = admission();
        let mut answers = vec![0_u32; 400];
        for step in 0..400_u64 {
            let now_ms = step * 10;
            let queued = Arrival {
                class: Class::ALL[rng.below(3) as usize],
                cost: rng.below(5) as u32,
                weight: rng.below(4) as u32,
                deadline_ms: now_ms + rng.below(3_000),
                ..arrival(step, ["a", "b", "c"][rng.below(3) as usize], Class::Sampling)
            };
            let capacity = Capacity { in_progress: rng.below(12) as u32, ..FREE };
            if admission.enqueue(&queued, capacity, now_ms, 0).is_err() {
                answers[step as usize] += 1;
            }
            let other = rng.below(step + 1);
            if rng.below(5) == 0 && admission.cancel(Ticket(other)) {
                answers[other as usize] += 1;
            }
            if rng.below(2) == 0 && let Some(action) = admission.next_action(capacity, now_ms) {
                let (Action::Admit(ticket) | Action::Expire(ticket, _)) = action;
                answers[ticket.0 as usize] += 1;
            }
        }
        while let Some(action) = admission.next_action(FREE, u64::MAX) {
            let (Action::Admit(ticket) | Action::Expire(ticket, _)) = action;
            answers[ticket.0 as usize] += 1;
        }
        admission.is_empty() && answers.iter().all(|&count| count == 1)
    }

    fn retry_after_is_the_wait_and_up_to_half_more(wait_ms: u64, random: u64) -> bool {
        let wait_ms = wait_ms % 50_000;
        let back_ms = u64::from(retry_after_ms(wait_ms, random));
        back_ms >= wait_ms && back_ms <= wait_ms + (wait_ms / 2).max(250)
    }
}
