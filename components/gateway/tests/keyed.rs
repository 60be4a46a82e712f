//! Requests with an idempotency key, through whole entries.

mod common;

use common::{Site, SiteSettings, TestRequest, completion};
use standins::{Fault, FaultKind};
use tokio::sync::mpsc;

const CONSULT: &str = "/v1/services/guichet/applicants/17";
const SANCTION: &str = "/v1/services/guichet/sanctions";
const COMPLETIONS: &str = "/v1/completions";
const TAG: &str = "x-request-tag";
const KEY: &str = "idempotency-key";

// The caller of a keyed check sees "not run, come back", in the time of its request. The
// log takes the claim's append and says nothing, so the claim is given up; taking it back
// needs the silent log as well, and would hold up the answer for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn errors_in_time_when_the_log_says_nothing() {
    let site = Site::start(SiteSettings::default()).await;
    site.log
        .fault(Fault::new(FaultKind::Silent).on("/streams/claims"));
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

// A bidder whose first answer was lost sends its bid again at once, through the other
// entry. It gets the recorded answer and not "may have run, come back in a second": the
// record of the end is in the log a few milliseconds after the answer, not with the
// shard's next append in a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_answer_a_repeat_that_comes_right_after_the_answer() {
    let site = Site::start(SiteSettings::default()).await;
    for bid in 0..20 {
        let ask = TestRequest::post(SANCTION, "{}")
            .with_header(KEY, format!("bid-{bid}"))
            .with_header(TAG, "bids");
        let first = site.send(bid % 2, &ask).await;
        assert_eq!(first.status, 200, "{bid}: {}", first.text());
        let again = site.send((bid + 1) % 2, &ask).await;
        assert_eq!(again.status, 200, "{bid}: {}", again.text());
        assert_eq!(again.body, first.body);
    }
    assert_eq!(site.run_count("bids").await, 20);
}

// The caller marks a completion as one that runs once and sends it again through the other
// entry: it gets the first answer, and one engine ran it once. A streamed one is refused
// before anything runs, since a stream can't be recorded and given again.
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

// A clerk consults while the log says nothing and the Office's portal sends one keyed check
// after the other. Those wait for seconds for a claim; in the places of the service they
// would keep out every consultation, which needs no log at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_consult_while_keyed_checks_wait_for_a_silent_log() {
    const CHECKS: usize = 300;
    let site = Site::start(SiteSettings {
        services: 1,
        entries: 1,
        ..SiteSettings::default()
    })
    .await;
    site.log
        .fault(Fault::new(FaultKind::Silent).on("/streams/claims"));
    let address = site.entries[0].address;
    let (ended, mut ends) = mpsc::unbounded_channel();
    for check in 0..CHECKS {
        let ended = ended.clone();
        let ask = TestRequest::post(SANCTION, "{}").with_header(KEY, format!("check-{check}"));
        tokio::spawn(async move { ended.send(ask.send(address).await.problem()) });
    }
    // More wait than may: the first end says that there is no room.
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
