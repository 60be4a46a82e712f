//! Network traffic of one node's probes and gossip at the design size.
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions only, not their helpers.

mod common;

use common::{node, status};
use membership::{MemberSettings, RumourSettings};
use protocol::{Datagram, GossipMessage, ProcessRole};

/// Size of a datagram's IP and UDP headers and authentication, in bytes.
const OVERHEAD_BYTES: f64 = 28.0 + 40.0;
const BUDGET_BYTES_PER_S: f64 = 16.0 * 1_024.0;
const ENTRIES: f64 = 390.0;
const REPLICAS: f64 = 600.0;

fn datagram_bytes(message: GossipMessage) -> f64 {
    let datagram = Datagram {
        from: node(1, 1_790_000_000_000),
        role: ProcessRole::Agent,
        messages: vec![message],
    };
    OVERHEAD_BYTES + postcard::to_stdvec(&datagram).unwrap().len() as f64
}

#[test]
fn can_keep_a_node_within_its_traffic_budget() {
    let settings = MemberSettings::default();
    let probe = datagram_bytes(GossipMessage::Probe);
    let answer = datagram_bytes(GossipMessage::Status(Box::new(status(1, false))));
    let exchange = probe + answer;
    let (watch_probes_per_s, sweep_probes_per_s) =
        (settings.probes_per_s as f64, settings.sweeps_per_s as f64);
    // Each entry is also probed by the sweeps of other entries; each agent is probed by its share
    // of the entries.
    let entry_bytes_per_s = (watch_probes_per_s
        + sweep_probes_per_s
        + sweep_probes_per_s * ENTRIES / (ENTRIES + REPLICAS))
        * exchange;
    let agent_bytes_per_s = (watch_probes_per_s * ENTRIES / REPLICAS
        + sweep_probes_per_s * ENTRIES / (ENTRIES + REPLICAS))
        * exchange;
    let rumours = RumourSettings::default();
    let rumour_bytes_per_s = 2.0 * rumours.bytes_per_s_max() as f64;
    println!(
        "probe {probe} B, answer {answer} B; both ways: entry {entry_bytes_per_s:.0} B/s, agent {agent_bytes_per_s:.0} B/s"
    );
    println!("gossip both ways at the maximum rate: {rumour_bytes_per_s} B/s");
    assert!(entry_bytes_per_s + rumour_bytes_per_s <= BUDGET_BYTES_PER_S);
    assert!(agent_bytes_per_s + rumour_bytes_per_s <= BUDGET_BYTES_PER_S);
}
