//! Records and requests in the platform's formats, for tests.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Host name of all routes.
pub const HOST: &str = "site.example";
/// Path prefix of the route to plain replicas whose calls may be retried.
pub const CALLS: &str = "/calls/";
/// Path prefix of the scorers' route.
pub const SCORES: &str = "/scores/";
/// Path prefix of the trainer's route.
pub const STEPS: &str = "/steps/";
/// The model of all model replicas.
pub const MODEL: &str = "model-a";
/// Service name of the plain replicas.
pub const PLAIN: &str = "plain";
/// Service name of the model replicas.
pub const ENGINES: &str = "engines";

/// Configuration with routes for plain calls, for scores and for the steps of a trainer, without
/// customers.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64| {
        json!({
            "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": timeout_ms, "GoalMs": 150, "Priority": 2, "Service": service,
            "MaxAttempts": 3, "DueMs": 7_500, "RetentionS": 40.0
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("calls", CALLS, "safe", PLAIN, 2_000),
            route("bids", "/bids/", "unsafe", PLAIN, 2_000),
            route("scores", SCORES, "safe", PLAIN, 2_000),
            route("steps", STEPS, "rollout", ENGINES, 10_000),
        ],
        "Services": [
            { "Name": PLAIN, "HealthPath": "/health", "MaxConns": 100 },
            { "Name": ENGINES, "HealthPath": "/health", "MaxConns": 100,
              "Engine": { "Slots": 8, "Models": [{ "Name": MODEL }] } },
        ],
        "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": 1_048_576,
                    "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000 }
    })
    .to_string()
}

/// Like [`config`], with customers, each with its API keys. The scorers' route is public.
pub fn config_with_customers(version: u64, customers: &[(&str, &[&str])]) -> String {
    let mut config: Value = serde_json::from_str(&config(version)).unwrap_or_default();
    let customer = |(name, keys): &(&str, &[&str])| json!({ "Name": name, "ApiKeys": keys });
    config["Tenants"] = customers.iter().map(customer).collect();
    config["Routes"][2]["Public"] = true.into();
    config.to_string()
}

/// Slots of a replica.
pub const SLOTS: u32 = 8;

/// Heartbeat record of a replica with [`SLOTS`] slots.
pub fn replica(service: &str, address: SocketAddr, state: &str, version: u64) -> String {
    replica_with_slots(service, address, state, version, SLOTS)
}

/// Heartbeat record of a replica with a given number of slots.
pub fn replica_with_slots(
    service: &str,
    address: SocketAddr,
    state: &str,
    version: u64,
    slots: u32,
) -> String {
    let models = match service {
        ENGINES => json!([{ "Name": MODEL, "Version": version, "Adapters": [] }]),
        _ => json!([]),
    };
    json!({
        "Service": service, "Address": address, "Zone": "zone-a", "Version": "v1",
        "Slots": slots, "State": state, "ColdLeftMs": 0, "Models": models, "Seq": 1
    })
    .to_string()
}

/// Adds the start of the replica to its heartbeat record.
pub fn with_start(record: &str, started_unix_ms: u64) -> String {
    let mut record: Value = serde_json::from_str(record).unwrap_or_default();
    record["born"] = started_unix_ms.into();
    record.to_string()
}

/// Operator's record that names the newest version of the model.
pub fn version(version: u64) -> String {
    json!({ "Model": MODEL, "Version": version }).to_string()
}

/// Step whose items form groups of two, each item with a scorer.
pub fn step(number: u64, min_version: u64, items: usize) -> String {
    let item = |index: usize| -> Value {
        json!({
            "Id": format!("item-{number}-{index}"), "Path": format!("{STEPS}{index}"),
            "Headers": { "Hornbeamrock-Model": MODEL, "Hornbeamrock-Length-Hint": "200" },
            "Body": "q80=", "Tokens": 300, "Group": format!("group-{}", index / 2),
            "Scorer": {
                "Id": format!("score-{number}-{index}"), "Host": HOST,
                "Path": format!("{SCORES}{index}"), "Body": "AQI="
            }
        })
    };
    let items: Vec<Value> = (0..items).map(item).collect();
    json!({
        "Step": number, "Model": MODEL, "MinVersion": min_version,
        "GroupCount": items.len() / 2, "Entries": items
    })
    .to_string()
}
