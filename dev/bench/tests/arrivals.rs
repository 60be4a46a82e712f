//! Mean rate, reproducibility and burstiness of the generated arrivals.

use std::time::Duration;

use hornbeamrock_bench::arrivals::{Arrivals, Bursts};

const HOUR: Duration = Duration::from_secs(3_600);

fn count(per_s: f64, bursts: Bursts, seed: u64) -> usize {
    Arrivals::new(per_s, bursts, seed)
        .take_while(|at| *at < HOUR)
        .count()
}

#[test]
fn the_mean_rate_is_the_requested_rate() {
    for (name, bursts) in [("calm", Bursts::NONE), ("bursts", Bursts::TYPICAL)] {
        let seen = count(20.0, bursts, 7) as f64 / HOUR.as_secs_f64();
        assert!(
            (seen - 20.0).abs() < 0.8,
            "{name}: {seen} arrivals per second, expected 20"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let first_arrivals = |seed| -> Vec<Duration> {
        Arrivals::new(50.0, Bursts::TYPICAL, seed)
            .take(200)
            .collect()
    };
    assert_eq!(first_arrivals(3), first_arrivals(3));
    assert_ne!(first_arrivals(3), first_arrivals(4));
}

#[test]
fn bursts_raise_the_variance_of_counts_per_second_above_poisson() {
    let dispersion = |bursts| {
        let mut counts = vec![0_f64; 3_600];
        for at in Arrivals::new(20.0, bursts, 5).take_while(|at| *at < HOUR) {
            counts[at.as_secs() as usize] += 1.0;
        }
        let mean = counts.iter().sum::<f64>() / counts.len() as f64;
        let squares = counts.iter().map(|count| (count - mean).powi(2));
        squares.sum::<f64>() / counts.len() as f64 / mean
    };
    assert!((dispersion(Bursts::NONE) - 1.0).abs() < 0.15);
    assert!(dispersion(Bursts::TYPICAL) > 2.0);
}

#[test]
fn a_rate_of_zero_yields_no_arrival() {
    assert_eq!(Arrivals::new(0.0, Bursts::TYPICAL, 1).next(), None);
}
