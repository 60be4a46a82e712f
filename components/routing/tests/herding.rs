//! Several entries that read the same late reports do not herd.

#![allow(clippy::unwrap_used)]

mod common;

use common::sim::{Run, Workload, run};
use routing::{Policy, Settings};

// Three entries see reports that are 0, 1 and 5 s old. If all believed them, all would
// send to the replica that was idle then, and its callers would wait behind each other.
#[test]
fn late_reports_do_not_gather_the_load_on_one_replica() {
    for lag_ms in [0, 1_000, 5_000] {
        let peak = |policy| {
            let figures = run(Run {
                settings: Settings {
                    policy,
                    ..Settings::default()
                },
                workload: Workload::Plain,
                replicas: 10,
                lag_ms,
                load_permille: 850,
                seed: 11,
                length_ms: 40_000,
            });
            println!(
                "lag {lag_ms} ms, {}: max/mean {:.2}, slowdown p99 {} of {} calls",
                policy.as_str(),
                figures.peak_over_mean,
                figures.p99_slowdown as f64 / 1_000.0,
                figures.calls
            );
            figures.peak_over_mean
        };
        let random = peak(Policy::Random);
        for policy in &Policy::ALL[1..] {
            let excess = (peak(*policy) - 1.0) / (random - 1.0);
            assert!(excess < 0.5, "{} at {lag_ms} ms: {excess}", policy.as_str());
        }
    }
}
