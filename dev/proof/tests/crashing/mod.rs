//! Helpers: a site whose engines crash on a certain prompt, and completions of other callers.
#![allow(dead_code, clippy::unwrap_used)] // clippy.toml exempts test functions, but not their helpers.

use adapters::Request;
use futures_util::future::join_all;
use proof::{Ending, RequestKind, Site, SiteSettings, TestRequest, exchange, wait_until};
use standins::{Fault, FaultKind};

pub const ENGINES: usize = 6;
/// Each of the two entries refuses a call after two crashes that it causes.
pub const CRASHES_MAX: u64 = 4;

/// Number of crashes of all engines, from the number of lives that each engine reports.
pub async fn crash_count(site: &Site) -> u64 {
    let mut crashes = 0;
    for engine in &site.engines {
        // The engine may still be down after a crash.
        let state = wait_until("an engine's state", async || {
            let request = Request::new("GET", "/engine/state");
            exchange(engine.address, request).await.ok()
        })
        .await
        .unwrap();
        let state: serde_json::Value = serde_json::from_slice(&state).unwrap();
        crashes += state["life"].as_u64().unwrap() - 1;
    }
    crashes
}

pub async fn start_site() -> Site {
    let site = Site::start(SiteSettings {
        services: 0,
        engines: ENGINES,
        scale_permille: 2_000,
        ..SiteSettings::default()
    })
    .await
    .unwrap();
    for engine in &site.engines {
        engine.inject_fault(Fault::new(FaultKind::CrashOn).with_text("POISON"));
    }
    site
}

/// Sends eight streamed completions of other callers.
pub async fn send_bystander_requests(site: &Site) -> Vec<proof::Pending> {
    let test_requests: Vec<TestRequest> = (0..8)
        .map(|number| TestRequest::new(RequestKind::Stream, format!("bystander-{number}")))
        .collect();
    let texts = join_all(
        test_requests
            .iter()
            .map(|test_request| site.expected_text(test_request)),
    )
    .await;
    let numbered = test_requests.iter().zip(texts).enumerate();
    numbered
        .map(|(index, (test_request, text))| site.send(index % 2, test_request, &text.unwrap()))
        .collect()
}

pub async fn expect_all_complete(pending: Vec<proof::Pending>) {
    for answer in join_all(pending.into_iter().map(proof::Pending::answer)).await {
        let answer = answer.unwrap();
        assert_eq!(
            answer.ending,
            Ending::Complete,
            "{} {}",
            answer.status,
            answer.cause
        );
    }
}
