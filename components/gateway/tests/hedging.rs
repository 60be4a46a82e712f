//! Hedged requests.
#![allow(clippy::unwrap_used)] // clippy.toml allows `unwrap` in test functions, not in their helpers.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use common::{Site, SiteSettings, TestRequest};
use futures_util::future::join_all;
use gateway::Tuning;
use routing::hedge::HedgeSettings;
use serde_json::json;

const CALLS: usize = 1_200;
const CALLERS: usize = 8;
/// Calls that establish the service's usual latency before one replica becomes slow.
const WARM_UP_CALLS: usize = 200;
const SLOW_DELAY_MS: u64 = 300;
/// Header by which the stand-in counts runs.
const TAG: &str = "x-request-tag";

async fn start_site(hedging: HedgeSettings) -> Site {
    let tuning = Tuning {
        hedging,
        ..Tuning::default()
    };
    let settings = SiteSettings {
        entries: 1,
        services: 3,
        service_ms: 10,
        tuning,
        ..SiteSettings::default()
    };
    Site::start(settings).await
}

/// Sends calls one after another until all callers together have sent `calls`; returns the latency
/// of each call.
async fn run_caller(
    site: &Site,
    request: &TestRequest,
    sent_count: &AtomicUsize,
    calls: usize,
) -> Vec<u128> {
    let mut latencies_ms = Vec::new();
    while sent_count.fetch_add(1, Ordering::Relaxed) < calls {
        let sent = Instant::now();
        assert_eq!(site.send(0, request).await.status, 200);
        latencies_ms.push(sent.elapsed().as_millis());
    }
    latencies_ms
}

async fn run_calls(site: &Site, request: &TestRequest, calls: usize) -> Vec<u128> {
    let sent_count = AtomicUsize::new(0);
    let callers = (0..CALLERS).map(|_| run_caller(site, request, &sent_count, calls));
    let mut latencies_ms = join_all(callers).await.concat();
    latencies_ms.sort_unstable();
    latencies_ms
}

/// Makes one replica slow after the warm-up and returns the sorted latencies of the later calls.
async fn measure_with_slow_replica(site: &Site, request: &TestRequest) -> Vec<u128> {
    run_calls(site, request, WARM_UP_CALLS).await;
    let fault = json!({ "kind": "slow", "delay_ms": SLOW_DELAY_MS }).to_string();
    let fault = TestRequest::post("/standin/fault", fault);
    assert_eq!(fault.send(site.services[0].address).await.status, 200);
    run_calls(site, request, CALLS - WARM_UP_CALLS).await
}

fn print_latencies(name: &str, latencies_ms: &[u128], runs: u64) {
    let at = |permille: usize| latencies_ms[latencies_ms.len() * permille / 1_000];
    let (p50, p95, p99) = (at(500), at(950), at(990));
    println!("{name}: p50 {p50} ms, p95 {p95} ms, p99 {p99} ms, {runs} runs of {CALLS} calls");
}

// Guards against late answers while one of three replicas is slow. The slow replica still answers,
// so it is not ejected. A hedge at an idle replica must answer, and the first copy is then
// cancelled.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_answer_from_a_hedge_when_the_first_replica_is_slow() {
    let request = TestRequest::get("/v1/services/guichet/records/1").with_header(TAG, "hedged");
    let hedged = start_site(HedgeSettings::default()).await;
    let latencies = measure_with_slow_replica(&hedged, &request).await;
    let runs = hedged.run_count("hedged").await;
    print_latencies("hedging enabled", &latencies, runs);
    assert!(runs > CALLS as u64, "no call was hedged");
    assert!(
        runs <= CALLS as u64 * 12 / 10,
        "more hedges than the retry budget allows"
    );

    let disabled = HedgeSettings {
        calls_min: u32::MAX,
        ..HedgeSettings::default()
    };
    let unhedged = start_site(disabled).await;
    let latencies = measure_with_slow_replica(&unhedged, &request).await;
    let runs = unhedged.run_count("hedged").await;
    print_latencies("hedging disabled", &latencies, runs);
    assert_eq!(runs, CALLS as u64);
}

// Guards against a second run of a call that must run only once, however slow its replica is.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_leave_non_idempotent_calls_unhedged() {
    let request =
        TestRequest::post("/v1/services/guichet/sanctions", "{}").with_header(TAG, "once");
    let site = start_site(HedgeSettings::default()).await;
    measure_with_slow_replica(&site, &request).await;
    assert_eq!(site.run_count("once").await, CALLS as u64);
}
