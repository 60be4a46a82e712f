//! Second copies of slow calls.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use common::{Ask, Plan, Site};
use futures_util::future::join_all;
use gateway::Tuning;
use routing::hedge::HedgeSettings;
use serde_json::json;

const CALLS: usize = 1_200;
const CALLERS: usize = 8;
/// Calls by which the service's usual latency is known.
const WARM_UP_CALLS: usize = 200;
const SLOW_DELAY_MS: u64 = 300;
/// Header by which the stand-in counts runs.
const TAG: &str = "x-request-tag";

async fn start_site(hedging: HedgeSettings) -> Site {
    let tuning = Tuning {
        hedging,
        ..Tuning::default()
    };
    let plan = Plan {
        entries: 1,
        services: 3,
        service_ms: 10,
        tuning,
        ..Plan::default()
    };
    Site::start(plan).await
}

/// Makes calls after each other until as many as wanted were made by all callers; the
/// time of each.
async fn run_caller(site: &Site, ask: &Ask, sent_count: &AtomicUsize, calls: usize) -> Vec<u128> {
    let mut latencies_ms = Vec::new();
    while sent_count.fetch_add(1, Ordering::Relaxed) < calls {
        let sent = Instant::now();
        assert_eq!(site.send(0, ask).await.status, 200);
        latencies_ms.push(sent.elapsed().as_millis());
    }
    latencies_ms
}

async fn run_calls(site: &Site, ask: &Ask, calls: usize) -> Vec<u128> {
    let sent_count = AtomicUsize::new(0);
    let callers = (0..CALLERS).map(|_| run_caller(site, ask, &sent_count, calls));
    let mut latencies_ms = join_all(callers).await.concat();
    latencies_ms.sort_unstable();
    latencies_ms
}

/// Times of the calls that were made after one replica became slow, sorted.
async fn measure_with_slow_replica(site: &Site, ask: &Ask) -> Vec<u128> {
    run_calls(site, ask, WARM_UP_CALLS).await;
    let fault = json!({ "kind": "slow", "delay_ms": SLOW_DELAY_MS }).to_string();
    let fault = Ask::post("/standin/fault", fault);
    assert_eq!(fault.send(site.services[0].address).await.status, 200);
    run_calls(site, ask, CALLS - WARM_UP_CALLS).await
}

fn print_latencies(name: &str, latencies_ms: &[u128], runs: u64) {
    let at = |permille: usize| latencies_ms[latencies_ms.len() * permille / 1_000];
    let (p50, p95, p99) = (at(500), at(950), at(990));
    println!("{name}: p50 {p50} ms, p95 {p95} ms, p99 {p99} ms, {runs} runs of {CALLS} calls");
}

// One of three replicas becomes slow. It still answers, so it is not ejected, and the
// calls that it has are late. A clerk waits for the slow replica though two others are
// idle; a second copy at one of those answers her, and the first is given up.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_answer_from_a_hedge_when_the_first_replica_is_slow() {
    let ask = Ask::get("/v1/services/guichet/records/1").with(TAG, "hedged");
    let hedged = start_site(HedgeSettings::default()).await;
    let latencies = measure_with_slow_replica(&hedged, &ask).await;
    let runs = hedged.runs("hedged").await;
    print_latencies("with second copies", &latencies, runs);
    assert!(runs > CALLS as u64, "no call was sent twice");
    assert!(
        runs <= CALLS as u64 * 12 / 10,
        "more copies than the budget has"
    );

    let disabled = HedgeSettings {
        calls_min: u32::MAX,
        ..HedgeSettings::default()
    };
    let unhedged = start_site(disabled).await;
    let latencies = measure_with_slow_replica(&unhedged, &ask).await;
    let runs = unhedged.runs("hedged").await;
    print_latencies("without", &latencies, runs);
    assert_eq!(runs, CALLS as u64);
}

// A sanction check may run once only, however slow its replica is.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_leave_non_idempotent_calls_unhedged() {
    let ask = Ask::post("/v1/services/guichet/sanctions", "{}").with(TAG, "once");
    let site = start_site(HedgeSettings::default()).await;
    measure_with_slow_replica(&site, &ask).await;
    assert_eq!(site.runs("once").await, CALLS as u64);
}
