//! Runs that are moved from slow replicas to faster ones.

use crate::common::{FrontHandle, Site};
use standins::fleet::records::{self, ENGINES};

/// Number of moves of a cause on the metrics page.
async fn moves(front: &FrontHandle, cause: &str) -> u64 {
    let text = front.metrics().await;
    let name = format!("front_item_moves_total{{cause=\"{cause}\"}} count=");
    let line = text.lines().find_map(|line| line.strip_prefix(&name));
    line.and_then(|count| count.parse().ok()).expect("a count")
}

/// Runs a step of six items at two fast replicas and one that is five times slower; returns the
/// numbers of moves for slowness by the rules of `dispatch` and by the critical path.
async fn moves_of_a_step(reports_start: bool) -> (u64, u64) {
    let mut site = Site::start(70, 15).await;
    site.add("engine-3", ENGINES, 70, 75).await;
    site.reports_start = reports_start;
    for replica in &site.replicas {
        site.write_heartbeat(replica, "ready", 1);
    }
    let front = site.front("a").await;
    assert_eq!(front.submit("s-1", &records::step(1, 1, 6)).await.0, 202);
    let results = front.all_results("s-1", 6).await;
    for result in &results {
        assert_eq!(result["State"], "succeeded");
    }
    let text = front.metrics().await;
    let by_critical_path = moves(&front, "critical").await + moves(&front, "slower").await;
    assert!(text.contains("front_item_text_ms"), "{text}");
    (moves(&front, "slow").await, by_critical_path)
}

#[tokio::test]
async fn can_move_a_deciding_text_if_replicas_report_their_start() {
    // Guards against texts that stay at a slow replica although they decide the end of their step,
    // and against the rules of `dispatch` beside the critical path.
    let (by_dispatch, by_critical_path) = moves_of_a_step(true).await;
    assert!(by_critical_path > 0);
    assert_eq!(by_dispatch, 0);
}

#[tokio::test]
async fn can_move_as_before_if_replicas_do_not_report_their_start() {
    // Guards against estimates that outlive a restart of a replica which nobody can detect.
    let (by_dispatch, by_critical_path) = moves_of_a_step(false).await;
    assert!(by_dispatch > 0);
    assert_eq!(by_critical_path, 0);
}
