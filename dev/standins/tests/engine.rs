//! Tests of the model engine's behaviour and of its simulated faults.

#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions, but not their helpers.

use std::net::SocketAddr;

use adapters::sse::{FinishReason, Parser, Transcript};
use adapters::{
    CacheEventKind, ClientSettings, Endpoint, EndpointSettings, Engine, PlatformError, Request,
    Response, prefix_blocks,
};
use futures_util::future::join_all;
use standins::engine::{EngineSettings, Fencing, Speeds, versions_in};
use standins::store::StoreSettings;
use standins::{Fault, FaultKind, Handle};
use types::WeightVersion;

const DEADLINE_MS: u64 = 20_000;
const BYTES_MAX: usize = 1 << 20;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn immediate() -> EngineSettings {
    EngineSettings {
        speeds: Speeds {
            scale_permille: 0,
            ..Speeds::default()
        },
        stragglers_permille: 0,
        cache_event_lag_ms: 0,
        cache_event_gaps_permille: 0,
        report_lag_ms: 0,
        restart_ms: 0,
        ..EngineSettings::new(loopback(), "m")
    }
}

struct Fixture {
    handle: Handle,
    engine: Engine,
    endpoint: Endpoint,
}

async fn start(settings: EngineSettings) -> Fixture {
    let handle = standins::engine::start(settings).await.unwrap();
    let settings = ClientSettings {
        deadline_ms: DEADLINE_MS,
        ..ClientSettings::default()
    };
    Fixture {
        engine: Engine::new(handle.address, &settings),
        endpoint: Endpoint::new(handle.address, EndpointSettings::default()),
        handle,
    }
}

impl Fixture {
    async fn post_completion(&self, fields: &str) -> Result<Response, PlatformError> {
        let request = Request {
            body: format!("{{\"model\":\"m\",{fields}}}").into(),
            ..Request::new("POST", "/v1/completions")
        };
        self.endpoint.send(request, DEADLINE_MS).await
    }

    async fn stream(&self, fields: &str) -> StreamReader {
        let response = self
            .post_completion(&format!("\"stream\":true,{fields}"))
            .await;
        StreamReader::new(response.unwrap())
    }

    async fn version(&self) -> WeightVersion {
        self.engine.state().await.unwrap().models[0].version
    }
}

/// Reader of a streamed completion.
struct StreamReader {
    response: Response,
    parser: Parser,
    transcript: Transcript,
}

impl StreamReader {
    fn new(response: Response) -> StreamReader {
        StreamReader {
            response,
            parser: Parser::new(BYTES_MAX),
            transcript: Transcript::default(),
        }
    }

    async fn read_more(&mut self) -> Result<bool, PlatformError> {
        let Some(bytes) = self.response.body.next().await? else {
            return Ok(false);
        };
        let add = |piece| self.transcript.add(&piece, BYTES_MAX);
        self.parser.push(&bytes, add).unwrap();
        Ok(true)
    }

    async fn read_to_end(mut self) -> (Transcript, Option<FinishReason>, bool) {
        while self.read_more().await.unwrap() {}
        let is_complete = self.parser.is_complete();
        (self.transcript, self.parser.finish(), is_complete)
    }
}

fn parse_version(text: &str) -> WeightVersion {
    text.parse().unwrap()
}

async fn swap(fixture: &Fixture, version: &str) -> Result<(), PlatformError> {
    let fence = parse_version(version).fencing_number();
    fixture
        .engine
        .load("m", parse_version(version), fence, DEADLINE_MS)
        .await?;
    fixture
        .engine
        .switch("m", parse_version(version), fence, DEADLINE_MS)
        .await
}

#[tokio::test]
async fn can_resume_to_the_same_completion() {
    let fixture = start(immediate()).await;
    let (all, finish, is_complete) = fixture
        .stream("\"prompt\":\"p\",\"seed\":4")
        .await
        .read_to_end()
        .await;
    assert!(is_complete);
    assert_eq!(finish, Some(FinishReason::Stop));
    let ids = serde_json::to_string(&all.token_ids[..5]).unwrap();
    let fields = format!("\"prompt\":\"p\",\"seed\":4,\"resume_tokens\":{ids}");
    let (rest, _, is_complete) = fixture.stream(&fields).await.read_to_end().await;
    assert!(is_complete);
    assert_eq!(rest.token_ids, all.token_ids[5..]);
    assert!(all.text.ends_with(&rest.text));
}

