//! `store`: what stands in the platform's store.

use clap::ArgMatches;
use inspect::{
    CustomerRow, DutyRow, Inspector, LeaseRow, ReplicaRow, RouteRow, ShardRow, StepRow, UsageRow,
    VersionRow,
};
use serde::Serialize;
use settings::address;

use super::failure::Failure;
use crate::output::{Form, print_json, print_table};

#[derive(Serialize)]
struct Routes {
    version: u64,
    routes: Vec<RouteRow>,
}

/// Reads one kind of record and prints it.
pub async fn run(flags: &ArgMatches) -> Result<(), Failure> {
    let Some((kind, flags)) = flags.subcommand() else {
        return Ok(());
    };
    let form = Form::of(flags)?;
    let store = Inspector::new(address(flags, "store")?);
    match kind {
        "routes" => {
            let (version, routes) = store.routes().await?;
            print(form, &Routes { version, routes }, routes_table);
        }
        "versions" => print(form, &store.versions().await?, |rows| versions_table(rows)),
        "replicas" => print(form, &store.replicas().await?, |rows| replicas_table(rows)),
        "steps" => print(form, &store.steps().await?, |rows| steps_table(rows)),
        "shards" => print(form, &store.shards().await?, |rows| shards_table(rows)),
        "customers" => print(form, &store.customers().await?, |rows| {
            customers_table(rows)
        }),
        "usage" => print(form, &store.usage().await?, |rows| usage_table(rows)),
        "duties" => print(form, &store.duties().await?, |rows| duties_table(rows)),
        _ => print(form, &store.lease().await?, lease_table),
    }
    Ok(())
}

fn print<T: Serialize>(form: Form, value: &T, table: impl Fn(&T)) {
    match form {
        Form::Json => print_json(value),
        Form::Table => table(value),
    }
}

fn routes_table(found: &Routes) {
    println!("configuration {}", found.version);
    let row = |route: &RouteRow| {
        [
            route.route.clone(),
            route.host.clone(),
            route.prefix.clone(),
            route.kind.clone(),
            pairs(&route.services),
            route.timeout_ms.to_string(),
            route.attempts_max.to_string(),
        ]
    };
    let rows: Vec<_> = found.routes.iter().map(row).collect();
    let titles = [
        "route",
        "host",
        "prefix",
        "kind",
        "services",
        "timeout ms",
        "attempts",
    ];
    print_table(titles, &rows);
}

fn versions_table(rows: &[VersionRow]) {
    let row = |row: &VersionRow| {
        let numbers = [row.version.to_string(), row.replicas.to_string()];
        let [version, replicas] = numbers;
        [row.model.clone(), version, replicas]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    print_table(["model", "version", "replicas"], &rows);
}

fn replicas_table(rows: &[ReplicaRow]) {
    let row = |row: &ReplicaRow| {
        [
            row.replica.clone(),
            row.service.clone(),
            row.address.clone(),
            row.failure_domain.clone(),
            if row.draining { "draining" } else { "ready" }.to_owned(),
            pairs(&row.models),
        ]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    let titles = [
        "replica",
        "service",
        "address",
        "failure domain",
        "state",
        "versions",
    ];
    print_table(titles, &rows);
}

fn steps_table(rows: &[StepRow]) {
    let row = |row: &StepRow| {
        [
            row.step.clone(),
            row.model.clone(),
            row.number.to_string(),
            row.min_version.to_string(),
            row.state.to_owned(),
            format!("{}+{} of {}", row.succeeded, row.errored, row.items),
            row.saved.to_string(),
            format!("{} of {}", row.groups_whole, row.groups_wanted),
        ]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    let titles = [
        "step",
        "model",
        "number",
        "min version",
        "state",
        "texts+errors",
        "saved",
        "groups whole",
    ];
    print_table(titles, &rows);
}

fn shards_table(rows: &[ShardRow]) {
    let row = |row: &ShardRow| {
        let front = row.front.clone().unwrap_or_else(|| "-".to_owned());
        let numbers = [row.shard.to_string(), row.items_open.to_string()];
        let [shard, items_open] = numbers;
        [row.pool.clone(), shard, front, items_open]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    print_table(["pool", "shard", "front", "items open"], &rows);
}

fn lease_table(lease: &LeaseRow) {
    let dash = || "-".to_owned();
    let holder = lease.holder.clone().unwrap_or_else(dash);
    let fence = lease.fence.map_or_else(dash, |fence| fence.to_string());
    print_table(["holder of orders", "fence"], &[[holder, fence]]);
}

fn customers_table(rows: &[CustomerRow]) {
    let row = |row: &CustomerRow| {
        let rank = row
            .rank
            .map_or_else(|| "-".to_owned(), |rank| rank.to_string());
        let numbers = [row.keys.to_string(), row.steps.to_string()];
        let [keys, steps] = numbers;
        [row.customer.clone(), rank, keys, steps]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    print_table(["customer", "rank", "keys", "steps"], &rows);
}

fn usage_table(rows: &[UsageRow]) {
    let row = |row: &UsageRow| {
        let numbers = [row.window.to_string(), row.requests.to_string()];
        let [window, requests] = numbers;
        [
            window,
            row.state.to_owned(),
            requests,
            pairs(&row.customers),
        ]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    print_table(["window", "state", "requests", "customers"], &rows);
}

fn duties_table(rows: &[DutyRow]) {
    let dash = || "-".to_owned();
    let row = |row: &DutyRow| {
        let waiting: Vec<String> = row.waiting.iter().map(u64::to_string).collect();
        [
            row.duty.to_owned(),
            row.holder.clone().unwrap_or_else(dash),
            row.fence.map_or_else(dash, |fence| fence.to_string()),
            row.reported.map_or_else(dash, |window| window.to_string()),
            waiting.join(" "),
        ]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    print_table(["duty", "holder", "fence", "reported", "waiting"], &rows);
}

fn pairs<T: ToString>(pairs: &[(String, T)]) -> String {
    let shown = pairs
        .iter()
        .map(|(name, value)| format!("{name}={}", value.to_string()));
    shown.collect::<Vec<_>>().join(" ")
}
