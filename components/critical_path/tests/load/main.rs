//! Load patterns under both policies, compared with the rules of `dispatch` and with the longest
//! text on the fastest replica.

mod world;

use critical_path::Policy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use world::{FAST_US, Measured, Planner, SimReplica, Step, Text, World};

const LIMIT_MS: u64 = 7_600;
const SLOW_US: u64 = 62_000;
/// The two policies first.
const PLANNERS: [Planner; 5] = [
    Planner::Plan(Policy::EarliestFinish),
    Planner::Plan(Policy::ReserveFast),
    Planner::Dispatch,
    Planner::DispatchWithoutCap,
    Planner::LongestOnFastest,
];
/// The two policies, and both with the earlier assumption on deviations.
const REST_PLANNERS: [Planner; 4] = [
    Planner::Plan(Policy::EarliestFinish),
    Planner::Plan(Policy::ReserveFast),
    Planner::PlanWithFixedRest(Policy::EarliestFinish),
    Planner::PlanWithFixedRest(Policy::ReserveFast),
];
const POLICIES: [Policy; 2] = [Policy::EarliestFinish, Policy::ReserveFast];
const SEEDS: [u64; 6] = [8, 108, 208, 308, 408, 508];
/// Steps from which the length model learns before anything is measured.
const TAUGHT: usize = 12;

/// A third of the replicas is 1.3 times slower.
fn two_speeds(count: usize) -> Vec<SimReplica> {
    let base_us = |at: usize| if at % 3 == 2 { SLOW_US } else { FAST_US };
    (0..count).map(|at| SimReplica::new(base_us(at))).collect()
}

/// A normal random number, from the sum of uniform ones.
fn normal(random: &mut StdRng) -> f64 {
    (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0
}

/// A text of a length with a long tail that is cut off at 153 events, and a hint that is right in
/// the median.
fn text(random: &mut StdRng, group: usize, hint_spread: f64) -> Text {
    let events = (8.0 * normal(random).exp()).round().clamp(1.0, 153.0);
    let error = (hint_spread * normal(random)).clamp(-2.3, 2.3).exp();
    Text {
        group,
        events: events as u64,
        hint_tokens: (events * 80.0 * error).max(1.0) as u32,
    }
}

/// Steps of 96 texts in groups of 8, of which 11 of 12 are wanted, one step each `interval_ms`.
fn steps(seed: u64, count: usize, interval_ms: u64, hint_spread: f64) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    (0..count)
        .map(|at| {
            let texts = (0..96).map(|item| text(&mut random, item / 8, hint_spread));
            Step::new(at as u64 * interval_ms, 12, 11, texts.collect())
        })
        .collect()
}

fn run(planner: Planner, replicas: Vec<SimReplica>, steps: Vec<Step>) -> Measured {
    World::new(planner, replicas, steps).run(TAUGHT)
}

/// Runs a pattern under all planners and prints what each of them reaches.
fn compare(name: &str, replicas: &[SimReplica], steps: &[Step]) -> Vec<(Planner, Measured)> {
    compare_planners(&PLANNERS, name, replicas, steps)
}

fn compare_planners(
    planners: &[Planner],
    name: &str,
    replicas: &[SimReplica],
    steps: &[Step],
) -> Vec<(Planner, Measured)> {
    let measure = |planner: Planner| {
        let measured = run(planner, replicas.to_vec(), steps.to_vec());
        println!(
            "{name}: {planner:?}: late {} of {}, mean {} ms, beyond the bound {} ms, moves per 100 \
             texts {:.1}, of stalled runs {:.1}, most moves of a text in a second {}",
            measured.late(LIMIT_MS),
            measured.last_ms.len(),
            measured.mean_ms(),
            measured.excess_ms(),
            measured.moves_per_100,
            measured.stalled_per_100,
            measured.moves_per_second_max,
        );
        (planner, measured)
    };
    planners.iter().copied().map(measure).collect()
}

