//! Periodic work of the coordinator: removes idle steps, sends missing copies to other homes and
//! applies configuration changes.

use std::sync::Arc;

use node::now_ms;
use samples::Action;

use super::coordinator_task::{CoordinatorTask, settings_of};
use super::forward::live_entries;

/// Interval at which lost copies are sent again.
const RECOPY_INTERVAL_MS: u64 = 1_000;

impl CoordinatorTask {
    /// Performs the periodic work for all steps.
    pub(super) fn tick(&mut self) {
        let now_ms = now_ms();
        for action in self.steps.remove_idle(now_ms) {
            if let Action::Cancel { run } = action {
                // `remove_idle` does not return the step's key. The run is aborted below, as its
                // step is no longer held.
                log::debug!(event = "retired-run", run = run.0; "");
            }
        }
        let entries_changed = self.homes.set_entries(live_entries(&self.gateway));
        let steps = &self.steps;
        self.homes.retain(|key| steps.holds(key));
        self.taken_over.retain(|key| steps.holds(key));
        self.copied_homes.retain(|key| steps.holds(key));
        self.idle.retain(|key, _| steps.holds(key));
        self.metrics.retain(|key| steps.holds(key));
        for (key, ledger) in self.steps.iter_mut() {
            self.metrics.record_tally(key, ledger.tally());
        }
        let steps = &self.steps;
        self.runs.retain(|(key, _), handle| {
            let is_held = steps.holds(key);
            if !is_held {
                handle.task.abort();
            }
            is_held
        });
        self.send_due_copies(entries_changed, now_ms);
        self.configure();
        self.ejected.expire(now_ms);
    }

    /// Sends copies to the homes that may not have them.
    fn send_due_copies(&mut self, entries_changed: bool, now_ms: u64) {
        let mut uncopied = std::mem::take(&mut self.uncopied);
        if now_ms >= self.recopy_at_ms {
            self.recopy_at_ms = now_ms + RECOPY_INTERVAL_MS;
            uncopied.append(&mut self.lost_copies);
        }
        if entries_changed {
            uncopied.extend(self.steps.keys().cloned());
        }
        for key in uncopied {
            self.copy_to_new_homes(&key);
        }
    }

    /// Applies the active configuration to every ledger, once per configuration.
    fn configure(&mut self) {
        let view = self.gateway.feed.view();
        if self
            .view
            .as_ref()
            .is_some_and(|last| Arc::ptr_eq(last, &view))
        {
            return;
        }
        for (key, ledger) in self.steps.iter_mut() {
            if let Some(model) = view.service(&key.customer, &key.service) {
                ledger.configure(&settings_of(model));
                self.ready.insert(key.clone());
            }
        }
        self.view = Some(view);
    }
}
