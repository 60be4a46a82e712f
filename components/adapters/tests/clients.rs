//! The adapters against the stand-ins of their systems.

#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

use std::net::SocketAddr;

use adapters::{
    AnswerLoss, ClientSettings, Engine, LogClient, NotSentCause, PlatformError, Scorer, VmList,
    VmState, WeightStore,
};
use standins::engine::EngineSettings;
use standins::log::LogSettings;
use standins::scorer::ScorerSettings;
use standins::store::StoreSettings;
use standins::vms::VmsSettings;
use standins::{Fault, FaultKind, Handle};
use types::WeightVersion;

const DEADLINE_MS: u64 = 20_000;
const SHORT_MS: u64 = 300;

fn anywhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn patient() -> ClientSettings {
    ClientSettings {
        deadline_ms: DEADLINE_MS,
        ..ClientSettings::default()
    }
}

fn impatient() -> ClientSettings {
    ClientSettings {
        deadline_ms: SHORT_MS,
        ..ClientSettings::default()
    }
}

async fn log() -> (Handle, LogClient) {
    let handle = standins::log::start(LogSettings::new(anywhere()))
        .await
        .unwrap();
    let client = LogClient::new(handle.address, &patient());
    (handle, client)
}

async fn records(log: &LogClient) -> Vec<String> {
    let page = log.read("s", 0, 100, 0).await.unwrap();
    page.records.into_iter().map(|record| record.data).collect()
}

#[tokio::test]
async fn can_append_and_read_back() {
    let (_handle, log) = log().await;
    assert_eq!(log.append("s", "one").await, Ok(0));
    assert_eq!(log.append("s", "deux ç").await, Ok(1));
    assert_eq!(log.append("other", "x").await, Ok(0));
    let page = log.read("s", 1, 10, 0).await.unwrap();
    assert_eq!((page.first, page.next), (0, 2));
    assert_eq!(page.records[0].data, "deux ç");
    let empty = log.read("s", 2, 10, 0).await.unwrap();
    assert_eq!((empty.next, empty.records.len()), (2, 0));
}

#[tokio::test]
async fn can_wait_for_a_record() {
    let (_handle, log) = log().await;
    let reader = log.clone();
    let waiting = tokio::spawn(async move { reader.read("s", 0, 10, DEADLINE_MS).await });
    log.append("other", "x").await.unwrap();
    log.append("s", "one").await.unwrap();
    let page = waiting.await.unwrap().unwrap();
    assert_eq!(page.records[0].data, "one");
}

#[tokio::test]
async fn reads_from_the_oldest_record_kept() {
    let settings = LogSettings {
        keep_count: 2,
        ..LogSettings::new(anywhere())
    };
    let handle = standins::log::start(settings).await.unwrap();
    let log = LogClient::new(handle.address, &patient());
    for number in 0..5 {
        log.append("s", &number.to_string()).await.unwrap();
    }
    let page = log.read("s", 0, 10, 0).await.unwrap();
    assert_eq!((page.first, page.next), (3, 5));
    assert_eq!(page.records[0].offset, 3);
}

/// The caller sees an append whose outcome is unknown, and finds its record in the log.
/// The log takes the record, then the connection closes without an answer. The adapter
/// must neither say that it failed nor append a second time.
#[tokio::test]
async fn errors_as_unknown_when_the_answer_to_an_append_is_lost() {
    let (handle, log) = log().await;
    handle.fault(Fault::new(FaultKind::AnswerLost).times(1));
    let error = log.append("s", "one").await.unwrap_err();
    let lost = AnswerLoss::ClosedBeforeAnswer { reused: false };
    assert_eq!(error, PlatformError::OutcomeUnknown(lost));
    assert!(error.may_have_taken_effect());
    assert_eq!(records(&log).await, ["one"]);
}

/// The caller sees its deadline pass, and later finds the record in the log. The log is
/// slow; the caller gives up and closes its connection; the append still takes effect.
#[tokio::test]
async fn errors_as_unknown_when_a_slow_append_takes_effect_later() {
    let (handle, log) = log().await;
    let hasty = LogClient::new(handle.address, &impatient());
    handle.fault(Fault::new(FaultKind::Slow).times(1).delayed(2 * SHORT_MS));
    let error = hasty.append("s", "one").await.unwrap_err();
    assert_eq!(
        error,
        PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed)
    );
    let page = log.read("s", 0, 10, DEADLINE_MS).await.unwrap();
    assert_eq!(page.records[0].data, "one");
}

