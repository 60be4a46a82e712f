//! The platform's balancer, as far as callers see it: one entry after the other, past
//! those that take no connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::caller::{Ask, Caller};
use crate::reply::Reply;

/// Entries in turn.
pub struct Balancer {
    callers: Vec<Caller>,
    turn: AtomicUsize,
}

impl Balancer {
    /// A balancer of these entries.
    pub fn new(entries: impl IntoIterator<Item = SocketAddr>) -> Balancer {
        Balancer {
            callers: entries.into_iter().map(Caller::new).collect(),
            turn: AtomicUsize::new(0),
        }
    }

    /// Sends a request to the entry whose turn it is. Only if no byte of it left does it
    /// go to the next one.
    pub async fn ask(&self, ask: Ask) -> Reply {
        let first = self.turn.fetch_add(1, Ordering::Relaxed);
        let mut tried = 0;
        loop {
            let caller = &self.callers[(first + tried) % self.callers.len()];
            let reply = caller.ask(ask.clone()).await;
            tried += 1;
            if reply.sent || tried == self.callers.len() {
                return reply;
            }
        }
    }
}
