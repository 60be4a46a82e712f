//! Calls through an agent to a stand-in endpoint, with complete and with interrupted answers.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use std::net::SocketAddr;

use common::{
    CallResult, Caller, OFFICE_CONFIG, Platform, TestAgent, engine_endpoint, get, loopback,
    plain_endpoint,
};
use protocol::Open;
use settings::EndpointKind;
use standins::{Fault, FaultKind, Handle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use types::{Cause, Failure, RunState};

// Guards against a caller of a model who reaches the engine's control interface on the same
// port. Such calls are refused before anything is sent to the engine.
#[tokio::test]
async fn errors_when_a_caller_gives_orders_to_an_engine() {
    let (_platform, _endpoint, agent, caller) = start_site(EndpointKind::Model).await;
    let orders = [
        ("POST", "/engine/switch"),
        ("POST", "/engine/cancel"),
        ("GET", "/v1/completions"),
        ("POST", "/v1/../engine/load"),
        ("POST", "/v1/completions/../../engine/load"),
    ];
    for (method, path) in orders {
        let open = caller.open("redacteurs", method, path, "{}");
        let CallResult::Failed(failure) = caller.call(&agent, open).await else {
            panic!("{path} was not refused");
        };
        assert_eq!(
            (failure.run, failure.cause),
            (RunState::NotRun, Cause::Forbidden),
            "{path}"
        );
    }
}

// Guards against a call that waits for its whole deadline on an idle connection that no longer
// carries data, because something between agent and endpoint has dropped its state, while new
// connections work.
#[tokio::test]
async fn can_answer_a_call_when_idle_connections_are_silent() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = endpoint_with_one_answer_per_connection().await;
    let agent = TestAgent::start(&platform, endpoint, EndpointKind::Plain).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    for _ in 0..2 {
        let open = Open {
            deadline_left_ms: 2_000,
            ..caller.open("guichet", "GET", "/applicants/7", "")
        };
        let ended = caller.call(&agent, open).await;
        assert!(matches!(ended, CallResult::Complete(200, _)), "{ended:?}");
    }
}

/// Starts an endpoint that answers only the first request of each connection.
async fn endpoint_with_one_answer_per_connection() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut kept = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            let read = stream.read(&mut request).await;
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            if read.is_ok() && stream.write_all(answer).await.is_ok() {
                kept.push(stream);
            }
        }
    });
    address
}

async fn start_site(kind: EndpointKind) -> (Platform, Handle, TestAgent, Caller) {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = match kind {
        EndpointKind::Model => engine_endpoint(0).await,
        EndpointKind::Plain => plain_endpoint(0).await,
    };
    let agent = TestAgent::start(&platform, endpoint.address, kind).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    (platform, endpoint, agent, caller)
}

