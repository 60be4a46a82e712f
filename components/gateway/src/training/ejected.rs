//! Ejects replicas at which runs have failed recently.
//!
//! A crashed replica fails its runs at once and therefore always seems to have the most free
//! capacity. Without ejection, every slot of a step would be tried there once before the membership
//! view marks the replica as down.

use std::collections::HashMap;
use std::net::SocketAddr;

const FIRST_EJECTION_MS: u64 = 500;
const DOUBLINGS_MAX: u32 = 4;

struct Ejection {
    failures: u32,
    until_ms: u64,
}

/// Replicas that temporarily get no runs. The time doubles with each consecutive failure.
#[derive(Default)]
pub struct EjectedReplicas {
    ejections: HashMap<SocketAddr, Ejection>,
}

impl EjectedReplicas {
    /// Records that a run failed because of its replica or the connection to it. Failures while the
    /// replica is already ejected are ignored, so runs that fail together count as one failure.
    pub fn record_failure(&mut self, replica: SocketAddr, now_ms: u64) {
        let ejection = self.ejections.entry(replica).or_insert(Ejection {
            failures: 0,
            until_ms: 0,
        });
        if now_ms < ejection.until_ms {
            return;
        }
        let doublings = ejection.failures.min(DOUBLINGS_MAX);
        ejection.until_ms = now_ms + (FIRST_EJECTION_MS << doublings);
        ejection.failures += 1;
    }

    /// Records that a run was completed at the replica.
    pub fn record_success(&mut self, replica: SocketAddr) {
        self.ejections.remove(&replica);
    }

    /// Whether a replica currently gets no runs.
    pub fn is_ejected(&self, replica: SocketAddr, now_ms: u64) -> bool {
        let ejection = self.ejections.get(&replica);
        ejection.is_some_and(|ejection| now_ms < ejection.until_ms)
    }

    /// Removes the replicas whose ejection ended more than twice the longest ejection ago. Their
    /// next failure starts with the shortest ejection again.
    pub fn expire(&mut self, now_ms: u64) {
        let longest_ms = FIRST_EJECTION_MS << (DOUBLINGS_MAX + 1);
        self.ejections
            .retain(|_, ejection| now_ms < ejection.until_ms + longest_ms);
    }
}
