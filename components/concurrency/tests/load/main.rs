//! Who is affected when a service has too little capacity: load patterns without a network.

mod sim;

use sim::{Health, Outcome, Scenario, Traffic, run};
use types::Class;

fn quotes(per_s: f64) -> Traffic {
    Traffic {
        customer: "quotes",
        class: Class::Interactive,
        per_s,
        service_ms: 21,
        deadline_ms: 2_000,
        fronts: 0..6,
        during_ms: 0..10_000,
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

fn scenario(traffic: Vec<Traffic>) -> Scenario {
    Scenario {
        fronts: 6,
        replicas: 5,
        health: |_, _| Health::Serves(1_000),
        traffic,
        duration_ms: 10_000,
        seed: 7,
    }
}

fn print(name: &str, scenario: &Scenario, outcomes: &[Outcome]) {
    for (traffic, outcome) in scenario.traffic.iter().zip(outcomes) {
        println!(
            "{name} {}: calls={} answered={} refused={} timed_out={} refusals={} sent={} p50={} p99={}",
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

/// Guards against a wrong picture of the present behaviour: a customer that asks for a twentieth of
/// what the flood asks for is refused and waits as long as the flood, and each call is sent to the
/// replicas many times. Load pattern: a third of the replicas gone, one customer calls twenty times
/// its share, reward calls of steps at the same time.
#[test]
fn a_flood_without_a_queue_is_paid_by_all_customers() {
    let flood = Traffic {
        customer: "flood",
        per_s: 1_600.0,
        ..quotes(0.0)
    };
    let scenario = scenario(vec![quotes(80.0), flood, rewards(90.0)]);
    let outcomes = run(&scenario);
    print("flood, today", &scenario, &outcomes);
    let quotes = &outcomes[0];
    assert!(quotes.answered_permille() < 950 && quotes.latency_ms(990) > 1_000);
    assert!(quotes.sent > 10 * quotes.calls);
    assert!(outcomes[2].answered_permille() < 700, "reward calls");
}
