//! Spread of gossip among 990 simulated processes, and the selection of the processes that read the
//! log.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions only, not their helpers.

mod common;

use std::net::SocketAddr;

use common::{address, node, service};
use membership::{RumourSettings, Rumours, Tail, TailAction, TailSettings, tailers};
use protocol::{ConfigDigest, GossipMessage};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use types::{WeightTarget, WeightVersion};

const PROCESSES: u16 = 990;
const LOSS_PERCENT: u64 = 10;
const ROUNDS_MAX: u64 = 15;

fn weights(version: u64) -> GossipMessage {
    target(WeightTarget::serve(WeightVersion { epoch: 1, version }))
}

fn target(target: WeightTarget) -> GossipMessage {
    let (customer, service) = service();
    GossipMessage::Weights {
        customer,
        service,
        target,
    }
}

fn config(version: u64) -> GossipMessage {
    GossipMessage::Config(ConfigDigest {
        customer: service().0,
        version,
        digest: version,
    })
}

fn quarantined(left_ms: u32) -> GossipMessage {
    let digest = [7; 16];
    GossipMessage::Quarantined { digest, left_ms }
}

fn number_of(target: SocketAddr) -> u16 {
    let SocketAddr::V4(target) = target else {
        return 0;
    };
    let [_, _, high, low] = target.ip().octets();
    u16::from_be_bytes([high, low])
}

struct Network {
    nodes: Vec<Rumours>,
    peers: Vec<Vec<SocketAddr>>,
    rng: StdRng,
    sent: u64,
}

impl Network {
    fn new(seed: u64) -> Self {
        let others = |own: u16| {
            (0..PROCESSES)
                .filter(move |&number| number != own)
                .map(address)
        };
        Self {
            nodes: vec![Rumours::new(RumourSettings::default()); usize::from(PROCESSES)],
            peers: (0..PROCESSES).map(|own| others(own).collect()).collect(),
            rng: StdRng::seed_from_u64(seed),
            sent: 0,
        }
    }

    fn round(&mut self, now_ms: u64) {
        let mut arriving = Vec::new();
        for (own, rumours) in self.nodes.iter_mut().enumerate() {
            let Some(round) = rumours.start_round(&self.peers[own], now_ms, &mut self.rng) else {
                continue;
            };
            self.sent += round.targets.len() as u64;
            for target in round.targets {
                if self.rng.next_u64() % 100 >= LOSS_PERCENT {
                    arriving.push((target, round.messages.clone()));
                }
            }
        }
        for (target, messages) in arriving {
            let node = &mut self.nodes[usize::from(number_of(target))];
            let peers = usize::from(PROCESSES);
            for item in messages {
                node.add(&item, peers, now_ms);
            }
        }
    }

    fn count_knowing(&self, message: &GossipMessage, now_ms: u64) -> usize {
        let knows_message = |rumours: &&Rumours| {
            rumours
                .known_messages(now_ms)
                .any(|known| known == *message)
        };
        self.nodes.iter().filter(knows_message).count()
    }
}

/// Guards against processes that miss a fact. Two processes each receive a different new fact, and
/// 10% of all datagrams are lost; all 990 processes must know both facts within the limit on
/// rounds, and then stop pushing them.
#[test]
fn can_reach_every_process_within_a_bounded_number_of_rounds() {
    let settings = RumourSettings::default();
    let (mut worst, mut idle_datagrams) = (0, 0.0);
    for seed in 0..5 {
        let mut network = Network::new(seed);
        let messages = [weights(8), config(3)];
        network.nodes[0].add(&weights(7), 989, 0);
        network.nodes[1].add(&messages[0], 989, 0);
        network.nodes[500].add(&messages[1], 989, 0);
        let all = usize::from(PROCESSES);
        let mut round = 0;
        while messages
            .iter()
            .any(|message| network.count_knowing(message, round * settings.round_interval_ms) < all)
        {
            network.round(round * settings.round_interval_ms);
            round += 1;
            assert!(
                round <= ROUNDS_MAX,
                "seed {seed}: not all processes know the facts after {round} rounds"
            );
        }
        worst = worst.max(round);
        (round..40).for_each(|round| network.round(round * settings.round_interval_ms));
        network.sent = 0;
        (40..70).for_each(|round| network.round(round * settings.round_interval_ms));
        idle_datagrams = network.sent as f64 / 30.0 / f64::from(PROCESSES);
        assert!(
            idle_datagrams <= 1.0 / settings.idle_rounds as f64 + 0.01,
            "{idle_datagrams}"
        );
    }
    let bytes_per_s = settings.bytes_per_s_max();
    println!(
        "rounds until all processes know: {worst} of {} ms; at most {bytes_per_s} B/s; {idle_datagrams:.2} datagrams per process and round when idle",
        settings.round_interval_ms
    );
}

