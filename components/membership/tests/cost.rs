//! What the probes of one node cost at the size to design for.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use common::{node, status};
use membership::{MemberSettings, RumourSettings};
use protocol::{Datagram, GossipMessage, ProcessRole};

/// IP and UDP headers and the authentication of a datagram.
const OVERHEAD_BYTES: f64 = 28.0 + 40.0;
const BUDGET_BYTES_PER_S: f64 = 16.0 * 1_024.0;
const ENTRIES: f64 = 390.0;
const REPLICAS: f64 = 600.0;

fn datagram_bytes(news: GossipMessage) -> f64 {
    let datagram = Datagram {
        from: node(1, 1_790_000_000_000),
        role: ProcessRole::Agent,
        messages: vec![news],
    };
    OVERHEAD_BYTES + postcard::to_stdvec(&datagram).unwrap().len() as f64
}

#[test]
fn can_keep_a_node_within_its_share_of_the_network() {
    let settings = MemberSettings::default();
    let probe = datagram_bytes(GossipMessage::Probe);
    let answer = datagram_bytes(GossipMessage::Status(Box::new(status(1, false))));
    let exchange = probe + answer;
    let (watch, sweep) = (settings.probes_per_s as f64, settings.sweeps_per_s as f64);
    // Each entry is swept by the others as well; each agent is probed by its share.
    let entry = (watch + sweep + sweep * ENTRIES / (ENTRIES + REPLICAS)) * exchange;
    let agent = (watch * ENTRIES / REPLICAS + sweep * ENTRIES / (ENTRIES + REPLICAS)) * exchange;
    let rumours = RumourSettings::default();
    let full = 2.0 * rumours.bytes_per_s_max() as f64;
    println!(
        "probe {probe} B, answer {answer} B; both ways: entry {entry:.0} B/s, agent {agent:.0} B/s"
    );
    println!("rumours both ways, while there is more news than fits: {full} B/s");
    assert!(entry + full <= BUDGET_BYTES_PER_S);
    assert!(agent + full <= BUDGET_BYTES_PER_S);
}
