//! Counts of relayed calls, for the metrics page.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use relay::{PeerOutcome, RelayOutcome};

const OUTCOMES: [&str; 4] = ["answered", "not-reached", "busy", "failed"];

/// Counts by outcome.
#[derive(Debug, Default)]
pub struct RelayCounts {
    relayed: [AtomicU64; OUTCOMES.len()],
    served: [AtomicU64; OUTCOMES.len()],
}

impl RelayCounts {
    /// Counts a call of this front through a peer.
    pub fn count_relayed(&self, outcome: PeerOutcome) {
        let index = match outcome {
            PeerOutcome::Answered => 0,
            PeerOutcome::NotReached => 1,
            PeerOutcome::Busy => 2,
            PeerOutcome::Failed => 3,
        };
        self.relayed[index].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that this front was asked to make for a peer.
    pub fn count_served(&self, outcome: &RelayOutcome) {
        let index = match outcome {
            RelayOutcome::Answered { .. } => 0,
            RelayOutcome::NotReached { .. } => 1,
            RelayOutcome::Busy => 2,
        };
        self.served[index].fetch_add(1, Ordering::Relaxed);
    }

    /// One line per series with a count.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let series = [
            ("front_store_relayed_total", &self.relayed),
            ("front_relay_served_total", &self.served),
        ];
        for (name, counts) in series {
            for (outcome, count) in OUTCOMES.iter().zip(counts) {
                let count = count.load(Ordering::Relaxed);
                if count > 0 {
                    // Writing to a `String` never fails.
                    let _ = writeln!(text, "{name}{{outcome=\"{outcome}\"}} count={count}");
                }
            }
        }
        text
    }
}
