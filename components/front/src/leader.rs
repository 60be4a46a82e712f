//! The task that gives orders to model replicas while this front holds the lease.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dispatch::ReplicaId;
use index::LogRecord;
use lease::is_candidate;
use orders::{Fleet, Model, Node, OrderSettings, plan};
use pacing::Activity;
use platform::replica::{self, LoadMode, Order, OrderAnswer, ReplicaError};
use steps::StepHead;

use crate::clock::now_ms;
use crate::peers::Member;
use crate::reports::Reports;
use crate::state::{Front, lock};
use crate::writer::write_index;

/// How often the lease and the plan are looked at, in milliseconds.
const LOOK_MS: u64 = 100;
/// How old the knowledge of the log may be for taking part in the lease, in milliseconds.
const INDEX_AGE_MS_MAX: u64 = 1_000;
/// How long a load that was accepted is waited for, in milliseconds, before the replica is
/// asked again: a load takes 0.9 s alone and several times that beside others.
const LOAD_MS: u64 = 4_000;
/// The same where the replica finishes its texts first: the longest take six seconds.
const WAITING_LOAD_MS: u64 = 10_000;
/// Pause after an order that was not accepted, in milliseconds.
const PAUSE_MS: u64 = 300;

/// What this front ordered at a replica.
struct Ordered {
    model: Arc<str>,
    version: u64,
    until_ms: u64,
    accepted: bool,
}

/// Orders in progress, by replica.
type InProgress = Arc<Mutex<HashMap<ReplicaId, Ordered>>>;

/// Takes the lease when it is free, keeps it, and gives orders while it holds.
pub async fn lead(front: Arc<Front>) {
    let ordered: InProgress = Arc::default();
    let mut reports = Reports::new(&front);
    let mut led = false;
    loop {
        tokio::select! {
            () = front.leader_wakeup.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(LOOK_MS)) => {}
        }
        let now_ms = now_ms();
        let held = front.index().lease.is_held_here();
        if held != led {
            led = held;
            log::info!(event = "lease-changed", held; "");
            front.demand.set_active(Activity::Orders, held);
            lock(&ordered).clear();
        }
        let (loads, report) = match held {
            true => (
                planned(&front, &ordered, now_ms),
                reports.look(&front, now_ms),
            ),
            false => (Vec::new(), None),
        };
        keep_lease(&front, !loads.is_empty() || report.is_some(), now_ms);
        // An announcement just written comes back through the log and wakes this task.
        let fence = front.index().lease.fence(now_ms);
        if let Some(fence) = fence {
            for load in loads {
                begin_order(&front, &ordered, load);
            }
            if let Some(report) = report {
                reports.send(&front, report, fence);
            }
        }
    }
}

fn keep_lease(front: &Arc<Front>, wants_orders: bool, now_ms: u64) {
    let record = {
        let mut index = front.index();
        let owns = !front.ownership.load().partitions().is_empty();
        if !is_candidate(&index.lease, owns, front.started_ms, now_ms) {
            return;
        }
        let read_since_ms = index.read_since_ms;
        match front.index_age_ms(now_ms) {
            // Who does not read the log does not know whether the lease is free.
            Some(age_ms) if age_ms < INDEX_AGE_MS_MAX => {
                index.lease.next_record(read_since_ms, wants_orders, now_ms)
            }
            _ => None,
        }
    };
    if let Some(record) = record {
        let front = Arc::clone(front);
        tokio::spawn(async move {
            if let Err(error) = write_index(&front, &[LogRecord::Lease(record)]).await {
                log::warn!(event = "lease-not-written", error:% = error; "");
            }
        });
    }
}

/// Gives the lease up, so that another front need not wait for its silence.
pub async fn release_lease(front: &Front) {
    let record = front.index().lease.give_up();
    if let Some(record) = record
        && let Err(error) = write_index(front, &[LogRecord::Lease(record)]).await
    {
        log::warn!(event = "lease-not-written", error:% = error; "");
    }
}

/// A load to order.
struct Planned {
    member: Member,
    model: Arc<str>,
    version: u64,
    mode: LoadMode,
}

