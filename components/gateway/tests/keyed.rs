//! Requests with an idempotency key, sent through complete entries.

mod common;

use common::{Site, SiteSettings, TestRequest, completion};
use standins::{Fault, FaultKind};
use tokio::sync::mpsc;

const CONSULT: &str = "/v1/services/guichet/applicants/17";
const SANCTION: &str = "/v1/services/guichet/sanctions";
const COMPLETIONS: &str = "/v1/completions";
const TAG: &str = "x-request-tag";
const KEY: &str = "idempotency-key";

// The log accepts the claim's append but does not respond. The caller must be answered within its
// deadline; if the entry first waited for the log to confirm that the claim is released, the answer
// would be delayed without limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn errors_before_the_deadline_when_the_log_is_unresponsive() {
    let site = Site::start(SiteSettings::default()).await;
    site.log
        .inject_fault(Fault::new(FaultKind::Silent).on("/streams/claims"));
    let check = TestRequest::post(SANCTION, "{}")
        .with_header(KEY, "file-3")
        .with_header(TAG, "silent")
        .with_header("x-hornbeamrock-deadline-ms", "1000");
    let answer = site.send(0, &check).await;
    let (status, outcome, cause) = answer.problem();
    assert_eq!(
        (status, outcome.as_str(), cause.as_str()),
        (503, "not-run", "claim-unavailable")
    );
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(site.run_count("silent").await, 0);
}

// A caller whose first answer was lost repeats the request at once through the other entry. The end
// must be in the log a few milliseconds after the answer. If it waited for the shard's next regular
// append, the repeat would be told that the call may have run and to retry after a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_replay_the_answer_to_a_repeat_right_after_the_first_answer() {
    let site = Site::start(SiteSettings::default()).await;
    for bid in 0..20 {
        let request = TestRequest::post(SANCTION, "{}")
            .with_header(KEY, format!("bid-{bid}"))
            .with_header(TAG, "bids");
        let first = site.send(bid % 2, &request).await;
        assert_eq!(first.status, 200, "{bid}: {}", first.text());
        let again = site.send((bid + 1) % 2, &request).await;
        assert_eq!(again.status, 200, "{bid}: {}", again.text());
        assert_eq!(again.body, first.body);
    }
    assert_eq!(site.run_count("bids").await, 20);
}

// A completion marked as not idempotent is repeated through the other entry. The repeat must get
// the first answer, with a single run at one engine. Streaming is refused before anything runs,
// because a stream cannot be recorded and replayed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_run_a_keyed_completion_once() {
    let site = Site::start(SiteSettings {
        engines: 2,
        services: 0,
        ..SiteSettings::default()
    })
    .await;
    let once = |stream| {
        TestRequest::post(COMPLETIONS, completion("one opinion", 8, stream))
            .with_header(KEY, "opinion-1")
            .with_header("x-hornbeamrock-idempotent", "false")
    };
    let first = site.send(0, &once(false)).await;
    assert_eq!(first.status, 200, "{}", first.text());
    let again = site.send(1, &once(false)).await;
    assert_eq!(again.status, 200, "{}", again.text());
    assert_eq!(again.header("idempotency-replayed"), "true");
    assert_eq!(again.json()["id"], first.json()["id"]);
    let (status, outcome, cause) = site.send(0, &once(true)).await.problem();
    assert_eq!(
        (status, outcome.as_str(), cause.as_str()),
        (400, "not-run", "malformed")
    );
    let free = TestRequest::post(COMPLETIONS, completion("one opinion", 8, true))
        .with_header(KEY, "opinion-2");
    assert!(site.send(0, &free).await.is_complete);
}

// Many keyed calls wait for seconds for their claims while the log is unresponsive. If they took
// capacity of the service while they wait, they would block calls without a key, which do not need
// the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_serve_unkeyed_calls_while_keyed_calls_wait_for_an_unresponsive_log() {
    const CHECKS: usize = 300;
    let site = Site::start(SiteSettings {
        services: 1,
        entries: 1,
        ..SiteSettings::default()
    })
    .await;
    site.log
        .inject_fault(Fault::new(FaultKind::Silent).on("/streams/claims"));
    let address = site.entries[0].address;
    let (ended, mut ends) = mpsc::unbounded_channel();
    for check in 0..CHECKS {
        let ended = ended.clone();
        let request = TestRequest::post(SANCTION, "{}").with_header(KEY, format!("check-{check}"));
        tokio::spawn(async move { ended.send(request.send(address).await.problem()) });
    }
    // More calls wait than the limit allows, so the first one that ends is refused.
    let (_, outcome, cause) = ends.recv().await.unwrap();
    assert_eq!(
        (outcome.as_str(), cause.as_str()),
        ("not-run", "queue-full")
    );
    for _ in 0..20 {
        let consulted = site.send(0, &TestRequest::get(CONSULT)).await;
        assert_eq!(consulted.status, 200, "{}", consulted.text());
    }
    for _ in 1..CHECKS {
        let (_, outcome, cause) = ends.recv().await.unwrap();
        assert_eq!(outcome, "not-run", "{cause}");
    }
}
