//! Second copies of slow calls.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

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
/// Calls by which the service's usual latency is known.
const FIRST: usize = 200;
const SLOW_MS: u64 = 300;
/// Header by which the stand-in counts runs.
const TAG: &str = "x-request-tag";

async fn site(hedging: HedgeSettings) -> Site {
    let tuning = Tuning {
        hedging,
        ..Tuning::default()
    };
    let plan = SiteSettings {
        entries: 1,
        services: 3,
        service_ms: 10,
        tuning,
        ..SiteSettings::default()
    };
    Site::start(plan).await
}

/// Makes calls after each other until as many as wanted were made by all callers; the
/// time of each.
async fn caller(site: &Site, ask: &TestRequest, made: &AtomicUsize, calls: usize) -> Vec<u128> {
    let mut times_ms = Vec::new();
    while made.fetch_add(1, Ordering::Relaxed) < calls {
        let sent = Instant::now();
        assert_eq!(site.send(0, ask).await.status, 200);
        times_ms.push(sent.elapsed().as_millis());
    }
    times_ms
}

async fn calls(site: &Site, ask: &TestRequest, calls: usize) -> Vec<u128> {
    let made = AtomicUsize::new(0);
    let callers = (0..CALLERS).map(|_| caller(site, ask, &made, calls));
    let mut times_ms = join_all(callers).await.concat();
    times_ms.sort_unstable();
    times_ms
}

/// Times of the calls that were made after one replica became slow, sorted.
async fn times_ms(site: &Site, ask: &TestRequest) -> Vec<u128> {
    calls(site, ask, FIRST).await;
    let fault = json!({ "kind": "slow", "delay_ms": SLOW_MS }).to_string();
    let fault = TestRequest::post("/standin/fault", fault);
    assert_eq!(fault.send(site.services[0].address).await.status, 200);
    calls(site, ask, CALLS - FIRST).await
}

fn show(name: &str, times_ms: &[u128], runs: u64) {
    let at = |permille: usize| times_ms[times_ms.len() * permille / 1_000];
    let (p50, p95, p99) = (at(500), at(950), at(990));
    println!("{name}: p50 {p50} ms, p95 {p95} ms, p99 {p99} ms, {runs} runs of {CALLS} calls");
}

// One of three replicas becomes slow. It still answers, so it is not ejected, and the
// calls that it has are late. A clerk waits for the slow replica though two others are
// idle; a second copy at one of those answers her, and the first is given up.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_answer_from_a_second_copy_where_the_first_is_slow() {
    let ask = TestRequest::get("/v1/services/guichet/records/1").with_header(TAG, "hedged");
    let hedged = site(HedgeSettings::default()).await;
    let times = times_ms(&hedged, &ask).await;
    let runs = hedged.run_count("hedged").await;
    show("with second copies", &times, runs);
    assert!(runs > CALLS as u64, "no call was sent twice");
    assert!(
        runs <= CALLS as u64 * 12 / 10,
        "more copies than the budget has"
    );

    let never = HedgeSettings {
        calls_min: u32::MAX,
        ..HedgeSettings::default()
    };
    let plain = site(never).await;
    let times = times_ms(&plain, &ask).await;
    let runs = plain.run_count("hedged").await;
    show("without", &times, runs);
    assert_eq!(runs, CALLS as u64);
}

// A sanction check may run once only, however slow its replica is.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_leave_calls_alone_that_may_run_once_only() {
    let ask = TestRequest::post("/v1/services/guichet/sanctions", "{}").with_header(TAG, "once");
    let site = site(HedgeSettings::default()).await;
    times_ms(&site, &ask).await;
    assert_eq!(site.run_count("once").await, CALLS as u64);
}
