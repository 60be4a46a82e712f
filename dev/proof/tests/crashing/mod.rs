//! Engines that a prompt crashes, and the opinions that others ask for meanwhile.
#![allow(dead_code, clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use adapters::Request;
use futures_util::future::join_all;
use proof::{Ending, RequestKind, Site, SiteSettings, TestRequest, exchange, wait_until};
use standins::{Fault, FaultKind};

pub const ENGINES: usize = 6;
/// Two crashes condemn a call at an entry, and there are two entries.
pub const CRASHES_MAX: u64 = 4;

/// Lives that the engines have lost, as they say themselves.
pub async fn crash_count(site: &Site) -> u64 {
    let mut crashes = 0;
    for engine in &site.engines {
        // It may be down from the last crash.
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
        engine.fault(Fault::new(FaultKind::CrashOn).with_text("POISON"));
    }
    site
}

/// Opinions that others ask for meanwhile.
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
