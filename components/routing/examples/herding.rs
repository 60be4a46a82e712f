//! Prints how evenly each policy distributes the load of several entries that read the same late
//! load reports. Run: `cargo run --release -p routing --example herding`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::thread;

use common::sim::{Figures, Run, Workload, run};
use routing::{Policy, Settings};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const LOAD_PERMILLE: u64 = 850;

fn main() {
    println!("# simulated; slowdown p50 and p99 as ratios to random of the same seed, means of 5");
    println!("# wins: seeds with a lower slowdown (p50, p99) than two-choices-report");
    println!("workload lag_s entries replicas policy peak/mean p50 p99 wins50 wins99");
    for workload in [Workload::Plain, Workload::Mixed, Workload::Uniform] {
        for lag_ms in [0, 1_000, 5_000] {
            for (entries, replicas) in [(3, 10), (3, 32), (30, 32)] {
                group(workload, lag_ms, entries, replicas);
            }
        }
    }
}

fn group(workload: Workload, lag_ms: u64, entries: usize, replicas: u16) {
    let one = |settings: &Settings, seed| {
        run(Run {
            settings: settings.clone(),
            workload,
            entries,
            replicas,
            lag_ms,
            load_permille: LOAD_PERMILLE,
            seed,
            length_ms: 120_000,
        })
    };
    let all = |settings: Settings| -> Vec<Figures> {
        thread::scope(|scope| {
            let started = SEEDS.map(|seed| {
                let settings = &settings;
                scope.spawn(move || one(settings, seed))
            });
            started
                .into_iter()
                .filter_map(|run| run.join().ok())
                .collect()
        })
    };
    let figures: Vec<(String, Vec<Figures>)> = variants()
        .into_iter()
        .map(|(name, settings)| (name, all(settings)))
        .collect();
    let named = |policy: Policy| -> &[Figures] {
        let found = figures.iter().find(|(name, _)| name == policy.as_str());
        found.map_or(&[], |(_, figures)| figures)
    };
    let baseline = named(Policy::Random);
    let report = named(Policy::TwoChoicesReport);
    for (name, figures) in &figures {
        let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
        let ratio = |of: fn(&Figures) -> u64| {
            let pairs = figures.iter().zip(baseline);
            mean(pairs.map(|(a, b)| of(a) as f64 / of(b) as f64).collect())
        };
        let wins = |of: fn(&Figures) -> u64| {
            let pairs = figures.iter().zip(report);
            pairs.filter(|(a, b)| of(a) < of(b)).count()
        };
        println!(
            "{workload:?} {} {entries} {replicas} {name} {:.2} {:.3} {:.3} {} {}",
            lag_ms / 1_000,
            mean(figures.iter().map(|f| f.peak_over_mean).collect()),
            ratio(|f| f.p50_slowdown),
            ratio(|f| f.p99_slowdown),
            wins(|f| f.p50_slowdown),
            wins(|f| f.p99_slowdown),
        );
    }
}

/// All policies with their default settings, and variants with other settings to compare.
fn variants() -> Vec<(String, Settings)> {
    let named = |policy: Policy, suffix: &str| format!("{}{suffix}", policy.as_str());
    let with = |policy| Settings {
        policy,
        ..Settings::default()
    };
    let mut all: Vec<(String, Settings)> = Policy::ALL
        .map(|policy| (named(policy, ""), with(policy)))
        .into();
    for policy in [Policy::TwoChoicesReport, Policy::ComputeMemory] {
        let ages = [
            ("-believed", 1_000_000, 500),
            ("-fresh-0", 0, 500),
            ("-half-life-2000", 100, 2_000),
        ];
        for (suffix, report_fresh_ms, report_half_life_ms) in ages {
            let aged = Settings {
                report_fresh_ms,
                report_half_life_ms,
                ..with(policy)
            };
            all.push((named(policy, suffix), aged));
        }
        for (draws_same_domain, draws_all) in [(2, 1), (3, 3), (0, 2), (0, 4)] {
            let drawn = Settings {
                draws_same_domain,
                draws_all,
                ..with(policy)
            };
            all.push((
                named(policy, &format!("-draws-{draws_same_domain}-{draws_all}")),
                drawn,
            ));
        }
    }
    for (kv_tokens, prompt_tokens_busy) in [(160_000, 8_000), (10_000, 8_000), (40_000, 32_000)] {
        let wrong = Settings {
            kv_tokens,
            prompt_tokens_busy,
            ..with(Policy::ComputeMemory)
        };
        let suffix = format!("-kv-{kv_tokens}-busy-{prompt_tokens_busy}");
        all.push((named(Policy::ComputeMemory, &suffix), wrong));
    }
    all
}
