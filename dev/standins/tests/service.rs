//! Tests of the plain service's run counts, which tests of at-most-once execution rely on.

#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions, but not their helpers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use adapters::{Endpoint, EndpointSettings, PlatformError, Request};
use standins::service::ServiceSettings;
use standins::{Fault, FaultKind, Handle};

const DEADLINE_MS: u64 = 20_000;

async fn start_service() -> (Handle, Endpoint) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = standins::service::start(ServiceSettings::new(listen, "guichet"))
        .await
        .unwrap();
    let endpoint = Endpoint::new(handle.address, EndpointSettings::default());
    (handle, endpoint)
}

async fn call(endpoint: &Endpoint, tag: &str, path: &str) -> Result<String, PlatformError> {
    let request = Request {
        headers: vec![("x-request-tag".to_owned(), tag.to_owned())],
        body: "{}".into(),
        ..Request::new("POST", path)
    };
    let response = endpoint.send(request, DEADLINE_MS).await?;
    let body = response.body.read_to_end().await?;
    Ok(String::from_utf8(body.to_vec()).unwrap())
}

async fn read_runs(endpoint: &Endpoint) -> BTreeMap<String, u64> {
    let request = Request::new("GET", "/standin/runs");
    let response = endpoint.send(request, DEADLINE_MS).await.unwrap();
    serde_json::from_slice(&response.body.read_to_end().await.unwrap()).unwrap()
}

#[tokio::test]
async fn counts_exactly_the_requests_that_ran() {
    struct Case {
        name: &'static str,
        fault: FaultKind,
        count: Option<u64>,
    }
    let cases = [
        Case {
            name: "refused",
            fault: FaultKind::Outage,
            count: None,
        },
        Case {
            name: "lost",
            fault: FaultKind::AnswerLost,
            count: Some(1),
        },
        Case {
            name: "truncated",
            fault: FaultKind::Truncate,
            count: Some(1),
        },
        Case {
            name: "crashed",
            fault: FaultKind::CrashOn,
            count: Some(1),
        },
    ];
    let (handle, endpoint) = start_service().await;
    for case in cases {
        let fault = Fault::new(case.fault).with_text("/sanctions");
        handle.inject_fault(fault.times(1));
        let answer = call(&endpoint, case.name, "/sanctions").await;
        let is_answered = answer.is_ok_and(|text| text.contains("sanction\":"));
        assert!(!is_answered, "{}", case.name);
        let counted = loop {
            // The service does not listen until it has restarted after a crash.
            if is_up(&endpoint).await {
                break read_runs(&endpoint).await;
            }
        };
        assert_eq!(counted.get(case.name).copied(), case.count, "{}", case.name);
        handle.clear_faults();
    }
}

async fn is_up(endpoint: &Endpoint) -> bool {
    let request = Request::new("GET", "/healthz");
    match endpoint.send(request, DEADLINE_MS).await {
        Ok(response) => response.body.read_to_end().await.is_ok(),
        Err(_) => false,
    }
}

#[tokio::test]
async fn answers_each_kind_of_request() {
    let (_handle, endpoint) = start_service().await;
    let cases = [
        ("/applicants/7", "\"applicant\":\"7\""),
        ("/sanctions", "\"sanction\":\"guichet-"),
        ("/bids", "\"accepted\":true"),
        ("/valuations/kl-7", "\"lot\":\"kl-7\""),
        ("/stock?items=2", "\"items\":[{"),
        ("/anything/else", "\"path\":\"/anything/else\""),
    ];
    for (path, expected) in cases {
        let answer = call(&endpoint, "t", path).await.unwrap();
        assert!(answer.contains(expected), "{path}: {answer}");
    }
    assert_eq!(read_runs(&endpoint).await["t"], cases.len() as u64);
}
