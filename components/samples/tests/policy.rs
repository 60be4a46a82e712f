//! Table tests of single decisions: provenance, weight swaps, stragglers and homes.

mod support;

use samples::straggler::{Decision, HedgeBudget, RunTimings, RunView, StragglerSettings, assess};
use samples::swap::{RunInProgress, RunPlan, SwapContext, plan_run};
use samples::{Distribution, Entry, IdleClock, Provenance, Stamps, choose_homes};
use support::{address, key, version};
use types::WeightVersion;

#[test]
fn can_determine_the_provenance_of_a_sample() {
    struct Case {
        name: &'static str,
        stamps: &'static [Option<u64>],
        witnessed: Option<u64>,
        provenance: Option<&'static [u64]>,
    }
    let cases = [
        Case {
            name: "a swap between stamped chunks",
            stamps: &[Some(1), Some(2)],
            witnessed: None,
            provenance: Some(&[1, 2]),
        },
        Case {
            name: "no stamp and one version throughout",
            stamps: &[None, None],
            witnessed: Some(3),
            provenance: Some(&[3]),
        },
        Case {
            name: "no stamp and a swap",
            stamps: &[None],
            witnessed: None,
            provenance: None,
        },
        Case {
            name: "one chunk of many without a stamp, and a swap",
            stamps: &[Some(1), None, Some(2)],
            witnessed: None,
            provenance: None,
        },
        Case {
            name: "no chunk",
            stamps: &[],
            witnessed: Some(1),
            provenance: None,
        },
    ];
    let at = |number: u64| version(1, number);
    for case in cases {
        let mut stamps = Stamps::new();
        case.stamps
            .iter()
            .for_each(|stamp| stamps.record_chunk(stamp.map(at)));
        stamps.end_segment(case.witnessed.map(at));
        let provenance = stamps.finish();
        let wanted = case.provenance.map(|o| o.iter().copied().map(at).collect());
        assert_eq!(provenance.versions().cloned(), wanted, "{}", case.name);
    }
}

#[test]
fn can_keep_the_provenance_across_a_resume() {
    let earlier = Provenance::Known([version(1, 1)].into());
    let mut stamps = Stamps::resumed_from(&earlier);
    stamps.record_response(&[version(1, 2), version(1, 3)]);
    let wanted: [WeightVersion; 3] = [version(1, 1), version(1, 2), version(1, 3)];
    assert_eq!(stamps.finish(), Provenance::Known(wanted.into()));
    let mut uncertain = Stamps::resumed_from(&Provenance::NotKnown);
    uncertain.record_chunk(Some(version(1, 2)));
    assert_eq!(uncertain.finish(), Provenance::NotKnown);
}

#[test]
fn can_plan_runs_at_a_weight_swap() {
    struct Case {
        name: &'static str,
        oldest: Option<WeightVersion>,
        remaining_ms: Option<u64>,
        survives: bool,
        plan: RunPlan,
    }
    let case = |name, oldest, remaining_ms, survives, plan| Case {
        name,
        oldest,
        remaining_ms,
        survives,
        plan,
    };
    let (fresh, edge, stale) = (version(2, 5), version(2, 4), version(2, 3));
    let cases = [
        case("no token yet", None, None, true, RunPlan::Keep),
        case("fresh", Some(fresh), Some(9_000), true, RunPlan::Keep),
        case(
            "fresh, engine drops the run",
            Some(fresh),
            None,
            false,
            RunPlan::Resume,
        ),
        case(
            "at the bound, ends in time",
            Some(edge),
            Some(900),
            true,
            RunPlan::Keep,
        ),
        case(
            "at the bound, ends too late",
            Some(edge),
            Some(1_100),
            true,
            RunPlan::Abandon,
        ),
        case("stale", Some(stale), Some(0), true, RunPlan::Abandon),
        case(
            "another epoch",
            Some(version(1, 9)),
            None,
            true,
            RunPlan::Abandon,
        ),
    ];
    let context = SwapContext {
        announced: version(2, 5),
        staleness_bound: 1,
        next_in_ms: Some(1_000),
    };
    for case in cases {
        let run = RunInProgress {
            oldest: case.oldest,
            remaining_ms: case.remaining_ms,
            survives_swap: case.survives,
        };
        assert_eq!(plan_run(&run, &context), case.plan, "{}", case.name);
    }
}

