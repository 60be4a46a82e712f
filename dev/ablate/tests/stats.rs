//! Verdicts on paired runs.

use hornbeamrock_ablate::{Verdict, compare};
use quickcheck::quickcheck;

struct Case {
    label: &'static str,
    on: &'static [f64],
    off: &'static [f64],
    verdict: Verdict,
}

#[test]
fn can_give_the_verdict_of_each_case() {
    let cases = [
        Case {
            label: "all days are worse without the mechanism",
            on: &[0.90, 0.80, 0.85, 0.88],
            off: &[0.80, 0.71, 0.74, 0.79],
            verdict: Verdict::Useful,
        },
        Case {
            label: "all days are better without the mechanism",
            on: &[0.80, 0.71, 0.74, 0.79],
            off: &[0.90, 0.80, 0.85, 0.88],
            verdict: Verdict::Harmful,
        },
        Case {
            label: "each day stays the same, though the days differ from each other",
            on: &[0.90, 0.50, 0.70, 0.60],
            off: &[0.901, 0.499, 0.701, 0.599],
            verdict: Verdict::NoEffect,
        },
        Case {
            label: "some days are better, some are worse",
            on: &[0.90, 0.80, 0.70, 0.60],
            off: &[0.80, 0.90, 0.60, 0.75],
            verdict: Verdict::Inconclusive,
        },
        Case {
            label: "a single pair is never conclusive",
            on: &[0.9],
            off: &[0.1],
            verdict: Verdict::Inconclusive,
        },
    ];
    for Case {
        label,
        on,
        off,
        verdict,
    } in cases
    {
        assert_eq!(compare(on, off).verdict(), verdict, "{label}");
    }
}

quickcheck! {
    fn finds_no_difference_between_a_sample_and_itself(worth_values: Vec<u16>) -> bool {
        let worth_values: Vec<f64> = worth_values.iter().map(|worth| f64::from(*worth) / 1e4).collect();
        let difference = compare(&worth_values, &worth_values);
        difference.mean() == 0.0 && difference.standard_error == 0.0
    }
}
