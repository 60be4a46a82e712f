//! Which calls wait for a replica, in which order they are sent, and which are refused.

use concurrency::{
    Admitted, Arrival, Arrived, CHECK_INTERVAL_MS, Refusal, RefusalReason, ReplicaUse,
    ServiceQueue, has_room,
};
use limits::Ticket;
use types::{Class, CustomerName};

const IDLE: ReplicaUse = ReplicaUse {
    limit: 6,
    calls: 0,
    background: 0,
    paused: false,
    ejected: false,
};
const FULL: ReplicaUse = ReplicaUse { calls: 6, ..IDLE };

fn arrival(customer: &str, class: Class) -> Arrival {
    Arrival {
        customer: CustomerName::new(customer).expect("a name"),
        class,
        typical_ms: 25,
        deadline_ms: 2_000,
    }
}

fn interactive(customer: &str) -> Arrival {
    arrival(customer, Class::Interactive)
}

fn reward() -> Arrival {
    arrival("trainer", Class::Background)
}

fn wait(queue: &mut ServiceQueue, arrival: &Arrival, replicas: &[ReplicaUse]) -> Ticket {
    match queue.arrive(arrival, replicas, 0, 0) {
        Arrived::Waiting(ticket) => ticket,
        other => unreachable!("the call does not wait: {other:?}"),
    }
}

fn refusal(queue: &mut ServiceQueue, arrival: &Arrival, random: u64) -> Option<Refusal> {
    match queue.arrive(arrival, &[FULL], 0, random) {
        Arrived::Refused(refusal) => Some(refusal),
        _ => None,
    }
}

/// Guards against a call that waits while a replica could take it, and against one that overtakes.
#[test]
fn a_call_waits_only_if_no_replica_has_room_for_it() {
    struct Case {
        name: &'static str,
        replicas: Vec<ReplicaUse>,
        class: Class,
        free: bool,
    }
    let background = |calls| ReplicaUse {
        calls,
        background: calls,
        ..IDLE
    };
    // The limit fell while calls were in flight.
    let over_limit = ReplicaUse { limit: 1, ..FULL };
    let lowest = ReplicaUse { limit: 1, ..IDLE };
    let ejected = |replica| ReplicaUse {
        ejected: true,
        ..replica
    };
    let paused = ReplicaUse {
        paused: true,
        ..IDLE
    };
    let (customers, rewards) = (Class::Interactive, Class::Background);
    let case = |name, replicas, class, free| Case {
        name,
        replicas,
        class,
        free,
    };
    let cases = [
        case("an idle replica", vec![FULL, IDLE], customers, true),
        case("all replicas full", vec![FULL, FULL], customers, false),
        case(
            "an idle replica at the lowest limit beside one above its limit",
            vec![over_limit, over_limit, lowest],
            customers,
            true,
        ),
        case(
            "only an ejected one is idle",
            vec![FULL, ejected(IDLE)],
            customers,
            false,
        ),
        case(
            "only one that has just refused is idle",
            vec![FULL, paused],
            customers,
            false,
        ),
        case(
            "all are ejected",
            vec![ejected(FULL), ejected(IDLE)],
            customers,
            true,
        ),
        case(
            "a customer's call beside reward calls",
            vec![background(4)],
            customers,
            true,
        ),
        case(
            "a fourth reward call at a replica with six slots",
            vec![background(3)],
            rewards,
            true,
        ),
        case(
            "a fifth reward call at a replica with six slots",
            vec![background(4)],
            rewards,
            false,
        ),
        case(
            "a third reward call where the limit has fallen to three",
            vec![ReplicaUse {
                limit: 3,
                ..background(2)
            }],
            rewards,
            false,
        ),
        case(
            "a reward call at an idle replica",
            vec![FULL, IDLE],
            rewards,
            true,
        ),
    ];
    for case in cases {
        let mut queue = ServiceQueue::default();
        let arrived = queue.arrive(&arrival("a", case.class), &case.replicas, 0, 0);
        assert_eq!(arrived == Arrived::Free, case.free, "{}", case.name);
        // A call that waits is not admitted either while nothing changes.
        assert_eq!(queue.next(&case.replicas, 0, 0), None, "{}", case.name);
    }
}

