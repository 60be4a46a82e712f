//! From the members to the immutable view, and which members are watched for it.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use protocol::{HostedService, ProcessRole};
use types::{CustomerName, NodeId, ServiceName};

use crate::member::Member;
use crate::snapshot::ServiceReplicas;
use crate::subset::{Candidate, choose_subset};
use crate::{Liveness, MemberState, Members, Replica, Snapshot};

type Service<'a> = (&'a CustomerName, &'a ServiceName);

/// A member that hosts a service, with what it said of it.
struct Host<'a> {
    address: SocketAddr,
    member: &'a Member,
    hosted: &'a HostedService,
}

impl Members {
    /// The view of now; also chooses anew which members are watched. Call it after any
    /// news that was [`crate::Heard::New`] and once a second.
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

    /// Addresses to spread rumours to: everybody that is not down, leaving ones too, for
    /// they still have callers.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let reachable = self.present().filter(|(_, member)| {
            let gone = member.listing.is_none() && member.last_heard_ms.is_none();
            !gone && member.liveness(&self.settings) != Liveness::Down
        });
        reachable.map(|(&address, _)| address).collect()
    }

    /// Entries that are not down, leaving ones too. One that came up a moment ago is among
    /// them though the VM list, which tells its failure domain, was not read since; the
    /// snapshot leaves it out until then.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.present().filter(|(_, member)| {
            member.role == ProcessRole::Entry && member.liveness(&self.settings) != Liveness::Down
        });
        entries.map(|(&address, _)| address).collect()
    }

    /// Live processes of this one's failure domain, itself among them.
    pub fn domain_peers(&self) -> Vec<SocketAddr> {
        let own = (&self.own.failure_domain, &self.own.region);
        let near = self.present().filter(|(_, member)| {
            let place = member
                .location
                .as_ref()
                .map(|(domain, region)| (domain, region));
            let live = member.liveness(&self.settings) != Liveness::Down;
            place == Some(own) && live && !member.is_leaving()
        });
        near.map(|(&address, _)| address)
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
        let agents = self.present().filter(|(_, m)| m.role == ProcessRole::Agent);
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

    /// The subset if all were up: a member that is down stays watched, so that its return
    /// is noticed as fast as its death.
    fn subset_addresses(&self, hosts: &[Host<'_>]) -> Vec<SocketAddr> {
        let staying: Vec<&Host<'_>> = hosts.iter().filter(|h| !h.member.is_leaving()).collect();
        let chosen = self.choose_hosts(&staying).into_iter();
        chosen.map(|host| host.address).collect()
    }

    fn service_replicas(&self, hosts: &[Host<'_>]) -> ServiceReplicas {
        let up = |host: &&Host<'_>| self.effective_liveness(host.member) != Liveness::Down;
        let (leaving, staying): (Vec<_>, Vec<_>) =
            hosts.iter().filter(up).partition(|h| h.member.is_leaving());
        let mut replicas: Vec<Replica> = self
            .choose_hosts(&staying)
            .into_iter()
            .filter_map(|host| self.to_replica(host))
            .collect();
        replicas.sort_by_key(|replica| replica.liveness);
        let takers = replicas.len();
        replicas.extend(leaving.into_iter().filter_map(|host| self.to_replica(host)));
        ServiceReplicas {
            replicas,
            accepting: takers,
        }
    }

    fn choose_hosts<'a>(&self, hosts: &[&'a Host<'a>]) -> Vec<&'a Host<'a>> {
        let placed: Vec<(&'a Host<'a>, Candidate<'a>)> = hosts
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
        let candidates: Vec<Candidate<'_>> = placed.iter().map(|&(_, c)| c).collect();
        let own = &self.own;
        let size = self.settings.subset_size;
        choose_subset(own.node.address, &own.region, &candidates, size)
            .into_iter()
            .map(|position| placed[position].0)
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
        let period_ms = self.settings.probe_period_ms(watched.len());
        for (address, member) in &mut self.members {
            member.watched = watched.contains(address);
            if member.watched {
                member.next_probe_ms = member.next_probe_ms.min(now_ms + period_ms);
            }
        }
    }
}
