//! The owner of the ledgers: one task that takes orders, asks each ledger what is to be
//! done, and starts the tasks that do it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::Service;
use node::now_ms;
use samples::{
    Action, Copy, Cursor, CursorKeys, IdleClock, Ledger, LedgerSettings, RunId, Start, Step,
    StepKey, Steps,
};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use types::WeightVersion;
use weights::ModelKey;

use super::copies::{Copier, Told, post};
use super::desk::DeskInbox;
use super::forward::homes_of;
use super::orders::{Fetch, Order, Post, Reply, RunNews};
use super::rhythm::Rhythm;
use super::room::room;
use super::run::Run;
use super::score::Scoring;
use super::steps_status::StepStatus;
use crate::gateway::Gateway;
use crate::rejection::Rejection;

/// Steps that nobody asks for are dropped after this time, in milliseconds.
const STEP_IDLE_MS: u64 = 900_000;
/// Longest sleep: room changes without an order.
const TICK_MS: u64 = 100;
/// Orders that are taken before the ledgers are asked what to do.
const ORDERS_AT_ONCE: usize = 256;

struct RunHandle {
    to: SocketAddr,
    task: AbortHandle,
    stop: Option<oneshot::Sender<()>>,
}

struct Waiting {
    fetch: Fetch,
    until_ms: u64,
    answer: oneshot::Sender<Result<Reply, Rejection>>,
}

struct Desk {
    gateway: Arc<Gateway>,
    orders: mpsc::WeakSender<Order>,
    copier: Copier,
    keys: CursorKeys,
    steps: Steps,
    runs: HashMap<(StepKey, RunId), RunHandle>,
    waiting: Vec<Waiting>,
    told: Told,
    idle: BTreeMap<StepKey, IdleClock>,
    rhythm: Rhythm,
    /// Samples may have become ready since the waiting fetches were looked at.
    ready: bool,
}

/// Starts the owner.
pub fn spawn(inbox: DeskInbox, gateway: Arc<Gateway>, copier: Copier, keys: CursorKeys) {
    let desk = Desk {
        gateway,
        orders: inbox.sender,
        copier,
        keys,
        steps: Steps::new(STEP_IDLE_MS),
        runs: HashMap::new(),
        waiting: Vec::new(),
        told: Told::default(),
        idle: BTreeMap::new(),
        rhythm: Rhythm::default(),
        ready: false,
    };
    tokio::spawn(desk.run(inbox.orders));
}