/// Guards against reward calls that hold back customers' calls: they wait for the limit on
/// background calls while a slot is free.
#[test]
fn a_customer_s_call_overtakes_waiting_reward_calls() {
    let mut queue = ServiceQueue::default();
    let background = ReplicaUse {
        calls: 4,
        background: 4,
        ..IDLE
    };
    wait(&mut queue, &reward(), &[background]);
    let arrived = queue.arrive(&interactive("a"), &[background], 0, 0);
    assert_eq!(arrived, Arrived::Free);
}

/// Guards against a flood that delays the calls of others, and against reward calls that starve.
#[test]
fn free_slots_go_to_customers_in_turn_and_one_in_four_to_reward_calls() {
    let mut queue = ServiceQueue::default();
    let flood: Vec<Ticket> = (0..9)
        .map(|_| wait(&mut queue, &interactive("flood"), &[FULL]))
        .collect();
    let small = wait(&mut queue, &interactive("small"), &[FULL]);
    let rewards: Vec<Ticket> = (0..3)
        .map(|_| wait(&mut queue, &reward(), &[FULL]))
        .collect();
    let one_free = ReplicaUse { calls: 5, ..IDLE };
    let sent: Vec<Ticket> = (0..8)
        .map_while(|_| match queue.next(&[one_free], 10, 0) {
            Some(Admitted::Send(ticket)) => Some(ticket),
            _ => None,
        })
        .collect();
    let expected = [
        flood[0], small, flood[1], rewards[0], flood[2], flood[3], flood[4], rewards[1],
    ];
    assert_eq!(sent, expected);
}

/// Guards against calls that wait for nothing, and against callers that return together.
#[test]
fn a_call_that_would_wait_past_its_deadline_is_refused_at_once() {
    let mut queue = ServiceQueue::default();
    (0..16).for_each(|_| queue.record_hold(1_000_000));
    let mut waiting = 0;
    let first = loop {
        match refusal(&mut queue, &interactive("a"), 0) {
            Some(refusal) => break refusal,
            None => waiting += 1,
        }
    };
    // Six slots, each held for some 0.65 s: 2 s are over after 18 calls.
    assert!((12..24).contains(&waiting), "{waiting} calls wait");
    assert_eq!(first.reason, RefusalReason::WaitTooLong);
    assert_eq!(first.queued, waiting);
    assert!(first.estimated_ms >= 2_000 && first.retry_after_ms >= first.estimated_ms);
    let last = refusal(&mut queue, &interactive("a"), u64::MAX).expect("a refusal");
    assert!(last.retry_after_ms >= first.retry_after_ms + 250, "spread");
}

/// Guards against a small customer that is refused because of another one's flood.
#[test]
fn a_full_queue_of_one_customer_refuses_only_that_customer() {
    let mut queue = ServiceQueue::default();
    (0..400).for_each(|_| queue.record_hold(1_000));
    let refused = (0..200).find_map(|_| refusal(&mut queue, &interactive("flood"), 0));
    assert_eq!(
        refused.map(|refusal| refusal.reason),
        Some(RefusalReason::QueueFull)
    );
    wait(&mut queue, &interactive("small"), &[FULL]);
}

/// Guards against a call that is sent after its caller has given up.
#[test]
fn a_call_whose_time_passes_in_the_queue_is_refused() {
    let mut queue = ServiceQueue::default();
    let ticket = wait(&mut queue, &interactive("a"), &[FULL]);
    let next = queue.next(&[IDLE], 2_000, 0);
    let Some(Admitted::Refuse(refused, refusal)) = next else {
        unreachable!("not refused: {next:?}");
    };
    assert_eq!((refused, refusal.reason), (ticket, RefusalReason::Expired));
    assert!(queue.is_empty());
}

/// Guards against a service that refuses all calls because each replica has just refused one.
#[test]
fn a_call_waits_for_replicas_that_have_just_refused_one() {
    let mut queue = ServiceQueue::default();
    let paused = ReplicaUse {
        paused: true,
        ..IDLE
    };
    let ticket = wait(&mut queue, &interactive("a"), &[paused, paused]);
    assert_eq!(queue.next(&[paused, paused], 5, 0), None);
    assert_eq!(
        queue.next(&[paused, IDLE], 10, 0),
        Some(Admitted::Send(ticket))
    );
}

