//! Per-service state of the entry: the routing table and the admission queue.
//!
//! A periodic task rebuilds this state from the membership view; request handlers only read it.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use config::{Service, ServiceKind};
use limits::{AdmissionSettings, Clock, Gate};
use membership::Snapshot;
use node::now_ms;
use routing::{Latencies, Locality, Replica, Report, Settings, Table};
use types::{CustomerName, ServiceName};

/// Maximum number of requests that this entry has in progress per replica of a model.
const MODEL_SLOTS_PER_REPLICA: u32 = 64;
/// Maximum number of requests that this entry has in progress per replica of a plain service.
const PLAIN_SLOTS_PER_REPLICA: u32 = 256;

/// Minimum time for which a recorded latency is taken into account, in milliseconds.
const LATENCY_RETENTION_MS: u64 = 10_000;

/// State of one service on this entry.
pub struct ServiceState {
    table: ArcSwap<Table>,
    /// Admission queue with the service's slots on this entry.
    pub gate: Gate,
    /// Times until the response head of interactive calls.
    pub latencies: Latencies,
}

impl ServiceState {
    fn new(settings: &Arc<Settings>, admission: AdmissionSettings) -> Self {
        let clock: Clock = Arc::new(now_ms);
        let (gate, queue) = Gate::new(admission, 1, clock);
        tokio::spawn(queue);
        Self {
            table: ArcSwap::from_pointee(Table::empty(Arc::clone(settings))),
            gate,
            latencies: Latencies::new(LATENCY_RETENTION_MS),
        }
    }

    /// Returns the current routing table.
    pub fn table(&self) -> Arc<Table> {
        self.table.load_full()
    }
}

type States = HashMap<CustomerName, HashMap<ServiceName, Arc<ServiceState>>>;

/// States of all services that have or had replicas.
pub struct Services {
    states: ArcSwap<States>,
    settings: Arc<Settings>,
    admission: AdmissionSettings,
    here: Locality,
}

impl Services {
    /// Creates an empty set; [`Services::refresh`] adds the services.
    pub fn new(settings: Settings, admission: AdmissionSettings, here: Locality) -> Self {
        Self {
            states: ArcSwap::default(),
            settings: Arc::new(settings),
            admission,
            here,
        }
    }

    /// Returns the state of a service if a replica of it was ever known and the configuration still
    /// contains it.
    pub fn get(&self, owner: &CustomerName, service: &ServiceName) -> Option<Arc<ServiceState>> {
        state(&self.states.load(), owner, service).cloned()
    }

    /// Applies a new membership snapshot. Services that `view` does not contain are removed.
    pub fn refresh(&self, snapshot: &Snapshot, view: &config::View) {
        let old = self.states.load();
        let mut next = States::new();
        for (owner, service, named) in known_services(snapshot, &old, view) {
            if state(&next, owner, service).is_some() {
                continue;
            }
            let state = state(&old, owner, service).cloned();
            let new = || ServiceState::new(&self.settings, self.admission.clone());
            let state = state.unwrap_or_else(|| Arc::new(new()));
            self.refresh_service(&state, snapshot.replicas(owner, service), named.kind);
            let services = next.entry(owner.clone()).or_default();
            services.insert(service.clone(), state);
        }
        self.states.store(Arc::new(next));
    }

    fn refresh_service(
        &self,
        state: &ServiceState,
        replicas: &[membership::Replica],
        kind: ServiceKind,
    ) {
        let slots_per_replica = match kind {
            ServiceKind::Model => MODEL_SLOTS_PER_REPLICA,
            ServiceKind::Plain => PLAIN_SLOTS_PER_REPLICA,
        };
        let count = u32::try_from(replicas.len()).unwrap_or(u32::MAX);
        // Without replicas the choice of a replica refuses immediately. A gate with no slots would
        // let requests wait in vain.
        let limit = count.max(1).saturating_mul(slots_per_replica);
        if state.gate.capacity().limit != limit {
            state.gate.set_limit(limit);
        }
        let replicas = replicas.iter().map(replica).collect();
        let table = state.table().rebuild(replicas, &self.here, now_ms());
        state.table.store(Arc::new(table));
    }
}

/// Returns the services that the configuration contains and that have, or had, a replica. A
/// service whose last replica is gone keeps its state, so that a returning replica keeps the
/// counters of its calls in progress.
fn known_services<'a>(
    snapshot: &'a Snapshot,
    old: &'a States,
    view: &'a config::View,
) -> impl Iterator<Item = (&'a CustomerName, &'a ServiceName, &'a Service)> {
    let before = old.iter().flat_map(|(owner, services)| {
        let services = services.keys();
        services.map(move |service| (owner, service))
    });
    let named = |(owner, service)| {
        let named = view.service(owner, service)?;
        Some((owner, service, named.as_ref()))
    };
    snapshot.services().chain(before).filter_map(named)
}

fn state<'a>(
    states: &'a States,
    owner: &CustomerName,
    service: &ServiceName,
) -> Option<&'a Arc<ServiceState>> {
    states.get(owner)?.get(service)
}

/// Converts a replica of the membership view into a replica of the routing table.
fn replica(member: &membership::Replica) -> Replica {
    let load = member.load;
    Replica {
        node: member.node,
        failure_domain: member.failure_domain.clone(),
        region: member.region.clone(),
        leaving: member.leaving,
        weights: member.weights,
        report: Some(Report {
            running: load.running,
            waiting: load.waiting,
            prompt_tokens_queued: load.prompt_tokens_queued,
            kv_used_permille: load.kv_used_permille,
            taken_at_ms: member
                .load_received_ms
                .saturating_sub(u64::from(load.age_ms)),
        }),
        prefix_id: None,
    }
}
