//! Replicas at which runs failed lately.
//!
//! A replica that has died fails its runs at once, so it always has the most room, and
//! every slot of a step would be tried there once before the view notices its death.

use std::collections::HashMap;
use std::net::SocketAddr;

const FIRST_MS: u64 = 500;
const DOUBLINGS_MAX: u32 = 4;

struct Fault {
    failures: u32,
    until_ms: u64,
}

/// Replicas that get no runs for a while, longer after each failure in a row.
#[derive(Default)]
pub struct Ejected {
    faults: HashMap<SocketAddr, Fault>,
}

impl Ejected {
    /// A run failed with its replica, or on the way there. Runs that were in progress
    /// there together count as one.
    pub fn failed(&mut self, replica: SocketAddr, now_ms: u64) {
        let fault = self.faults.entry(replica).or_insert(Fault {
            failures: 0,
            until_ms: 0,
        });
        if now_ms < fault.until_ms {
            return;
        }
        let doublings = fault.failures.min(DOUBLINGS_MAX);
        fault.until_ms = now_ms + (FIRST_MS << doublings);
        fault.failures += 1;
    }

    /// A run was whole there.
    pub fn finished(&mut self, replica: SocketAddr) {
        self.faults.remove(&replica);
    }

    /// Whether a replica gets no runs now.
    pub fn is_ejected(&self, replica: SocketAddr, now_ms: u64) -> bool {
        let fault = self.faults.get(&replica);
        fault.is_some_and(|fault| now_ms < fault.until_ms)
    }

    /// Forgets what is long over.
    pub fn expire(&mut self, now_ms: u64) {
        let longest_ms = FIRST_MS << (DOUBLINGS_MAX + 1);
        self.faults
            .retain(|_, fault| now_ms < fault.until_ms + longest_ms);
    }
}
