//! Rows of the tables for operators. `hornbeamrockctl` prints them as tables or as JSON.

use std::collections::HashSet;
use std::net::SocketAddr;

use customers::Customers;
use dispatch::{Replica, Route};
use knowledge::ShardRecord;
use serde::Serialize;
use steps::{ResultState, Step};

/// A route of the active configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteRow {
    /// Name of the route.
    pub route: String,
    /// Host of the requests that the route matches.
    pub host: String,
    /// Prefix of the paths that the route matches.
    pub prefix: String,
    /// How often a request on the route may run: the name of a [`dispatch::RouteKind`] in lower
    /// case.
    pub kind: String,
    /// Services of the route with the weights by which requests are divided among them.
    pub services: Vec<(String, u32)>,
    /// Timeout of a request.
    pub timeout_ms: u64,
    /// Maximum number of replicas that one request is sent to.
    pub attempts_max: u32,
}

/// The newest named version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VersionRow {
    /// Name of the model.
    pub model: String,
    /// Version that the trainer named last.
    pub version: u64,
    /// Number of replicas that have loaded this version, according to their own records.
    pub replicas: usize,
}

/// State of a replica according to the record that it writes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicaRow {
    /// Id of the replica, unique to one incarnation.
    pub replica: String,
    /// Service that the replica belongs to.
    pub service: String,
    /// Address that the replica listens on.
    pub address: String,
    /// Failure domain that the replica is in.
    pub failure_domain: String,
    /// Whether the replica accepts no new work because it is about to stop.
    pub draining: bool,
    /// Models with the versions of their weights that the replica has loaded.
    pub models: Vec<(String, u64)>,
}

/// A shard of the items that wait for the model replicas of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShardRow {
    /// Name of the pool, made of the names of its services.
    pub pool: String,
    /// Number of the shard within the pool.
    pub shard: u16,
    /// Front that runs the shard; `None` if no front owns its partition.
    pub front: Option<String>,
    /// Number of items of open steps that have no result yet.
    pub items_open: usize,
    /// Newest record of the knowledge of an owner; `None` if the index has none.
    pub knowledge: Option<KnowledgeRow>,
}

/// Where the newest knowledge of a shard's owner is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KnowledgeRow {
    /// Front that wrote it.
    pub front: String,
    /// Address at which that front relays calls; `None` if it relays none.
    pub peer: Option<SocketAddr>,
    /// Time since it was written, by the clocks of its front and of this machine, in milliseconds.
    pub age_ms: u64,
    /// Size in bytes.
    pub bytes: u32,
}

/// Progress of an accepted step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepRow {
    /// Id that the trainer gave the step.
    pub step: String,
    /// Model that is trained.
    pub model: String,
    /// Step number in the trainer's own count.
    pub number: u64,
    /// Oldest version of the weights that may generate tokens for this step.
    pub min_version: u64,
    /// Number of items of the step.
    pub items: usize,
    /// Number of items that have a text.
    pub succeeded: usize,
    /// Number of items that ended without a text.
    pub errored: usize,
    /// Number of items for which a part of the text is saved.
    pub saved: usize,
    /// Number of groups in which every item has a text.
    pub groups_whole: usize,
    /// Number of complete groups that the trainer waits for.
    pub groups_wanted: u32,
    /// `ended` if the trainer ended the step, `complete` if every item has a result, else `open`.
    pub state: &'static str,
}

/// A customer of the active configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CustomerRow {
    /// Name of the customer.
    pub customer: String,
    /// Rank of the customer's requests, 0 is the highest; `None` leaves the rank to the route.
    pub rank: Option<u8>,
    /// Number of API keys. The keys themselves are secret and never shown.
    pub keys: usize,
    /// Number of the customer's steps that the index still has.
    pub steps: usize,
}

/// Usage of all customers in one window of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UsageRow {
    /// Number of the window.
    pub window: u64,
    /// `reported` if the platform accepted the window's report, `sealed` if the counts are final
    /// but not reported, else `open`.
    pub state: &'static str,
    /// Number of requests of all customers; final once the window is sealed.
    pub requests: u64,
    /// Number of requests by customer.
    pub customers: Vec<(String, u64)>,
}

