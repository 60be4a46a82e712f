//! A prompt that crashes each engine that runs it, submitted several times at once.

mod crashing;

use crashing::{
    CRASHES_MAX, crash_count, expect_all_complete, send_bystander_requests, start_site,
};
use futures_util::future::join_all;
use proof::{Ending, RequestKind, TestRequest};

// Guards against more crashes when a caller submits the prompt six times at once: each copy reaches
// its own engine before any entry knows of a crash. The bound must be the same as for repeats.
#[tokio::test(flavor = "multi_thread")]
async fn can_bound_the_crashes_by_concurrent_submissions_of_a_prompt() {
    let site = start_site().await;
    let crashing_request = TestRequest::new(RequestKind::Opinion, "POISON");
    let pending = (0..6).map(|submission| site.send(submission % 2, &crashing_request, ""));
    let pending: Vec<_> = pending.collect();
    for answer in join_all(pending.into_iter().map(proof::Pending::answer)).await {
        assert_ne!(answer.unwrap().ending, Ending::Lost, "no final answer");
    }
    let crashes = crash_count(&site).await;
    println!("engine crashes by one call submitted six times at once: {crashes}");
    assert!((1..=CRASHES_MAX).contains(&crashes), "{crashes}");
    expect_all_complete(send_bystander_requests(&site).await).await;
}