#[tokio::test]
async fn can_relay_a_plain_call_with_its_status_and_body() {
    let (_platform, endpoint, agent, caller) = start_site(EndpointKind::Plain).await;
    let open = caller.open("guichet", "POST", "/sanctions", r#"{"applicant":"7"}"#);
    let CallResult::Complete(status, body) = caller.call(&agent, open).await else {
        panic!("the call has no complete answer");
    };
    assert_eq!(status, 200);
    assert!(body.contains(r#""run":1"#), "{body}");
    let runs = get(endpoint.address, "/standin/runs").await;
    assert_eq!(runs, (200, r#"{"tag":1}"#.to_owned()));
    // The answer to HEAD has no body and is complete whatever length its head states.
    let head_only = caller
        .call(&agent, caller.open("guichet", "HEAD", "/applicants/7", ""))
        .await;
    assert_eq!(head_only, CallResult::Complete(200, String::new()));
}

#[tokio::test]
async fn can_relay_complete_completions() {
    let (_platform, _endpoint, agent, caller) = start_site(EndpointKind::Model).await;
    let unary = caller.call(&agent, caller.completion("café", false)).await;
    assert!(
        matches!(&unary, CallResult::Complete(200, body) if body.contains(r#""weight_versions":["0.0"]"#)),
        "{unary:?}"
    );
    let stream = caller.call(&agent, caller.completion("café", true)).await;
    assert!(
        matches!(&stream, CallResult::Complete(200, body) if body.trim_end().ends_with("data: [DONE]")),
        "{stream:?}"
    );
}

struct RefusedCase {
    name: &'static str,
    change: fn(&mut Open),
    cause: Cause,
}

#[tokio::test]
async fn errors_when_the_call_may_not_reach_the_endpoint() {
    let cases = [
        RefusedCase {
            name: "a service of another pool",
            change: |open| open.service = "redacteurs".parse().unwrap(),
            cause: Cause::NotHosted,
        },
        RefusedCase {
            name: "another owner's service of that name",
            change: |open| open.owner = "collective".parse().unwrap(),
            cause: Cause::NotHosted,
        },
        RefusedCase {
            name: "a path to the configuration of all customers",
            change: |open| {
                open.service = "config-text".parse().unwrap();
                open.path = "/config/office".to_owned();
            },
            cause: Cause::NotHosted,
        },
        RefusedCase {
            name: "no time left",
            change: |open| open.deadline_left_ms = 0,
            cause: Cause::DeadlinePassed,
        },
        RefusedCase {
            name: "a malformed path",
            change: |open| open.path = "no slash".to_owned(),
            cause: Cause::Malformed,
        },
    ];
    let (_platform, endpoint, agent, caller) = start_site(EndpointKind::Plain).await;
    for case in cases {
        let mut open = caller.open("guichet", "POST", "/sanctions", "{}");
        (case.change)(&mut open);
        let ended = caller.call(&agent, open).await;
        let CallResult::Failed(failure) = ended else {
            panic!("{}: {ended:?}", case.name);
        };
        assert_eq!(
            (failure.run, failure.cause),
            (RunState::NotRun, case.cause),
            "{}",
            case.name
        );
    }
    let runs = get(endpoint.address, "/standin/runs").await;
    assert_eq!(runs, (200, "{}".to_owned()));
}

struct InterruptedCase {
    name: &'static str,
    fault: Fault,
    stream: bool,
    failure: Failure,
}

// Guards against an incomplete answer that passes for a complete one, because the HTTP body ended
// properly, and against a failure that claims too much: it is "failed" once the engine has begun
// its answer, and "unknown" if the engine has only received the request.
#[tokio::test]
async fn errors_when_the_engine_ends_an_answer_early() {
    let cases = [
        InterruptedCase {
            name: "a stream that ends properly but early",
            fault: Fault {
                after: 3,
                ..Fault::new(FaultKind::Truncate)
            },
            stream: true,
            failure: Failure::new(RunState::Failed, Cause::Truncated),
        },
        InterruptedCase {
            name: "a stream whose connection closes",
            fault: Fault {
                after: 3,
                ..Fault::new(FaultKind::Cut)
            },
            stream: true,
            failure: Failure::new(RunState::Failed, Cause::EndpointLost),
        },
        InterruptedCase {
            name: "a document that ends before its stated length",
            fault: Fault::new(FaultKind::Truncate),
            stream: false,
            failure: Failure::new(RunState::Failed, Cause::EndpointLost),
        },
        InterruptedCase {
            name: "a connection that closes before the answer",
            fault: Fault::new(FaultKind::AnswerLost).on("/v1/"),
            stream: false,
            failure: Failure::new(RunState::Unknown, Cause::EndpointLost),
        },
        InterruptedCase {
            name: "an engine that crashes on the prompt",
            fault: Fault::new(FaultKind::CrashOn).with_text("poison"),
            stream: false,
            failure: Failure::new(RunState::Unknown, Cause::EndpointLost),
        },
    ];
    let (_platform, endpoint, agent, caller) = start_site(EndpointKind::Model).await;
    for case in cases {
        endpoint.inject_fault(case.fault);
        let open = caller.completion("poison", case.stream);
        let ended = caller.call(&agent, open).await;
        assert_eq!(ended, CallResult::Failed(case.failure), "{}", case.name);
        endpoint.clear_faults();
        caller.wait_until_hosted(&agent).await;
    }
}

// Guards against "unknown" where "not run" is certain: the endpoint has gone before the call
// arrives, so nothing was written, whether the agent has noticed that before or finds out while
// it connects.
#[tokio::test]
async fn errors_as_not_run_when_the_endpoint_is_gone() {
    let (_platform, endpoint, agent, caller) = start_site(EndpointKind::Plain).await;
    drop(endpoint);
    for _ in 0..2 {
        let open = caller.open("guichet", "POST", "/sanctions", "{}");
        let CallResult::Failed(failure) = caller.call(&agent, open).await else {
            panic!("a crashed endpoint answered");
        };
        assert_eq!(
            (failure.run, failure.cause),
            (RunState::NotRun, Cause::EndpointLost)
        );
        caller
            .wait_for_status(&agent, |status| status.hosted.is_empty())
            .await;
    }
}

// Guards against an engine that generates tokens for nobody: when the caller abandons a stream,
// the agent cancels the call at the engine.
#[tokio::test]
async fn can_cancel_at_the_engine() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = engine_endpoint(1_000).await;
    let agent = TestAgent::start(&platform, endpoint.address, EndpointKind::Model).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    let mut call = caller
        .links
        .call(agent.address, caller.completion("long", true));
    common::wait_for_event(&mut call, |event| {
        matches!(event, link::CallEvent::Chunk(_))
    })
    .await;
    drop(call);
    caller
        .wait_for_status(&agent, |status| status.load.running == 0)
        .await;
    loop {
        let (_, report) = get(endpoint.address, "/engine/load").await;
        if report.contains(r#""running":0"#) {
            break;
        }
    }
}
