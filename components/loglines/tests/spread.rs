//! Propagation times of changes, computed from the lines of a collector.

use loglines::{ChangeKind, PropagationTimes, parse_line};

struct Case {
    name: &'static str,
    lines: &'static [&'static str],
    /// Kind, number of changes, `half_ms`, `last_ms`, `slowest_ms`, number of fronts.
    rows: &'static [(ChangeKind, usize, f64, f64, f64, usize)],
}

const CASES: [Case; 4] = [
    Case {
        name: "a version of the configuration that three fronts receive",
        lines: &[
            "   1.000 a timestamp=x level=INFO message= event=routes-in-force version=3 customers=0",
            "   1.250 b timestamp=x level=INFO message= event=routes-in-force version=3 customers=0",
            "   1.500 c timestamp=x level=INFO message= event=routes-in-force version=3 customers=0",
        ],
        rows: &[(ChangeKind::Configuration, 1, 250.0, 500.0, 500.0, 3)],
    },
    Case {
        name: "a front that was not running and a repeated line do not count",
        lines: &[
            "1 a event=replica-draining replica=r1",
            "2 a event=replica-draining replica=r1",
            "1.5 b event=replica-draining replica=r1",
            "60 c event=replica-draining replica=r1",
        ],
        rows: &[(ChangeKind::Draining, 1, 500.0, 500.0, 500.0, 2)],
    },
    Case {
        name: "two models with the same version are two changes",
        lines: &[
            "1 a event=version-named model=m version=2",
            "1.5 b event=version-named model=m version=2",
            "1 a event=version-named model=n version=2",
            "2 b event=version-named model=n version=2",
        ],
        rows: &[(ChangeKind::Weights, 2, 1_000.0, 1_000.0, 1_000.0, 2)],
    },
    Case {
        name: "lines that are not events of fronts, and a change that only one front receives",
        lines: &[
            "",
            "day own/srv score",
            "1 a no event here",
            "x a event=replica-gone replica=r",
            "1 a event=replica-gone replica=r",
            "1 a event=started",
        ],
        rows: &[],
    },
];

#[test]
fn can_measure_how_long_a_change_takes_to_reach_the_last_front() {
    for case in CASES {
        let mut propagation = PropagationTimes::default();
        for line in case.lines.iter().filter_map(|line| parse_line(line)) {
            propagation.record(&line);
        }
        let rows: Vec<_> = propagation
            .rows(10_000.0)
            .into_iter()
            .map(|row| {
                (
                    row.kind,
                    row.changes,
                    row.half_ms,
                    row.last_ms,
                    row.slowest_ms,
                    row.fronts,
                )
            })
            .collect();
        assert_eq!(rows, case.rows, "{}", case.name);
    }
}
