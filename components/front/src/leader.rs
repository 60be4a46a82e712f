//! The task that orders model replicas to load weights while this front holds the lease.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dispatch::ReplicaId;
use index::LogRecord;
use lease::{LeaseRecord, is_candidate};
use orders::{Fleet, Model, OrderSettings, PendingOrders, Replica, plan_loads};
use pacing::Activity;
use platform::replica::{self, LoadMode, Order, OrderResponse, ReplicaError};
use steps::StepHead;

use crate::clock::now_ms;
use crate::peers::Member;
use crate::reports::Reports;
use crate::silence::SilenceWatch;
use crate::state::{Front, lock};
use crate::writer::write_index;

/// Interval at which the lease and the plan of loads are checked, in milliseconds.
const POLL_MS: u64 = 100;
/// A front takes part in the lease only if it has read the index to its end within this time, in
/// milliseconds.
const INDEX_AGE_MS_MAX: u64 = 1_000;
/// How long to wait for an accepted load before the replica is ordered again, in milliseconds. A
/// load takes 0.9 s alone, and several times as long while other replicas load.
const LOAD_TIMEOUT_MS: u64 = 4_000;
/// As [`LOAD_TIMEOUT_MS`], for a replica that finishes its texts before the load. The longest texts
/// take six seconds.
const WAITING_LOAD_TIMEOUT_MS: u64 = 10_000;

/// Orders that this front has sent, shared with the tasks that send them.
type SharedOrders = Arc<Mutex<PendingOrders<ReplicaId, Arc<str>>>>;

/// Acquires the lease when it is free, renews it, and gives orders while this front holds it.
pub async fn lead(front: Arc<Front>) {
    let pending: SharedOrders = Arc::default();
    let mut reports = Reports::new(&front);
    let mut was_held = false;
    loop {
        tokio::select! {
            () = front.leader_wakeup.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(POLL_MS)) => {}
        }
        let now_ms = now_ms();
        let held = front.index().lease.is_held_here();
        if held != was_held {
            was_held = held;
            log::info!(event = "lease-changed", held; "");
            front.demand.set_active(Activity::Orders, held);
            lock(&pending).clear();
        }
        let (loads, report) = match held {
            true => (
                planned_loads(&front, &pending, now_ms),
                reports.seal_and_take_due(&front, now_ms),
            ),
            false => (Vec::new(), None),
        };
        update_lease(&front, !loads.is_empty() || report.is_some(), now_ms);
        // `None` until the announcement that was just sent is read back from the index. Reading it
        // wakes this task.
        let fence = front.index().lease.fence(now_ms);
        if let Some(fence) = fence {
            for load in loads {
                start_order(&front, &pending, load);
            }
            if let Some(report) = report {
                reports.send(&front, report, fence);
            }
        }
    }
}

/// Writes the next record of the lease, if one is due: to acquire it, to renew it or to announce
/// orders. A front that leaves writes only the release of a lease that it acquired too late.
fn update_lease(front: &Arc<Front>, wants_orders: bool, now_ms: u64) {
    let record = match front.drain.is_leaving() {
        true => front.index().lease.release(),
        false => due_record(front, wants_orders, now_ms),
    };
    if let Some(record) = record {
        let front = Arc::clone(front);
        tokio::spawn(async move { write_lease(&front, record).await });
    }
}

fn due_record(front: &Front, wants_orders: bool, now_ms: u64) -> Option<LeaseRecord> {
    let mut index = front.index();
    let owns = !front.ownership.load().partitions().is_empty();
    if !is_candidate(&index.lease, owns, front.started_ms, now_ms) {
        return None;
    }
    // Only a front with a current index knows whether the lease is free.
    let age_ms = front.index_copy.age_ms(now_ms);
    if age_ms.is_none_or(|age_ms| age_ms >= INDEX_AGE_MS_MAX) {
        return None;
    }
    let read_since_ms = index.read_since_ms;
    index.lease.next_record(read_since_ms, wants_orders, now_ms)
}

async fn write_lease(front: &Front, record: LeaseRecord) {
    if let Err(error) = write_index(front, &[LogRecord::Lease(record)]).await {
        log::warn!(event = "lease-not-written", error:% = error; "");
    }
}

/// Releases the lease, so that another front can acquire it without waiting for it to expire.
pub async fn release_lease(front: &Front) {
    let record = front.index().lease.release();
    if let Some(record) = record {
        write_lease(front, record).await;
    }
}

/// A load that the plan asks for.
struct PlannedLoad {
    member: Member,
    model: Arc<str>,
    version: u64,
    mode: LoadMode,
}

fn planned_loads(front: &Front, pending: &SharedOrders, now_ms: u64) -> Vec<PlannedLoad> {
    let routes = front.routes.load_full();
    let Some(routes) = routes else {
        return Vec::new();
    };
    let table = front.replicas.load_full();
    let mut all = Vec::new();
    for (name, service) in routes
        .services
        .iter()
        .filter(|(_, service)| !service.models.is_empty())
    {
        let members: Vec<&Member> = table
            .of(name)
            .iter()
            .filter(|member| !member.replica.draining)
            .collect();
        let models = plan_models(front, &service.models);
        // Texts that may mix versions continue with the new weights. Texts that need a single
        // version would have to be restarted, and restarting a long text delays its step.
        let mode = match routes.requires_single_version(name) {
            true => LoadMode::Wait,
            false => LoadMode::Retain,
        };
        let fleet = plan_fleet(&members, models, pending, now_ms);
        for load in plan_loads(&fleet, &OrderSettings::default()) {
            all.push(PlannedLoad {
                member: members[load.replica].clone(),
                model: Arc::clone(&service.models[load.model]),
                version: load.version,
                mode,
            });
        }
    }
    all
}

