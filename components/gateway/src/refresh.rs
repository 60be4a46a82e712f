//! The tick that turns the view of the processes and the configuration into what the path
//! of a request reads.

use std::sync::Arc;
use std::time::Duration;

use node::now_ms;
use protocol::ProcessRole;
use telemetry::Label;

use crate::gateway::Gateway;

/// Time between two ticks. A replica that begins to leave is seen before the next tick,
/// since the newest view is asked right before each hand-over.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two levels of the metrics.
const LEVELS_EVERY: u64 = 10;

/// Runs until the task is dropped.
pub async fn run(gateway: Arc<Gateway>) {
    let mut ticks: u64 = 0;
    loop {
        refresh(&gateway);
        if ticks.is_multiple_of(LEVELS_EVERY) {
            levels(&gateway);
        }
        ticks += 1;
        tokio::time::sleep(TICK).await;
    }
}

fn refresh(gateway: &Gateway) {
    let view = gateway.feed.view();
    let snapshot = gateway.gossip.snapshot();
    gateway.services.refresh(&snapshot, &view);
    let others = snapshot.live(ProcessRole::Entry).count();
    let share = 1.0 / (others + 1) as f64;
    gateway.accounts.refresh(&view, |_| share);
}

fn levels(gateway: &Gateway) {
    let in_progress = gateway.drain.progress().count() as u64;
    let label = Label::default();
    gateway
        .metrics
        .level("requests_in_progress", label, in_progress);
    gateway.metrics.level("uptime_ms", label, now_ms());
}
