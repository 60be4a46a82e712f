//! Who is affected when a service has too little capacity: load patterns without a network.

mod sim;

use sim::{Health, Mode, Outcome, Scenario, Traffic, run};
use types::Class;

fn quotes(per_s: f64) -> Traffic {
    Traffic {
        customer: "quotes",
        class: Class::Interactive,
        per_s,
        service_ms: 21,
        deadline_ms: 2_000,
        fronts: 0..6,
        during_ms: 0..6_000,
        returns: true,
    }
}

fn rewards(per_s: f64) -> Traffic {
    Traffic {
        customer: "trainer",
        class: Class::Background,
        per_s,
        service_ms: 80,
        fronts: 0..1,
        ..quotes(0.0)
    }
}

/// Latency that quotes and reward calls are to have in 99 of 100 cases.
const TARGETS_MS: [u64; 2] = [200, 400];
/// When replicas are away in the patterns with an outage.
const OUTAGE_MS: std::ops::Range<u64> = 2_000..4_000;

fn flooded() -> Scenario {
    let flood = Traffic {
        customer: "flood",
        ..quotes(1_600.0)
    };
    scenario(vec![quotes(80.0), flood, rewards(90.0)])
}

fn scenario(traffic: Vec<Traffic>) -> Scenario {
    Scenario {
        fronts: 6,
        replicas: 5,
        health: |_, _| Health::Serves(1_000),
        traffic,
        duration_ms: 6_000,
    }
}

/// Runs a scenario in both modes and prints the outcomes.
fn compare(name: &str, scenario: &Scenario) -> (Vec<Outcome>, Vec<Outcome>) {
    let unqueued = run(scenario, Mode::Unqueued);
    print(name, "unqueued", scenario, &unqueued);
    let queued = run(scenario, Mode::Queued);
    print(name, "queued", scenario, &queued);
    (unqueued, queued)
}

/// Requests sent to replicas, and calls.
fn totals(outcomes: &[Outcome]) -> (usize, usize) {
    let sent = outcomes.iter().map(|outcome| outcome.sent).sum();
    let calls = outcomes.iter().map(|outcome| outcome.calls).sum();
    (sent, calls)
}

fn print(name: &str, mode: &str, scenario: &Scenario, outcomes: &[Outcome]) {
    for (traffic, outcome) in scenario.traffic.iter().zip(outcomes) {
        println!(
            "{name}, {mode}, {}: calls={} answered={} refused={} timed_out={} refusals={} sent={} p50={} p99={}",
            traffic.customer,
            outcome.calls,
            outcome.answered,
            outcome.refused,
            outcome.timed_out,
            outcome.refusals,
            outcome.sent,
            outcome.latency_ms(500),
            outcome.latency_ms(990)
        );
    }
}

/// Guards against a wrong picture of the behaviour without a queue, which still applies where
/// replicas do not report their start: a customer that asks for a twentieth of what the flood asks
/// for is refused and waits as long as the flood, and each call is sent many times. Load pattern:
/// a third of the replicas gone, one customer calls twenty times its share, reward calls of steps
/// at the same time.
#[test]
fn a_flood_without_a_queue_is_paid_by_all_customers() {
    let scenario = flooded();
    let outcomes = run(&scenario, Mode::Unqueued);
    print("flood", "unqueued", &scenario, &outcomes);
    let quotes = &outcomes[0];
    assert!(quotes.answered_permille() < 950 && quotes.latency_ms(990) > 1_000);
    assert!(quotes.sent > 10 * quotes.calls);
    assert!(outcomes[2].answered_permille() < 700, "reward calls");
}

/// Guards against customers that pay for another one's flood, against reward calls that starve
/// behind it, and against retries that multiply it. Load pattern: flood by one customer, a third of
/// the replicas gone, reward calls of steps at the same time.
#[test]
fn a_flood_is_paid_by_the_customer_that_causes_it() {
    let scenario = flooded();
    let outcomes = run(&scenario, Mode::Queued);
    print("flood", "queued", &scenario, &outcomes);
    let [quotes, flood, rewards] = &outcomes[..] else {
        panic!("three traffics");
    };
    assert!(quotes.answered_permille() >= 995);
    assert!(quotes.latency_ms(990) <= TARGETS_MS[0]);
    assert!(flood.refused > 100, "the flood is refused");
    assert!(
        rewards.answered_permille() >= 500,
        "a share for reward calls"
    );
    let (sent, calls) = totals(&outcomes);
    assert!(sent < 2 * calls, "sent {sent} times for {calls} calls");
}

/// Guards against an overload of one route that takes the slots of another. Load pattern: short and
/// long calls (25 and 200 ms) of two customers and reward calls, more than the replicas can run;
/// bookings have 800 ms in all.
#[test]
fn long_calls_do_not_displace_short_ones_with_a_short_deadline() {
    let bookings = Traffic {
        customer: "bookings",
        service_ms: 25,
        deadline_ms: 800,
        ..quotes(300.0)
    };
    let large = Traffic {
        customer: "large",
        service_ms: 200,
        ..quotes(90.0)
    };
    let rewards = Traffic {
        service_ms: 200,
        ..rewards(60.0)
    };
    let (before, after) = compare("mixed", &scenario(vec![bookings, large, rewards]));
    assert!(after[0].answered_permille() >= 970);
    assert!(after[0].answered_permille() > before[0].answered_permille());
    assert!(after[1].answered_permille() >= 940);
    assert!(totals(&after).0 < totals(&before).0 / 3, "calls sent");
}

