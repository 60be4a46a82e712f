//! When a second copy of a slow call is sent.

#![allow(clippy::panic, clippy::unwrap_used)]

use routing::Latencies;
use routing::hedge::{HedgeCandidate, HedgeDecision, HedgeSettings, decide_hedge};

#[test]
fn hedges_a_straggler_within_the_budget() {
    struct Case {
        name: &'static str,
        known: u32,
        may_run_twice: bool,
        deadline_ms: u64,
        now_ms: u64,
        budget: bool,
        expected: HedgeDecision,
    }
    let usual = Case {
        name: "can be sent once the call is slower than the quantile",
        known: 200,
        may_run_twice: true,
        deadline_ms: 10_000,
        now_ms: 1_200,
        budget: true,
        expected: HedgeDecision::Send,
    };
    let cases = [
        Case {
            name: "is not sent before",
            now_ms: 1_050,
            expected: HedgeDecision::RecheckAt(1_112),
            ..usual
        },
        Case {
            name: "never for a call that is not idempotent",
            may_run_twice: false,
            expected: HedgeDecision::Never,
            ..usual
        },
        Case {
            name: "never when the budget is exhausted",
            budget: false,
            expected: HedgeDecision::Never,
            ..usual
        },
        Case {
            name: "never with fewer recent calls than the minimum",
            known: 50,
            expected: HedgeDecision::Never,
            ..usual
        },
        Case {
            name: "never with too little time before the deadline",
            deadline_ms: 1_210,
            expected: HedgeDecision::Never,
            ..usual
        },
        usual,
    ];
    for case in cases {
        let latencies = Latencies::new(60_000);
        (0..case.known).for_each(|_| latencies.record(100, 0));
        let call = HedgeCandidate {
            sent_at_ms: 1_000,
            deadline_ms: case.deadline_ms,
            may_run_twice: case.may_run_twice,
        };
        let settings = HedgeSettings::default();
        let found = decide_hedge(call, &latencies, &settings, case.now_ms, || case.budget);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

#[test]
fn old_latencies_are_dropped() {
    let latencies = Latencies::new(1_000);
    (0..10).for_each(|_| latencies.record(5_000, 0));
    latencies.record(10, 1_500);
    assert!(latencies.quantile_ms(990, 1).unwrap() >= 5_000);
    latencies.record(10, 2_500);
    assert!(latencies.quantile_ms(990, 1).unwrap() < 20);
    latencies.record(10, 60_500);
    assert_eq!(latencies.quantile_ms(990, 2), None);
}

checks::seeded! {
    fn a_quantile_is_at_most_a_quarter_too_high(values: Vec<u16>, permille: u32) -> bool {
        let permille = 1 + permille % 1_000;
        let latencies = Latencies::new(1_000);
        let mut values: Vec<u64> = values.into_iter().map(|value| u64::from(value) + 1).collect();
        values.iter().for_each(|&value| latencies.record(value, 0));
        values.sort_unstable();
        let position = (values.len() * permille as usize).div_ceil(1_000).saturating_sub(1);
        match (values.get(position), latencies.quantile_ms(permille, 1)) {
            (Some(&exact), Some(found)) => found >= exact && found <= exact + exact.div_ceil(4) + 1,
            (None, None) => true,
            _ => false,
        }
    }
}