/// Runs a pattern under several planners with several seeds.
fn compare_seeds(
    planners: &[Planner],
    name: &str,
    pattern: impl Fn(u64) -> (Vec<SimReplica>, Vec<Step>),
) -> Vec<Vec<(Planner, Measured)>> {
    let measure = |seed| {
        let (replicas, steps) = pattern(seed);
        compare_planners(planners, &format!("{name}, seed {seed}"), &replicas, &steps)
    };
    SEEDS.into_iter().map(measure).collect()
}

/// Mean of a figure of one planner over all seeds.
fn mean(
    measured: &[Vec<(Planner, Measured)>],
    planner: Planner,
    figure: impl Fn(&Measured) -> u64,
) -> u64 {
    let of_planner = measured
        .iter()
        .flatten()
        .filter(|(known, _)| *known == planner);
    let figures: Vec<u64> = of_planner.map(|(_, measured)| figure(measured)).collect();
    figures.iter().sum::<u64>() / figures.len() as u64
}

/// The last needed text may be later than with the assumption that every deviation lasts 4 s more by
/// a share of `loss_max_thousandths` at most, in the mean of all seeds.
fn check_against_fixed_rest(
    name: &str,
    measured: &[Vec<(Planner, Measured)>],
    loss_max_thousandths: u64,
) {
    for policy in POLICIES {
        let mean_ms = |planner| mean(measured, planner, Measured::mean_ms);
        let learned_ms = mean_ms(Planner::Plan(policy));
        let fixed_ms = mean_ms(Planner::PlanWithFixedRest(policy));
        println!("{name}: {policy:?}: mean {learned_ms} ms, with a fixed rest {fixed_ms} ms");
        assert!(
            learned_ms * 1_000 <= fixed_ms * (1_000 + loss_max_thousandths),
            "{name} {policy:?}: {learned_ms} ms, with a fixed rest {fixed_ms} ms"
        );
    }
}

/// The limits of the requirements, for both policies.
fn check_limits(name: &str, measured: &[(Planner, Measured)], late_max: usize) {
    for (planner, measured) in &measured[..2] {
        let late = measured.late(LIMIT_MS);
        assert!(
            late <= late_max,
            "{name} {planner:?}: {late} steps are late"
        );
        let moves = measured.moves_per_100;
        assert!(
            moves < 8.0,
            "{name} {planner:?}: {moves} moves per 100 texts"
        );
        let most = measured.moves_per_second_max;
        assert!(most <= 2, "{name} {planner:?}: {most} moves in a second");
    }
}

#[test]
fn one_long_text_among_short_ones_ends_in_time() {
    // Guards against a long text at a slow replica or behind short ones: 145 events need 6.8 s of
    // the 7.6 s at the fastest pace.
    let mut random = StdRng::seed_from_u64(3);
    let steps: Vec<Step> = (0..TAUGHT + 24)
        .map(|at| {
            let mut texts: Vec<Text> = (0..96)
                .map(|item| Text {
                    group: item / 8,
                    events: random.random_range(2..12),
                    hint_tokens: random.random_range(200..900),
                })
                .collect();
            texts[at % 96].events = 145;
            texts[at % 96].hint_tokens = 11_600;
            Step::new(at as u64 * 1_000, 12, 12, texts)
        })
        .collect();
    let measured = compare("one long text", &two_speeds(43), &steps);
    check_limits("one long text", &measured, 0);
}

#[test]
fn two_speeds_are_told_apart() {
    // Guards against texts that become long at a replica that is 1.3 times slower.
    let measured = compare(
        "two speeds",
        &two_speeds(43),
        &steps(5, TAUGHT + 60, 1_000, 0.8),
    );
    check_limits("two speeds", &measured, 3);
}

#[test]
fn a_fifth_of_the_replicas_becomes_slower() {
    // Guards against texts that wait at replicas which are 3.5 times slower for some seconds, and
    // against texts that are moved back and forth meanwhile.
    let mut replicas = two_speeds(43);
    for (at, replica) in replicas.iter_mut().enumerate() {
        for period in 0..8 {
            if (at + period) % 5 == 0 {
                let from_ms = 14_000 + period as u64 * 8_000;
                replica.slow.push((from_ms, from_ms + 6_500, 3.5));
            }
        }
    }
    let measured = compare(
        "a slow fifth",
        &replicas,
        &steps(6, TAUGHT + 60, 1_000, 0.8),
    );
    check_limits("a slow fifth", &measured, 6);
}