/// Guards against a queue that costs more than it saves where the service has enough capacity.
#[test]
fn a_service_with_enough_capacity_answers_as_fast_as_without_a_queue() {
    struct Case {
        name: &'static str,
        replicas: usize,
        health: fn(usize, u64) -> Health,
        traffic: [Traffic; 2],
        answered_permille: usize,
    }
    let serves = |_, _| Health::Serves(1_000);
    let cases = [
        Case {
            name: "light load",
            replicas: 5,
            health: serves,
            traffic: [quotes(200.0), rewards(60.0)],
            answered_permille: 1_000,
        },
        Case {
            name: "a fifth of the replicas 3.5 times slower",
            replicas: 5,
            health: |replica, _| Health::Serves(if replica == 0 { 3_500 } else { 1_000 }),
            traffic: [quotes(300.0), rewards(90.0)],
            answered_permille: 1_000,
        },
        Case {
            name: "half of the replicas refuse connections",
            replicas: 6,
            health: |replica, now_ms| match replica < 3 && OUTAGE_MS.contains(&now_ms) {
                true => Health::Down,
                false => Health::Serves(1_000),
            },
            traffic: [quotes(400.0), rewards(60.0)],
            answered_permille: 1_000,
        },
        // A call to a silent replica ends with its deadline if the hedged request gets the other
        // silent replica too.
        Case {
            name: "half of the replicas are silent",
            replicas: 6,
            health: |replica, now_ms| match replica < 3 && OUTAGE_MS.contains(&now_ms) {
                true => Health::Silent,
                false => Health::Serves(1_000),
            },
            traffic: [quotes(400.0), rewards(60.0)],
            answered_permille: 985,
        },
    ];
    for case in cases {
        let scenario = Scenario {
            replicas: case.replicas,
            health: case.health,
            ..scenario(case.traffic.to_vec())
        };
        let (before, after) = compare(case.name, &scenario);
        for ((before, after), target_ms) in before.iter().zip(&after).zip(TARGETS_MS) {
            let answered = after.answered_permille();
            assert!(answered >= case.answered_permille, "{}", case.name);
            assert!(
                after.latency_ms(500) <= before.latency_ms(500) + 1,
                "{}",
                case.name
            );
            assert!(after.latency_ms(990) <= target_ms, "{}", case.name);
        }
    }
}

/// Guards against callers that return together and hold down a service that has recovered. Load
/// pattern: all return after an outage of two seconds.
#[test]
fn callers_that_return_after_an_outage_do_not_arrive_together() {
    let scenario = Scenario {
        health: |_, now_ms| match OUTAGE_MS.contains(&now_ms) {
            true => Health::Down,
            false => Health::Serves(1_000),
        },
        ..scenario(vec![quotes(500.0), rewards(90.0)])
    };
    let (before, after) = compare("all return", &scenario);
    for (before, after) in before.iter().zip(&after) {
        assert!(after.answered_permille() >= before.answered_permille());
    }
    assert!(totals(&after).0 < totals(&before).0 / 3, "calls sent");
}

/// Guards against a queue that only helps fronts with many calls: here each of many fronts has few
/// calls in flight, and replicas are full with the calls of the others. Load pattern: flood by one
/// customer at all fronts, a third of the replicas gone, reward calls of steps at one front.
#[test]
fn fronts_with_few_calls_each_share_full_replicas() {
    struct Case {
        name: &'static str,
        flood_per_s: f64,
        quotes_p99_ms: u64,
        rewards_permille: usize,
    }
    let cases = [
        Case {
            name: "nearly full",
            flood_per_s: 1_000.0,
            quotes_p99_ms: TARGETS_MS[0],
            rewards_permille: 995,
        },
        Case {
            name: "overloaded",
            flood_per_s: 1_400.0,
            quotes_p99_ms: 1_700,
            rewards_permille: 850,
        },
    ];
    for case in cases {
        let at_all = |traffic| Traffic {
            fronts: 0..39,
            ..traffic
        };
        let flood = Traffic {
            customer: "flood",
            ..at_all(quotes(case.flood_per_s))
        };
        let scenario = Scenario {
            fronts: 39,
            ..scenario(vec![at_all(quotes(24.0)), flood, rewards(90.0)])
        };
        let outcomes = run(&scenario, Mode::Queued);
        print(case.name, "queued", &scenario, &outcomes);
        assert!(outcomes[0].answered_permille() >= 995, "{}", case.name);
        assert!(
            outcomes[0].latency_ms(990) <= case.quotes_p99_ms,
            "{}",
            case.name
        );
        assert!(
            outcomes[2].answered_permille() >= case.rewards_permille,
            "{}",
            case.name
        );
        let (sent, calls) = totals(&outcomes);
        assert!(
            sent < 3 * calls,
            "{}: sent {sent} times for {calls} calls",
            case.name
        );
    }
}
