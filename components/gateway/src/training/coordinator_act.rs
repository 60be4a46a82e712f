//! Performs the actions that the ledgers return: runs, score requests and copies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use config::Service;
use node::now_ms;
use routing::Table;
use samples::{Action, Fault, Ledger, Start, Step, StepKey};
use tokio::sync::oneshot;

use super::capacity::run_capacity;
use super::commands::{RunFault, RunReport};
use super::coordinator_task::{CoordinatorTask, RunHandle};
use super::run::Run;
use super::score::ScoreCall;
use crate::gateway::Gateway;

/// Number of a customer's runs and score requests waiting for admission above which no further run
/// of the customer is started.
const WAITING_RUNS_MAX: u32 = 16;
/// Runs that may be started for each free waiting slot. Most runs are admitted without waiting.
/// With only one run per free slot, the coordinator would need several passes to start a step.
const RUNS_PER_WAITING_SLOT: u32 = 8;

/// Actions of one step.
struct StepActions {
    key: StepKey,
    step: Arc<Step>,
    actions: Vec<Action>,
}

fn drain_ledger(key: &StepKey, ledger: &mut Ledger) -> StepActions {
    StepActions {
        key: key.clone(),
        step: Arc::clone(ledger.step()),
        actions: ledger.take_actions(),
    }
}

/// Number of steps that use each replica.
fn steps_per_replica(tables: &[(StepKey, Arc<Table>)]) -> HashMap<SocketAddr, u32> {
    let mut step_counts = HashMap::new();
    let replicas = tables.iter().flat_map(|(_, table)| table.replica_states());
    for state in replicas {
        *step_counts.entry(state.replica.node.address).or_default() += 1;
    }
    step_counts
}

/// Number of further runs of the step that may be started, given how many of its customer's
/// requests wait for admission. A run that waits for admission makes no progress, so its ledger
/// would treat it as stalled and start it again at another replica. Further slots therefore stay
/// pending in the ledger.
fn waiting_capacity(gateway: &Gateway, key: &StepKey) -> u32 {
    let account = gateway.accounts.get(&key.customer);
    let waiting = account.map_or(0, |account| account.customer.waiting());
    WAITING_RUNS_MAX.saturating_sub(waiting) * RUNS_PER_WAITING_SLOT
}

impl CoordinatorTask {
    /// Collects the actions of all ledgers and performs them.
    pub(super) fn perform_actions(&mut self) {
        let view = self.gateway.feed.view();
        let mut pending = self.dispatch();
        // Steps that were not dispatched can have actions too, caused by events.
        for (key, ledger) in self.steps.iter_mut() {
            pending.push(drain_ledger(key, ledger));
        }
        for StepActions { key, step, actions } in pending {
            for action in actions {
                self.perform(&key, &step, &view, action);
            }
        }
    }

    /// Dispatches the active steps of which this entry is the first home, and those that it has
    /// taken over.
    fn dispatch(&mut self) -> Vec<StepActions> {
        let now_ms = now_ms();
        let tables = self.active_tables();
        let step_counts = steps_per_replica(&tables);
        let mut runs = self.runs_by_replica();
        let mut order: Vec<&(StepKey, Arc<Table>)> = tables.iter().collect();
        // The first step in the order can use capacity before the others, so the first place
        // rotates among the steps.
        let first = self.next_turn % order.len().max(1);
        order.rotate_left(first);
        self.next_turn = self.next_turn.wrapping_add(1);
        let mut pending = Vec::new();
        for (key, table) in order {
            let Some(ledger) = self.steps.find_mut(key) else {
                continue;
            };
            let ejected = |replica| self.ejected.is_ejected(replica, now_ms);
            let mut capacity = run_capacity(table, &runs, &step_counts, ejected);
            let runs_max = ledger.running() + waiting_capacity(&self.gateway, key);
            capacity.in_progress_max = capacity.in_progress_max.min(runs_max);
            ledger.dispatch(&capacity, now_ms);
            let drained = drain_ledger(key, ledger);
            for action in &drained.actions {
                if let Action::Start(start) = action {
                    *runs.entry(start.to).or_default() += 1;
                }
            }
            pending.push(drained);
        }
        pending
    }

    /// Steps dispatched by this entry that have pending slots or runs in progress, with the tables
    /// of their models.
    fn active_tables(&mut self) -> Vec<(StepKey, Arc<Table>)> {
        let (homes, taken_over) = (&mut self.homes, &self.taken_over);
        let gateway = &self.gateway;
        let held_steps = self.steps.iter_mut();
        let active = held_steps.filter(|(key, ledger)| {
            let dispatched_here = homes.is_first_home(key) || taken_over.contains(*key);
            dispatched_here && ledger.next_due_ms(0).is_some()
        });
        active
            .filter_map(|(key, _)| {
                let state = gateway.services.get(&key.customer, &key.service)?;
                Some((key.clone(), state.table()))
            })
            .collect()
    }

    fn perform(&mut self, key: &StepKey, step: &Arc<Step>, view: &config::View, action: Action) {
        let model = view.service(&key.customer, &key.service);
        match action {
            Action::Start(start) => match model {
                Some(model) => self.start(key, step, model, start),
                None => self.handle_run_report(
                    key,
                    start.run,
                    RunReport::Failed(RunFault::not_at_replica(Fault::Refused), start.resume),
                ),
            },
            Action::Cancel { run } => {
                if let Some(handle) = self.runs.remove(&(key.clone(), run)) {
                    handle.task.abort();
                }
            }
            Action::Stop { run } => {
                let handle = self.runs.get_mut(&(key.clone(), run));
                if let Some(stop) = handle.and_then(|handle| handle.stop.take()) {
                    // A run that has already ended reports its result instead.
                    let _ = stop.send(());
                }
            }
            Action::Score { run, sample } => {
                let scorer = model.and_then(|model| {
                    let name = model.scorer.as_ref()?;
                    view.service(&key.customer, name).cloned()
                });
                let Some(commands) = self.commands.upgrade() else {
                    return;
                };
                let call = ScoreCall {
                    scorer,
                    step: Arc::clone(step),
                    run,
                    sample,
                    commands,
                };
                tokio::spawn(call.call_and_report(Arc::clone(&self.gateway)));
            }
            Action::Copy(copy) => {
                for to in self.homes.other_homes(key) {
                    // Losing the copy of a sample costs one additional run if this home is lost
                    // later.
                    self.copier.send(to, key, copy.clone());
                }
            }
        }
    }

    fn start(&mut self, key: &StepKey, step: &Arc<Step>, model: &Arc<Service>, start: Start) {
        let Some(commands) = self.commands.upgrade() else {
            return;
        };
        let (run, to) = (start.run, start.to);
        let (stop, stopped) = oneshot::channel();
        let new_run = Run {
            model: Arc::clone(model),
            step: Arc::clone(step),
            start,
            commands,
            stop: stopped,
        };
        let task = tokio::spawn(new_run.run_and_report(Arc::clone(&self.gateway)));
        let handle = RunHandle {
            to,
            task: task.abort_handle(),
            stop: Some(stop),
        };
        self.runs.insert((key.clone(), run), handle);
    }

    fn runs_by_replica(&self) -> HashMap<SocketAddr, u32> {
        let mut counts: HashMap<SocketAddr, u32> = HashMap::new();
        for handle in self.runs.values() {
            *counts.entry(handle.to).or_default() += 1;
        }
        counts
    }
}