/// Guards against callers that return together because all replicas were full, or much later than a
/// slot becomes free.
#[test]
fn a_caller_that_no_replica_took_returns_within_a_few_durations_of_a_call() {
    let queue = ServiceQueue::default();
    let retry_after_ms = |random| {
        let refusal = queue.refusal(RefusalReason::NotTaken, &[IDLE], random);
        refusal.retry_after_ms
    };
    let times: std::collections::BTreeSet<u64> = (0..1_000).map(retry_after_ms).collect();
    assert!(times.len() > 100, "spread");
    assert!(times.iter().all(|ms| (40..=210).contains(ms)), "{times:?}");
}

/// Guards against a slot that goes to a client that is gone.
#[test]
fn a_cancelled_call_is_not_sent() {
    let mut queue = ServiceQueue::default();
    let gone = wait(&mut queue, &interactive("a"), &[FULL]);
    let stays = wait(&mut queue, &interactive("a"), &[FULL]);
    queue.cancel(gone);
    assert_eq!(queue.next(&[IDLE], 1, 0), Some(Admitted::Send(stays)));
    assert_eq!(queue.next(&[IDLE], 1, 0), None);
}

/// Guards against retries that multiply an overload, and against none at all with few calls.
#[test]
fn retries_are_a_tenth_of_the_calls_and_at_least_ten() {
    let queue = ServiceQueue::default();
    let spent = |now_ms| {
        (0..1_000)
            .take_while(|_| queue.try_spend_retry(now_ms))
            .count()
    };
    assert_eq!(spent(100_000), 10);
    (0..300).for_each(|_| queue.record_first_attempt());
    assert_eq!(spent(100_000), 30);
    (0..100_000).for_each(|_| queue.record_first_attempt());
    assert!(spent(100_000) <= 50, "calls of long ago");
    assert_eq!(spent(110_000), 10);
}

/// Guards against checks of all replicas that grow with the number of waiting calls, and against a
/// waiting call that is not served for longer than an interval.
#[test]
fn waiting_calls_share_the_checks_of_the_replicas() {
    let mut queue = ServiceQueue::default();
    let mut checks = 0;
    let mut last_ms = 0;
    // Three hundred calls check in turn, spread over each interval.
    for now_ms in 100..1_100 {
        for _ in 0..300 / CHECK_INTERVAL_MS {
            if queue.take_check(now_ms) {
                checks += 1;
                assert!(last_ms == 0 || now_ms - last_ms == CHECK_INTERVAL_MS);
                last_ms = now_ms;
            }
        }
    }
    assert_eq!(checks, 1_000 / CHECK_INTERVAL_MS);
}

/// Guards against a record with an absurd number of slots, which stops the calls of the service.
#[test]
fn a_replica_may_report_any_number_of_slots() {
    let huge = ReplicaUse {
        limit: u32::MAX,
        ..IDLE
    };
    let mut queue = ServiceQueue::default();
    let replicas = [huge, huge, FULL];
    for class in Class::ALL {
        assert!(has_room(&huge, class), "{class:?}");
    }
    let arrived = queue.arrive(&reward(), &replicas, 0, 0);
    assert_eq!(arrived, Arrived::Free);
    let ticket = wait(&mut queue, &reward(), &[FULL]);
    let next = queue.next(&replicas, 0, 0);
    assert_eq!(next, Some(Admitted::Send(ticket)));
    let refusal = queue.refusal(RefusalReason::NotTaken, &replicas, 0);
    assert_eq!(refusal.estimated_ms, 0);
}

checks::seeded! {
    /// Guards against a call that is held back while an idle replica could take it, in any state.
    fn an_idle_replica_takes_a_call(states: Vec<(u8, u8, bool)>, waiting: u8) -> bool {
        let others = states.into_iter().map(|(limit, calls, ejected)| ReplicaUse {
            limit: u32::from(limit % 6) + 1,
            calls: u32::from(calls % 8),
            background: u32::from(calls % 3),
            paused: calls % 5 == 0,
            ejected,
        });
        let before: Vec<ReplicaUse> = others.filter(|other| !has_room(other, Class::Interactive)).collect();
        let mut queue = ServiceQueue::default();
        (0..waiting % 8).for_each(|_| {
            queue.arrive(&interactive("a"), &before, 0, 0);
        });
        // A replica becomes idle: every call that waits and every new one finds it.
        let mut after = before;
        after.push(ReplicaUse { limit: 1, ..IDLE });
        while let Some(admitted) = queue.next(&after, 1, 0) {
            if !matches!(admitted, Admitted::Send(_)) {
                return false;
            }
        }
        queue.is_empty() && queue.arrive(&interactive("b"), &after, 1, 0) == Arrived::Free
    }
}
