//! The agent's report on its endpoint: the status that answers a probe, and the page at the admin
//! address.

use std::sync::Arc;

use config::ServiceKind;
use node::now_ms;
use protocol::{HostedService, Load, Status};
use serde::Serialize;

use crate::agent::Agent;
use crate::health::EndpointSnapshot;
use crate::weights_task::Weights;

/// Space for services in one status; the rest of a datagram's 1,200 bytes holds the other fields.
const HOSTED_BYTES_MAX: usize = 950;
/// Largest size of one service without its names: length prefixes and version.
const HOSTED_OVERHEAD_BYTES: usize = 18;

/// Builds the answer to a probe, in as many parts as the services need.
pub fn statuses(agent: &Agent) -> Vec<Status> {
    let snapshot = agent.health.snapshot();
    let services = split_services(hosted_services(agent, &snapshot));
    let parts = u8::try_from(services.len()).unwrap_or(u8::MAX);
    let load = current_load(agent, &snapshot);
    let part_of = |(part, hosted)| Status {
        failure_domain: agent.identity.failure_domain.clone(),
        region: agent.identity.region.clone(),
        leaving: agent.drain.is_leaving(),
        hosted,
        part,
        parts,
        load,
        endpoint_life: agent.health.life(),
    };
    (0..parts).zip(services).map(part_of).collect()
}

/// Splits the services into parts that fit a datagram each; returns at least one part. A status
/// larger than a datagram would not be sent, and the endpoint would get no calls for any service.
fn split_services(hosted: Vec<HostedService>) -> Vec<Vec<HostedService>> {
    let mut parts = vec![Vec::new()];
    let mut free_bytes = HOSTED_BYTES_MAX;
    for hosted in hosted {
        let names_bytes = hosted.customer.as_str().len() + hosted.service.as_str().len();
        let size_bytes = names_bytes + HOSTED_OVERHEAD_BYTES;
        if size_bytes > free_bytes {
            parts.push(Vec::new());
            free_bytes = HOSTED_BYTES_MAX;
        }
        free_bytes = free_bytes.saturating_sub(size_bytes);
        if let Some(part) = parts.last_mut() {
            part.push(hosted);
        }
    }
    parts
}

fn hosted_services(agent: &Agent, snapshot: &EndpointSnapshot) -> Vec<HostedService> {
    if !snapshot.up {
        return Vec::new();
    }
    let hosting = agent.hosting();
    let services = hosting.services().iter();
    services
        .filter_map(|local| {
            let service = &local.service;
            let weights = match service.kind {
                // The version that was read from the engine, never the announced one.
                ServiceKind::Model => Some(snapshot.model(&local.engine_model)?.version),
                ServiceKind::Plain => None,
            };
            Some(HostedService {
                customer: service.owner.clone(),
                service: service.name.clone(),
                weights,
            })
        })
        .collect()
}

fn current_load(agent: &Agent, snapshot: &EndpointSnapshot) -> Load {
    let running = agent.drain.work_counter().count();
    let report = &snapshot.load;
    let since_read_ms = now_ms().saturating_sub(snapshot.load_read_ms);
    Load {
        running: saturating_u32(running as u64),
        waiting: report.waiting,
        prompt_tokens_queued: saturating_u32(report.prompt_tokens_queued),
        kv_used_permille: u16::try_from(report.kv_used_permille).unwrap_or(u16::MAX),
        age_ms: saturating_u32(report.age_ms.saturating_add(since_read_ms)),
    }
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

#[derive(Serialize)]
struct Page {
    node: String,
    role: &'static str,
    failure_domain: String,
    region: String,
    pool: String,
    endpoint: String,
    endpoint_up: bool,
    endpoint_life: u32,
    leaving: bool,
    in_progress: usize,
    hosted: Vec<HostedRow>,
    models: Vec<ModelRow>,
    config: Vec<ConfigRow>,
    metrics: Vec<telemetry::Row>,
}

#[derive(Serialize)]
struct HostedRow {
    customer: String,
    service: String,
    version: Option<String>,
}

#[derive(Serialize)]
struct ModelRow {
    customer: String,
    service: String,
    wanted: Option<String>,
    serving: Option<String>,
    load: Option<String>,
    loaded: bool,
    behind: Option<u64>,
    failures: u32,
}

#[derive(Serialize)]
struct ConfigRow {
    customer: String,
    version: u64,
}

/// The status page at the admin address, as JSON.
pub async fn page(agent: Arc<Agent>, weights: Weights) -> String {
    let snapshot = agent.health.snapshot();
    let page = Page {
        node: agent.identity.node().to_string(),
        role: "agent",
        failure_domain: agent.identity.failure_domain.to_string(),
        region: agent.identity.region.to_string(),
        pool: agent.hosting_rules.pool.to_string(),
        endpoint: agent.endpoint.address().to_string(),
        endpoint_up: snapshot.up,
        endpoint_life: agent.health.life(),
        leaving: agent.drain.is_leaving(),
        in_progress: agent.drain.work_counter().count(),
        hosted: hosted_services(&agent, &snapshot)
            .into_iter()
            .map(hosted_row)
            .collect(),
        models: weights.statuses().iter().map(model_row).collect(),
        config: config_rows(&agent),
        metrics: agent.metrics.rows().await,
    };
    // A page of strings and numbers can always be serialized.
    serde_json::to_string(&page).unwrap_or_default()
}

fn hosted_row(hosted: HostedService) -> HostedRow {
    HostedRow {
        customer: hosted.customer.to_string(),
        service: hosted.service.to_string(),
        version: hosted.weights.map(|version| version.to_string()),
    }
}

fn model_row(row: &crate::weights_task::ModelStatus) -> ModelRow {
    ModelRow {
        customer: row.model.customer.to_string(),
        service: row.model.service.to_string(),
        wanted: row.status.wanted.map(|version| version.to_string()),
        serving: row.status.serving.map(|version| version.to_string()),
        load: row.status.load.map(|version| version.to_string()),
        loaded: row.status.loaded,
        behind: row.status.versions_behind,
        failures: row.status.failures,
    }
}

fn config_rows(agent: &Agent) -> Vec<ConfigRow> {
    let digests = agent.feed.digests();
    digests
        .iter()
        .map(|digest| ConfigRow {
            customer: digest.customer.to_string(),
            version: digest.version,
        })
        .collect()
}
