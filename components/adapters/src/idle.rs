//! Open connections that wait for their next exchange.
//!
//! A handful of slots, each swapped as a whole, so that neither taking nor keeping a
//! connection waits for anyone. The newest connection stands first; when all slots are
//! full the oldest falls out and closes.

use std::sync::Arc;

use arc_swap::ArcSwapOption;

use crate::connection::Connection;

/// Idle connections to one address.
pub(crate) struct Idle {
    slots: Box<[ArcSwapOption<Connection>]>,
}

impl Idle {
    /// Room for `count` connections.
    pub(crate) fn new(count: usize) -> Idle {
        let slots = (0..count).map(|_| ArcSwapOption::empty()).collect();
        Idle { slots }
    }

    /// Takes the newest connection out.
    pub(crate) fn take(&self) -> Option<Connection> {
        self.slots
            .iter()
            .filter_map(|slot| slot.swap(None))
            .find_map(Arc::into_inner)
    }

    /// Keeps a connection whose exchange ended cleanly.
    pub(crate) fn keep(&self, connection: Connection) {
        let mut moving = Some(Arc::new(connection));
        for slot in &self.slots {
            moving = slot.swap(moving);
            if moving.is_none() {
                return;
            }
        }
    }

    /// Closes all of them.
    pub(crate) fn clear(&self) {
        for slot in &self.slots {
            slot.store(None);
        }
    }
}
