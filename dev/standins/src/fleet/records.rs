//! Records and requests of the platform, for tests.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Host of all routes.
pub const HOST: &str = "site.example";
/// Prefix of the ordinary route.
pub const CALLS: &str = "/calls/";
/// Prefix of the scorers' route.
pub const SCORES: &str = "/scores/";
/// Prefix of the trainer's route.
pub const STEPS: &str = "/steps/";
/// The one model.
pub const MODEL: &str = "model-a";
/// Service of the plain replicas.
pub const PLAIN: &str = "plain";
/// Service of the model replicas.
pub const ENGINES: &str = "engines";

/// A configuration with an ordinary route, a route of scorers and one of a trainer.
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

/// The configuration with customers, each with its keys; the scorers' route is public.
pub fn config_with_customers(version: u64, customers: &[(&str, &[&str])]) -> String {
    let mut config: Value = serde_json::from_str(&config(version)).unwrap_or_default();
    let customer = |(name, keys): &(&str, &[&str])| json!({ "Name": name, "ApiKeys": keys });
    config["Tenants"] = customers.iter().map(customer).collect();
    config["Routes"][2]["Public"] = true.into();
    config.to_string()
}

/// Places of a replica.
pub const SLOTS: u32 = 8;

/// The record of a replica.
pub fn replica(service: &str, address: SocketAddr, state: &str, version: u64) -> String {
    replica_with_slots(service, address, state, version, SLOTS)
}

/// The record of a replica with so many places.
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

/// A named version.
pub fn version(version: u64) -> String {
    json!({ "Model": MODEL, "Version": version }).to_string()
}

/// A step with groups of two items.
pub fn step(number: u64, min_version: u64, items: usize) -> String {
    let item = |at: usize| -> Value {
        json!({
            "Id": format!("item-{number}-{at}"), "Path": format!("{STEPS}{at}"),
            "Headers": { "Hornbeamrock-Model": MODEL, "Hornbeamrock-Length-Hint": "200" },
            "Body": "q80=", "Tokens": 300, "Group": format!("group-{}", at / 2),
            "Scorer": {
                "Id": format!("score-{number}-{at}"), "Host": HOST,
                "Path": format!("{SCORES}{at}"), "Body": "AQI="
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
