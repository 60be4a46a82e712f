//! A round-robin balancer in front of the entries, like the platform's. It skips entries that
//! accept no connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::caller::{Caller, OutgoingRequest};
use crate::reply::Reply;

/// Distributes requests over the entries in rotation.
pub struct Balancer {
    callers: Vec<Caller>,
    next: AtomicUsize,
}

impl Balancer {
    /// Creates a balancer of these entries, of which there must be at least one.
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Balancer {
        Balancer {
            callers: entries.into_iter().map(Caller::new).collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// Sends a request to the next entry in rotation. The request goes on to the entry after that
    /// only if none of its bytes have left, because it may otherwise have run.
    pub async fn send(&self, request: OutgoingRequest) -> Reply {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let mut tried = 0;
        loop {
            let caller = &self.callers[(first + tried) % self.callers.len()];
            let reply = caller.send(request.clone()).await;
            tried += 1;
            if reply.may_have_left || tried == self.callers.len() {
                return reply;
            }
        }
    }
}