impl Desk {
    async fn run(mut self, mut orders: mpsc::Receiver<Order>) {
        let mut batch = Vec::new();
        let mut next_tick_ms = now_ms();
        loop {
            let wait = Duration::from_millis(next_tick_ms.saturating_sub(now_ms()));
            tokio::select! {
                taken = orders.recv_many(&mut batch, ORDERS_AT_ONCE) => {
                    if taken == 0 {
                        return;
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            for order in batch.drain(..) {
                self.take(order);
            }
            if now_ms() >= next_tick_ms {
                next_tick_ms = now_ms() + TICK_MS;
                self.tick();
            }
            self.act();
            self.answer_waiting();
        }
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Post(step, answer) => {
                let posted = self.post(&step);
                // The trainer may have gone; it posts again.
                let _ = answer.send(posted);
            }
            Order::Fetch(fetch, answer) => self.fetch(fetch, answer),
            Order::Copies(copies) => copies.into_iter().for_each(|copy| self.copy(copy)),
            Order::Run(key, run, news) => self.run_news(&key, run, news),
            Order::Scored(key, run, score) => {
                let now_ms = now_ms();
                if let Some(ledger) = self.steps.get_mut(&key, now_ms) {
                    match score {
                        Some(score) => ledger.scored(run, score),
                        None => ledger.score_failed(run, now_ms),
                    }
                    self.ready = true;
                }
            }
            Order::Announced(model, version) => self.announced(&model, version),
            Order::Status(answer) => {
                let _ = answer.send(self.status());
            }
        }
    }

    fn post(&mut self, posted: &Post) -> Result<String, Rejection> {
        let step = &posted.step;
        let cursor = match &posted.cursor {
            Some(text) => Cursor::open(text, &self.keys, step)?,
            None => Cursor::start(step),
        };
        self.hold(step, &posted.model, &cursor, posted.trainer_version)?;
        let others = self.other_homes(&step.key);
        self.told.update(&step.key, others.clone());
        for to in others {
            let copy = post(step, posted.cursor.clone(), posted.trainer_version);
            self.copier.send(to, &step.key, copy);
        }
        Ok(cursor.seal(&self.keys))
    }

    fn hold(
        &mut self,
        step: &Arc<Step>,
        model: &Service,
        cursor: &Cursor,
        trainer_version: WeightVersion,
    ) -> Result<(), Rejection> {
        let settings = LedgerSettings {
            staleness_bound: model.staleness_bound,
            scored: model.scorer.is_some(),
            ..LedgerSettings::default()
        };
        let now_ms = now_ms();
        self.steps
            .post(step, &settings, cursor, trainer_version, now_ms)?;
        let model = ModelKey {
            customer: step.key.customer.clone(),
            service: step.key.service.clone(),
        };
        let in_force = self.gateway.weights.targets().get(&model).copied();
        if let (Some(target), Some(ledger)) = (in_force, self.steps.get_mut(&step.key, now_ms)) {
            ledger.announce(target.serve, None, now_ms);
        }
        Ok(())
    }

    /// What the step's other home sends. A post of a step that this process knows no model
    /// for yet is dropped; the trainer's next post brings it.
    fn copy(&mut self, copy: Copy) {
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

    fn run_news(&mut self, key: &StepKey, run: RunId, news: RunNews) {
        let now_ms = now_ms();
        if !matches!(news, RunNews::Progress { .. }) {
            self.runs.remove(&(key.clone(), run));
            self.ready = true;
        }
        let Some(ledger) = self.steps.get_mut(key, now_ms) else {
            return;
        };
        match news {
            RunNews::Progress { tokens, stamp } => ledger.progress(run, tokens, stamp, now_ms),
            RunNews::Finished(completion) => ledger.finished(run, completion, now_ms),
            RunNews::Failed(fault, partial) => ledger.failed(run, fault, partial, now_ms),
        }
    }

    fn announced(&mut self, model: &ModelKey, version: WeightVersion) {
        let now_ms = now_ms();
        let next_news_ms = self.rhythm.announced(model, now_ms);
        for (key, ledger) in self.steps.iter_mut() {
            if key.customer == model.customer && key.service == model.service {
                ledger.announce(version, next_news_ms, now_ms);
            }
        }
    }

    /// Now and then: steps nobody asks for go, and new homes get everything.
    fn tick(&mut self) {
        let now_ms = now_ms();
        for action in self.steps.retire(now_ms) {
            if let Action::Cancel { run } = action {
                // The retired step's key is not told; its runs are those of no held step.
                log::debug!(event = "retired-run", run = run.0; "");
            }
        }
        let held: Vec<StepKey> = self.steps.iter_mut().map(|(key, _)| key.clone()).collect();
        self.told.retain(|key| held.contains(key));
        self.idle.retain(|key, _| held.contains(key));
        self.runs.retain(|(key, _), handle| {
            let kept = held.contains(key);
            if !kept {
                handle.task.abort();
            }
            kept
        });
        for key in held {
            self.tell_new_homes(&key);
        }
    }

    fn tell_new_homes(&mut self, key: &StepKey) {
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

    /// Asks each ledger what is to be done and does it.
    fn act(&mut self) {
        let now_ms = now_ms();
        let at_home = self.at_home();
        let view = self.gateway.feed.view();
        let mut todo: Vec<(StepKey, Arc<Step>, Vec<Action>)> = Vec::new();
        let mut at = self.runs_at();
        for (key, ledger) in self.steps.iter_mut() {
            if at_home.contains(key) {
                let state = self.gateway.services.get(&key.customer, &key.service);
                if let Some(state) = state {
                    let mut room = room(&state.table(), &at);
                    let steps = u32::try_from(at_home.len()).unwrap_or(u32::MAX);
                    room.in_progress_max = room.in_progress_max.div_ceil(steps.max(1));
                    ledger.dispatch(&room, now_ms);
                }
            }
            let actions = ledger.drain();
            for action in &actions {
                if let Action::Start(start) = action {
                    *at.entry(start.to).or_default() += 1;
                }
            }
            if !actions.is_empty() {
                todo.push((key.clone(), Arc::clone(ledger.step()), actions));
            }
        }
        for (key, step, actions) in todo {
            for action in actions {
                self.perform(&key, &step, &view, action);
            }
        }
    }

    fn perform(&mut self, key: &StepKey, step: &Arc<Step>, view: &config::View, action: Action) {
        let model = view.service(&key.customer, &key.service);
        match action {
            Action::Start(start) => match model {
                Some(model) => self.start(key, step, model, start),
                None => self.run_news(
                    key,
                    start.run,
                    RunNews::Failed(samples::Fault::Refused, start.resume),
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
                for to in self.other_homes(key) {
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

    /// Steps whose home is this entry.
    fn at_home(&mut self) -> Vec<StepKey> {
        let own = self.gateway.identity.node().address;
        let gateway = Arc::clone(&self.gateway);
        let keys = self.steps.iter_mut().map(|(key, _)| key);
        let home = |key: &&StepKey| homes_of(&gateway, key).is_some_and(|h| h.first == own);
        keys.filter(home).cloned().collect()
    }

    fn other_homes(&self, key: &StepKey) -> Vec<SocketAddr> {
        let own = self.gateway.identity.node().address;
        let homes = homes_of(&self.gateway, key);
        let homes = homes.into_iter();
        let both = homes.flat_map(|homes| std::iter::once(homes.first).chain(homes.second));
        both.filter(|&home| home != own).collect()
    }

    fn fetch(&mut self, fetch: Fetch, answer: oneshot::Sender<Result<Reply, Rejection>>) {
        let now_ms = now_ms();
        let clock = self.idle.entry(fetch.key.clone()).or_default();
        clock.fetch_began(now_ms);
        let until_ms = now_ms + fetch.wait_ms;
        self.waiting.push(Waiting {
            fetch,
            until_ms,
            answer,
        });
        self.ready = true;
    }

    /// Answers the fetches that have samples or whose wait is over.
    fn answer_waiting(&mut self) {
        let now_ms = now_ms();
        let look = std::mem::take(&mut self.ready);
        for waiting in std::mem::take(&mut self.waiting) {
            let over = now_ms >= waiting.until_ms;
            if waiting.answer.is_closed() {
                self.fetch_ended(&waiting.fetch.key, now_ms);
                continue;
            }
            if !look && !over {
                self.waiting.push(waiting);
                continue;
            }
            match self.reply(&waiting.fetch, now_ms) {
                Ok(reply) if reply.offers.is_empty() && !reply.complete && !over => {
                    self.waiting.push(waiting);
                }
                answer => {
                    self.fetch_ended(&waiting.fetch.key, now_ms);
                    // The trainer may have gone; it fetches again with the same cursor.
                    let _ = waiting.answer.send(answer);
                }
            }
        }
    }

    fn fetch_ended(&mut self, key: &StepKey, now_ms: u64) {
        if let Some(clock) = self.idle.get_mut(key) {
            clock.fetch_ended(now_ms);
        }
    }

    fn reply(&mut self, fetch: &Fetch, now_ms: u64) -> Result<Reply, Rejection> {
        let ledger = self.steps.get_mut(&fetch.key, now_ms);
        let ledger = ledger.ok_or(Rejection::StepNotHeld(fetch.key.step))?;
        let cursor = Cursor::open(&fetch.cursor, &self.keys, ledger.step())?;
        let reply = ledger.fetch(&cursor, fetch.trainer_version, fetch.max, now_ms)?;
        Ok(Reply {
            offers: reply.samples,
            cursor: reply.cursor.seal(&self.keys),
            received: reply.received,
            total: reply.total,
            complete: reply.complete,
        })
    }

    fn status(&mut self) -> Vec<StepStatus> {
        let now_ms = now_ms();
        let home = self.at_home();
        let idle = &self.idle;
        let held = self.steps.iter_mut();
        held.map(|(key, ledger)| {
            let idle_ms = idle.get(key).map_or(0, |clock| clock.idle_ms(now_ms));
            StepStatus::of(key, ledger, home.contains(key), idle_ms)
        })
        .collect()
    }
}

/// The cursor of what the trainer is known to have.
fn received(ledger: &Ledger) -> Cursor {
    Cursor::start(ledger.step()).after(ledger.received().iter())
}
