//! A prompt that crashes every engine that runs it, submitted several times at once.

mod crashing;

use crashing::{
    CRASHES_MAX, crash_count, expect_all_complete, send_bystander_requests, start_site,
};
use futures_util::future::join_all;
use proof::{Ending, RequestKind, TestRequest};

// A caller submits a prompt that crashes engines six times at once through both entries.
// Each copy is with its own engine before the first crash is known, so neither entry has
// heard of the other's. The engines lost must stay within the bound of the repeats.
#[tokio::test(flavor = "multi_thread")]
async fn can_bound_the_engines_lost_to_submissions_at_once() {
    let site = start_site().await;
    let poison = TestRequest::new(RequestKind::Opinion, "POISON");
    let pending = (0..6).map(|submission| site.send(submission % 2, &poison, ""));
    let pending: Vec<_> = pending.collect();
    for answer in join_all(pending.into_iter().map(proof::Pending::answer)).await {
        assert_ne!(answer.unwrap().ending, Ending::Lost, "no final answer");
    }
    let crashes = crash_count(&site).await;
    println!("engines lost to one call submitted six times at once: {crashes}");
    assert!((1..=CRASHES_MAX).contains(&crashes), "{crashes}");
    expect_all_complete(send_bystander_requests(&site).await).await;
}
