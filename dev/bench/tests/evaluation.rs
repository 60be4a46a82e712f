//! Evaluation of a run (ratios, violated guarantees), parsing of scheduled faults, and generated
//! configuration texts.

use std::collections::BTreeMap;

use hornbeamrock_bench::fleet::texts::{self, Limits};
use hornbeamrock_bench::load::faults::{ScheduledFault, ScheduledFaultKind};
use hornbeamrock_bench::load::ratio::Ratios;
use hornbeamrock_bench::load::tally::Guarantees;
use hornbeamrock_bench::reply::Ending;
use hornbeamrock_bench::site::SiteName;

#[test]
fn the_median_and_range_are_taken_over_the_ratios_of_pairs() {
    struct Case {
        name: &'static str,
        pairs: &'static [(f64, f64)],
        text: &'static str,
    }
    let cases = [
        Case {
            name: "no pairs",
            pairs: &[],
            text: "-",
        },
        Case {
            name: "a pair with a zero value is skipped",
            pairs: &[(0.0, 5.0), (5.0, 0.0), (3.0, 2.0)],
            text: "1.50 (1.50-1.50)",
        },
        Case {
            name: "odd number of pairs",
            pairs: &[(1.0, 2.0), (8.0, 2.0), (2.0, 2.0)],
            text: "1.00 (0.50-4.00)",
        },
        Case {
            name: "even number of pairs",
            pairs: &[(2.0, 2.0), (4.0, 2.0)],
            text: "1.50 (1.00-2.00)",
        },
    ];
    for case in cases {
        let mut ratios = Ratios::default();
        for &(value, baseline) in case.pairs {
            ratios.add_pair(value, baseline);
        }
        assert_eq!(ratios.render(), case.text, "{}", case.name);
    }
}

#[test]
fn the_counted_runs_show_violated_guarantees() {
    struct Case {
        name: &'static str,
        ending: Ending,
        runs: u64,
        holds: bool,
    }
    let case = |name, ending, runs, holds| Case {
        name,
        ending,
        runs,
        holds,
    };
    let cases = [
        case("answered after one run", Ending::Whole, 1, true),
        case("answered without a run", Ending::Whole, 0, false),
        case("answered after two runs", Ending::Whole, 2, false),
        case("refused as not run", Ending::NotRun, 0, true),
        case("refused as not run, and ran", Ending::NotRun, 1, false),
        case("unknown, and ran", Ending::Unknown, 1, true),
        case("unknown, and did not run", Ending::Unknown, 0, true),
        case("lost, and ran twice", Ending::Lost, 2, false),
    ];
    for case in cases {
        let endings = BTreeMap::from([("tag".to_owned(), case.ending)]);
        let runs = BTreeMap::from([("tag".to_owned(), case.runs)]);
        let guarantees = Guarantees::check(&endings, &runs);
        assert_eq!(guarantees.hold(), case.holds, "{}", case.name);
    }
}

#[test]
fn a_scheduled_fault_is_parsed_from_its_flag() {
    let parse = |text: &str| text.parse::<ScheduledFault>().ok();
    let expected = ScheduledFault {
        at_ms: 500,
        kind: ScheduledFaultKind::AgentKill,
        number: 3,
        duration_ms: 900,
    };
    assert_eq!(parse("500:agent-kill:3:900"), Some(expected));
    assert_eq!(parse("500:log-outage").map(|fault| fault.number), Some(0));
    for text in [
        "",
        "agent-kill",
        "5:nothing",
        "5:agent-kill:x",
        "5:agent-kill:1:2:3",
    ] {
        assert_eq!(parse(text), None, "{text}");
    }
}

#[test]
fn generated_configuration_texts_pass_the_check() {
    let limits = Limits {
        requests_per_s: 10,
        in_progress: 5,
        tokens_per_s: 1_000,
    };
    for name in [SiteName::Office, SiteName::Collective] {
        let site = name.site();
        let path = format!("{}/../../{}", env!("CARGO_MANIFEST_DIR"), site.file);
        let source = std::fs::read_to_string(path).unwrap();
        let own = config::parse(&texts::owner_text(&source, &site, 3, limits), "own").unwrap();
        assert_eq!(own.limits.requests_per_s, 10);
        let shared = own.services.iter().filter(|s| s.shared_with.len() == 3);
        assert_eq!(shared.count(), 2);
        let neighbour =
            config::parse(&texts::neighbour_text(0, &site, limits), "neighbour").unwrap();
        assert_eq!(neighbour.customer.as_str(), texts::neighbour_name(0));
    }
}
