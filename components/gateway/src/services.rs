//! What the entry keeps of each service: its table of replicas and its gate. Rebuilt on a
//! tick from the view of the processes; the path of a request only reads.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use config::{Service, ServiceKind};
use limits::{AdmissionSettings, Clock, Gate};
use membership::Snapshot;
use node::now_ms;
use routing::{Latencies, Locality, Replica, Report, Settings, Table};
use types::{CustomerName, ServiceName};

/// Requests of this entry that one replica of a model may have in progress.
const MODEL_SLOTS_PER_REPLICA: u32 = 64;
/// The same for a replica of a plain service.
const PLAIN_SLOTS_PER_REPLICA: u32 = 256;

/// How long a latency counts at least, in milliseconds.
const LATENCY_RETENTION_MS: u64 = 10_000;

/// One service as this entry sees it.
pub struct ServiceState {
    table: ArcSwap<Table>,
    /// Slots of the service on this entry.
    pub gate: Gate,
    /// Times to the head of interactive calls' answers.
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

    /// Its replicas now.
    pub fn table(&self) -> Arc<Table> {
        self.table.load_full()
    }
}

type States = HashMap<CustomerName, HashMap<ServiceName, Arc<ServiceState>>>;

/// All services that this entry knows replicas of.
pub struct Services {
    states: ArcSwap<States>,
    settings: Arc<Settings>,
    admission: AdmissionSettings,
    here: Locality,
}

impl Services {
    /// No service yet.
    pub fn new(settings: Settings, admission: AdmissionSettings, here: Locality) -> Self {
        Self {
            states: ArcSwap::default(),
            settings: Arc::new(settings),
            admission,
            here,
        }
    }

    /// A service, if a replica of it was ever seen and its customer still names it.
    pub fn get(&self, owner: &CustomerName, service: &ServiceName) -> Option<Arc<ServiceState>> {
        state(&self.states.load(), owner, service).cloned()
    }

    /// Takes a new view in. Services that `view` does not name are forgotten.
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
            self.refresh_one(&state, snapshot.replicas(owner, service), named.kind);
            let services = next.entry(owner.clone()).or_default();
            services.insert(service.clone(), state);
        }
        self.states.store(Arc::new(next));
    }

    fn refresh_one(
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
        // With no replica the choice refuses at once; a gate of no slots would let
        // requests wait for a slot that never comes.
        let limit = count.max(1).saturating_mul(slots_per_replica);
        if state.gate.capacity().limit != limit {
            state.gate.set_limit(limit);
        }
        let replicas = replicas.iter().map(replica).collect();
        let table = state.table().rebuild(replicas, &self.here, now_ms());
        state.table.store(Arc::new(table));
    }
}

/// Services that the configuration names and that have, or had, a replica. One whose last
/// replica went keeps its state: the counters of its calls in progress stay the ones that
/// the returning replica gets.
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

/// What routing needs of a replica.
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