#[tokio::test]
async fn marks_each_token_with_the_version_that_generated_it() {
    let settings = EngineSettings {
        speeds: Speeds {
            step_us: 1_000,
            ..Speeds::default()
        },
        tokens_min: 2_000,
        tokens_max: 2_000,
        ..immediate()
    };
    let fixture = start(settings).await;
    let mut stream = fixture.stream("\"prompt\":\"p\",\"max_tokens\":2000").await;
    assert!(stream.read_more().await.unwrap());
    swap(&fixture, "0.1").await.unwrap();
    while stream.transcript.versions.len() < 2 {
        assert!(stream.read_more().await.unwrap());
    }
    assert_eq!(
        stream.transcript.versions,
        [parse_version("0.0"), parse_version("0.1")]
    );
    assert_eq!(
        versions_in(&stream.transcript.text),
        stream.transcript.versions
    );
}

#[tokio::test]
async fn refuses_an_old_fencing_token_only_if_fencing_is_checked() {
    for (fencing, expected) in [(Fencing::Checked, "0.2"), (Fencing::Ignored, "0.1")] {
        let settings = EngineSettings {
            fencing,
            loaded_max: 3,
            ..immediate()
        };
        let fixture = start(settings).await;
        swap(&fixture, "0.2").await.unwrap();
        let late = swap(&fixture, "0.1").await;
        assert_eq!(late.is_err(), fencing == Fencing::Checked, "{fencing:?}");
        assert_eq!(
            fixture.version().await,
            parse_version(expected),
            "{fencing:?}"
        );
    }
}

#[tokio::test]
async fn errors_when_a_swap_fails() {
    struct Case {
        name: &'static str,
        fault: Fault,
        version: &'static str,
    }
    let cases = [
        Case {
            name: "the switch fails",
            fault: Fault::new(FaultKind::SwapFails),
            version: "0.0",
        },
        Case {
            name: "the answer to the switch is lost",
            fault: Fault::new(FaultKind::AnswerLost).on("/engine/switch"),
            version: "0.1",
        },
        Case {
            name: "the load is refused",
            fault: Fault::new(FaultKind::Outage).on("/engine/load"),
            version: "0.0",
        },
    ];
    for case in cases {
        let fixture = start(immediate()).await;
        fixture.handle.inject_fault(case.fault.times(1));
        assert!(swap(&fixture, "0.1").await.is_err(), "{}", case.name);
        assert_eq!(
            fixture.version().await,
            parse_version(case.version),
            "{}",
            case.name
        );
        assert_eq!(swap(&fixture, "0.1").await, Ok(()), "{}", case.name);
    }
}

#[tokio::test]
async fn errors_when_the_weight_store_limits_its_rate() {
    let store = standins::store::start(StoreSettings::new(loopback()))
        .await
        .unwrap();
    store.inject_fault(Fault::new(FaultKind::StoreRate));
    let settings = EngineSettings {
        store: Some(store.address),
        ..immediate()
    };
    let fixture = start(settings).await;
    let refused = PlatformError::Refused {
        status: 503,
        retry_after_ms: Some(1_000),
    };
    assert_eq!(swap(&fixture, "0.1").await, Err(refused));
    store.clear_faults();
    assert_eq!(swap(&fixture, "0.1").await, Ok(()));
}

/// A prompt crashes the engine when it enters the batch. Guards against requests or state that
/// survive the crash: all connections must close, and the next life must serve the first version.
#[tokio::test]
async fn errors_for_all_callers_when_a_prompt_crashes_the_engine() {
    let settings = EngineSettings {
        speeds: Speeds {
            step_us: 1_000,
            ..Speeds::default()
        },
        tokens_min: 60_000,
        tokens_max: 60_000,
        ..immediate()
    };
    let fixture = start(settings).await;
    swap(&fixture, "0.1").await.unwrap();
    let crash = Fault::new(FaultKind::CrashOn).with_text("boom");
    fixture.handle.inject_fault(crash.times(1));
    let mut other = fixture
        .stream("\"prompt\":\"p\",\"max_tokens\":60000")
        .await;
    assert!(other.read_more().await.unwrap());
    assert!(
        fixture
            .post_completion("\"prompt\":\"a boom\"")
            .await
            .is_err()
    );
    while other.read_more().await == Ok(true) {}
    assert!(other.read_more().await.is_err());
    let state = loop {
        // The engine does not listen until it has restarted.
        match fixture.engine.state().await {
            Ok(state) if state.life == 2 => break state,
            _ => tokio::task::yield_now().await,
        }
    };
    assert_eq!(state.models[0].version, parse_version("0.0"));
}

