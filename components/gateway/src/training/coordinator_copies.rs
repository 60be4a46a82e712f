//! Exchange of copies between a step's homes.

use std::net::SocketAddr;

use node::now_ms;
use samples::{CopyMessage, Cursor, Ledger, PostOutcome, StepKey};

use super::coordinator_task::{CoordinatorTask, settings_of};

impl CoordinatorTask {
    /// Applies a copy from the step's other home. A post is dropped if the configuration here does
    /// not yet contain its model; the trainer's next post adds the step.
    pub(super) fn apply_copy(&mut self, copy: CopyMessage) {
        let CopyMessage::Post {
            step,
            cursor,
            trainer_version,
            unused_ms,
        } = &copy
        else {
            self.steps.apply(&copy, now_ms());
            if let CopyMessage::Finished { key, .. } = copy {
                self.ready.insert(key);
            }
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
        let now_ms = now_ms();
        let used_ms = now_ms.saturating_sub(*unused_ms);
        let (settings, version) = (settings_of(model), *trainer_version);
        let steps = &mut self.steps;
        let posted = steps.post_copy(step, &settings, &cursor, version, used_ms, now_ms);
        match posted {
            Ok(PostOutcome::Expired) => {}
            Ok(_) => {
                self.uncopied.insert(step.key.clone());
                self.announce_active(&step.key, now_ms);
            }
            Err(_) => log::warn!(event = "copy-refused", step = step.key.step; ""),
        }
    }

    /// Handles the result of sending a step's post to another home. If the first home has the post,
    /// it dispatches the step itself and this entry stops doing so. If the copy was lost, it is
    /// sent again.
    pub(super) fn handle_copy_result(&mut self, key: StepKey, to: SocketAddr, delivered: bool) {
        if !self.steps.holds(&key) {
            return;
        }
        if !delivered {
            self.copied_homes.mark_lost(&key, to);
            self.lost_copies.insert(key);
        } else if self.homes.first_home(&key) == Some(to) {
            self.taken_over.remove(&key);
        }
    }

    /// Sends everything known about a step to those of its other homes that have not received it.
    pub(super) fn copy_to_new_homes(&mut self, key: &StepKey) {
        let others = self.homes.other_homes(key);
        let missing = self.copied_homes.update(key, others);
        if missing.is_empty() {
            return;
        }
        let keys = self.keys.clone();
        let unused_ms = self.steps.unused_ms(key, now_ms()).unwrap_or(0);
        let Some(ledger) = self.steps.find_mut(key) else {
            return;
        };
        let cursor = received_cursor(ledger).seal(&keys);
        for copy in ledger.copies(Some(cursor), unused_ms) {
            for &to in &missing {
                let is_post = matches!(copy, CopyMessage::Post { .. });
                if !self.copier.send(to, key, copy.clone()) && is_post {
                    self.copied_homes.mark_lost(key, to);
                    self.lost_copies.insert(key.clone());
                }
            }
        }
    }
}

/// A cursor with the slots that the trainer is known to have received.
fn received_cursor(ledger: &Ledger) -> Cursor {
    Cursor::start(ledger.step()).with_received(ledger.received().iter())
}
