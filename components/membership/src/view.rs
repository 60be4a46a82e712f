//! Builds the immutable snapshot from the members and selects the members to probe frequently for
//! it.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use protocol::{HostedService, ProcessRole};
use types::{CustomerName, NodeId, ServiceName};

use crate::member::Member;
use crate::snapshot::ServiceReplicas;
use crate::subset::{Candidate, choose_subset};
use crate::{Liveness, MemberState, Members, Replica, Snapshot};

type Service<'a> = (&'a CustomerName, &'a ServiceName);

/// A member that hosts a service, with the service's entry in its status.
struct Host<'a> {
    address: SocketAddr,
    member: &'a Member,
    hosted: &'a HostedService,
}

impl Members {
    /// Builds the current snapshot, and selects again which members are watched. Has to be called
    /// after every [`crate::UpdateOutcome::Changed`] and once per second.
    pub fn snapshot(&mut self, now_ms: u64) -> Snapshot {
        let mut snapshot = Snapshot {
            members: self.member_states().collect(),
            isolated: self.isolated,
            ..Snapshot::default()
        };
        let mut watched = HashSet::new();
        for ((customer, service), hosts) in self.hosts_by_service() {
            watched.extend(self.subset_addresses(&hosts));
            let services = snapshot.services.entry(customer.clone()).or_default();
            services.insert(service.clone(), self.service_replicas(&hosts));
        }
        self.set_watched(&watched, now_ms);
        snapshot
    }

    /// Addresses to gossip with: every member that is not down. Leaving members are included
    /// because they still have callers.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let reachable = self.present().filter(|(_, member)| {
            let is_absent = member.listing.is_none() && member.last_heard_ms.is_none();
            !is_absent && member.liveness(&self.settings) != Liveness::Down
        });
        reachable.map(|(&address, _)| address).collect()
    }

    /// Addresses of the entries that are not down, including leaving ones. An entry that has just
    /// started is included even before the VM list, which states its failure domain, has been read;
    /// the snapshot leaves it out until then.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.present().filter(|(_, member)| {
            member.role == ProcessRole::Entry && member.liveness(&self.settings) != Liveness::Down
        });
        entries.map(|(&address, _)| address).collect()
    }

    /// Live processes of this process's failure domain, including itself.
    pub fn domain_peers(&self) -> Vec<SocketAddr> {
        let local = (&self.own.failure_domain, &self.own.region);
        let domain_members = self.present().filter(|(_, member)| {
            let location = member
                .location
                .as_ref()
                .map(|(domain, region)| (domain, region));
            let is_live = member.liveness(&self.settings) != Liveness::Down;
            location == Some(local) && is_live && !member.is_leaving()
        });
        domain_members
            .map(|(&address, _)| address)
            .chain([self.own.node.address])
            .collect()
    }

    fn member_states(&self) -> impl Iterator<Item = MemberState> {
        self.present().filter_map(|(&address, member)| {
            let (failure_domain, region) = member.location.clone()?;
            Some(MemberState {
                address,
                incarnation: member.incarnation,
                role: member.role,
                failure_domain,
                region,
                liveness: self.effective_liveness(member),
                leaving: member.is_leaving(),
            })
        })
    }

    fn hosts_by_service(&self) -> BTreeMap<Service<'_>, Vec<Host<'_>>> {
        let mut services: BTreeMap<Service<'_>, Vec<Host<'_>>> = BTreeMap::new();
        let agents = self
            .present()
            .filter(|(_, member)| member.role == ProcessRole::Agent);
        for (&address, member) in agents {
            let status = member.status.iter();
            for hosted in status.flat_map(|(status, _)| &status.hosted) {
                let service = (&hosted.customer, &hosted.service);
                services.entry(service).or_default().push(Host {
                    address,
                    member,
                    hosted,
                });
            }
        }
        services
    }

    /// The subset as if all hosts were up: a member that is down stays watched, so that its
    /// recovery is detected as quickly as its failure.
    fn subset_addresses(&self, hosts: &[Host<'_>]) -> Vec<SocketAddr> {
        let staying: Vec<&Host<'_>> = hosts
            .iter()
            .filter(|host| !host.member.is_leaving())
            .collect();
        let chosen = self.choose_hosts(&staying).into_iter();
        chosen.map(|host| host.address).collect()
    }

    fn service_replicas(&self, hosts: &[Host<'_>]) -> ServiceReplicas {
        let is_up = |host: &&Host<'_>| self.effective_liveness(host.member) != Liveness::Down;
        let (leaving, staying): (Vec<_>, Vec<_>) = hosts
            .iter()
            .filter(is_up)
            .partition(|host| host.member.is_leaving());
        let mut replicas: Vec<Replica> = self
            .choose_hosts(&staying)
            .into_iter()
            .filter_map(|host| self.to_replica(host))
            .collect();
        replicas.sort_by_key(|replica| replica.liveness);
        let accepting = replicas.len();
        replicas.extend(leaving.into_iter().filter_map(|host| self.to_replica(host)));
        ServiceReplicas {
            replicas,
            accepting,
        }
    }

    fn choose_hosts<'a>(&self, hosts: &[&'a Host<'a>]) -> Vec<&'a Host<'a>> {
        let located: Vec<(&'a Host<'a>, Candidate<'a>)> = hosts
            .iter()
            .filter_map(|&host| {
                let (failure_domain, region) = host.member.location.as_ref()?;
                let candidate = Candidate {
                    address: host.address,
                    failure_domain,
                    region,
                };
                Some((host, candidate))
            })
            .collect();
        let candidates: Vec<Candidate<'_>> =
            located.iter().map(|&(_, candidate)| candidate).collect();
        let local = &self.own;
        let size = self.settings.subset_size;
        choose_subset(local.node.address, &local.region, &candidates, size)
            .into_iter()
            .map(|position| located[position].0)
            .collect()
    }

    fn to_replica(&self, host: &Host<'_>) -> Option<Replica> {
        let member = host.member;
        let (status, load_at_ms) = member.status.as_ref()?;
        Some(Replica {
            node: NodeId {
                address: host.address,
                incarnation: member.incarnation?,
            },
            failure_domain: status.failure_domain.clone(),
            region: status.region.clone(),
            load: status.load,
            load_received_ms: *load_at_ms,
            weights: host.hosted.weights,
            liveness: self.effective_liveness(member),
            leaving: member.is_leaving(),
            endpoint_life: status.endpoint_life,
        })
    }

    fn set_watched(&mut self, watched: &HashSet<SocketAddr>, now_ms: u64) {
        let probe_period_ms = self.settings.probe_period_ms(watched.len());
        for (address, member) in &mut self.members {
            member.watched = watched.contains(address);
            if member.watched {
                member.next_probe_ms = member.next_probe_ms.min(now_ms + probe_period_ms);
            }
        }
    }
}