/// Copies of a prompt that crashes the engine arrive on several connections at once. Guards against
/// a copy that was sent before the crash but runs in the next life, which would crash as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_copies_of_a_crashing_prompt_crash_only_one_life() {
    for _ in 0..40 {
        let settings = EngineSettings {
            restart_ms: 20,
            ..immediate()
        };
        let fixture = start(settings).await;
        fixture
            .handle
            .inject_fault(Fault::new(FaultKind::CrashOn).with_text("boom"));
        let copies = (0..8).map(|_| fixture.post_completion("\"prompt\":\"a boom\""));
        let answers = join_all(copies).await;
        assert!(answers.iter().all(Result::is_err));
        let state = loop {
            // The engine does not listen until it has restarted.
            match fixture.engine.state().await {
                Ok(state) if state.life > 1 => break state,
                _ => tokio::task::yield_now().await,
            }
        };
        assert_eq!(state.life, 2);
    }
}

#[tokio::test]
async fn can_cancel_by_request_id() {
    let settings = EngineSettings {
        speeds: Speeds::default(),
        tokens_min: 60_000,
        tokens_max: 60_000,
        ..immediate()
    };
    let fixture = start(settings).await;
    let fields = "\"prompt\":\"p\",\"max_tokens\":60000,\"request_id\":\"r1\"";
    let stream = fixture.stream(fields).await;
    fixture.engine.cancel("r1").await.unwrap();
    let (_, finish, is_complete) = stream.read_to_end().await;
    assert_eq!(finish, Some(FinishReason::Other));
    assert!(!is_complete);
    assert_eq!(fixture.engine.load_report().await.unwrap().running, 0);
}

#[tokio::test]
async fn a_truncated_stream_ends_without_a_finish_reason() {
    let fixture = start(immediate()).await;
    let truncate = Fault {
        after: 2,
        ..Fault::new(FaultKind::Truncate)
    };
    fixture.handle.inject_fault(truncate.times(1));
    let (transcript, finish, is_complete) =
        fixture.stream("\"prompt\":\"p\"").await.read_to_end().await;
    assert_eq!((transcript.pieces, finish, is_complete), (2, None, false));
}

#[tokio::test]
async fn runs_requests_in_the_order_of_priority() {
    let settings = EngineSettings {
        batch_max: 1,
        speeds: Speeds {
            step_us: 2_000,
            ..Speeds::default()
        },
        tokens_min: 40,
        tokens_max: 40,
        ..immediate()
    };
    let fixture = start(settings).await;
    let mut first = fixture.stream("\"prompt\":\"first\"").await;
    assert!(first.read_more().await.unwrap());
    let low = fixture.stream("\"prompt\":\"low\",\"priority\":5").await;
    let high = fixture.stream("\"prompt\":\"high\",\"priority\":1").await;
    let end_order = std::sync::Mutex::new(Vec::new());
    let record_end = async |name, stream: StreamReader| {
        stream.read_to_end().await;
        end_order.lock().unwrap().push(name);
    };
    tokio::join!(
        record_end("low", low),
        record_end("high", high),
        record_end("first", first)
    );
    assert_eq!(*end_order.lock().unwrap(), ["first", "high", "low"]);
}

#[tokio::test]
async fn reports_stored_and_removed_prefix_blocks() {
    let settings = EngineSettings {
        kv_blocks: 8,
        tokens_min: 8,
        tokens_max: 8,
        ..immediate()
    };
    let fixture = start(settings).await;
    let prompts = ["a".repeat(4 * 64), "b".repeat(4 * 64)];
    for prompt in &prompts {
        fixture
            .stream(&format!("\"prompt\":\"{prompt}\""))
            .await
            .read_to_end()
            .await;
    }
    let events = fixture.engine.cache_events(0).await.unwrap().events;
    let blocks_of = |kind| {
        let events = events.iter().filter(move |event| event.kind == kind);
        events.map(|event| event.block).collect::<Vec<_>>()
    };
    let stored: Vec<u64> = prompts
        .iter()
        .flat_map(|prompt| prefix_blocks(prompt))
        .collect();
    assert_eq!(blocks_of(CacheEventKind::Stored), stored);
    let removed = blocks_of(CacheEventKind::Removed);
    assert!(!removed.is_empty());
    let first = prefix_blocks(&prompts[0]);
    assert!(removed.iter().all(|block| first.contains(block)));
}

#[tokio::test]
async fn refuses_requests_that_it_cannot_run() {
    let settings = EngineSettings {
        kv_blocks: 4,
        ..immediate()
    };
    let fixture = start(settings).await;
    let long = format!("\"prompt\":\"{}\"", "x".repeat(64 * 8));
    let cases = [
        ("two completions", "\"prompt\":\"p\",\"n\":2", 400),
        ("no prompt", "\"max_tokens\":1", 400),
        ("more than its memory", long.as_str(), 400),
    ];
    for (name, fields, status) in cases {
        let response = fixture.post_completion(fields).await.unwrap();
        assert_eq!(response.head.status, status, "{name}");
    }
}
