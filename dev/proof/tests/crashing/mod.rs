//! Engines that a prompt crashes, and the opinions that others ask for meanwhile.
#![allow(dead_code, clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use adapters::Request;
use futures_util::future::join_all;
use proof::{Ask, Ending, Kind, Site, SiteSettings, exchange, until};
use standins::{Fault, FaultKind};

pub const ENGINES: usize = 6;
/// Two crashes condemn a call at an entry, and there are two entries.
pub const LOST_MAX: u64 = 4;

/// Lives that the engines have lost, as they say themselves.
pub async fn lost(site: &Site) -> u64 {
    let mut lost = 0;
    for engine in &site.engines {
        // It may be down from the last crash.
        let state = until("an engine's state", async || {
            let request = Request::new("GET", "/engine/state");
            exchange(engine.address, request).await.ok()
        })
        .await
        .unwrap();
        let state: serde_json::Value = serde_json::from_slice(&state).unwrap();
        lost += state["life"].as_u64().unwrap() - 1;
    }
    lost
}

pub async fn engines() -> Site {
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
pub async fn bystanders(site: &Site) -> Vec<proof::Pending> {
    let asks: Vec<Ask> = (0..8)
        .map(|number| Ask::new(Kind::Stream, format!("bystander-{number}")))
        .collect();
    let texts = join_all(asks.iter().map(|ask| site.text(ask))).await;
    let both = asks.iter().zip(texts).enumerate();
    both.map(|(at, (ask, text))| site.begin(at % 2, ask, &text.unwrap()))
        .collect()
}

pub async fn all_whole(pending: Vec<proof::Pending>) {
    for answer in join_all(pending.into_iter().map(proof::Pending::answer)).await {
        let answer = answer.unwrap();
        assert_eq!(
            answer.ending,
            Ending::Whole,
            "{} {}",
            answer.status,
            answer.cause
        );
    }
}
