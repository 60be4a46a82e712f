//! Replicas and tables for the tests, and a simulation of a service.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use routing::{Locality, Replica, Report, Settings, Table};
use types::{FailureDomain, Incarnation, NodeId, Region};

#[path = "../../examples/model/sim.rs"]
pub mod sim;

pub const DOMAINS: [&str; 3] = ["rennes-a", "brest-b", "vannes-c"];

pub fn node(number: u16) -> NodeId {
    NodeId {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + number)),
        incarnation: Incarnation(1),
    }
}

pub fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).unwrap()
}

pub fn here(number: usize) -> Locality {
    Locality {
        failure_domain: domain(DOMAINS[number % DOMAINS.len()]),
        region: Region::new("bretagne").unwrap(),
    }
}

/// A replica in the first failure domain, without a load report.
pub fn replica(number: u16) -> Replica {
    Replica {
        node: node(number),
        failure_domain: domain(DOMAINS[0]),
        region: Region::new("bretagne").unwrap(),
        leaving: false,
        weights: None,
        report: None,
        prefix_id: None,
    }
}

pub fn replicas(count: u16) -> Vec<Replica> {
    (0..count).map(replica).collect()
}

/// A replica without a load report, in the failure domain of its number modulo three.
pub fn spread(number: u16) -> Replica {
    let name = DOMAINS[usize::from(number) % DOMAINS.len()];
    Replica {
        failure_domain: domain(name),
        ..replica(number)
    }
}

pub fn report(calls: u32, taken_at_ms: u64) -> Report {
    Report {
        running: calls,
        waiting: 0,
        prompt_tokens_queued: 0,
        kv_used_permille: 0,
        taken_at_ms,
    }
}

/// A table without slow start, whose replicas get their full share at once.
pub fn table(settings: Settings, replicas: Vec<Replica>) -> Table {
    let settings = Settings {
        slow_start_ms: 0,
        ..settings
    };
    Table::empty(Arc::new(settings)).rebuild(replicas, &here(0), 0)
}
