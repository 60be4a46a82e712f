//! The other home of a step: what it sends and what it gets.

use std::net::SocketAddr;

use node::now_ms;
use samples::{Copy, Cursor, Ledger, StepKey};

use super::desk_task::Desk;
use super::forward::homes_of;

impl Desk {
    /// What the step's other home sends. A post of a step that this process knows no model
    /// for yet is dropped; the trainer's next post brings it.
    pub(super) fn copy(&mut self, copy: Copy) {
        let Copy::Post {
            step,
            cursor,
            trainer_version,
        } = &copy
        else {
            self.steps.apply(&copy, now_ms());
            self.ready = true;
            return;
        };
        let view = self.gateway.feed.view();
        let Some(model) = view.service(&step.key.customer, &step.key.service) else {
            return;
        };
        let opened = cursor
            .as_ref()
            .map(|text| Cursor::open(text, &self.keys, step));
        let cursor = match opened {
            Some(Ok(cursor)) => cursor,
            Some(Err(_)) => return,
            None => Cursor::start(step),
        };
        let held = self.hold(step, model, &cursor, *trainer_version);
        if held.is_err() {
            log::warn!(event = "copy-refused", step = step.key.step; "");
        }
    }

    /// A home that was not told of a step gets everything.
    pub(super) fn tell_new_homes(&mut self, key: &StepKey) {
        let others = self.other_homes(key);
        let new = self.told.update(key, others);
        if new.is_empty() {
            return;
        }
        let keys = self.keys.clone();
        let found = self.steps.iter_mut().find(|(held, _)| *held == key);
        let Some((_, ledger)) = found else { return };
        let cursor = received(ledger).seal(&keys);
        for copy in ledger.copies(Some(cursor)) {
            for &to in &new {
                self.copier.send(to, key, copy.clone());
            }
        }
    }

    pub(super) fn other_homes(&self, key: &StepKey) -> Vec<SocketAddr> {
        let own = self.gateway.identity.node().address;
        let homes = homes_of(&self.gateway, key);
        let homes = homes.into_iter();
        let both = homes.flat_map(|homes| std::iter::once(homes.first).chain(homes.second));
        both.filter(|&home| home != own).collect()
    }
}

/// The cursor of what the trainer is known to have.
fn received(ledger: &Ledger) -> Cursor {
    Cursor::start(ledger.step()).after(ledger.received().iter())
}
