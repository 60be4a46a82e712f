//! The clients against stand-ins of the log, the VM list, the weight store, a scorer and an engine.

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

const LONG_DEADLINE_MS: u64 = 20_000;
const SHORT_DEADLINE_MS: u64 = 300;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn long_deadline_settings() -> ClientSettings {
    ClientSettings {
        deadline_ms: LONG_DEADLINE_MS,
        ..ClientSettings::default()
    }
}

fn short_deadline_settings() -> ClientSettings {
    ClientSettings {
        deadline_ms: SHORT_DEADLINE_MS,
        ..ClientSettings::default()
    }
}

async fn log() -> (Handle, LogClient) {
    let handle = standins::log::start(LogSettings::new(loopback()))
        .await
        .unwrap();
    let client = LogClient::new(handle.address, &long_deadline_settings());
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
    let waiting = tokio::spawn(async move { reader.read("s", 0, 10, LONG_DEADLINE_MS).await });
    log.append("other", "x").await.unwrap();
    log.append("s", "one").await.unwrap();
    let page = waiting.await.unwrap().unwrap();
    assert_eq!(page.records[0].data, "one");
}

#[tokio::test]
async fn reads_from_the_oldest_retained_record() {
    let settings = LogSettings {
        keep_count: 2,
        ..LogSettings::new(loopback())
    };
    let handle = standins::log::start(settings).await.unwrap();
    let log = LogClient::new(handle.address, &long_deadline_settings());
    for number in 0..5 {
        log.append("s", &number.to_string()).await.unwrap();
    }
    let page = log.read("s", 0, 10, 0).await.unwrap();
    assert_eq!((page.first, page.next), (3, 5));
    assert_eq!(page.records[0].offset, 3);
}

/// Guards against an append that is reported as failed or made twice although the log has stored
/// the record: the connection closes before the answer, so that the outcome is unknown.
#[tokio::test]
async fn errors_as_unknown_when_the_answer_to_an_append_is_lost() {
    let (handle, log) = log().await;
    handle.inject_fault(Fault::new(FaultKind::AnswerLost).times(1));
    let error = log.append("s", "one").await.unwrap_err();
    let lost = AnswerLoss::ClosedBeforeAnswer { reused: false };
    assert_eq!(error, PlatformError::OutcomeUnknown(lost));
    assert!(error.may_have_taken_effect());
    assert_eq!(records(&log).await, ["one"]);
}

/// Guards against a timeout that is taken for a failed append: the log is slow and stores the
/// record after the caller has closed its connection.
#[tokio::test]
async fn errors_as_unknown_when_a_slow_append_takes_effect_later() {
    let (handle, log) = log().await;
    let short_deadline_client = LogClient::new(handle.address, &short_deadline_settings());
    handle.inject_fault(
        Fault::new(FaultKind::Slow)
            .times(1)
            .delayed(2 * SHORT_DEADLINE_MS),
    );
    let error = short_deadline_client.append("s", "one").await.unwrap_err();
    assert_eq!(
        error,
        PlatformError::OutcomeUnknown(AnswerLoss::DeadlinePassed)
    );
    let page = log.read("s", 0, 10, LONG_DEADLINE_MS).await.unwrap();
    assert_eq!(page.records[0].data, "one");
}

#[tokio::test]
async fn classifies_errors_by_the_kind_of_fault() {
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
            name: "a truncated answer",
            fault: Fault::new(FaultKind::Truncate),
            expected: PlatformError::OutcomeUnknown(AnswerLoss::ClosedMidAnswer),
            appended: 1,
        },
    ];
    for case in cases {
        let (handle, log) = log().await;
        let silent = case.fault.kind == FaultKind::Silent;
        let settings = if silent {
            short_deadline_settings()
        } else {
            long_deadline_settings()
        };
        let client = LogClient::new(handle.address, &settings);
        handle.inject_fault(case.fault.times(1));
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
    // The runtime drops the task with its listener some time after the handle.
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
async fn errors_above_the_rate_limit_of_the_log() {
    let settings = LogSettings {
        appends_per_s: 1,
        ..LogSettings::new(loopback())
    };
    let handle = standins::log::start(settings).await.unwrap();
    let log = LogClient::new(handle.address, &long_deadline_settings());
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
async fn can_list_vms_with_a_lag() {
    let vm: adapters::Vm = serde_json::from_str(
        r#"{"address":"127.0.0.1:9","role":"agent","failure_domain":"rennes-a",
            "region":"bretagne","state":"leaving"}"#,
    )
    .unwrap();
    let settings = VmsSettings {
        vms: vec![vm],
        ..VmsSettings::new(loopback())
    };
    let handle = standins::vms::start(settings).await.unwrap();
    let list = VmList::new(handle.address, &long_deadline_settings());
    let vms = list.list().await.unwrap();
    assert_eq!(vms[0].state, VmState::Leaving);
    let endpoint = adapters::Endpoint::new(handle.address, adapters::EndpointSettings::default());
    let change = adapters::Request {
        body: r#"{"remove":["127.0.0.1:9"]}"#.into(),
        ..adapters::Request::new("POST", "/standin/vms")
    };
    let changed = endpoint.send(change, LONG_DEADLINE_MS).await.unwrap();
    assert_eq!(changed.head.status, 200);
    handle.inject_fault(Fault::new(FaultKind::Lag).delayed(LONG_DEADLINE_MS));
    assert_eq!(list.list().await.unwrap().len(), 1);
    handle.clear_faults();
    assert_eq!(list.list().await.unwrap().len(), 0);
}

#[tokio::test]
async fn errors_above_the_rate_limit_of_the_weight_store() {
    let handle = standins::store::start(StoreSettings::new(loopback()))
        .await
        .unwrap();
    let store = WeightStore::new(handle.address, &long_deadline_settings());
    let version = WeightVersion::default();
    assert!(!store.fetch("m", version).await.unwrap().is_empty());
    handle.inject_fault(Fault::new(FaultKind::StoreRate));
    let refused = PlatformError::Refused {
        status: 429,
        retry_after_ms: Some(1_000),
    };
    assert_eq!(store.fetch("m", version).await, Err(refused));
}

#[tokio::test]
async fn can_score_a_sample() {
    let handle = standins::scorer::start(ScorerSettings::new(loopback()))
        .await
        .unwrap();
    let scorer = Scorer::new(handle.address, &long_deadline_settings());
    let score = scorer.score("p", "c").await.unwrap();
    assert_eq!(score, standins::scorer::score("p", "c"));
}

#[tokio::test]
async fn can_read_the_state_of_an_engine() {
    let handle = standins::engine::start(EngineSettings::new(loopback(), "m"))
        .await
        .unwrap();
    let engine = Engine::new(handle.address, &long_deadline_settings());
    let state = engine.state().await.unwrap();
    assert_eq!((state.life, state.models.len()), (1, 1));
    assert_eq!(state.models[0].loaded, [WeightVersion::default()]);
    assert_eq!(engine.load_report().await.unwrap().running, 0);
    assert_eq!(engine.cancel("nothing").await, Ok(()));
    assert_eq!(engine.cache_events(0).await.unwrap().next, 0);
}