fn planned(front: &Front, ordered: &InProgress, now_ms: u64) -> Vec<Planned> {
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
        let models = models(front, &service.models);
        // Texts that may mix versions go on under the new one; others would be begun anew,
        // and a long one that is begun anew ends its step late.
        let mode = match routes.needs_one_version(name) {
            true => LoadMode::Wait,
            false => LoadMode::Retain,
        };
        let fleet = fleet(&members, models, ordered, now_ms);
        for load in plan(&fleet, &OrderSettings::default()) {
            all.push(Planned {
                member: members[load.node].clone(),
                model: Arc::clone(&service.models[load.model]),
                version: load.version,
                mode,
            });
        }
    }
    all
}

fn models(front: &Front, names: &[Arc<str>]) -> Vec<Model> {
    let newest = newest_steps(front);
    let named = lock(&front.named_versions);
    let model = |name: &Arc<str>| {
        let step = newest.get(&**name);
        Model {
            name: name.to_string(),
            named: named.get(name).copied().unwrap_or(0),
            work: step.map_or(0, |step| step.expected_tokens()),
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

fn fleet(members: &[&Member], models: Vec<Model>, ordered: &InProgress, now_ms: u64) -> Fleet {
    let mut ordered = lock(ordered);
    ordered.retain(|id, order| {
        let member = members.iter().find(|member| member.replica.id == *id);
        let arrived = member.is_some_and(|member| {
            member
                .replica
                .version_of(&order.model)
                .is_some_and(|held| held >= order.version)
        });
        !arrived && member.is_some() && now_ms < order.until_ms
    });
    let node = |member: &&Member| {
        let order = ordered.get(&member.replica.id);
        let loading = order.filter(|order| order.accepted).and_then(|order| {
            let model = models.iter().position(|model| model.name == *order.model)?;
            Some((model, order.version))
        });
        let versions = models
            .iter()
            .map(|model| member.replica.version_of(&model.name).unwrap_or(0))
            .collect();
        Node {
            versions,
            loading,
            free: order.is_none(),
            slots: u64::from(member.replica.slots),
        }
    };
    let nodes = members.iter().map(node).collect();
    Fleet { models, nodes }
}

fn begin_order(front: &Arc<Front>, ordered: &InProgress, load: Planned) {
    let Planned {
        member,
        model,
        version,
        mode,
    } = load;
    let load_ms = match mode {
        LoadMode::Wait => WAITING_LOAD_MS,
        LoadMode::Retain => LOAD_MS,
    };
    let until_ms = now_ms() + load_ms;
    let order = Ordered {
        model: Arc::clone(&model),
        version,
        until_ms,
        accepted: true,
    };
    lock(ordered).insert(Arc::clone(&member.replica.id), order);
    let (front, ordered) = (Arc::clone(front), Arc::clone(ordered));
    tokio::spawn(async move {
        let answer = give_order(&front, &member, &model, version, mode).await;
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
        let done = matches!(answer, Ok(Some(OrderAnswer::Accepted | OrderAnswer::Holds)));
        if !done && let Some(order) = lock(&ordered).get_mut(&member.replica.id) {
            order.accepted = false;
            order.until_ms = now_ms() + PAUSE_MS;
        }
    });
}

/// Reads the replica's report and gives the order that fits it; none where the lease has run
/// out meanwhile or the replica is busy.
async fn give_order(
    front: &Front,
    member: &Member,
    model: &str,
    version: u64,
    mode: LoadMode,
) -> Result<Option<OrderAnswer>, ReplicaError> {
    let instance = &*member.replica.id;
    let mut connection = member.peer.connection(&member.replica).await?;
    // An earlier order without an answer may still be carried out. The count of accepted
    // orders tells: the later of the two finds another count than it names and is refused.
    let report = replica::report(&mut connection, instance).await?;
    let held = report.models.iter().find(|held| held.0 == model);
    if held.is_some_and(|held| held.1 >= version) {
        return Ok(Some(OrderAnswer::Holds));
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
    let answer = replica::order(&mut connection, instance, &order).await?;
    if connection.ready().await.is_ok() {
        member.peer.keep(connection, None);
    }
    Ok(Some(answer))
}
