//! Small processes that stand by for larger ones.

use ownership::Standby;

#[test]
fn can_take_part_only_after_a_time_without_a_larger_owner() {
    // Larger fronts restart in turn, all at once, or lose the store for good. A small one must
    // not jump in at each gap, nor stay away when nobody else runs the steps.
    struct Case {
        name: &'static str,
        /// Whether a larger one owns a partition, as read at these times.
        read: &'static [(u64, bool)],
        at_ms: u64,
        takes_part: bool,
    }
    let cases = [
        Case {
            name: "nothing read",
            read: &[],
            at_ms: 90_000,
            takes_part: false,
        },
        Case {
            name: "a larger one owns",
            read: &[(0, true), (500, true)],
            at_ms: 9_000,
            takes_part: false,
        },
        Case {
            name: "a gap while larger ones start",
            read: &[(0, false), (500, false), (1_000, true)],
            at_ms: 1_600,
            takes_part: false,
        },
        Case {
            name: "no larger one for long",
            read: &[(0, true), (500, false), (1_000, false), (1_500, false)],
            at_ms: 2_000,
            takes_part: true,
        },
        Case {
            name: "the store was away between",
            read: &[(0, false), (30_000, false)],
            at_ms: 30_000,
            takes_part: true,
        },
        Case {
            name: "a larger one is back",
            read: &[(0, false), (1_500, false), (2_000, true)],
            at_ms: 2_001,
            takes_part: false,
        },
    ];
    for case in cases {
        let mut standby = Standby::default();
        for (at_ms, larger_owns) in case.read {
            standby.observe_owners(*larger_owns, *at_ms);
        }
        let takes_part = standby.should_join(case.at_ms);
        assert_eq!(takes_part, case.takes_part, "{}", case.name);
    }
}
