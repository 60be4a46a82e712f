//! Replicas at which runs failed lately.
//!
//! A replica that has died fails its runs at once, so it always has the most room, and
//! every slot of a step would be tried there once before the view notices its death.

use std::collections::HashMap;
use std::net::SocketAddr;

const FIRST_EJECTION_MS: u64 = 500;
const DOUBLINGS_MAX: u32 = 4;

struct Ejection {
    failures: u32,
    until_ms: u64,
}

/// Replicas that get no runs for a while, longer after each failure in a row.
#[derive(Default)]
pub struct EjectedReplicas {
    ejections: HashMap<SocketAddr, Ejection>,
}

impl EjectedReplicas {
    /// A run failed with its replica, or on the way there. Runs that were in progress
    /// there together count as one.
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

    /// A run was whole there.
    pub fn record_success(&mut self, replica: SocketAddr) {
        self.ejections.remove(&replica);
    }

    /// Whether a replica gets no runs now.
    pub fn is_ejected(&self, replica: SocketAddr, now_ms: u64) -> bool {
        let ejection = self.ejections.get(&replica);
        ejection.is_some_and(|ejection| now_ms < ejection.until_ms)
    }

    /// Forgets what is long over.
    pub fn expire(&mut self, now_ms: u64) {
        let longest_ms = FIRST_EJECTION_MS << (DOUBLINGS_MAX + 1);
        self.ejections
            .retain(|_, ejection| now_ms < ejection.until_ms + longest_ms);
    }
}
