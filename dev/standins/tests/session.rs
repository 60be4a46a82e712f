//! Tests of training runs against a simulated entry whose fetches fail as scripted.

#![allow(clippy::unwrap_used)] // clippy.toml exempts test functions, but not their helpers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use standins::trainer::{SampleFault, TrainerError, TrainerSettings};
use tokio::net::TcpListener;

/// How the entry answers a fetch.
#[derive(Clone, Copy)]
enum FetchAction {
    /// Answers with the next sample.
    Deliver,
    /// Answers with the sample of the previous fetch.
    Repeat,
    /// Answers with an error of this status.
    Refuse(u16),
    /// Closes the connection without an answer.
    Disconnect,
}

struct Entry {
    script: Mutex<VecDeque<FetchAction>>,
    posts: Mutex<Vec<String>>,
}

/// Starts an entry that answers fetches according to `script`, and delivers samples after its end.
async fn start_entry(script: &[FetchAction]) -> (SocketAddr, Arc<Entry>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let entry = Arc::new(Entry {
        script: Mutex::new(script.iter().copied().collect()),
        posts: Mutex::default(),
    });
    let shared = entry.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let entry = shared.clone();
            let service = service_fn(move |request| answer(entry.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    (address, entry)
}

async fn answer(
    entry: Arc<Entry>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::fmt::Error> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    if path.ends_with("/weights") {
        return Ok(ok("{}".to_owned()));
    }
    if path.ends_with("/steps") {
        let cursor = body["cursor"].as_str().unwrap_or("0").to_owned();
        entry.posts.lock().unwrap().push(cursor.clone());
        return Ok(ok(format!("{{\"cursor\":\"{cursor}\"}}")));
    }
    let cursor: u32 = body["cursor"].as_str().unwrap().parse().unwrap();
    let next = entry.script.lock().unwrap().pop_front();
    match next.unwrap_or(FetchAction::Deliver) {
        FetchAction::Deliver => Ok(ok(fetch_answer(cursor, cursor + 1))),
        FetchAction::Repeat => Ok(ok(fetch_answer(cursor - 1, cursor))),
        FetchAction::Disconnect => Err(std::fmt::Error),
        FetchAction::Refuse(status) => {
            let problem = "{\"cause\":\"some-cause\"}";
            let response = Response::builder().status(status);
            Ok(response.body(Full::from(problem)).unwrap())
        }
    }
}

/// Answer to a fetch with sample `index` of the only group. The step is complete with two samples.
fn fetch_answer(index: u32, received: u32) -> String {
    format!(
        "{{\"samples\":[{{\"group\":0,\"index\":{index},\"text\":\" 00ff@1.0\",\
         \"versions\":[\"1.0\"],\"score\":null,\"staleness\":0}}],\
         \"cursor\":\"{received}\",\"received\":{received},\"total\":2,\"complete\":{}}}",
        received == 2
    )
}

fn ok(body: String) -> Response<Full<Bytes>> {
    Response::new(Full::from(body))
}

fn settings(entries: &[SocketAddr]) -> TrainerSettings {
    TrainerSettings {
        entries: entries.to_vec(),
        service: "redacteurs".to_owned(),
        steps: 1,
        groups: 1,
        samples: 2,
        train_ms: 0,
        version: "1.0".parse().unwrap(),
        ..TrainerSettings::default()
    }
}

#[tokio::test]
async fn completes_a_step_despite_failed_requests() {
    struct Case {
        name: &'static str,
        script: &'static [FetchAction],
        posts: &'static [&'static str],
        faults: usize,
    }
    let cases = [
        Case {
            name: "no failure",
            script: &[],
            posts: &["0"],
            faults: 0,
        },
        Case {
            name: "the answer to the second fetch is lost",
            script: &[FetchAction::Deliver, FetchAction::Disconnect],
            posts: &["0", "1"],
            faults: 0,
        },
        Case {
            name: "the step's coordinator is lost twice",
            script: &[
                FetchAction::Refuse(503),
                FetchAction::Deliver,
                FetchAction::Refuse(404),
            ],
            posts: &["0", "0", "1"],
            faults: 0,
        },
        Case {
            name: "a sample is delivered twice",
            script: &[FetchAction::Deliver, FetchAction::Repeat],
            posts: &["0"],
            faults: 1,
        },
    ];
    for case in cases {
        let (address, entry) = start_entry(case.script).await;
        let report = standins::trainer::run(settings(&[address])).await.unwrap();
        assert_eq!(*entry.posts.lock().unwrap(), case.posts, "{}", case.name);
        assert_eq!(report.faults.len(), case.faults, "{}", case.name);
        let is_duplicate = |fault: &SampleFault| matches!(fault, SampleFault::Doubled { .. });
        assert!(report.faults.iter().all(is_duplicate), "{}", case.name);
    }
}

#[tokio::test]
async fn moves_to_another_entry_when_one_is_unreachable() {
    let unreachable = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unreachable_address = unreachable.local_addr().unwrap();
    drop(unreachable);
    let (address, _entry) = start_entry(&[]).await;
    let report = standins::trainer::run(settings(&[unreachable_address, address])).await;
    let report = report.unwrap();
    assert_eq!((report.steps, report.samples), (1, 2));
    assert!(report.retries > 0);
}

#[tokio::test]
async fn errors_at_once_when_its_token_is_refused() {
    let (address, _entry) = start_entry(&[FetchAction::Refuse(401)]).await;
    let error = standins::trainer::run(settings(&[address])).await;
    assert!(matches!(error, Err(TrainerError::Refused(_, 401, _))));
}
