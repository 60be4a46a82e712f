//! Calls through an agent to a stand-in of its endpoint, whole and broken.
#![allow(clippy::unwrap_used)] // The exemption of clippy.toml ends at helpers of tests.

mod common;

use std::net::SocketAddr;

use common::{
    Caller, Ended, OFFICE_CONFIG, Platform, TestAgent, engine_endpoint, get, loopback,
    plain_endpoint,
};
use protocol::Open;
use settings::EndpointKind;
use standins::{Fault, FaultKind, Handle};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use types::{Cause, Failure, RunState};

// A caller who may use a model tries the engine's orders, which lie on the same port. He
// is refused before anything leaves, and the engine's weights stay.
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
        let Ended::Failed(failure) = caller.call(&agent, open).await else {
            panic!("{path} went through");
        };
        assert_eq!(
            (failure.run, failure.cause),
            (RunState::NotRun, Cause::Forbidden),
            "{path}"
        );
    }
}

// Something between agent and endpoint has lost track of connections that were idle: they
// carry nothing any more, and new ones work. The second consultation is answered all the
// same; on the first one's connection its caller would wait for the whole deadline.
#[tokio::test]
async fn can_answer_a_call_when_idle_connections_are_silent() {
    let platform = Platform::start(&[]).await;
    platform.publish(OFFICE_CONFIG).await;
    let endpoint = silent_after_one_answer().await;
    let agent = TestAgent::start(&platform, endpoint, EndpointKind::Plain).await;
    let caller = Caller::start().await;
    caller.wait_until_hosted(&agent).await;
    for _ in 0..2 {
        let open = Open {
            deadline_left_ms: 2_000,
            ..caller.open("guichet", "GET", "/applicants/7", "")
        };
        let ended = caller.call(&agent, open).await;
        assert!(matches!(ended, Ended::Whole(200, _)), "{ended:?}");
    }
}

/// An endpoint that answers the first request of each connection and no later one.
async fn silent_after_one_answer() -> SocketAddr {
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
async fn can_pass_a_plain_call_with_its_status_and_body() {
    let (_platform, endpoint, agent, caller) = start_site(EndpointKind::Plain).await;
    let open = caller.open("guichet", "POST", "/sanctions", r#"{"applicant":"7"}"#);
    let Ended::Whole(status, body) = caller.call(&agent, open).await else {
        panic!("the call has no whole answer");
    };
    assert_eq!(status, 200);
    assert!(body.contains(r#""run":1"#), "{body}");
    let runs = get(endpoint.address, "/standin/runs").await;
    assert_eq!(runs, (200, r#"{"tag":1}"#.to_owned()));
    // An answer without a body is whole, whatever length it states.
    let head_only = caller
        .call(&agent, caller.open("guichet", "HEAD", "/applicants/7", ""))
        .await;
    assert_eq!(head_only, Ended::Whole(200, String::new()));
}

#[tokio::test]
async fn can_pass_completions_whole() {
    let (_platform, _endpoint, agent, caller) = start_site(EndpointKind::Model).await;
    let unary = caller.call(&agent, caller.completion("café", false)).await;
    assert!(
        matches!(&unary, Ended::Whole(200, body) if body.contains(r#""weight_versions":["0.0"]"#)),
        "{unary:?}"
    );
    let stream = caller.call(&agent, caller.completion("café", true)).await;
    assert!(
        matches!(&stream, Ended::Whole(200, body) if body.trim_end().ends_with("data: [DONE]")),
        "{stream:?}"
    );
}

struct Refused {
    name: &'static str,
    change: fn(&mut Open),
    cause: Cause,
}

#[tokio::test]
async fn errors_when_the_call_may_not_reach_the_endpoint() {
    let cases = [
        Refused {
            name: "a service of another pool",
            change: |open| open.service = "redacteurs".parse().unwrap(),
            cause: Cause::NotHosted,
        },
        Refused {
            name: "another owner's service of that name",
            change: |open| open.owner = "collective".parse().unwrap(),
            cause: Cause::NotHosted,
        },
        Refused {
            name: "a path to the texts of all customers",
            change: |open| {
                open.service = "config-text".parse().unwrap();
                open.path = "/config/office".to_owned();
            },
            cause: Cause::NotHosted,
        },
        Refused {
            name: "no time left",
            change: |open| open.deadline_left_ms = 0,
            cause: Cause::DeadlinePassed,
        },
        Refused {
            name: "a path that is none",
            change: |open| open.path = "no slash".to_owned(),
            cause: Cause::Malformed,
        },
    ];
    let (_platform, endpoint, agent, caller) = start_site(EndpointKind::Plain).await;
    for case in cases {
        let mut open = caller.open("guichet", "POST", "/sanctions", "{}");
        (case.change)(&mut open);
        let ended = caller.call(&agent, open).await;
        let Ended::Failed(failure) = ended else {
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

struct Broken {
    name: &'static str,
    fault: Fault,
    stream: bool,
    failure: Failure,
}

// The caller sees a failure that says what is known: "failed" once the engine has begun
// its answer, "unknown" while it has only taken the request. What happens: the engine
// cuts, ends early or dies during a completion. A proper end of the HTTP body must not
// pass for a whole answer.
#[tokio::test]
async fn errors_when_the_engine_breaks_off() {
    let cases = [
        Broken {
            name: "a stream that ends as if it were over",
            fault: Fault {
                after: 3,
                ..Fault::new(FaultKind::Truncate)
            },
            stream: true,
            failure: Failure::new(RunState::Failed, Cause::Truncated),
        },
        Broken {
            name: "a stream that is cut",
            fault: Fault {
                after: 3,
                ..Fault::new(FaultKind::Cut)
            },
            stream: true,
            failure: Failure::new(RunState::Failed, Cause::EndpointLost),
        },
        Broken {
            name: "a document that ends before its stated length",
            fault: Fault::new(FaultKind::Truncate),
            stream: false,
            failure: Failure::new(RunState::Failed, Cause::EndpointLost),
        },
        Broken {
            name: "an answer that is lost",
            fault: Fault::new(FaultKind::AnswerLost).on("/v1/"),
            stream: false,
            failure: Failure::new(RunState::Unknown, Cause::EndpointLost),
        },
        Broken {
            name: "an engine that dies of the prompt",
            fault: Fault::new(FaultKind::CrashOn).with_text("poison"),
            stream: false,
            failure: Failure::new(RunState::Unknown, Cause::EndpointLost),
        },
    ];
    let (_platform, endpoint, agent, caller) = start_site(EndpointKind::Model).await;
    for case in cases {
        endpoint.fault(case.fault);
        let open = caller.completion("poison", case.stream);
        let ended = caller.call(&agent, open).await;
        assert_eq!(ended, Ended::Failed(case.failure), "{}", case.name);
        endpoint.clear_faults();
        caller.wait_until_hosted(&agent).await;
    }
}

// The caller sees "not run" and may go elsewhere. What happens: the endpoint is gone
// before the call comes, and whether the agent has noticed or only finds out while
// connecting, nothing was written.
#[tokio::test]
async fn errors_as_not_run_when_the_endpoint_is_gone() {
    let (_platform, endpoint, agent, caller) = start_site(EndpointKind::Plain).await;
    drop(endpoint);
    for _ in 0..2 {
        let open = caller.open("guichet", "POST", "/sanctions", "{}");
        let Ended::Failed(failure) = caller.call(&agent, open).await else {
            panic!("a dead endpoint answered");
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

// The caller goes away in the middle of a stream. The agent cancels at the engine, so
// that no tokens are made for nobody.
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
