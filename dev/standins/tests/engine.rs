//! The model engine's promises and faults.

#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

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

fn anywhere() -> SocketAddr {
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
        ..EngineSettings::new(anywhere(), "m")
    }
}

struct Bench {
    handle: Handle,
    engine: Engine,
    endpoint: Endpoint,
}

async fn bench(settings: EngineSettings) -> Bench {
    let handle = standins::engine::start(settings).await.unwrap();
    let settings = ClientSettings {
        deadline_ms: DEADLINE_MS,
        ..ClientSettings::default()
    };
    Bench {
        engine: Engine::new(handle.address, &settings),
        endpoint: Endpoint::new(handle.address, EndpointSettings::default()),
        handle,
    }
}

impl Bench {
    async fn ask(&self, fields: &str) -> Result<Response, PlatformError> {
        let request = Request {
            body: format!("{{\"model\":\"m\",{fields}}}").into(),
            ..Request::new("POST", "/v1/completions")
        };
        self.endpoint.send(request, DEADLINE_MS).await
    }

    async fn stream(&self, fields: &str) -> Streamed {
        let response = self.ask(&format!("\"stream\":true,{fields}")).await;
        Streamed::new(response.unwrap())
    }

    async fn version(&self) -> WeightVersion {
        self.engine.state().await.unwrap().models[0].version
    }
}

/// A stream that is being read.
struct Streamed {
    response: Response,
    parser: Parser,
    transcript: Transcript,
}

impl Streamed {
    fn new(response: Response) -> Streamed {
        Streamed {
            response,
            parser: Parser::new(BYTES_MAX),
            transcript: Transcript::default(),
        }
    }

    async fn more(&mut self) -> Result<bool, PlatformError> {
        let Some(bytes) = self.response.body.next().await? else {
            return Ok(false);
        };
        let add = |piece| self.transcript.add(&piece, BYTES_MAX);
        self.parser.push(&bytes, add).unwrap();
        Ok(true)
    }

    async fn rest(mut self) -> (Transcript, Option<FinishReason>, bool) {
        while self.more().await.unwrap() {}
        let whole = self.parser.is_complete();
        (self.transcript, self.parser.finish(), whole)
    }
}

fn v(text: &str) -> WeightVersion {
    text.parse().unwrap()
}

async fn swap(bench: &Bench, version: &str) -> Result<(), PlatformError> {
    let fence = v(version).fencing_number();
    bench
        .engine
        .load("m", v(version), fence, DEADLINE_MS)
        .await?;
    bench
        .engine
        .switch("m", v(version), fence, DEADLINE_MS)
        .await
}

#[tokio::test]
async fn can_resume_to_the_same_completion() {
    let bench = bench(immediate()).await;
    let (all, finish, whole) = bench
        .stream("\"prompt\":\"p\",\"seed\":4")
        .await
        .rest()
        .await;
    assert!(whole);
    assert_eq!(finish, Some(FinishReason::Stop));
    let ids = serde_json::to_string(&all.token_ids[..5]).unwrap();
    let fields = format!("\"prompt\":\"p\",\"seed\":4,\"resume_tokens\":{ids}");
    let (rest, _, whole) = bench.stream(&fields).await.rest().await;
    assert!(whole);
    assert_eq!(rest.token_ids, all.token_ids[5..]);
    assert!(all.text.ends_with(&rest.text));
}

#[tokio::test]
async fn stamps_each_token_with_the_version_that_made_it() {
    let settings = EngineSettings {
        speeds: Speeds {
            step_us: 1_000,
            ..Speeds::default()
        },
        tokens_min: 2_000,
        tokens_max: 2_000,
        ..immediate()
    };
    let bench = bench(settings).await;
    let mut stream = bench.stream("\"prompt\":\"p\",\"max_tokens\":2000").await;
    assert!(stream.more().await.unwrap());
    swap(&bench, "0.1").await.unwrap();
    while stream.transcript.versions.len() < 2 {
        assert!(stream.more().await.unwrap());
    }
    assert_eq!(stream.transcript.versions, [v("0.0"), v("0.1")]);
    assert_eq!(
        versions_in(&stream.transcript.text),
        stream.transcript.versions
    );
}

#[tokio::test]
async fn refuses_an_old_fencing_number_only_when_it_checks() {
    for (fencing, expected) in [(Fencing::Checked, "0.2"), (Fencing::Ignored, "0.1")] {
        let settings = EngineSettings {
            fencing,
            loaded_max: 3,
            ..immediate()
        };
        let bench = bench(settings).await;
        swap(&bench, "0.2").await.unwrap();
        let late = swap(&bench, "0.1").await;
        assert_eq!(late.is_err(), fencing == Fencing::Checked, "{fencing:?}");
        assert_eq!(bench.version().await, v(expected), "{fencing:?}");
    }
}

#[tokio::test]
async fn errors_when_a_swap_goes_wrong() {
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
        let bench = bench(immediate()).await;
        bench.handle.inject_fault(case.fault.times(1));
        assert!(swap(&bench, "0.1").await.is_err(), "{}", case.name);
        assert_eq!(bench.version().await, v(case.version), "{}", case.name);
        assert_eq!(swap(&bench, "0.1").await, Ok(()), "{}", case.name);
    }
}

#[tokio::test]
async fn errors_when_the_weight_store_is_over_its_rate() {
    let store = standins::store::start(StoreSettings::new(anywhere()))
        .await
        .unwrap();
    store.inject_fault(Fault::new(FaultKind::StoreRate));
    let settings = EngineSettings {
        store: Some(store.address),
        ..immediate()
    };
    let bench = bench(settings).await;
    let refused = PlatformError::Refused {
        status: 503,
        retry_after_ms: Some(1_000),
    };
    assert_eq!(swap(&bench, "0.1").await, Err(refused));
    store.clear_faults();
    assert_eq!(swap(&bench, "0.1").await, Ok(()));
}

