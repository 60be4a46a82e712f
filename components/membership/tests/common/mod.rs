//! Test fixtures: processes, statuses and the members of one entry.
#![allow(dead_code)]
#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions only, not their helpers.

use std::net::SocketAddr;

use membership::{ListedVm, MemberSettings, Members, OwnProcess};
use protocol::{HostedService, Load, ProcessRole, Status};
use types::{CustomerName, FailureDomain, Incarnation, NodeId, Region, ServiceName};

pub fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

pub fn node(number: u16, incarnation: u64) -> NodeId {
    NodeId {
        address: address(number),
        incarnation: Incarnation(incarnation),
    }
}

pub fn domain(number: u16) -> FailureDomain {
    let domains = ["rennes-a", "brest-b", "vannes-c"];
    FailureDomain::new(domains[usize::from(number) % 3]).unwrap()
}

pub fn region() -> Region {
    Region::new("bretagne").unwrap()
}

pub fn service() -> (CustomerName, ServiceName) {
    let customer = CustomerName::new("office").unwrap();
    (customer, ServiceName::new("redacteurs").unwrap())
}

pub fn entry() -> Members {
    let own = OwnProcess {
        node: node(60_000, 100),
        role: ProcessRole::Entry,
        failure_domain: domain(0),
        region: region(),
        started_ms: 0,
    };
    Members::new(own, MemberSettings::default())
}

pub fn status(number: u16, leaving: bool) -> Status {
    let (customer, service) = service();
    let hosted = HostedService {
        customer,
        service,
        weights: None,
    };
    Status {
        failure_domain: domain(number),
        region: region(),
        leaving,
        hosted: vec![hosted],
        part: 0,
        parts: 1,
        load: Load::default(),
        endpoint_life: 1,
    }
}

pub fn listed(number: u16, leaving: bool) -> ListedVm {
    ListedVm {
        address: address(number),
        role: ProcessRole::Agent,
        failure_domain: domain(number),
        region: region(),
        leaving,
    }
}

/// Nodes that accept new work for the test service.
pub fn accepting_nodes(members: &mut Members, now_ms: u64) -> Vec<NodeId> {
    let (customer, service) = service();
    let snapshot = members.snapshot(now_ms);
    let replicas = snapshot.replicas(&customer, &service);
    replicas.iter().map(|replica| replica.node).collect()
}