/// Adds periods of 0.2 to 0.7 s in which a replica is 2.5 times slower, one in 7.4 s on average, as
/// measured in a deployment: 170 in 29 s at 43 replicas.
fn add_short_slow_periods(replicas: &mut [SimReplica], seed: u64, until_ms: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    for replica in replicas {
        let mut from_ms = random.random_range(0..14_000);
        while from_ms < until_ms {
            let lasts_ms = random.random_range(200..700);
            replica.slow.push((from_ms, from_ms + lasts_ms, 2.5));
            from_ms += lasts_ms + random.random_range(100..13_700);
        }
    }
}

/// Adds periods of 5 to 8 s in which a fifth of the replicas is `factor` times slower.
fn add_long_slow_periods(replicas: &mut [SimReplica], seed: u64, factors: [f64; 3]) {
    let mut random = StdRng::seed_from_u64(seed);
    for (at, replica) in replicas.iter_mut().enumerate() {
        for period in (0..8).filter(|period| (at + period) % 5 == 0) {
            let from_ms = 14_000 + period as u64 * 8_000;
            let until_ms = from_ms + random.random_range(5_000..8_000);
            let factor = factors[random.random_range(0..factors.len())];
            replica.slow.push((from_ms, until_ms, factor));
        }
    }
}

const PATTERN_MS: u64 = 90_000;

#[test]
fn short_slow_periods_move_few_texts() {
    // Guards against moves away from replicas that are slow for less time than a move pays off.
    let measured = compare_seeds(&REST_PLANNERS, "short slow periods", |seed| {
        let mut replicas = two_speeds(43);
        add_short_slow_periods(&mut replicas, seed, PATTERN_MS);
        (replicas, steps(seed, TAUGHT + 60, 1_000, 0.8))
    });
    check_against_fixed_rest("short slow periods", &measured, 0);
    for measured in &measured {
        check_limits("short slow periods", measured, 6);
    }
}

#[test]
fn short_slow_periods_hide_no_long_ones() {
    // Guards against texts that stay at replicas which are slow for seconds, because most slow
    // periods of the pool are short.
    let measured = compare_seeds(&REST_PLANNERS, "short and long slow periods", |seed| {
        let mut replicas = two_speeds(43);
        add_short_slow_periods(&mut replicas, seed, PATTERN_MS);
        add_long_slow_periods(&mut replicas, seed, [2.0, 3.0, 4.0]);
        (replicas, steps(seed, TAUGHT + 60, 1_000, 0.8))
    });
    check_against_fixed_rest("short and long slow periods", &measured, 0);
    for measured in &measured {
        check_limits("short and long slow periods", measured, 6);
    }
}

#[test]
fn long_slow_periods_are_left_as_early_as_before() {
    // Guards against texts that wait for the end of a slow period which lasts for seconds. Single
    // seeds differ by 1 % either way, and texts wait until the pool has learnt from a few periods.
    let measured = compare_seeds(&REST_PLANNERS, "long slow periods", |seed| {
        let mut replicas = two_speeds(43);
        add_long_slow_periods(&mut replicas, seed, [3.5; 3]);
        (replicas, steps(seed, TAUGHT + 60, 1_000, 0.8))
    });
    check_against_fixed_rest("long slow periods", &measured, 10);
    for measured in &measured {
        check_limits("long slow periods", measured, 6);
    }
}

#[test]
fn replicas_load_weights_while_others_are_slower() {
    // Guards against moves because of a load, which costs a replica's runs 0.9 s once, and against
    // moves for small gains between loaded replicas: half of the slots are taken on average.
    let mut replicas = two_speeds(20);
    for (at, replica) in replicas.iter_mut().enumerate() {
        for period in 0..16 {
            let from_ms = period * 8_000 + at as u64 * 400;
            replica.loads.push((from_ms, from_ms + 900));
            if (at as u64 + period).is_multiple_of(5) && period > 1 {
                replica.slow.push((from_ms + 1_500, from_ms + 8_000, 3.0));
            }
        }
    }
    let measured = compare("loads", &replicas, &steps(12, TAUGHT + 60, 1_000, 0.8));
    check_limits("loads", &measured, 6);
}

