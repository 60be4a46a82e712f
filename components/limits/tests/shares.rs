//! Tests each entry's shares of the customers' limits. An entry computes them from its own demand
//! and the other entries' digests, which are bounded in size.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::{Ipv4Addr, SocketAddr};

use common::{SplitMix64, customer};
use limits::{
    CustomerLimits, DIGEST_BYTES_MAX, DIGEST_BYTES_PER_S_MAX, OfferedByClass, OfferedLoad,
    ShareSettings, Shares, demand, round_interval_ms,
};
use protocol::{Datagram, DemandDigest, GossipMessage, Key, Keys, ProcessRole, write_datagram};
use types::{CustomerName, Incarnation, NodeId};

/// Bytes that the IP and UDP headers add to a datagram.
const IP_AND_UDP_BYTES: usize = 28;

fn node(number: usize) -> NodeId {
    NodeId {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000 + number as u16)),
        incarnation: Incarnation(1),
    }
}

fn names(count: usize) -> Vec<CustomerName> {
    let name = |number| customer(&format!("customer-{number}"));
    (0..count).map(name).collect()
}

/// Runs one round of all entries; digests arrive at once. `demand` is by entry, then by customer.
fn round(entries: &mut [Shares], names: &[CustomerName], demand: &[Vec<f64>], now_ms: u64) {
    let count = entries.len();
    let mut told: Vec<DemandDigest> = Vec::new();
    for (own, shares) in entries.iter_mut().enumerate() {
        let peers: Vec<NodeId> = (0..count).filter(|&other| other != own).map(node).collect();
        let demands = names.iter().cloned().zip(demand[own].iter().copied());
        told.push(shares.run_round(&peers, demands, round_interval_ms(count - 1), now_ms));
    }
    for (own, shares) in entries.iter_mut().enumerate() {
        let others = told.iter().enumerate().filter(|&(other, _)| other != own);
        others.for_each(|(other, digest)| shares.record_digest(node(other), digest, now_ms));
    }
}

fn entries(count: usize) -> Vec<Shares> {
    let new = || Shares::new(ShareSettings::default());
    (0..count).map(|_| new()).collect()
}

// Guards against refusals far below the limit. All requests of a customer come through one of three
// entries, because its clients keep their connections. With an even split the customer would be
// refused at a third of its limit.
#[test]
fn a_customer_can_use_most_of_its_limit_at_one_entry() {
    let mut entries = entries(3);
    let names = names(1);
    let mut shares = Vec::new();
    for number in 0..40 {
        let now_ms = number * round_interval_ms(2);
        round(
            &mut entries,
            &names,
            &[vec![0.4], vec![0.0], vec![0.0]],
            now_ms,
        );
        shares.push(entries[0].share(&names[0], now_ms));
    }
    assert!((shares[0] - 0.25 / 3.0).abs() < 1e-9, "{shares:?}");
    assert!(shares[39] > 0.83, "{shares:?}");
}

#[test]
fn demand_counts_calls_in_full_and_sampling_in_part() {
    struct Case {
        name: &'static str,
        offered: OfferedByClass,
        demand: f64,
    }
    let offered = |requests, tokens, in_progress| OfferedLoad {
        requests,
        tokens,
        in_progress,
    };
    let calls = |calls| OfferedByClass {
        calls,
        ..OfferedByClass::default()
    };
    let cases = [
        Case {
            name: "by the scarcest limit",
            offered: calls(offered(20, 1_000, 1)),
            demand: 0.5,
        },
        Case {
            name: "by requests in progress",
            offered: calls(offered(0, 0, 30)),
            demand: 0.75,
        },
        Case {
            name: "beyond the limit",
            offered: calls(offered(200, 0, 0)),
            demand: 5.0,
        },
        Case {
            name: "sampling at most a quarter",
            offered: OfferedByClass {
                calls: offered(4, 0, 0),
                sampling: offered(900, 90_000, 40),
            },
            demand: 0.35,
        },
    ];
    let limits = CustomerLimits {
        requests_per_s: Some(20),
        in_progress: Some(40),
        tokens_per_s: Some(1_000),
    };
    for case in cases {
        let found = demand(&limits, &case.offered, 2_000);
        let demand = case.demand;
        assert!((found - demand).abs() < 1e-9, "{}: {found}", case.name);
    }
}

// Guards against digest traffic that grows with the number of entries and customers. With 300
// customers a full digest would be several datagrams to each of 389 peers; it is truncated, and
// rounds become less frequent.
#[test]
fn digests_stay_within_the_byte_limits_at_any_size() {
    let names = names(300);
    for peers in [1, 2, 5, 29, 389] {
        let nodes: Vec<NodeId> = (1..=peers).map(node).collect();
        let mut shares = Shares::new(ShareSettings::default());
        let demands = names.iter().cloned().map(|name| (name, 0.9));
        let digest = shares.run_round(&nodes, demands, round_interval_ms(peers), 0);
        let lines = digest.lines.len();
        let datagram = Datagram {
            from: node(0),
            role: ProcessRole::Entry,
            messages: vec![GossipMessage::Demand(digest)],
        };
        let keys = Keys::one(Key::new([7; 32]));
        let (packets, errors) = write_datagram(&datagram, keys.signing()).unwrap();
        assert!(errors.is_empty());
        assert_eq!(packets.len(), 1);
        let sent_bytes = packets[0].len() + IP_AND_UDP_BYTES;
        assert!(sent_bytes <= DIGEST_BYTES_MAX + 120, "{sent_bytes}");
        let bytes_per_s = (peers * sent_bytes) as u64 * 1_000 / round_interval_ms(peers);
        println!(
            "{peers} peers: {lines} customers, {sent_bytes} bytes each {} ms, {bytes_per_s} bytes/s",
            round_interval_ms(peers)
        );
        assert!(bytes_per_s <= DIGEST_BYTES_PER_S_MAX);
    }
}

checks::seeded! {
    // Guards against a sum of shares above the limit when a digest does not list all customers.
    // Demand changes at random; a customer that is not listed counts with the highest demand that
    // it may have.
    fn shares_of_each_customer_add_up_to_at_most_one(seed: u64, count: usize) -> bool {
        let mut rng = SplitMix64(seed);
        let mut entries = entries(1 + count % 5);
        let names = names(60);
        let mut demand = vec![vec![0.0; names.len()]; entries.len()];
        (0..30).all(|number| {
            for part in demand.iter_mut().flatten() {
                if rng.below(4) == 0 {
                    *part = rng.unit() * 2.0;
                }
            }
            let now_ms = number * round_interval_ms(entries.len() - 1);
            round(&mut entries, &names, &demand, now_ms);
            let sum = |name| entries.iter().map(|one| one.share(name, now_ms)).sum::<f64>();
            names.iter().all(|name| sum(name) <= 1.0 + 1e-9)
        })
    }
}
