//! Immutable snapshot of the members for the request path. Each new snapshot replaces the old one
//! as a whole.

use std::collections::HashMap;
use std::net::SocketAddr;

use derive::value;
use protocol::{Load, ProcessRole};
use types::{CustomerName, FailureDomain, Incarnation, NodeId, Region, ServiceName, WeightVersion};

use crate::Liveness;

/// A replica of a service.
#[value]
pub struct Replica {
    /// Address and incarnation of the agent.
    pub node: NodeId,
    /// Failure domain of the process.
    pub failure_domain: FailureDomain,
    /// Region of the process.
    pub region: Region,
    /// Load according to its last status.
    pub load: Load,
    /// When that status was received, in milliseconds on this process's monotonic clock.
    pub load_received_ms: u64,
    /// Weight version that it answers with; `None` for a plain service.
    pub weights: Option<WeightVersion>,
    /// Whether the process answers probes.
    pub liveness: Liveness,
    /// Whether the process is leaving and accepts no new work.
    pub leaving: bool,
    /// Number of the endpoint's current run behind the agent; rises when the endpoint restarts.
    pub endpoint_life: u32,
}

/// A process as shown on the status page.
#[value]
pub struct MemberState {
    /// Address of the process.
    pub address: SocketAddr,
    /// Incarnation of the process; `None` if none has been received yet.
    pub incarnation: Option<Incarnation>,
    /// Whether the process is an entry or an agent.
    pub role: ProcessRole,
    /// Failure domain of the process.
    pub failure_domain: FailureDomain,
    /// Region of the process.
    pub region: Region,
    /// Whether the process answers probes.
    pub liveness: Liveness,
    /// Whether the process is leaving and accepts no new work.
    pub leaving: bool,
}

#[value]
#[derive(Default)]
pub(crate) struct ServiceReplicas {
    /// Replicas that accept new work, then the leaving ones.
    pub(crate) replicas: Vec<Replica>,
    pub(crate) accepting: usize,
}

/// The members and replicas at one time.
#[value]
#[derive(Default)]
pub struct Snapshot {
    pub(crate) services: HashMap<CustomerName, HashMap<ServiceName, ServiceReplicas>>,
    /// Every known process except this one.
    pub members: Vec<MemberState>,
    /// Whether most endpoints stopped answering at the same time. This process then assumes a fault
    /// of its own network and keeps them as suspects.
    pub isolated: bool,
}

impl Snapshot {
    /// The subset of the service's replicas that accept new work. Replicas that answer probes come
    /// first.
    pub fn replicas(&self, customer: &CustomerName, service: &ServiceName) -> &[Replica] {
        self.service_replicas(customer, service)
            .map_or(&[], |service_replicas| {
                &service_replicas.replicas[..service_replicas.accepting]
            })
    }

    /// The same replicas, followed by the ones that are leaving.
    pub fn replicas_with_leaving(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
    ) -> &[Replica] {
        self.service_replicas(customer, service)
            .map_or(&[], |service_replicas| &service_replicas.replicas)
    }

    /// Whether this incarnation of a replica accepts new work for the service. To be checked in the
    /// newest snapshot right before a hand-over, since the request may have been queued.
    pub fn accepts_work(
        &self,
        customer: &CustomerName,
        service: &ServiceName,
        node: NodeId,
    ) -> bool {
        let replicas = self.replicas(customer, service);
        replicas.iter().any(|replica| replica.node == node)
    }

    /// Every service that has a replica.
    pub fn services(&self) -> impl Iterator<Item = (&CustomerName, &ServiceName)> {
        self.services.iter().flat_map(|(customer, services)| {
            services.keys().map(move |service| (customer, service))
        })
    }

    /// Processes with this role that are neither leaving nor down.
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
