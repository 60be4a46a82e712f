//! Calls and pauses around the recovery of a dependency, with paused time.

use std::future::{pending, ready};
use std::time::Duration;

use reach::{Availability, Reachability, read_timeout};
use tokio::time::{Instant, sleep};

const LONG: Duration = Duration::from_secs(20);

type Outcome = Result<u8, &'static str>;

fn availability_of(error: &str) -> Availability {
    match error {
        "silent" => Availability::Unavailable,
        "throttled" => Availability::Unknown,
        _ => Availability::Available,
    }
}

async fn lost_call() -> Outcome {
    pending().await
}

async fn after(ms: u64, outcome: Outcome) -> Outcome {
    sleep(Duration::from_millis(ms)).await;
    outcome
}

async fn call(reach: &Reachability, outcome: Outcome) -> Option<Outcome> {
    reach
        .call(ready(outcome), |error| availability_of(error))
        .await
}

#[tokio::test(start_paused = true)]
async fn can_abandon_a_lost_call_after_the_recovery() {
    // Guards against waiting for the whole timeout of a lost call. A dependency loses a call that
    // may take 20 s. Another call fails at 1 s and the next succeeds at 2 s; the lost call is
    // abandoned 300 ms later.
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
        reach.call(lost_call(), |_| Availability::Unavailable),
        others
    );
    assert_eq!(outcome, None);
    assert_eq!(began.elapsed(), Duration::from_millis(2_300));
}

#[tokio::test(start_paused = true)]
async fn can_keep_a_slow_call_that_is_answered_after_the_recovery() {
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
async fn can_end_a_pause_at_the_recovery() {
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
    assert_eq!(
        began.elapsed(),
        Duration::from_millis(20_500),
        "no recovery during the second pause"
    );
}

#[tokio::test(start_paused = true)]
async fn can_distinguish_a_refusal_from_silence() {
    // A dependency that refuses calls is reachable; its answers abandon no other call.
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
async fn can_make_an_untracked_call_without_ending_pauses() {
    // Guards against pauses that end too early. A store serves its groups while it refuses its
    // records: a successful join must end no pause, and a join is abandoned with the other calls at
    // the recovery.
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
    let (abandoned, (), ()) =
        tokio::join!(reach.call_untracked(lost_call()), reach.pause(LONG), others);
    assert_eq!(abandoned, None);
    assert_eq!(began.elapsed(), Duration::from_millis(1_300));
}

#[test]
fn can_keep_the_wait_below_the_timeout_of_a_read() {
    // Guards against reads that wait at the store for longer than their timeout: they would fail
    // whenever no record is written, and the store would appear unreachable.
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

/// Guards against a throttled read that ends the waits of others: each long read that is abandoned
/// is made again, and the number of refused reads doubles.
#[tokio::test(start_paused = true)]
async fn can_keep_a_long_read_during_throttled_reads() {
    let reach = Reachability::default();
    let others = async {
        for outcome in [Err("throttled"), Ok(1), Err("throttled"), Ok(1)] {
            let _ = reach
                .call(after(50, outcome), |error| availability_of(error))
                .await;
        }
    };
    let long = reach.call(after(900, Ok(7)), |error| availability_of(error));
    let (outcome, ()) = tokio::join!(long, others);
    assert_eq!(outcome, Some(Ok(7)));
    assert_eq!(reach.recoveries(), 0);
}
