//! By how much the sum of the shares of several entries can exceed the limit.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::{Ipv4Addr, SocketAddr};

use common::SplitMix64;
use limits::{CustomerShare, ShareSettings};
use types::{Incarnation, NodeId};

const TICK_MS: u64 = 500;

fn node(number: usize) -> NodeId {
    NodeId {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000 + number as u16)),
        incarnation: Incarnation(1),
    }
}

struct Entries {
    shares: Vec<CustomerShare>,
    now_ms: u64,
    /// Digests in transit: time of arrival, sender, receiver, demand.
    sent: Vec<(u64, usize, usize, f64)>,
}

impl Entries {
    fn new(count: usize, settings: &ShareSettings) -> Self {
        Self {
            shares: (0..count)
                .map(|_| CustomerShare::new(settings.clone()))
                .collect(),
            now_ms: 0,
            sent: Vec::new(),
        }
    }

    /// Runs one tick and returns the sum of the shares. Every entry records and sends its demand;
    /// digests take up to `delay_ms`. An entry sees the peers for which `sees` returns true.
    fn tick(
        &mut self,
        demand: &[f64],
        delay_ms: u64,
        rng: &mut SplitMix64,
        sees: impl Fn(usize, usize) -> bool,
    ) -> f64 {
        let count = self.shares.len();
        for (from, (share, &per_s)) in self.shares.iter_mut().zip(demand).enumerate() {
            share.record_demand(per_s, self.now_ms);
            for to in (0..count).filter(|&to| to != from) {
                let at_ms = self.now_ms + rng.below(delay_ms + 1);
                self.sent.push((at_ms, from, to, per_s));
            }
        }
        let now_ms = self.now_ms;
        let others = |own: usize| (0..count).filter(move |&other| other != own);
        for (to, share) in self.shares.iter_mut().enumerate() {
            let live = others(to).filter(|&other| sees(to, other)).map(node);
            share.set_live_peers(live, now_ms);
        }
        for (_, from, to, per_s) in self.sent.extract_if(.., |sent| sent.0 <= now_ms) {
            if sees(to, from) {
                self.shares[to].record_peer_demand(node(from), per_s, now_ms);
            }
        }
        let sum = self.shares.iter().map(|share| share.share(now_ms)).sum();
        self.now_ms += TICK_MS;
        sum
    }
}

fn wander(demand: &mut [f64], rng: &mut SplitMix64) {
    for per_s in demand {
        match rng.below(6) {
            0 => *per_s = rng.below(1_000) as f64,
            1 => *per_s = 0.0,
            _ => {}
        }
    }
}

#[test]
fn shares_follow_demand() {
    let mut rng = SplitMix64(1);
    let mut entries = Entries::new(3, &ShareSettings::default());
    for _ in 0..20 {
        entries.tick(&[80.0, 20.0, 0.0], 100, &mut rng, |_, _| true);
    }
    let now_ms = entries.now_ms;
    let shares: Vec<f64> = entries
        .shares
        .iter()
        .map(|share| share.share(now_ms))
        .collect();
    let even = 0.25 / 3.0;
    for (share, by_demand) in shares.iter().zip([0.6, 0.15, 0.0]) {
        assert!((share - even - by_demand).abs() < 1e-9, "{shares:?}");
    }
}

#[test]
fn without_digests_each_entry_has_an_even_share() {
    let settings = ShareSettings {
        digests: false,
        ..ShareSettings::default()
    };
    let mut share = CustomerShare::new(settings);
    share.set_live_peers((1..4).map(node), 0);
    assert_eq!(share.share(0), 0.25);
    share.set_live_peers((1..2).map(node), 1_000);
    assert_eq!(
        share.share(1_000),
        0.25,
        "missing peers must count for one window"
    );
    share.set_live_peers((1..2).map(node), 5_000);
    assert_eq!(share.share(5_000), 0.5);
}

