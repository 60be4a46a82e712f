//! `store`: shows the contents of the store.

use std::time::{SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use inspect::{
    CustomerRow, DutyRow, Inspector, LeaseRow, ReplicaRow, RouteRow, ShardRow, StepRow, UsageRow,
    VersionRow,
};
use serde::Serialize;
use settings::address;

use super::error::CommandError;
use crate::output::{OutputFormat, print_json, print_table};

/// Version and routes of the active configuration.
#[derive(Serialize)]
struct Configuration {
    version: u64,
    routes: Vec<RouteRow>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Reads the kind of contents that the subcommand names and prints it.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let Some((kind, flags)) = flags.subcommand() else {
        return Ok(());
    };
    let format = OutputFormat::from_flags(flags)?;
    let inspector = Inspector::new(address(flags, "store")?);
    match kind {
        "routes" => {
            let (version, routes) = inspector.routes().await?;
            print(format, &Configuration { version, routes }, print_routes);
        }
        "versions" => print(format, &inspector.versions().await?, |rows| {
            print_versions(rows)
        }),
        "replicas" => print(format, &inspector.replicas().await?, |rows| {
            print_replicas(rows)
        }),
        "steps" => print(format, &inspector.steps().await?, |rows| print_steps(rows)),
        "shards" => print(format, &inspector.shards(unix_ms()).await?, |rows| {
            print_shards(rows)
        }),
        "customers" => print(format, &inspector.customers().await?, |rows| {
            print_customers(rows)
        }),
        "usage" => print(format, &inspector.usage().await?, |rows| print_usage(rows)),
        "duties" => print(format, &inspector.duties().await?, |rows| {
            print_duties(rows)
        }),
        _ => print(format, &inspector.lease().await?, print_lease),
    }
    Ok(())
}

fn print<T: Serialize>(format: OutputFormat, value: &T, print_as_table: impl Fn(&T)) {
    match format {
        OutputFormat::Json => print_json(value),
        OutputFormat::Table => print_as_table(value),
    }
}

fn print_routes(configuration: &Configuration) {
    println!("configuration {}", configuration.version);
    let row = |route: &RouteRow| {
        [
            route.route.clone(),
            route.host.clone(),
            route.prefix.clone(),
            route.kind.clone(),
            join_pairs(&route.services),
            route.timeout_ms.to_string(),
            route.attempts_max.to_string(),
        ]
    };
    let rows: Vec<_> = configuration.routes.iter().map(row).collect();
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

fn print_versions(rows: &[VersionRow]) {
    let row = |row: &VersionRow| {
        let numbers = [row.version.to_string(), row.replicas.to_string()];
        let [version, replicas] = numbers;
        [row.model.clone(), version, replicas]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    print_table(["model", "version", "replicas"], &rows);
}

fn print_replicas(rows: &[ReplicaRow]) {
    let row = |row: &ReplicaRow| {
        [
            row.replica.clone(),
            row.service.clone(),
            row.address.clone(),
            row.failure_domain.clone(),
            if row.draining { "draining" } else { "ready" }.to_owned(),
            join_pairs(&row.models),
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

fn print_steps(rows: &[StepRow]) {
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

fn print_shards(rows: &[ShardRow]) {
    let row = |row: &ShardRow| {
        let front = row.front.clone().unwrap_or_else(|| "-".to_owned());
        let numbers = [row.shard.to_string(), row.items_open.to_string()];
        let [shard, items_open] = numbers;
        let record = row.knowledge.as_ref();
        let written_by = record.map_or_else(|| "-".to_owned(), |record| record.front.clone());
        let age_ms = record.map_or_else(|| "-".to_owned(), |record| record.age_ms.to_string());
        let [pool, front] = [row.pool.clone(), front];
        [pool, shard, front, items_open, written_by, age_ms]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    print_table(
        [
            "pool",
            "shard",
            "front",
            "items open",
            "record of",
            "record age ms",
        ],
        &rows,
    );
}

fn print_lease(lease: &LeaseRow) {
    let dash = || "-".to_owned();
    let holder = lease.holder.clone().unwrap_or_else(dash);
    let fence = lease.fence.map_or_else(dash, |fence| fence.to_string());
    print_table(["holder of orders", "fence"], &[[holder, fence]]);
}

fn print_customers(rows: &[CustomerRow]) {
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

fn print_usage(rows: &[UsageRow]) {
    let row = |row: &UsageRow| {
        let numbers = [row.window.to_string(), row.requests.to_string()];
        let [window, requests] = numbers;
        [
            window,
            row.state.to_owned(),
            requests,
            join_pairs(&row.customers),
        ]
    };
    let rows: Vec<_> = rows.iter().map(row).collect();
    print_table(["window", "state", "requests", "customers"], &rows);
}

fn print_duties(rows: &[DutyRow]) {
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

fn join_pairs<T: ToString>(pairs: &[(String, T)]) -> String {
    let texts = pairs
        .iter()
        .map(|(name, value)| format!("{name}={}", value.to_string()));
    texts.collect::<Vec<_>>().join(" ")
}