/// A duty: a task that the system has to perform for the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DutyRow {
    /// Name of the duty.
    pub duty: &'static str,
    /// VM that performs the duty, which is the holder of the lease; `None` if it is unknown.
    pub holder: Option<String>,
    /// Fencing token of the holder; `None` if the lease was released or the log has no record of
    /// the lease.
    pub fence: Option<u64>,
    /// Newest window whose report the platform accepted.
    pub reported: Option<u64>,
    /// Sealed windows whose reports the platform has not accepted yet.
    pub waiting: Vec<u64>,
}

/// The lease for orders to replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LeaseRow {
    /// VM that holds the lease; `None` if the lease was released or the record of its acquisition
    /// is no longer in the log.
    pub holder: Option<String>,
    /// Fencing token of the holder; `None` if the lease was released or the log has no record of
    /// the lease.
    pub fence: Option<u64>,
}

/// Returns a row for each customer of a configuration, sorted by name. The number of steps is 0;
/// the caller fills it in from the index.
pub fn customer_rows(customers: &Customers) -> Vec<CustomerRow> {
    let mut rows: Vec<CustomerRow> = customers
        .iter()
        .map(|customer| CustomerRow {
            customer: customer.name.to_string(),
            rank: customer.rank,
            keys: customers.key_count_of(&customer.name),
            steps: 0,
        })
        .collect();
    rows.sort_by(|left, right| left.customer.cmp(&right.customer));
    rows
}

impl From<&Route> for RouteRow {
    fn from(route: &Route) -> Self {
        let shares = route.shares.iter();
        Self {
            route: route.name.to_string(),
            host: route.host.to_string(),
            prefix: route.prefix.to_string(),
            kind: format!("{:?}", route.kind).to_lowercase(),
            services: shares
                .map(|share| (share.service.to_string(), share.weight))
                .collect(),
            timeout_ms: route.timeout_ms,
            attempts_max: route.attempts_max,
        }
    }
}

impl From<&Replica> for ReplicaRow {
    fn from(replica: &Replica) -> Self {
        let models = replica.models.iter();
        Self {
            replica: replica.id.to_string(),
            service: replica.service.to_string(),
            address: replica.address.to_string(),
            failure_domain: replica.domain.to_string(),
            draining: replica.draining,
            models: models
                .map(|(model, version)| (model.to_string(), *version))
                .collect(),
        }
    }
}

impl KnowledgeRow {
    /// The row of a record, with its age at `now_unix_ms`.
    pub fn new(record: &ShardRecord, now_unix_ms: u64) -> Self {
        Self {
            front: record.node.clone(),
            peer: record.peer,
            age_ms: now_unix_ms.saturating_sub(record.written_unix_ms),
            bytes: record.at.bytes,
        }
    }
}

impl From<&Step> for StepRow {
    fn from(step: &Step) -> Self {
        let results = step.results.iter();
        let has_text = |state: &ResultState| !state.parts().is_empty();
        let items_with_text: HashSet<u32> = results
            .filter(|result| has_text(&result.state))
            .map(|result| result.item)
            .collect();
        Self {
            step: step.head.id.clone(),
            model: step.head.model.clone(),
            number: step.head.number,
            min_version: step.head.min_version,
            items: step.head.items.len(),
            succeeded: items_with_text.len(),
            errored: step.results.len() - items_with_text.len(),
            saved: step.saved.len(),
            groups_whole: count_complete_groups(step, &items_with_text),
            groups_wanted: step.head.groups_wanted,
            state: match (step.ended, step.is_complete()) {
                (true, _) => "ended",
                (false, true) => "complete",
                (false, false) => "open",
            },
        }
    }
}

fn count_complete_groups(step: &Step, items_with_text: &HashSet<u32>) -> usize {
    let groups: HashSet<u16> = step.head.items.iter().map(|item| item.group).collect();
    let incomplete: HashSet<u16> = (0..)
        .zip(&step.head.items)
        .filter(|(number, _)| !items_with_text.contains(number))
        .map(|(_, item)| item.group)
        .collect();
    groups.len() - incomplete.len()
}