// Guards against a new entry that takes a share by demand before its peers see it; entries that do
// not know each other would each take what they see as free. A fourth entry starts, is not seen
// yet, and has its even part at once, but nothing by demand for a window.
#[test]
fn a_new_entry_raises_the_sum_by_at_most_its_even_part() {
    let mut rng = SplitMix64(1);
    let mut entries = Entries::new(3, &ShareSettings::default());
    for _ in 0..20 {
        entries.tick(&[100.0; 3], 100, &mut rng, |_, _| true);
    }
    entries
        .shares
        .push(CustomerShare::new(ShareSettings::default()));
    let sees = |to: usize, from: usize| to == 3 || from != 3;
    let mut peak = 0.0_f64;
    for _ in 0..5 {
        peak = peak.max(entries.tick(&[100.0; 4], 100, &mut rng, sees));
    }
    println!("an unseen fourth entry: sum of shares {peak:.4}");
    assert!(peak <= 1.0 + 0.25 / 4.0 + 1e-9, "{peak}");
}

// A network partition separates two entries from the third. Within the window all entries still
// count one another; after it each group may use the whole limit, but not more.
#[test]
fn a_partition_multiplies_the_limit_by_at_most_the_number_of_groups() {
    let mut rng = SplitMix64(1);
    let mut entries = Entries::new(3, &ShareSettings::default());
    for _ in 0..20 {
        entries.tick(&[100.0; 3], 100, &mut rng, |_, _| true);
    }
    let sees = |a: usize, b: usize| (a == 2) == (b == 2);
    let sums: Vec<f64> = (0..40)
        .map(|_| entries.tick(&[100.0; 3], 100, &mut rng, sees))
        .collect();
    println!(
        "a split in two groups: sum of shares {:.3} at 2.5 s, {:.3} at 20 s",
        sums[5], sums[39]
    );
    assert!(sums[..6].iter().all(|&sum| sum <= 1.0 + 1e-9));
    assert!(sums.iter().all(|&sum| sum <= 2.0 + 1e-9));
}

#[test]
fn windows_keep_the_sum_within_the_limit_under_changing_demand() {
    for count in [3, 8] {
        let mut rng = SplitMix64(5);
        let mut entries = Entries::new(count, &ShareSettings::default());
        let mut demand = vec![100.0; count];
        let mut told = demand.clone();
        let (mut peak, mut sum, mut simple_peak) = (0.0_f64, 0.0, 0.0_f64);
        for tick in 0..2_000 {
            let before = demand.clone();
            if tick % 8 == 0 {
                wander(&mut demand, &mut rng);
            }
            let shares = entries.tick(&demand, 1_000, &mut rng, |_, _| true);
            (peak, sum) = (peak.max(shares), sum + shares);
            simple_peak = simple_peak.max(simple_sum(&demand, &told));
            told = before;
        }
        println!(
            "{count} entries, demand that jumps every 4 s: sum of shares at most {peak:.3}, mean {:.3}; \
             by newest demand alone at most {simple_peak:.3}",
            sum / 2_000.0
        );
        assert!(peak <= 1.0 + 1e-9);
    }
}

/// Sum of the shares if they were computed without windows, from the own demand and the last demand
/// that the peers sent.
fn simple_sum(demand: &[f64], told: &[f64]) -> f64 {
    let all: f64 = told.iter().sum();
    let share = |(own, own_told): (&f64, &f64)| own / (own + all - own_told).max(1e-9);
    demand.iter().zip(told).map(share).sum()
}

checks::seeded! {
    // If all digests arrive within the window, the sum never exceeds the limit.
    fn shares_add_up_to_at_most_one(seed: u64, count: usize) -> bool {
        let mut rng = SplitMix64(seed);
        let count = 1 + count % 7;
        let mut entries = Entries::new(count, &ShareSettings::default());
        let mut demand = vec![0.0; count];
        (0..100).all(|_| {
            wander(&mut demand, &mut rng);
            entries.tick(&demand, 2_500, &mut rng, |_, _| true) <= 1.0 + 1e-9
        })
    }
}
