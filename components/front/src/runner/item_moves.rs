//! What the runner remembers of the moves of an item.

use std::sync::atomic::{AtomicU64, Ordering};

use super::*;

/// How long a replica that an item was moved away from is remembered.
const LEFT_MS: u64 = 10_000;
/// Causes of moves, by their names in log lines.
const CAUSES: [&str; 4] = ["stalled", "slow", "slower", "critical"];

/// A planned move of an item that has not started at its new replica yet.
#[derive(Clone)]
pub(super) struct PlannedMove {
    pub(super) to: ReplicaId,
    pub(super) interval_ms: u64,
    pub(super) interval_there_ms: u64,
    pub(super) events_left: u64,
    pub(super) gain_ms: u64,
    pub(super) doubt_ms: u64,
}

/// Moves of an item at this front.
#[derive(Default)]
pub(super) struct ItemMoves {
    pub(super) planned: Option<PlannedMove>,
    /// Replicas that the item was moved away from, each with the time of the move.
    pub(super) left: Vec<(ReplicaId, u64)>,
}

impl ItemMoves {
    /// Records a move away from a replica.
    pub(super) fn record(&mut self, from: ReplicaId, planned: PlannedMove, now_ms: u64) {
        self.left
            .retain(|(_, left_ms)| now_ms.saturating_sub(*left_ms) < LEFT_MS);
        self.left.push((from, now_ms));
        self.planned = Some(planned);
    }

    /// Time since the last move; `None` if there was none lately.
    pub(super) fn moved_ms_ago(&self, now_ms: u64) -> Option<u64> {
        let last = self.left.last();
        last.map(|(_, left_ms)| now_ms.saturating_sub(*left_ms))
    }
}

/// Numbers of moves by cause, for the metrics page.
#[derive(Debug, Default)]
pub struct MoveCounts([AtomicU64; CAUSES.len()]);

impl MoveCounts {
    pub(super) fn count(&self, cause: &str) {
        let known = CAUSES.iter().position(|known| *known == cause);
        if let Some(at) = known {
            self.0[at].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// One line per cause.
    pub fn text(&self) -> String {
        let name = "front_item_moves_total";
        let line = |(cause, count): (&&str, &AtomicU64)| {
            let count = count.load(Ordering::Relaxed);
            format!("{name}{{cause=\"{cause}\"}} count={count}\n")
        };
        CAUSES.iter().zip(&self.0).map(line).collect()
    }
}
