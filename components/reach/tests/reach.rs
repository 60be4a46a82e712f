//! Calls and pauses around the return of a dependency, in paused time.

use std::future::{pending, ready};
use std::time::Duration;

use reach::{Availability, Reachability, read_timeout};
use tokio::time::{Instant, sleep};

const LONG: Duration = Duration::from_secs(20);

type Outcome = Result<u8, &'static str>;

fn sign_of(why: &str) -> Availability {
    match why {
        "silent" => Availability::Unavailable,
        "throttled" => Availability::Unknown,
        _ => Availability::Available,
    }
}

async fn swallowed() -> Outcome {
    pending().await
}

async fn after(ms: u64, outcome: Outcome) -> Outcome {
    sleep(Duration::from_millis(ms)).await;
    outcome
}

async fn call(reach: &Reachability, outcome: Outcome) -> Option<Outcome> {
    reach.call(ready(outcome), |why| sign_of(why)).await
}

#[tokio::test(start_paused = true)]
async fn can_give_up_a_call_that_the_return_left_behind() {
    // A dependency swallows a call that may take 20 s. One call fails at 1 s and the next
    // comes through at 2 s; the swallowed one is given up a moment later, not at 20 s.
    let reach = Reachability::default();
    let began = Instant::now();
    let others = async {
        let _ = reach
            .call(after(1_000, Err("silent")), |_| Availability::Unavailable)
            .await;
        assert!(reach.is_unreachable());
        let _ = reach
            .call(after(1_000, Ok(1)), |_| Availability::Unavailable)
            .await;
        assert!(!reach.is_unreachable());
    };
    let (outcome, ()) = tokio::join!(
        reach.call(swallowed(), |_| Availability::Unavailable),
        others
    );
    assert_eq!(outcome, None);
    assert_eq!(began.elapsed(), Duration::from_millis(2_300));
}

#[tokio::test(start_paused = true)]
async fn can_keep_a_slow_call_that_answers_after_the_return() {
    let reach = Reachability::default();
    let others = async {
        let _ = reach
            .call(after(100, Err("silent")), |_| Availability::Unavailable)
            .await;
        let _ = reach
            .call(after(100, Ok(1)), |_| Availability::Unavailable)
            .await;
    };
    let slow = reach.call(after(450, Ok(7)), |_| Availability::Unavailable);
    let (outcome, ()) = tokio::join!(slow, others);
    assert_eq!(outcome, Some(Ok(7)));
}

#[tokio::test(start_paused = true)]
async fn can_end_a_pause_at_the_return() {
    let reach = Reachability::default();
    let began = Instant::now();
    let others = async {
        call(&reach, Err("silent")).await;
        let _ = reach
            .call(after(500, Ok(1)), |_| Availability::Unavailable)
            .await;
    };
    tokio::join!(reach.pause(LONG), others);
    assert_eq!(began.elapsed(), Duration::from_millis(500));
    reach.pause(LONG).await;
    assert_eq!(began.elapsed(), Duration::from_millis(20_500), "no return");
}

#[tokio::test(start_paused = true)]
async fn can_tell_a_refusal_from_silence() {
    // A dependency that refuses is within reach; its answers leave no call behind.
    let reach = Reachability::default();
    let others = async {
        call(&reach, Err("refused")).await;
        assert!(!reach.is_unreachable());
        call(&reach, Ok(1)).await;
    };
    let slow = reach.call(after(5_000, Ok(7)), |_| Availability::Unavailable);
    let (outcome, ()) = tokio::join!(slow, others);
    assert_eq!(outcome, Some(Ok(7)));
}

#[tokio::test(start_paused = true)]
async fn can_follow_without_a_say() {
    // The groups of a store are served while its records are refused: a join that comes
    // through must end nobody's pause, and is given up with the others at the return.
    let reach = Reachability::default();
    let began = Instant::now();
    let others = async {
        call(&reach, Err("silent")).await;
        let joined = reach.call_untracked(after(100, Ok(1))).await;
        assert_eq!(joined, Some(Ok(1)));
        assert!(reach.is_unreachable());
        let _ = reach
            .call(after(900, Ok(1)), |_| Availability::Unavailable)
            .await;
    };
    let (left, (), ()) = tokio::join!(reach.call_untracked(swallowed()), reach.pause(LONG), others);
    assert_eq!(left, None);
    assert_eq!(began.elapsed(), Duration::from_millis(1_300));
}

#[test]
fn can_wait_for_news_no_longer_than_a_read_may_take() {
    // A read that waited at the store for longer than it may take would fail on every quiet
    // day, and pass for a store that is lost.
    for failed in 0..6 {
        for (wait_ms, slack_ms) in [(450, 900), (0, 900), (2_000, 300)] {
            let read_timeout = read_timeout(failed, wait_ms, slack_ms);
            assert!(Duration::from_millis(read_timeout.wait_ms) < read_timeout.timeout);
        }
    }
    assert_eq!(
        read_timeout(1, 450, 900).timeout,
        Duration::from_millis(400)
    );
    assert_eq!(read_timeout(2, 450, 900), read_timeout(0, 450, 900));
}

/// Guards against waits that a refusal for the budget of calls ends: each long read that is then
/// left behind is made again, and the reads that are refused double.
#[tokio::test(start_paused = true)]
async fn can_keep_a_long_read_beside_throttled_ones() {
    let reach = Reachability::default();
    let others = async {
        for outcome in [Err("throttled"), Ok(1), Err("throttled"), Ok(1)] {
            let _ = reach.call(after(50, outcome), |why| sign_of(why)).await;
        }
    };
    let long = reach.call(after(900, Ok(7)), |why| sign_of(why));
    let (outcome, ()) = tokio::join!(long, others);
    assert_eq!(outcome, Some(Ok(7)));
    assert_eq!(reach.recoveries(), 0);
}