#[tokio::test]
async fn errors_by_the_kind_of_fault() {
    struct Case {
        name: &'static str,
        fault: Fault,
        expected: PlatformError,
        appended: usize,
    }
    let refused = PlatformError::Refused {
        status: 503,
        retry_after_ms: Some(1_000),
    };
    let cases = [
        Case {
            name: "an outage",
            fault: Fault::new(FaultKind::Outage),
            expected: refused,
            appended: 0,
        },
        Case {
            name: "silence",
            fault: Fault::new(FaultKind::Silent),
            expected: PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed),
            appended: 0,
        },
        Case {
            name: "an answer cut short",
            fault: Fault::new(FaultKind::Truncate),
            expected: PlatformError::OutcomeUnknown(AnswerLoss::ClosedMidAnswer),
            appended: 1,
        },
    ];
    for case in cases {
        let (handle, log) = log().await;
        let silent = case.fault.kind == FaultKind::Silent;
        let settings = if silent { impatient() } else { patient() };
        let client = LogClient::new(handle.address, &settings);
        handle.fault(case.fault.times(1));
        let error = client.append("s", "one").await.unwrap_err();
        assert_eq!(error, case.expected, "{}", case.name);
        assert_eq!(records(&log).await.len(), case.appended, "{}", case.name);
    }
}

#[tokio::test]
async fn errors_as_not_sent_while_the_log_is_down_and_works_when_it_is_back() {
    let (handle, log) = log().await;
    log.append("s", "one").await.unwrap();
    let address = handle.address;
    drop(handle);
    // The listener closes with its task, which the runtime drops soon after.
    let error = loop {
        match log.append("s", "two").await {
            Err(error @ PlatformError::NotSent(_)) => break error,
            _ => tokio::task::yield_now().await,
        }
    };
    assert_eq!(error, PlatformError::NotSent(NotSentCause::Unreachable));
    let settings = LogSettings::new(address);
    let _back = standins::log::start(settings).await.unwrap();
    assert_eq!(log.append("s", "three").await, Ok(0));
}

#[tokio::test]
async fn errors_over_the_rate_of_the_log() {
    let settings = LogSettings {
        appends_per_s: 1,
        ..LogSettings::new(anywhere())
    };
    let handle = standins::log::start(settings).await.unwrap();
    let log = LogClient::new(handle.address, &patient());
    let refused = PlatformError::Refused {
        status: 429,
        retry_after_ms: Some(1_000),
    };
    let error = loop {
        if let Err(error) = log.append("s", "one").await {
            break error;
        }
    };
    assert_eq!(error, refused);
}

#[tokio::test]
async fn can_list_vms_late() {
    let vm: adapters::Vm = serde_json::from_str(
        r#"{"address":"127.0.0.1:9","role":"agent","failure_domain":"rennes-a",
            "region":"bretagne","state":"leaving"}"#,
    )
    .unwrap();
    let settings = VmsSettings {
        vms: vec![vm],
        ..VmsSettings::new(anywhere())
    };
    let handle = standins::vms::start(settings).await.unwrap();
    let list = VmList::new(handle.address, &patient());
    let vms = list.list().await.unwrap();
    assert_eq!(vms[0].state, VmState::Leaving);
    let endpoint = adapters::Endpoint::new(handle.address, adapters::EndpointSettings::default());
    let change = adapters::Request {
        body: r#"{"remove":["127.0.0.1:9"]}"#.into(),
        ..adapters::Request::new("POST", "/standin/vms")
    };
    let changed = endpoint.send(change, DEADLINE_MS).await.unwrap();
    assert_eq!(changed.head.status, 200);
    handle.fault(Fault::new(FaultKind::Lag).delayed(DEADLINE_MS));
    assert_eq!(list.list().await.unwrap().len(), 1);
    handle.clear_faults();
    assert_eq!(list.list().await.unwrap().len(), 0);
}

#[tokio::test]
async fn errors_over_the_rate_of_the_weight_store() {
    let handle = standins::store::start(StoreSettings::new(anywhere()))
        .await
        .unwrap();
    let store = WeightStore::new(handle.address, &patient());
    let version = WeightVersion::default();
    assert!(!store.fetch("m", version).await.unwrap().is_empty());
    handle.fault(Fault::new(FaultKind::StoreRate));
    let refused = PlatformError::Refused {
        status: 429,
        retry_after_ms: Some(1_000),
    };
    assert_eq!(store.fetch("m", version).await, Err(refused));
}

#[tokio::test]
async fn can_score_a_sample() {
    let handle = standins::scorer::start(ScorerSettings::new(anywhere()))
        .await
        .unwrap();
    let scorer = Scorer::new(handle.address, &patient());
    let score = scorer.score("p", "c").await.unwrap();
    assert_eq!(score, standins::scorer::score("p", "c"));
}

#[tokio::test]
async fn can_read_an_engine_back() {
    let handle = standins::engine::start(EngineSettings::new(anywhere(), "m"))
        .await
        .unwrap();
    let engine = Engine::new(handle.address, &patient());
    let state = engine.state().await.unwrap();
    assert_eq!((state.life, state.models.len()), (1, 1));
    assert_eq!(state.models[0].loaded, [WeightVersion::default()]);
    assert_eq!(engine.load_report().await.unwrap().running, 0);
    assert_eq!(engine.cancel("nothing").await, Ok(()));
    assert_eq!(engine.cache_events(0).await.unwrap().next, 0);
}
