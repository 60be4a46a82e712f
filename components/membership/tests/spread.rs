//! Spread of rumours through 990 processes in memory, and who reads the log.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

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

struct Net {
    nodes: Vec<Rumours>,
    peers: Vec<Vec<SocketAddr>>,
    rng: StdRng,
    sent: u64,
}

impl Net {
    fn new(seed: u64) -> Self {
        let others = |own: u16| (0..PROCESSES).filter(move |&n| n != own).map(address);
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
                    arriving.push((target, round.news.clone()));
                }
            }
        }
        for (target, news) in arriving {
            let node = &mut self.nodes[usize::from(number_of(target))];
            let peers = usize::from(PROCESSES);
            for item in news {
                node.add(&item, peers, now_ms);
            }
        }
    }

    fn knowing(&self, news: &GossipMessage, now_ms: u64) -> usize {
        let knows = |rumours: &&Rumours| rumours.known_news(now_ms).any(|known| known == *news);
        self.nodes.iter().filter(knows).count()
    }
}

/// Every process answers with the new weights and the accepted text seconds after one
/// heard of them. Two processes hear one piece of news each; 10 % of all datagrams are
/// lost; all 990 must hold both within the bound, and then fall silent about them.
#[test]
fn can_reach_everybody_within_a_bound_of_rounds() {
    let settings = RumourSettings::default();
    let (mut worst, mut idle) = (0, 0.0);
    for seed in 0..5 {
        let mut net = Net::new(seed);
        let news = [weights(8), config(3)];
        net.nodes[0].add(&weights(7), 989, 0);
        net.nodes[1].add(&news[0], 989, 0);
        net.nodes[500].add(&news[1], 989, 0);
        let all = usize::from(PROCESSES);
        let mut round = 0;
        while news
            .iter()
            .any(|n| net.knowing(n, round * settings.round_interval_ms) < all)
        {
            net.round(round * settings.round_interval_ms);
            round += 1;
            assert!(
                round <= ROUNDS_MAX,
                "seed {seed}: {round} rounds are not enough"
            );
        }
        worst = worst.max(round);
        (round..40).for_each(|round| net.round(round * settings.round_interval_ms));
        net.sent = 0;
        (40..70).for_each(|round| net.round(round * settings.round_interval_ms));
        idle = net.sent as f64 / 30.0 / f64::from(PROCESSES);
        assert!(idle <= 1.0 / settings.idle_rounds as f64 + 0.01, "{idle}");
    }
    let bytes_per_s = settings.bytes_per_s_max();
    println!(
        "rounds until all know: {worst} of {} ms; {bytes_per_s} B/s at most; idle {idle:.2}",
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
    let leaving = |life| GossipMessage::Leaving {
        node: node(1, life),
    };
    let (early, slow) = (quarantined(600_000), quarantined(600_500));
    let cases = [
        case("a higher version is new", weights(1), weights(2), true),
        case("a lower version is not", weights(2), weights(1), false),
        case(
            "a text that was replaced is not",
            config(4),
            config(3),
            false,
        ),
        case("a later life that leaves is", leaving(1), leaving(2), true),
        case(
            "a leaving life heard twice is not",
            leaving(1),
            leaving(1),
            false,
        ),
        case(
            "a quarantine on its way for a while is not",
            early.clone(),
            slow,
            false,
        ),
        case(
            "a quarantine that began anew is",
            quarantined(60_000),
            early,
            true,
        ),
        case(
            "a probe is none",
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
    assert_eq!(rumours.known_news(400).next(), Some(quarantined(600)));
    assert_eq!(rumours.known_news(1_000).next(), None);
}

// A trainer puts version 6 in force through one entry and names version 7 ahead of time
// through another that has not heard of 6 yet. Both rumours reach a third process, in either
// order; it has to know both versions, or its engine would miss one.
#[test]
fn can_keep_what_either_of_two_rumours_of_weights_says() {
    let at = |version| WeightVersion { epoch: 1, version };
    let in_force = WeightTarget::serve(at(6));
    let ahead = WeightTarget {
        serve: at(5),
        load: at(7),
    };
    let both = WeightTarget {
        serve: at(6),
        load: at(7),
    };
    for (first, second) in [(in_force, ahead), (ahead, in_force)] {
        let mut rumours = Rumours::new(RumourSettings::default());
        assert!(rumours.add(&target(first), 10, 0));
        assert!(rumours.add(&target(second), 10, 0));
        assert_eq!(rumours.known_news(0).next(), Some(target(both)));
        assert!(!rumours.add(&target(first), 10, 0));
    }
}

#[test]
fn can_choose_the_same_tailers_everywhere() {
    let settings = TailSettings::default();
    let chosen = tailers((0..330).map(address), &settings);
    assert_eq!(chosen.len(), settings.per_domain);
    assert_eq!(chosen, tailers((0..330).rev().map(address), &settings));
    let left = (0..330).map(address).filter(|&node| node != chosen[0]);
    assert_eq!(tailers(left, &settings)[0], chosen[1]);
}

/// An operator's text is in force everywhere though all tailers of the log died. While
/// digests are fresh the others do not read; once the newest read known is too old each
/// reads for itself, and while the log is out it asks less and less often.
#[test]
fn can_read_for_itself_when_the_digests_stop() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut tail = Tail::new(TailSettings::default(), 0);
    assert_eq!(tail.next_action(false, 0), TailAction::Read);
    tail.record_read(0);
    tail.record_peer_read(500, 10_000);
    let quiet = TailAction::WaitUntil { at_ms: 29_500 };
    assert_eq!(tail.next_action(false, 10_000), quiet);
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
