//! Tests of the typical pace of a pool.

use pace::{PoolPace, ReplicaPace};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const INTERVAL_US: f64 = 47_000.0;

/// Replicas of two speeds whose numbers of runs change, observed for some time.
fn observed_pool(per_run: f64, noise: f64, rounds: u64) -> (Vec<ReplicaPace>, PoolPace) {
    let mut randoms = StdRng::seed_from_u64(checks::seed());
    let mut replicas = vec![ReplicaPace::default(); 24];
    let mut pool = PoolPace::default();
    for round in 0..rounds {
        for (number, replica) in replicas.iter_mut().enumerate() {
            let factor = if number % 3 == 0 { 1.3 } else { 1.0 };
            let running = randoms.random_range(1..=6);
            for _ in 0..10 * running {
                let runs = 1.0 + per_run * f64::from(running - 1);
                let jitter = (1.0 + noise * checks::normal(|| randoms.random())).max(0.5);
                let interval_us = (INTERVAL_US * factor * runs * jitter) as u64;
                replica.record(&pool, interval_us, running, round * 500);
            }
        }
        pool = PoolPace::of(replicas.iter());
    }
    (replicas, pool)
}

#[test]
fn can_find_the_cost_of_a_further_run() {
    // A wrong cost makes full replicas look slow, or sends long texts to full replicas.
    struct Case {
        name: &'static str,
        per_run: f64,
        noise: f64,
        /// Largest difference, in thousandths.
        within: u64,
    }
    let case = |name, per_run, noise, within| Case {
        name,
        per_run,
        noise,
        within,
    };
    let cases = [
        case("no cost", 0.0, 0.05, 2),
        case("1 %", 0.01, 0.05, 2),
        case("3 %", 0.03, 0.05, 2),
        case("5 %", 0.05, 0.05, 3),
        case("1 %, noise", 0.01, 0.15, 5),
        case("3 %, noise", 0.03, 0.15, 5),
    ];
    for case in cases {
        let (replicas, pool) = observed_pool(case.per_run, case.noise, 40);
        let expected = (case.per_run * 1_000.0) as u64;
        assert!(
            pool.per_run_thousandths.abs_diff(expected) <= case.within,
            "{}: {pool:?}",
            case.name
        );
        for (number, replica) in replicas.iter().enumerate() {
            let factor = if number % 3 == 0 { 1.3 } else { 1.0 };
            let expected_us = INTERVAL_US * factor * (1.0 + 5.0 * case.per_run);
            let estimate = replica.estimate(&pool, 6, 20_000);
            let ratio = estimate.interval_us as f64 / expected_us;
            assert!((ratio - 1.0).abs() < 0.06, "{}: {ratio}", case.name);
            assert_eq!(estimate.deviates_since_ms, None, "{}", case.name);
        }
    }
}

#[test]
fn can_tell_what_is_not_known() {
    // The first replicas of a pool to be observed may be slow ones.
    let mut replicas = vec![ReplicaPace::default(); 10];
    assert_eq!(PoolPace::of(replicas.iter()), PoolPace::default());
    assert_eq!(PoolPace::of([].into_iter()), PoolPace::default());
    let pool = PoolPace::default();
    for replica in &mut replicas[..3] {
        replica.record(&pool, 47_000, 1, 0);
    }
    assert_eq!(PoolPace::of(replicas.iter()), PoolPace::default());
    let unknown = replicas[9].estimate(&pool, 1, 0);
    assert_eq!((unknown.interval_us, unknown.steady_us), (0, 0));
    replicas[3].record(&pool, 47_000, 1, 0);
    assert_eq!(PoolPace::of(replicas.iter()).interval_us, 47_000);
}

#[test]
fn can_find_the_interval_of_a_pool_with_slow_replicas() {
    // A third of the replicas are permanently slower, and a fifth are in trouble: the pool's
    // interval must stay that of the others.
    let (mut replicas, pool) = observed_pool(0.01, 0.05, 40);
    for replica in replicas.iter_mut().step_by(5) {
        for event in 0..40 {
            replica.record(&pool, 165_000, 1, 20_000 + event * 165);
        }
    }
    let pool = PoolPace::of(replicas.iter());
    let difference_us = pool.interval_us.abs_diff(INTERVAL_US as u64);
    assert!(difference_us < 1_500, "{pool:?}");
}