#[test]
fn can_distinguish_a_late_run_from_a_long_one() {
    struct Case {
        name: &'static str,
        run: RunView,
        hedges: u64,
        decision: Decision,
    }
    let run = |elapsed_ms, silent_ms, tokens| RunView {
        elapsed_ms,
        silent_ms,
        tokens,
        moves: 0,
        hedged: false,
    };
    let hedged = RunView {
        hedged: true,
        ..run(40_000, 40_000, 0)
    };
    let moved = RunView {
        moves: 1,
        ..run(40_000, 15_000, 9)
    };
    let case = |name, run, hedges, decision| Case {
        name,
        run,
        hedges,
        decision,
    };
    // The finished runs took 1 s for 100 tokens.
    let cases = [
        case(
            "long at the usual rate",
            run(60_000, 10, 6_000),
            0,
            Decision::Wait,
        ),
        case(
            "a fifth of the usual rate",
            run(5_000, 10, 100),
            0,
            Decision::Hedge,
        ),
        case("slow, budget spent", run(5_000, 10, 100), 2, Decision::Wait),
        case(
            "silent after tokens",
            run(12_000, 10_000, 900),
            2,
            Decision::Resume,
        ),
        case("silent, moved before", moved, 0, Decision::Hedge),
        case("hedged already", hedged, 0, Decision::Wait),
        case(
            "not streamed, within the limit",
            run(2_000, 2_000, 0),
            0,
            Decision::Wait,
        ),
        case(
            "not streamed, late",
            run(5_000, 5_000, 0),
            0,
            Decision::Hedge,
        ),
    ];
    let mut pace = RunTimings::default();
    (0..20).for_each(|_| pace.record(1_000, 100));
    for case in cases {
        let budget = HedgeBudget {
            hedges: case.hedges,
            slots: 40,
        };
        let decision = assess(&StragglerSettings::default(), &case.run, &pace, &budget);
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

#[test]
fn can_place_a_step_in_two_failure_domains() {
    let entry = |number: u16| Entry {
        address: address(number),
        failure_domain: ["rennes-a", "brest-b", "vannes-c"][usize::from(number % 3)]
            .parse()
            .unwrap(),
    };
    let mut live: Vec<Entry> = (0..9).map(entry).collect();
    let domain = |live: &[Entry], at| {
        let found = live.iter().find(|entry| entry.address == at).cloned();
        found.unwrap().failure_domain
    };
    for step in 0..200 {
        let two = choose_homes(&key(step), &live).unwrap();
        let second = two.second.unwrap();
        assert_ne!(domain(&live, two.first), domain(&live, second));
        // The choice does not depend on the order of the list.
        live.rotate_left(1);
        assert_eq!(choose_homes(&key(step), &live), Some(two.clone()));
        // If the first home crashes, the second, which holds the copies, is one of the new homes.
        let left: Vec<Entry> = live
            .iter()
            .filter(|e| e.address != two.first)
            .cloned()
            .collect();
        let next = choose_homes(&key(step), &left).unwrap();
        assert!(next.first == second || next.second == Some(second));
    }
    assert_eq!(choose_homes(&key(1), &[]), None);
    assert_eq!(choose_homes(&key(1), &live[..1]).unwrap().second, None);
}

#[test]
fn can_measure_quantiles_and_idle_time() {
    let mut distribution = Distribution::new();
    (1..=1_000).for_each(|number| distribution.record(number));
    let median = distribution.quantile(500).unwrap();
    assert!((500..=563).contains(&median), "{median}");
    let mut idle = IdleClock::new();
    idle.begin_fetch(100);
    idle.begin_fetch(150);
    idle.end_fetch(200);
    idle.end_fetch(300);
    assert_eq!(idle.idle_ms(400), 200);
}
