//! Verdicts on pairs of plays.

use hornbeamrock_ablate::{Verdict, compare};
use quickcheck::quickcheck;

struct Case {
    what: &'static str,
    on: &'static [f64],
    off: &'static [f64],
    verdict: Verdict,
}

#[test]
fn can_tell_what_pairs_say() {
    let cases = [
        Case {
            what: "all days lose without it",
            on: &[0.90, 0.80, 0.85, 0.88],
            off: &[0.80, 0.71, 0.74, 0.79],
            verdict: Verdict::Worth,
        },
        Case {
            what: "all days gain without it",
            on: &[0.80, 0.71, 0.74, 0.79],
            off: &[0.90, 0.80, 0.85, 0.88],
            verdict: Verdict::Harms,
        },
        Case {
            what: "days stay as they are, however much they differ among themselves",
            on: &[0.90, 0.50, 0.70, 0.60],
            off: &[0.901, 0.499, 0.701, 0.599],
            verdict: Verdict::Nothing,
        },
        Case {
            what: "some gain, some lose",
            on: &[0.90, 0.80, 0.70, 0.60],
            off: &[0.80, 0.90, 0.60, 0.75],
            verdict: Verdict::Open,
        },
        Case {
            what: "one pair says nothing",
            on: &[0.9],
            off: &[0.1],
            verdict: Verdict::Open,
        },
    ];
    for Case {
        what,
        on,
        off,
        verdict,
    } in cases
    {
        assert_eq!(compare(on, off).verdict(), verdict, "{what}");
    }
}

quickcheck! {
    fn finds_no_difference_between_a_row_and_itself(worths: Vec<u16>) -> bool {
        let worths: Vec<f64> = worths.iter().map(|worth| f64::from(*worth) / 1e4).collect();
        let found = compare(&worths, &worths);
        found.mean() == 0.0 && found.error == 0.0
    }
}
