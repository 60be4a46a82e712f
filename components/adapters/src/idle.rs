//! Pool of idle connections.
//!
//! The pool is a small array of slots, each exchanged atomically, so that neither taking nor
//! returning a connection blocks. The newest connection is in the first slot; if all slots are
//! full, the oldest connection is closed.

use std::sync::Arc;

use arc_swap::ArcSwapOption;

use crate::connection::Connection;

/// Idle connections to one address.
pub(crate) struct IdlePool {
    slots: Box<[ArcSwapOption<Connection>]>,
}

impl IdlePool {
    /// Creates a pool for `count` connections.
    pub(crate) fn new(count: usize) -> IdlePool {
        let slots = (0..count).map(|_| ArcSwapOption::empty()).collect();
        IdlePool { slots }
    }

    /// Removes the newest connection and returns it.
    pub(crate) fn take(&self) -> Option<Connection> {
        self.slots
            .iter()
            .filter_map(|slot| slot.swap(None))
            .find_map(Arc::into_inner)
    }

    /// Adds a connection after a complete exchange.
    pub(crate) fn put(&self, connection: Connection) {
        let mut displaced = Some(Arc::new(connection));
        for slot in &self.slots {
            displaced = slot.swap(displaced);
            if displaced.is_none() {
                return;
            }
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        for slot in &self.slots {
            slot.store(None);
        }
    }
}
