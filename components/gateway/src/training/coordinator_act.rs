//! What the ledgers ask for: runs, scores, copies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use config::Service;
use node::now_ms;
use routing::Table;
use samples::{Action, Fault, Ledger, Start, Step, StepKey};
use tokio::sync::oneshot;

use super::coordinator_task::{CoordinatorTask, RunHandle};
use super::orders::{RunFault, RunNews};
use super::room::room;
use super::run::Run;
use super::score::Scoring;
use crate::gateway::Gateway;

/// Runs and scores of a customer that stand in the line for its limits, beyond which no
/// further run begins.
const WAITING_MAX: u32 = 16;
/// Runs that begin at once for each place left in that line. Most pass through it without
/// a wait; begun one line at a time, a step would take some looks of the coordinator to start.
const RUNS_PER_PLACE: u32 = 8;

/// Actions of one step.
struct Todo {
    key: StepKey,
    step: Arc<Step>,
    actions: Vec<Action>,
}

fn drained(key: &StepKey, ledger: &mut Ledger) -> Todo {
    Todo {
        key: key.clone(),
        step: Arc::clone(ledger.step()),
        actions: ledger.take_actions(),
    }
}

/// How many steps have each replica.
fn users_of(tables: &[(StepKey, Arc<Table>)]) -> HashMap<SocketAddr, u32> {
    let mut users = HashMap::new();
    let slots = tables.iter().flat_map(|(_, table)| table.replica_states());
    for slot in slots {
        *users.entry(slot.replica.node.address).or_default() += 1;
    }
    users
}

/// Runs of the step that may yet stand in the line for its customer's limits. One that
/// waits there looks silent to its ledger, which would make it again elsewhere, so the
/// others wait in the ledger.
fn line_room(gateway: &Gateway, key: &StepKey) -> u32 {
    let account = gateway.accounts.get(&key.customer);
    let waiting = account.map_or(0, |account| account.customer.waiting());
    WAITING_MAX.saturating_sub(waiting) * RUNS_PER_PLACE
}

impl CoordinatorTask {
    /// Asks each ledger what is to be done and does it.
    pub(super) fn act(&mut self) {
        let view = self.gateway.feed.view();
        let mut todo = self.dispatch();
        // Events bring about actions at the other steps too.
        for (key, ledger) in self.steps.iter_mut() {
            todo.push(drained(key, ledger));
        }
        for Todo { key, step, actions } in todo {
            for action in actions {
                self.perform(&key, &step, &view, action);
            }
        }
    }

    /// Starts what may start at the steps whose home is this entry.
    fn dispatch(&mut self) -> Vec<Todo> {
        let now_ms = now_ms();
        let tables = self.active_tables();
        let users = users_of(&tables);
        let mut runs = self.runs_at();
        let mut order: Vec<&(StepKey, Arc<Table>)> = tables.iter().collect();
        // Whoever comes first takes the room that the others leave; each has its turn.
        let first = self.turn % order.len().max(1);
        order.rotate_left(first);
        self.turn = self.turn.wrapping_add(1);
        let mut todo = Vec::new();
        for (key, table) in order {
            let Some(ledger) = self.steps.find_mut(key) else {
                continue;
            };
            let ejected = |replica| self.ejected.is_ejected(replica, now_ms);
            let mut room = room(table, &runs, &users, ejected);
            let line = ledger.running() + line_room(&self.gateway, key);
            room.in_progress_max = room.in_progress_max.min(line);
            ledger.dispatch(&room, now_ms);
            let drained = drained(key, ledger);
            for action in &drained.actions {
                if let Action::Start(start) = action {
                    *runs.entry(start.to).or_default() += 1;
                }
            }
            todo.push(drained);
        }
        todo
    }

    /// Steps at home here that have something to run or running, with their replicas.
    fn active_tables(&mut self) -> Vec<(StepKey, Arc<Table>)> {
        let (homes, standing_in) = (&mut self.homes, &self.standing_in);
        let gateway = &self.gateway;
        let held = self.steps.iter_mut();
        let active = held.filter(|(key, ledger)| {
            let here = homes.is_first(key) || standing_in.contains(*key);
            here && ledger.next_due_ms(0).is_some()
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
                None => self.run_news(
                    key,
                    start.run,
                    RunNews::Failed(RunFault::plain(Fault::Refused), start.resume),
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
                    // A run that has just ended reports its end instead.
                    let _ = stop.send(());
                }
            }
            Action::Score { run, sample } => {
                let scorer = model.and_then(|model| {
                    let name = model.scorer.as_ref()?;
                    view.service(&key.customer, name).cloned()
                });
                let Some(orders) = self.orders.upgrade() else {
                    return;
                };
                let scoring = Scoring {
                    scorer,
                    step: Arc::clone(step),
                    run,
                    sample,
                    orders,
                };
                tokio::spawn(scoring.ask(Arc::clone(&self.gateway)));
            }
            Action::Copy(copy) => {
                for to in self.homes.others(key) {
                    // A sample that is lost costs a run after the loss of this home.
                    self.copier.send(to, key, copy.clone());
                }
            }
        }
    }

    fn start(&mut self, key: &StepKey, step: &Arc<Step>, model: &Arc<Service>, start: Start) {
        let Some(orders) = self.orders.upgrade() else {
            return;
        };
        let (run, to) = (start.run, start.to);
        let (stop, stopped) = oneshot::channel();
        let making = Run {
            model: Arc::clone(model),
            step: Arc::clone(step),
            start,
            orders,
            stop: stopped,
        };
        let task = tokio::spawn(making.make(Arc::clone(&self.gateway)));
        let handle = RunHandle {
            to,
            task: task.abort_handle(),
            stop: Some(stop),
        };
        self.runs.insert((key.clone(), run), handle);
    }

    fn runs_at(&self) -> HashMap<SocketAddr, u32> {
        let mut at: HashMap<SocketAddr, u32> = HashMap::new();
        for handle in self.runs.values() {
            *at.entry(handle.to).or_default() += 1;
        }
        at
    }
}
