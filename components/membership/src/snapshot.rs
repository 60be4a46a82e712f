//! The view as the request path reads it: immutable, swapped as a whole.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive::value;
use protocol::{Load, ProcessRole};
use types::{CustomerName, FailureDomain, Incarnation, NodeId, Region, ServiceName, WeightVersion};

use crate::Liveness;

/// One replica of a service.
#[value]
pub struct Replica {
    /// The agent's address and life.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Load by its last status.
    pub load: Load,
    /// When that status came, in milliseconds.
    pub load_received_ms: u64,
    /// Version that it answers with; `None` for a plain service.
    pub weights: Option<WeightVersion>,
    /// Whether it answers probes.
    pub liveness: Liveness,
    /// It takes no new work.
    pub leaving: bool,
    /// Which life of the endpoint behind the agent.
    pub endpoint_life: u32,
}

/// One process as the status page shows it.
#[value]
pub struct MemberState {
    /// Its address.
    pub address: SocketAddr,
    /// Its life, if one was heard.
    pub incarnation: Option<Incarnation>,
    /// What it is.
    pub role: ProcessRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its region.
    pub region: Region,
    /// Whether it answers probes.
    pub liveness: Liveness,
    /// It takes no new work.
    pub leaving: bool,
}

#[value]
#[derive(Default)]
pub(crate) struct ServiceReplicas {
    /// Those that take new work come first.
    pub(crate) replicas: Vec<Replica>,
    pub(crate) accepting: usize,
}

/// The view of one moment.
#[value]
#[derive(Default)]
pub struct Snapshot {
    pub(crate) services: HashMap<CustomerName, HashMap<ServiceName, ServiceReplicas>>,
    /// Every known process but this one.
    pub members: Vec<MemberState>,
    /// This process lost sight of most endpoints at once, takes this for a fault of its
    /// own and keeps the view from before.
    pub isolated: bool,
}

impl Snapshot {
    /// The subset of the service's replicas that take new work; those that answer come
    /// first.
    pub fn replicas(&self, customer: &CustomerName, service: &ServiceName) -> &[Replica] {
        self.service_replicas(customer, service)
            .map_or(&[], |hosts| &hosts.replicas[..hosts.accepting])
    }

    /// The same with the ones that are leaving at the end.
    pub fn replicas_with_leaving(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
    ) -> &[Replica] {
        self.service_replicas(customer, service)
            .map_or(&[], |hosts| &hosts.replicas)
    }

    /// Whether this life of a replica takes new work for the service; to be asked of the
    /// newest snapshot right before a hand-over, since a request may have waited.
    pub fn accepts_work(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
        node: NodeId,
    ) -> bool {
        let replicas = self.replicas(customer, service);
        replicas.iter().any(|replica| replica.node == node)
    }

    /// Every service with a replica in the view.
    pub fn services(&self) -> impl Iterator<Item = (&CustomerName, &ServiceName)> {
        self.services.iter().flat_map(|(customer, services)| {
            services.keys().map(move |service| (customer, service))
        })
    }

    /// Processes of one role that are neither leaving nor down.
    pub fn live(&self, role: ProcessRole) -> impl Iterator<Item = &MemberState> {
        self.members.iter().filter(move |member| {
            member.role == role && !member.leaving && member.liveness != Liveness::Down
        })
    }

    fn service_replicas(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
    ) -> Option<&ServiceReplicas> {
        self.services.get(customer)?.get(service)
    }
}