fn plan_models(front: &Front, names: &[Arc<str>]) -> Vec<Model> {
    let newest = newest_steps(front);
    let named = lock(&front.named_versions);
    let model = |name: &Arc<str>| {
        let step = newest.get(&**name);
        Model {
            name: name.to_string(),
            newest_version: named.get(name).copied().unwrap_or(0),
            work_tokens: step.map_or(0, |step| step.expected_tokens()),
            items: step.map_or(0, |step| step.items.len() as u64),
        }
    };
    names.iter().map(model).collect()
}

/// The newest step of each model.
fn newest_steps(front: &Front) -> HashMap<String, Arc<StepHead>> {
    let index = front.index();
    let steps = index.ledger.steps();
    steps
        .map(|step| (step.head.model.clone(), Arc::clone(&step.head)))
        .collect()
}

/// The state of the replicas for the plan. Drops pending orders that are done or timed out.
fn plan_fleet(
    members: &[&Member],
    models: Vec<Model>,
    pending: &SharedOrders,
    now_ms: u64,
) -> Fleet {
    let mut pending = lock(pending);
    pending.retain(|id, order| {
        let member = members.iter().find(|member| member.replica.id == *id);
        let loaded = member.is_some_and(|member| {
            member
                .replica
                .version_of(&order.model)
                .is_some_and(|held| held >= order.version)
        });
        !loaded && member.is_some() && now_ms < order.until_ms
    });
    let replica = |member: &&Member| {
        let order = pending.get(&member.replica.id);
        let loading = order.filter(|order| order.accepted).and_then(|order| {
            let model = models.iter().position(|model| model.name == *order.model)?;
            Some((model, order.version))
        });
        let versions = models
            .iter()
            .map(|model| member.replica.version_of(&model.name).unwrap_or(0))
            .collect();
        Replica {
            versions,
            loading,
            accepts_orders: order.is_none(),
            slots: u64::from(member.replica.slots),
        }
    };
    let replicas = members.iter().map(replica).collect();
    Fleet { models, replicas }
}

/// Sends an order in a task of its own.
fn start_order(front: &Arc<Front>, pending: &SharedOrders, load: PlannedLoad) {
    let PlannedLoad {
        member,
        model,
        version,
        mode,
    } = load;
    let timeout_ms = match mode {
        LoadMode::Wait => WAITING_LOAD_TIMEOUT_MS,
        LoadMode::Retain => LOAD_TIMEOUT_MS,
    };
    let until_ms = now_ms() + timeout_ms;
    let (replica, ordered) = (Arc::clone(&member.replica.id), Arc::clone(&model));
    let number = lock(pending).add(replica, ordered, version, until_ms);
    let (front, pending) = (Arc::clone(front), Arc::clone(pending));
    tokio::spawn(async move {
        let answer = send_order(&front, &member, &model, version, mode).await;
        let id = &*member.replica.id;
        match &answer {
            Ok(Some(answer)) => log::info!(
                event = "order-given", replica = id, model = &*model, version, answer:? = answer; ""
            ),
            Ok(None) => {
                log::info!(event = "order-held-back", replica = id, model = &*model, version; "")
            }
            Err(error) => log::warn!(
                event = "order-failed", replica = id, model = &*model, version, error:% = error; ""
            ),
        }
        let is_accepted = matches!(
            answer,
            Ok(Some(OrderResponse::Accepted | OrderResponse::Holds))
        );
        if !is_accepted {
            lock(&pending).record_failure(&member.replica.id, number, now_ms());
        }
    });
}

/// Reads the replica's report and sends the order. `None` if the replica is busy or this front may
/// no longer give orders.
async fn send_order(
    front: &Front,
    member: &Member,
    model: &str,
    version: u64,
    mode: LoadMode,
) -> Result<Option<OrderResponse>, ReplicaError> {
    let replica_id = &*member.replica.id;
    let mut connection = member.peer.connection(&member.replica, "").await?;
    // An earlier order whose answer was lost may still be executed. Each order therefore names the
    // number of orders that the replica has accepted so far; of two orders with the same number the
    // replica refuses the later one.
    let mut silence = SilenceWatch::start(member);
    let report = replica::fetch_report(&mut connection, replica_id).await?;
    silence.record_heard();
    let held = report.models.iter().find(|held| held.0 == model);
    if held.is_some_and(|held| held.1 >= version) {
        return Ok(Some(OrderResponse::Holds));
    }
    if report.busy {
        return Ok(None);
    }
    connection.ready().await?;
    let Some(fence) = front.index().lease.fence(now_ms()) else {
        return Ok(None);
    };
    let order = Order {
        model,
        version,
        mode,
        holder: &front.settings.node,
        fence,
        expected_orders: report.orders,
    };
    let answer = replica::send_order(&mut connection, replica_id, &order).await?;
    silence.record_heard();
    if connection.ready().await.is_ok() {
        member.peer.return_connection(connection, None);
    }
    Ok(Some(answer))
}
