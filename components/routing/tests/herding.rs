//! Simulations of several entries that balance load by the same late load reports.

mod common;

use common::sim::{Figures, Run, Workload, run};
use routing::{Policy, Settings};

fn model(policy: Policy, workload: Workload, entries: usize, lag_ms: u64) -> Figures {
    run(Run {
        settings: Settings {
            policy,
            ..Settings::default()
        },
        workload,
        entries,
        replicas: if entries > 3 { 32 } else { 10 },
        lag_ms,
        load_permille: 850,
        seed: 11,
        length_ms: if entries > 3 { 20_000 } else { 40_000 },
    })
}

// Guards against herding. Three or thirty entries see load reports that are 0, 1 and 5 s old. If
// all trusted them in full, all would send their calls to the replica that was idle at the time of
// the report, and the calls would queue there.
#[test]
fn late_reports_do_not_cause_herding() {
    for entries in [3, 30] {
        let peak = |policy: Policy, lag_ms| {
            let figures = model(policy, Workload::Plain, entries, lag_ms);
            println!(
                "lag {lag_ms} ms, {entries} entries, {}: max/mean {:.2}, slowdown p99 {} of {} calls",
                policy.as_str(),
                figures.peak_over_mean,
                figures.p99_slowdown as f64 / 1_000.0,
                figures.calls
            );
            figures.peak_over_mean
        };
        let random = peak(Policy::Random, 0);
        for lag_ms in [0, 1_000, 5_000] {
            for policy in &Policy::ALL[1..] {
                let excess = (peak(*policy, lag_ms) - 1.0) / (random - 1.0);
                let name = policy.as_str();
                assert!(
                    excess < 0.5,
                    "{name} at {lag_ms} ms, {entries} entries: {excess}"
                );
            }
        }
    }
}

// Guards against a policy that sees load as one number. Half the calls need compute, half need KV
// memory. One number sends a long prompt to an engine whose compute is in use; two numbers send it
// to an engine of which only the memory is in use.
#[test]
fn calls_with_different_resource_needs_share_an_engine() {
    for lag_ms in [0, 1_000, 5_000] {
        let p99 = |policy| model(policy, Workload::Mixed, 3, lag_ms).p99_slowdown;
        let ratio = p99(Policy::ComputeMemory) as f64 / p99(Policy::TwoChoicesReport) as f64;
        println!("lag {lag_ms} ms: p99 slowdown, compute-memory over one number: {ratio:.3}");
        assert!(ratio < 1.0, "at {lag_ms} ms: {ratio}");
    }
}
