//! Intervals between the reads of one follower.

use pacing::{Activity, Demand, LOG_PACE, Pacer, ReadOutcome, Urgency};

/// Random numbers that give a jitter of zero, by interval in milliseconds.
const NO_JITTER_RANDOM: [(u64, u64); 6] =
    [(0, 0), (20, 5), (50, 12), (100, 25), (200, 50), (500, 125)];

fn no_jitter_random(interval_ms: u64) -> u64 {
    let known = NO_JITTER_RANDOM
        .iter()
        .find(|(known, _)| *known == interval_ms);
    known.map_or(200, |(_, random)| *random)
}

struct Case {
    name: &'static str,
    outcome: ReadOutcome,
    urgency: Urgency,
    failures: u32,
    interval_ms: u64,
}

#[test]
fn can_pace_reads_by_urgency_and_by_how_the_last_one_ended() {
    let case = |name, outcome, urgency, failures, interval_ms| Case {
        name,
        outcome,
        urgency,
        failures,
        interval_ms,
    };
    let cases = [
        case(
            "more records available",
            ReadOutcome::MoreAvailable,
            Urgency::Idle,
            0,
            0,
        ),
        case(
            "records, acting",
            ReadOutcome::Records,
            Urgency::Acting,
            0,
            20,
        ),
        case(
            "records, a client waits",
            ReadOutcome::Records,
            Urgency::Waiting,
            0,
            50,
        ),
        case("records, idle", ReadOutcome::Records, Urgency::Idle, 0, 500),
        case("empty, acting", ReadOutcome::Empty, Urgency::Acting, 0, 0),
        case(
            "empty, a client waits",
            ReadOutcome::Empty,
            Urgency::Waiting,
            0,
            0,
        ),
        case("empty, idle", ReadOutcome::Empty, Urgency::Idle, 0, 500),
        case(
            "throttled once",
            ReadOutcome::Throttled,
            Urgency::Idle,
            1,
            100,
        ),
        case(
            "throttled often, idle",
            ReadOutcome::Throttled,
            Urgency::Idle,
            40,
            800,
        ),
        case(
            "throttled often, acting",
            ReadOutcome::Throttled,
            Urgency::Acting,
            40,
            200,
        ),
        case("failed twice", ReadOutcome::Failed, Urgency::Idle, 2, 200),
    ];
    for case in cases {
        let mut pacer = Pacer::new(LOG_PACE);
        for _ in 0..case.failures {
            pacer.record_outcome(case.outcome);
        }
        let interval_ms = pacer.interval_ms(
            case.outcome,
            case.urgency,
            no_jitter_random(case.interval_ms),
        );
        assert_eq!(interval_ms, case.interval_ms, "{}", case.name);
    }
}

#[test]
fn can_confirm_within_a_second_that_the_log_has_no_new_record() {
    // Guards against wrong answers to trainers: an idle front relies on its last read when it
    // answers that a step does not exist.
    let pacer = Pacer::new(LOG_PACE);
    let randoms = 0..1_000;
    let longest_ms = randoms
        .map(|random| pacer.interval_ms(ReadOutcome::Empty, Urgency::Idle, random))
        .max();
    assert!(longest_ms.unwrap_or(0) + pacer.wait_ms(Urgency::Idle) < 900);
}

#[test]
fn can_reset_the_backoff_after_a_successful_read() {
    let mut pacer = Pacer::new(LOG_PACE);
    for _ in 0..9 {
        pacer.record_outcome(ReadOutcome::Throttled);
    }
    pacer.record_outcome(ReadOutcome::Empty);
    pacer.record_outcome(ReadOutcome::Throttled);
    assert_eq!(
        pacer.interval_ms(ReadOutcome::Throttled, Urgency::Idle, 25),
        100
    );
}

#[tokio::test]
async fn can_end_an_interval_when_demand_rises() {
    type Raise = fn(&Demand);
    let raises: [(&str, Raise, Urgency); 5] = [
        (
            "a client waits",
            |demand| std::mem::forget(demand.begin_wait()),
            Urgency::Waiting,
        ),
        (
            "items",
            |demand| demand.set_active(Activity::Items, true),
            Urgency::Acting,
        ),
        (
            "orders",
            |demand| demand.set_active(Activity::Orders, true),
            Urgency::Acting,
        ),
        (
            "lease successor",
            |demand| demand.set_active(Activity::LeaseSuccessor, true),
            Urgency::Waiting,
        ),
        ("new partitions", Demand::refresh, Urgency::Idle),
    ];
    for (name, raise, urgency) in raises {
        let demand = Demand::default();
        assert_eq!(demand.urgency(), Urgency::Idle);
        let raised = demand.raised();
        raise(&demand);
        raised.await;
        assert_eq!(demand.urgency(), urgency, "{name}");
    }
}

#[test]
fn can_become_idle_after_the_last_client_and_activity_end() {
    let demand = Demand::default();
    demand.set_active(Activity::Items, true);
    demand.set_active(Activity::Orders, true);
    demand.set_active(Activity::Items, false);
    assert_eq!(demand.urgency(), Urgency::Acting);
    demand.set_active(Activity::Orders, false);
    let (first, second) = (demand.begin_wait(), demand.begin_wait());
    drop(first);
    assert_eq!(demand.urgency(), Urgency::Waiting);
    drop(second);
    assert_eq!(demand.urgency(), Urgency::Idle);
}
