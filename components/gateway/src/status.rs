//! Status page of the admin server.

use std::sync::Arc;

use serde::Serialize;
use telemetry::Row;

use crate::gateway::Gateway;
use crate::readiness::Readiness;

#[derive(Serialize)]
struct Status {
    node: String,
    role: &'static str,
    failure_domain: String,
    region: String,
    ready: bool,
    readiness: &'static str,
    leaving: bool,
    isolated: bool,
    in_progress: usize,
    config: Vec<Configured>,
    unmet_dependencies: Vec<String>,
    members: Vec<Member>,
    services: Vec<Service>,
    weights: Vec<Weights>,
    steps: Vec<crate::training::StepStatus>,
    traffic: Traffic,
    metrics: Vec<Row>,
}

/// Bytes exchanged with other processes of the system since the start.
#[derive(Serialize)]
struct Traffic {
    calls_sent_bytes: u64,
    calls_received_bytes: u64,
    control_sent_bytes: u64,
    control_received_bytes: u64,
    datagrams_dropped: u64,
}

#[derive(Serialize)]
struct Configured {
    customer: String,
    version: u64,
}

#[derive(Serialize)]
struct Member {
    address: String,
    incarnation: u64,
    role: &'static str,
    failure_domain: String,
    standing: String,
    leaving: bool,
}

#[derive(Serialize)]
struct Service {
    owner: String,
    service: String,
    in_progress: u32,
    waiting: u32,
    slots: u32,
    ejected: usize,
    replicas: Vec<Replica>,
}

#[derive(Serialize)]
struct Replica {
    agent: String,
    failure_domain: String,
    outstanding: u32,
    weights: Option<String>,
    leaving: bool,
}

#[derive(Serialize)]
struct Weights {
    customer: String,
    service: String,
    version: String,
}

/// Returns the state of the entry as JSON.
pub async fn json(gateway: Arc<Gateway>) -> String {
    let steps = gateway.training.status().await;
    let metrics = gateway.metrics.rows().await;
    let status = status(&gateway, steps, metrics);
    // Plain fields always serialise; an empty text is the fallback.
    serde_json::to_string(&status).unwrap_or_default()
}

fn status(gateway: &Gateway, steps: Vec<crate::training::StepStatus>, metrics: Vec<Row>) -> Status {
    let snapshot = gateway.gossip.snapshot();
    let view = gateway.feed.view();
    let weights = gateway.weights.targets();
    Status {
        node: gateway.identity.node().to_string(),
        role: "entry",
        failure_domain: gateway.identity.failure_domain.to_string(),
        region: gateway.identity.region.to_string(),
        ready: gateway.readiness() == Readiness::Ready,
        readiness: gateway.readiness().as_str(),
        leaving: gateway.drain.is_leaving(),
        isolated: snapshot.isolated,
        in_progress: gateway.drain.work_counter().count(),
        config: configured(&view),
        unmet_dependencies: view
            .unmet_dependencies()
            .iter()
            .map(format_dependency)
            .collect(),
        members: snapshot.members.iter().map(member).collect(),
        services: services(gateway, &view),
        weights: weights
            .iter()
            .map(|(model, target)| Weights {
                customer: model.customer.to_string(),
                service: model.service.to_string(),
                version: target.serve.to_string(),
            })
            .collect(),
        steps,
        traffic: traffic(gateway.links.traffic()),
        metrics,
    }
}

fn traffic(traffic: link::Traffic) -> Traffic {
    Traffic {
        calls_sent_bytes: traffic.calls_sent_bytes,
        calls_received_bytes: traffic.calls_received_bytes,
        control_sent_bytes: traffic.control_sent_bytes,
        control_received_bytes: traffic.control_received_bytes,
        datagrams_dropped: traffic.datagrams_dropped,
    }
}

fn configured(view: &config::View) -> Vec<Configured> {
    let customers = view.customers().map(|(name, customer)| Configured {
        customer: name.to_string(),
        version: customer.version,
    });
    let mut customers: Vec<Configured> = customers.collect();
    customers.sort_by(|a, b| a.customer.cmp(&b.customer));
    customers
}

fn format_dependency(dependency: &config::UnmetDependency) -> String {
    format!("{} -> {}", dependency.from, dependency.to)
}

fn member(member: &membership::MemberState) -> Member {
    Member {
        address: member.address.to_string(),
        incarnation: member.incarnation.map_or(0, |incarnation| incarnation.0),
        role: match member.role {
            protocol::ProcessRole::Entry => "entry",
            protocol::ProcessRole::Agent => "agent",
        },
        failure_domain: member.failure_domain.to_string(),
        standing: format!("{:?}", member.liveness).to_ascii_lowercase(),
        leaving: member.leaving,
    }
}

fn services(gateway: &Gateway, view: &config::View) -> Vec<Service> {
    let known = view.services().filter_map(|service| {
        let state = gateway.services.get(&service.owner, &service.name)?;
        let table = state.table();
        let capacity = state.gate.capacity();
        Some(Service {
            owner: service.owner.to_string(),
            service: service.name.to_string(),
            in_progress: capacity.in_progress,
            waiting: state.gate.waiting(),
            slots: capacity.limit,
            ejected: table.ejected_count(),
            replicas: table.replica_states().iter().map(replica).collect(),
        })
    });
    let mut known: Vec<Service> = known.collect();
    known.sort_by(|a, b| (&a.owner, &a.service).cmp(&(&b.owner, &b.service)));
    known
}

fn replica(state: &routing::ReplicaState) -> Replica {
    Replica {
        agent: state.replica.node.to_string(),
        failure_domain: state.replica.failure_domain.to_string(),
        outstanding: state.counters().calls(),
        weights: state.replica.weights.map(|version| version.to_string()),
        leaving: state.replica.leaving,
    }
}
