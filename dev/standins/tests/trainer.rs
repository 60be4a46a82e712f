//! Tests of the violations that the trainer's ledger finds in received samples.

use standins::trainer::{Ledger, Sample, SampleFault};
use types::WeightVersion;

const STEP: u64 = 3;
const STALENESS_BOUND: u64 = 2;

fn sample(versions: &[&str], staleness: u64) -> Sample {
    let tokens = versions.iter().map(|version| format!(" 00ff@{version}"));
    Sample {
        group: 0,
        index: 0,
        text: tokens.collect(),
        versions: versions.iter().map(|version| version.to_string()).collect(),
        score: None,
        staleness,
    }
}

#[test]
fn finds_each_kind_of_violation() {
    struct Case {
        name: &'static str,
        sample: Sample,
        expected: Option<SampleFault>,
    }
    let too_old = |oldest: &str| SampleFault::TooOld {
        step: STEP,
        oldest: oldest.to_owned(),
        trainer: "1.7".to_owned(),
    };
    let wrong_versions = |named: &[&str], in_text: &[&str]| SampleFault::WrongVersions {
        step: STEP,
        named: named.iter().map(|version| version.to_string()).collect(),
        told: in_text.iter().map(|version| version.to_string()).collect(),
    };
    let cases = [
        Case {
            name: "fresh",
            sample: sample(&["1.7"], 0),
            expected: None,
        },
        Case {
            name: "mixed versions, staleness of the oldest",
            sample: sample(&["1.5", "1.7"], 2),
            expected: None,
        },
        Case {
            name: "staleness of its newest version",
            sample: sample(&["1.5", "1.7"], 0),
            expected: Some(SampleFault::WrongStaleness {
                step: STEP,
                named: 0,
                real: 2,
            }),
        },
        Case {
            name: "staleness above the bound",
            sample: sample(&["1.4"], 3),
            expected: Some(too_old("1.4")),
        },
        Case {
            name: "of the epoch before a rollback",
            sample: sample(&["0.7"], 0),
            expected: Some(too_old("0.7")),
        },
        Case {
            name: "names a version that did not generate its text",
            sample: Sample {
                versions: vec!["1.7".to_owned()],
                ..sample(&["1.6"], 0)
            },
            expected: Some(wrong_versions(&["1.7"], &["1.6"])),
        },
        Case {
            name: "names no version",
            sample: Sample {
                versions: Vec::new(),
                ..sample(&["1.7"], 0)
            },
            expected: Some(wrong_versions(&[], &["1.7"])),
        },
        Case {
            name: "of a group outside the step",
            sample: Sample {
                group: 2,
                ..sample(&["1.7"], 0)
            },
            expected: Some(SampleFault::Unasked {
                step: STEP,
                group: 2,
                index: 0,
            }),
        },
    ];
    let trainer = WeightVersion {
        epoch: 1,
        version: 7,
    };
    for case in cases {
        let mut ledger = Ledger::new(STEP, 2, 2, STALENESS_BOUND);
        let faults = ledger.record(&case.sample, trainer);
        assert_eq!(faults.first(), case.expected.as_ref(), "{}", case.name);
        assert_eq!(
            faults.len(),
            usize::from(case.expected.is_some()),
            "{}",
            case.name
        );
    }
}

#[test]
fn finds_duplicate_and_missing_samples() {
    let mut ledger = Ledger::new(STEP, 1, 2, STALENESS_BOUND);
    let version = WeightVersion {
        epoch: 1,
        version: 7,
    };
    assert_eq!(ledger.record(&sample(&["1.7"], 0), version), []);
    let doubled = SampleFault::Doubled {
        step: STEP,
        group: 0,
        index: 0,
    };
    assert_eq!(ledger.record(&sample(&["1.7"], 0), version), [doubled]);
    let missing = SampleFault::Missing {
        step: STEP,
        received: 1,
        total: 2,
    };
    assert_eq!(ledger.check_complete(), Some(missing));
}