#[test]
fn can_keep_the_higher_of_two_facts_until_it_ends() {
    struct Case {
        name: &'static str,
        first: GossipMessage,
        second: GossipMessage,
        new: bool,
    }
    let case = |name, first, second, new| Case {
        name,
        first,
        second,
        new,
    };
    let leaving = |incarnation| GossipMessage::Leaving {
        node: node(1, incarnation),
    };
    let (early, slow) = (quarantined(600_000), quarantined(600_500));
    let cases = [
        case("a higher version is new", weights(1), weights(2), true),
        case("a lower version is not new", weights(2), weights(1), false),
        case("a replaced text is not new", config(4), config(3), false),
        case(
            "the leaving of a later incarnation is new",
            leaving(1),
            leaving(2),
            true,
        ),
        case(
            "a repeated leaving is not new",
            leaving(1),
            leaving(1),
            false,
        ),
        case(
            "a quarantine delayed in transit is not new",
            early.clone(),
            slow,
            false,
        ),
        case(
            "a quarantine that started again is new",
            quarantined(60_000),
            early,
            true,
        ),
        case(
            "a probe is not a fact",
            GossipMessage::Probe,
            GossipMessage::Probe,
            false,
        ),
    ];
    for case in cases {
        let mut rumours = Rumours::new(RumourSettings::default());
        rumours.add(&case.first, 10, 0);
        assert_eq!(rumours.add(&case.second, 10, 0), case.new, "{}", case.name);
    }
    let mut rumours = Rumours::new(RumourSettings::default());
    rumours.add(&quarantined(1_000), 10, 0);
    assert_eq!(rumours.known_messages(400).next(), Some(quarantined(600)));
    assert_eq!(rumours.known_messages(1_000).next(), None);
}

// Guards against a lost weight version. A trainer announces version 6 to serve through one entry
// and version 7 to load through another one that has not received 6 yet; a third process must know
// both, whichever message arrives first.
#[test]
fn can_merge_two_messages_about_weights() {
    let at = |version| WeightVersion { epoch: 1, version };
    let served = WeightTarget::serve(at(6));
    let preloaded = WeightTarget {
        serve: at(5),
        load: at(7),
    };
    let both = WeightTarget {
        serve: at(6),
        load: at(7),
    };
    for (first, second) in [(served, preloaded), (preloaded, served)] {
        let mut rumours = Rumours::new(RumourSettings::default());
        assert!(rumours.add(&target(first), 10, 0));
        assert!(rumours.add(&target(second), 10, 0));
        assert_eq!(rumours.known_messages(0).next(), Some(target(both)));
        assert!(!rumours.add(&target(first), 10, 0));
    }
}

#[test]
fn can_select_the_same_tailers_everywhere() {
    let settings = TailSettings::default();
    let selected = tailers((0..330).map(address), &settings);
    assert_eq!(selected.len(), settings.per_domain);
    assert_eq!(selected, tailers((0..330).rev().map(address), &settings));
    let remaining = (0..330).map(address).filter(|&node| node != selected[0]);
    assert_eq!(tailers(remaining, &settings)[0], selected[1]);
}

/// Guards against a text that is never applied because all selected readers of the log died. The
/// others do not read while known reads are recent, read for themselves once the newest known read
/// is too old, and poll less and less often while the log is unavailable.
#[test]
fn can_read_for_itself_when_known_reads_become_too_old() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut tail = Tail::new(TailSettings::default(), 0);
    assert_eq!(tail.next_action(false, 0), TailAction::Read);
    tail.record_read(0);
    tail.record_peer_read(500, 10_000);
    let wait = TailAction::WaitUntil { at_ms: 29_500 };
    assert_eq!(tail.next_action(false, 10_000), wait);
    assert_eq!(tail.next_action(true, 10_000), TailAction::Read);
    assert_eq!(tail.next_action(false, 29_500), TailAction::Read);
    let mut reads = 0;
    for now_ms in (30_000..630_000).step_by(100) {
        if tail.next_action(false, now_ms) == TailAction::Read {
            tail.record_failure(false, now_ms, &mut rng);
            reads += 1;
        }
    }
    println!("reads of one unranked process in 600 s of outage: {reads}");
    assert!(reads <= 30, "{reads}");
}