#[test]
fn hints_are_wrong_by_ten() {
    // Guards against a plan that trusts hints: half of them are ten times too long or too short.
    let mut random = StdRng::seed_from_u64(7);
    let mut steps = steps(7, TAUGHT + 60, 1_000, 0.2);
    for text in steps.iter_mut().flat_map(|step| &mut step.texts) {
        text.hint_tokens = match random.random_range(0..4) {
            0 => text.hint_tokens * 10,
            1 => (text.hint_tokens / 10).max(1),
            _ => text.hint_tokens,
        };
    }
    let measured = compare("hints wrong by ten", &two_speeds(43), &steps);
    check_limits("hints wrong by ten", &measured, 6);
}

#[test]
fn all_replicas_are_full() {
    // Guards against moves that take slots from waiting texts, and against a worse order than that
    // of today when slots are scarce. A single seed differs by several hundredths either way.
    let measured = compare_seeds(&PLANNERS, "all full", |seed| {
        (two_speeds(10), steps(seed, TAUGHT + 24, 1_200, 0.8))
    });
    let mean_ms = |planner| mean(&measured, planner, Measured::mean_ms);
    let today_ms = mean_ms(Planner::Dispatch);
    for policy in POLICIES {
        let planned_ms = mean_ms(Planner::Plan(policy));
        assert!(
            planned_ms <= today_ms,
            "{policy:?}: {planned_ms} ms, today {today_ms} ms"
        );
    }
    for measured in &measured {
        check_limits("all full", measured, 1);
    }
}

#[test]
fn a_trainer_that_is_behind_goes_first() {
    // Guards against a trainer that falls further behind: its steps are due earlier than those of
    // the other three, and slots are scarce.
    let measured = compare_seeds(&PLANNERS, "a trainer behind", |seed| {
        let mut steps = steps(seed, TAUGHT + 32, 1_100, 0.8);
        for step in steps.iter_mut().skip(TAUGHT).step_by(4) {
            step.due_in_ms -= 3_000;
        }
        (two_speeds(12), steps)
    });
    for policy in POLICIES {
        let excess_ms = |behind: bool| {
            mean(&measured, Planner::Plan(policy), |measured| {
                measured.excess_ms_of(|step| (step % 4 == 0) == behind)
            })
        };
        let (behind, others) = (excess_ms(true), excess_ms(false));
        assert!(
            behind < others,
            "{policy:?}: {behind} ms, others {others} ms"
        );
    }
}

#[test]
fn a_slow_replica_that_recovers_gets_texts_again() {
    // Guards against a replica that stays unused after it has recovered: no event arrives from it
    // that could show its pace.
    let mut replicas = two_speeds(6);
    replicas[0].slow.push((12_000, 20_000, 4.0));
    let mut random = StdRng::seed_from_u64(11);
    let steps: Vec<Step> = (0..TAUGHT + 40)
        .map(|at| {
            let texts = (0..16).map(|item| text(&mut random, item / 4, 0.8));
            Step::new(at as u64 * 1_000, 4, 4, texts.collect())
        })
        .collect();
    let measured = compare("a recovered replica", &replicas, &steps);
    check_limits("a recovered replica", &measured, 4);
    for (planner, measured) in &measured[..2] {
        let starts = |from_ms: u64, until_ms: u64| {
            let starts = measured.starts.iter();
            starts
                .filter(|(at_ms, at)| (from_ms..until_ms).contains(at_ms) && *at == 0)
                .count()
        };
        assert!(starts(30_000, 40_000) > 0, "{planner:?}");
        assert!(
            starts(13_000, 19_000) <= starts(30_000, 36_000),
            "{planner:?}"
        );
    }
}
