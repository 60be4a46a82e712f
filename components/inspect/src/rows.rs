//! Rows that are printed.

use std::collections::HashSet;

use customers::Customers;
use dispatch::{Replica, Route};
use serde::Serialize;
use steps::{ResultState, Step};

/// A route in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteRow {
    /// Its name.
    pub route: String,
    /// Its host.
    pub host: String,
    /// Prefix of its paths.
    pub prefix: String,
    /// What its requests are.
    pub kind: String,
    /// Services with their weights.
    pub services: Vec<(String, u32)>,
    /// Longest time of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Replicas that one request may be sent to.
    pub attempts_max: u32,
}

/// The newest named version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VersionRow {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Replicas that hold it, by their own records.
    pub replicas: usize,
}

/// A replica by its own record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReplicaRow {
    /// Its id.
    pub replica: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it takes nothing new.
    pub draining: bool,
    /// Models with the versions that it holds.
    pub models: Vec<(String, u64)>,
}

/// A shard of the work of a pool of model replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShardRow {
    /// Services of the replicas.
    pub pool: String,
    /// Number of the shard.
    pub shard: u16,
    /// The front that runs it; none where nobody does.
    pub front: Option<String>,
    /// Items of steps in progress that are not listed.
    pub items_open: usize,
}

/// An accepted step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepRow {
    /// The trainer's id.
    pub step: String,
    /// Its model.
    pub model: String,
    /// Its number.
    pub number: u64,
    /// Oldest version that may make a token.
    pub min_version: u64,
    /// Items.
    pub items: usize,
    /// Items with a text.
    pub succeeded: usize,
    /// Items that ended without one.
    pub errored: usize,
    /// Items of which a part is saved.
    pub saved: usize,
    /// Groups of which every item has a text.
    pub groups_whole: usize,
    /// Groups that the trainer waits for.
    pub groups_wanted: u32,
    /// `open`, `complete` or `ended`.
    pub state: &'static str,
}

/// A customer in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CustomerRow {
    /// Its name.
    pub customer: String,
    /// Its rank, 0 the highest.
    pub rank: Option<u8>,
    /// Number of its keys; no key is shown.
    pub keys: usize,
    /// Steps of it that the index still has.
    pub steps: usize,
}

/// Usage of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UsageRow {
    /// Number of the window.
    pub window: u64,
    /// `open`, `sealed` or `reported`.
    pub state: &'static str,
    /// Requests of all customers that its report has, or would have now.
    pub requests: u64,
    /// Requests by customer.
    pub customers: Vec<(String, u64)>,
}

/// A duty towards the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DutyRow {
    /// The duty.
    pub duty: &'static str,
    /// VM that does it; none where nobody is known to.
    pub holder: Option<String>,
    /// Its fencing number.
    pub fence: Option<u64>,
    /// Newest window whose report was taken.
    pub reported: Option<u64>,
    /// Sealed windows whose report was not taken yet.
    pub waiting: Vec<u64>,
}

/// The lease on orders to replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LeaseRow {
    /// VM that holds it; none if it was given up or its record is gone.
    pub holder: Option<String>,
    /// Fencing number of the newest holder.
    pub fence: Option<u64>,
}

/// Rows of the customers of a configuration, by name.
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
    rows.sort_by(|one, other| one.customer.cmp(&other.customer));
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

impl From<&Step> for StepRow {
    fn from(step: &Step) -> Self {
        let results = step.results.iter();
        let is_text = |state: &ResultState| matches!(state, ResultState::Succeeded { .. });
        let texts: HashSet<u32> = results
            .filter(|result| is_text(&result.state))
            .map(|result| result.item)
            .collect();
        Self {
            step: step.head.id.clone(),
            model: step.head.model.clone(),
            number: step.head.number,
            min_version: step.head.min_version,
            items: step.head.items.len(),
            succeeded: texts.len(),
            errored: step.results.len() - texts.len(),
            saved: step.saved.len(),
            groups_whole: groups_whole(step, &texts),
            groups_wanted: step.head.groups_wanted,
            state: match (step.ended, step.is_complete()) {
                (true, _) => "ended",
                (false, true) => "complete",
                (false, false) => "open",
            },
        }
    }
}

fn groups_whole(step: &Step, texts: &HashSet<u32>) -> usize {
    let groups: HashSet<u16> = step.head.items.iter().map(|item| item.group).collect();
    let broken: HashSet<u16> = (0..)
        .zip(&step.head.items)
        .filter(|(at, _)| !texts.contains(at))
        .map(|(_, item)| item.group)
        .collect();
    groups.len() - broken.len()
}