/// Every caller of the engine sees its connection closed, and the engine is back with
/// its first version. One prompt crashes it as it begins to run; all that the engine
/// knew is lost, so a reader of its state sees the next life.
#[tokio::test]
async fn errors_for_everybody_when_a_prompt_crashes_the_engine() {
    let settings = EngineSettings {
        speeds: Speeds {
            step_us: 1_000,
            ..Speeds::default()
        },
        tokens_min: 60_000,
        tokens_max: 60_000,
        ..immediate()
    };
    let bench = bench(settings).await;
    swap(&bench, "0.1").await.unwrap();
    let crash = Fault::new(FaultKind::CrashOn).with_text("boom");
    bench.handle.inject_fault(crash.times(1));
    let mut other = bench.stream("\"prompt\":\"p\",\"max_tokens\":60000").await;
    assert!(other.more().await.unwrap());
    assert!(bench.ask("\"prompt\":\"a boom\"").await.is_err());
    while other.more().await == Ok(true) {}
    assert!(other.more().await.is_err());
    let state = loop {
        // Nobody listens for a moment.
        match bench.engine.state().await {
            Ok(state) if state.life == 2 => break state,
            _ => tokio::task::yield_now().await,
        }
    };
    assert_eq!(state.models[0].version, v("0.0"));
}

/// Copies of a prompt that crashes the engine come on many connections at once. All that came
/// before the crash end with it, on whichever connection: none is run by the next life and
/// crashes that as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn loses_one_life_to_the_copies_that_came_before_a_crash() {
    for _ in 0..40 {
        let settings = EngineSettings {
            restart_ms: 20,
            ..immediate()
        };
        let bench = bench(settings).await;
        bench
            .handle
            .inject_fault(Fault::new(FaultKind::CrashOn).with_text("boom"));
        let copies = (0..8).map(|_| bench.ask("\"prompt\":\"a boom\""));
        let answers = join_all(copies).await;
        assert!(answers.iter().all(Result::is_err));
        let state = loop {
            // Nobody listens until the next life.
            match bench.engine.state().await {
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
    let bench = bench(settings).await;
    let fields = "\"prompt\":\"p\",\"max_tokens\":60000,\"request_id\":\"r1\"";
    let stream = bench.stream(fields).await;
    bench.engine.cancel("r1").await.unwrap();
    let (_, finish, whole) = stream.rest().await;
    assert_eq!(finish, Some(FinishReason::Other));
    assert!(!whole);
    assert_eq!(bench.engine.load_report().await.unwrap().running, 0);
}

#[tokio::test]
async fn ends_a_truncated_stream_as_if_it_were_over() {
    let bench = bench(immediate()).await;
    let truncate = Fault {
        after: 2,
        ..Fault::new(FaultKind::Truncate)
    };
    bench.handle.inject_fault(truncate.times(1));
    let (transcript, finish, whole) = bench.stream("\"prompt\":\"p\"").await.rest().await;
    assert_eq!((transcript.pieces, finish, whole), (2, None, false));
}

#[tokio::test]
async fn runs_the_first_priority_first() {
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
    let bench = bench(settings).await;
    let mut first = bench.stream("\"prompt\":\"first\"").await;
    assert!(first.more().await.unwrap());
    let low = bench.stream("\"prompt\":\"low\",\"priority\":5").await;
    let high = bench.stream("\"prompt\":\"high\",\"priority\":1").await;
    let ended = std::sync::Mutex::new(Vec::new());
    let note = async |name, stream: Streamed| {
        stream.rest().await;
        ended.lock().unwrap().push(name);
    };
    tokio::join!(note("low", low), note("high", high), note("first", first));
    assert_eq!(*ended.lock().unwrap(), ["first", "high", "low"]);
}

#[tokio::test]
async fn tells_of_prefix_blocks_stored_and_removed() {
    let settings = EngineSettings {
        kv_blocks: 8,
        tokens_min: 8,
        tokens_max: 8,
        ..immediate()
    };
    let bench = bench(settings).await;
    let prompts = ["a".repeat(4 * 64), "b".repeat(4 * 64)];
    for prompt in &prompts {
        bench
            .stream(&format!("\"prompt\":\"{prompt}\""))
            .await
            .rest()
            .await;
    }
    let events = bench.engine.cache_events(0).await.unwrap().events;
    let of = |kind| {
        let events = events.iter().filter(move |event| event.kind == kind);
        events.map(|event| event.block).collect::<Vec<_>>()
    };
    let stored: Vec<u64> = prompts
        .iter()
        .flat_map(|prompt| prefix_blocks(prompt))
        .collect();
    assert_eq!(of(CacheEventKind::Stored), stored);
    let removed = of(CacheEventKind::Removed);
    assert!(!removed.is_empty());
    let first = prefix_blocks(&prompts[0]);
    assert!(removed.iter().all(|block| first.contains(block)));
}

#[tokio::test]
async fn refuses_what_it_cannot_run() {
    let settings = EngineSettings {
        kv_blocks: 4,
        ..immediate()
    };
    let bench = bench(settings).await;
    let long = format!("\"prompt\":\"{}\"", "x".repeat(64 * 8));
    let cases = [
        ("two completions", "\"prompt\":\"p\",\"n\":2", 400),
        ("no prompt", "\"max_tokens\":1", 400),
        ("more than its memory", long.as_str(), 400),
    ];
    for (name, fields, status) in cases {
        let response = bench.ask(fields).await.unwrap();
        assert_eq!(response.head.status, status, "{name}");
    }
}
