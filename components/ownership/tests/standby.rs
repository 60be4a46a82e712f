//! Tests of small processes that stand by for larger ones.

use ownership::Standby;

#[test]
fn can_join_only_after_some_time_without_a_larger_owner() {
    // Larger fronts restart in turn or all at once, or lose the store for good. A small front must
    // not join in each short gap, and must not stay out when nobody else runs the steps.
    struct Case {
        name: &'static str,
        /// Observations: time, and whether a larger front owns a partition.
        observed: &'static [(u64, bool)],
        at_ms: u64,
        should_join: bool,
    }
    let cases = [
        Case {
            name: "no observation",
            observed: &[],
            at_ms: 90_000,
            should_join: false,
        },
        Case {
            name: "a larger front owns a partition",
            observed: &[(0, true), (500, true)],
            at_ms: 9_000,
            should_join: false,
        },
        Case {
            name: "a short gap while larger fronts restart",
            observed: &[(0, false), (500, false), (1_000, true)],
            at_ms: 1_600,
            should_join: false,
        },
        Case {
            name: "no larger owner for long enough",
            observed: &[(0, true), (500, false), (1_000, false), (1_500, false)],
            at_ms: 2_000,
            should_join: true,
        },
        Case {
            name: "the store was unreachable in between",
            observed: &[(0, false), (30_000, false)],
            at_ms: 30_000,
            should_join: true,
        },
        Case {
            name: "a larger front has returned",
            observed: &[(0, false), (1_500, false), (2_000, true)],
            at_ms: 2_001,
            should_join: false,
        },
    ];
    for case in cases {
        let mut standby = Standby::default();
        for (at_ms, larger_owns) in case.observed {
            standby.observe_owners(*larger_owns, *at_ms);
        }
        let should_join = standby.should_join(case.at_ms);
        assert_eq!(should_join, case.should_join, "{}", case.name);
    }
}
