//! The task that runs the items of the models that belong to this front.
//!
//! It looks at the steps whenever something changed, places waiting items on replicas, and
//! hands texts to the reward call and the writer. It keeps nothing that must last: another
//! front that takes over reads the steps and begins with what is not listed.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dispatch::{Engine, Placed, ReplicaId, Route, Waiting, place};
use steps::{
    ErrorCause, FailedPart, IndexRecord, ItemData, ItemHead, Step, StepHead, StepId, decode_item,
};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::clock::now_ms;
use crate::log_record::{DATA_TOPIC, LogRecord};
use crate::peers::Member;
use crate::reward;
use crate::run_item::{self, Partial, Ran, RunEnd, RunSpec};
use crate::state::Front;
use crate::writer::{Ended, Outcome, append_index};

/// How often steps are looked at when nothing is heard, in milliseconds.
const LOOK_MS: u64 = 100;
/// How old the knowledge of the index may be when a run starts, in milliseconds; an item of
/// a step that was ended must not reach a replica three seconds later.
const INDEX_AGE_MS_MAX: u64 = 1_500;
/// How long a replica that refused an item of a model gets no other, in milliseconds; a load
/// of weights takes about a second.
const REFUSED_MS: u64 = 120;
/// How long one that broke a run gets no other, in milliseconds.
const BROKEN_MS: u64 = 400;
/// Beyond the time in which an item may be given up, in milliseconds, against early clocks.
const GIVE_UP_SLACK_MS: u64 = 1_000;
/// Output tokens of an item whose trainer gives no hint.
const TOKENS_GUESS: u32 = 600;
/// Share of a new observation in a replica's pace, in hundredths.
const PACE_SHARE: u64 = 40;
/// Longest time for reading items' data, in milliseconds.
const DATA_MS: u64 = 1_200;
/// Kibibytes of items' data in one read.
const DATA_KB: u32 = 64;
/// Ended items that wait for the writer, at most.
pub const ENDED_MAX: usize = 256;

type Key = (StepId, u32);

/// News for the runner.
enum News {
    /// A step's data was read.
    Data(StepId, Vec<Arc<ItemData>>),
    /// It can't be read now.
    NoData(StepId),
    /// A run ended.
    Ran(Key, ReplicaId, Partial, Ran),
    /// An item was handed to the writer.
    Settled,
}

struct EngineState {
    running: Arc<AtomicU32>,
    event_us: u64,
    refused_until_ms: HashMap<Arc<str>, u64>,
    prompts: HashMap<Arc<str>, (u64, Vec<u64>)>,
}

impl EngineState {
    fn new() -> Self {
        Self {
            running: Arc::default(),
            event_us: 0,
            refused_until_ms: HashMap::new(),
            prompts: HashMap::new(),
        }
    }
}

/// A place at a replica, given back when dropped.
struct Place(Arc<AtomicU32>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Running {
    abort: AbortHandle,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

struct Runner {
    front: Arc<Front>,
    news: mpsc::UnboundedSender<News>,
    ended: mpsc::Sender<Ended>,
    data: HashMap<StepId, Vec<Arc<ItemData>>>,
    asked: HashSet<StepId>,
    running: HashMap<Key, Running>,
    partials: HashMap<Key, (Partial, Option<ReplicaId>)>,
    failed_runs: HashMap<Key, u32>,
    engines: HashMap<ReplicaId, EngineState>,
}

/// Runs items until the process ends.
pub async fn run(front: Arc<Front>, ended: mpsc::Sender<Ended>) {
    let (news, mut heard) = mpsc::unbounded_channel();
    let mut runner = Runner {
        front: Arc::clone(&front),
        news,
        ended,
        data: HashMap::new(),
        asked: HashSet::new(),
        running: HashMap::new(),
        partials: HashMap::new(),
        failed_runs: HashMap::new(),
        engines: HashMap::new(),
    };
    loop {
        tokio::select! {
            Some(news) = heard.recv() => runner.take(news),
            () = front.runner_news.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(LOOK_MS)) => {}
        }
        while let Ok(news) = heard.try_recv() {
            runner.take(news);
        }
        runner.look();
    }
}

/// A waiting item with what is needed to start it.
struct Candidate {
    key: Key,
    head: Arc<StepHead>,
    waiting: Waiting,
    left_ms: u64,
}

impl Runner {
    fn take(&mut self, news: News) {
        match news {
            News::Data(step, data) => {
                self.asked.remove(&step);
                self.data.insert(step, data);
            }
            News::NoData(step) => {
                self.asked.remove(&step);
            }
            News::Ran(key, replica, partial, ran) => self.take_run(key, replica, partial, ran),
            News::Settled => {}
        }
    }

    fn take_run(&mut self, key: Key, replica: ReplicaId, partial: Partial, ran: Ran) {
        self.running.remove(&key);
        let now_ms = now_ms();
        let Some((head, progress)) = self.step_of(key) else {
            return;
        };
        let engine = self
            .engines
            .entry(Arc::clone(&replica))
            .or_insert_with(EngineState::new);
        if let Some(event_us) = ran.event_us {
            engine.event_us = match engine.event_us {
                0 => event_us,
                mean => (mean * (100 - PACE_SHARE) + event_us * PACE_SHARE) / 100,
            };
        }
        let model: Arc<str> = head.model.as_str().into();
        let (step, item) = key;
        match ran.end {
            RunEnd::Whole => self.settle(key, &head, partial, progress.failed_rewards),
            RunEnd::NotRun(why) => {
                log::debug!(event = "item_not_run", step = step.0, item, replica = &*replica, why; "");
                engine.refused_until_ms.insert(model, now_ms + REFUSED_MS);
                self.partials.insert(key, (partial, Some(replica)));
            }
            RunEnd::Broken(why) => {
                log::info!(
                    event = "item_broken", step = step.0, item, replica = &*replica,
                    events = partial.last_event, why; ""
                );
                engine.refused_until_ms.insert(model, now_ms + BROKEN_MS);
                self.partials.insert(key, (partial, Some(replica)));
            }
            RunEnd::Failed => {
                let here = self.failed_runs.entry(key).or_insert(0);
                *here += 1;
                let failed = progress.failed_runs.max(*here);
                log::info!(event = "item_failed", step = step.0, item, replica = &*replica, failed; "");
                if failed >= head.attempts_max {
                    self.give_up(key, ErrorCause::Runs);
                } else {
                    self.note_failed_run(key);
                    self.partials.insert(key, (partial, Some(replica)));
                }
            }
            RunEnd::Impossible => self.give_up(key, ErrorCause::Impossible),
        }
    }

    fn step_of(&self, (step, item): Key) -> Option<(Arc<StepHead>, steps::ItemProgress)> {
        let index = self.front.index();
        let step = index.ledger.get(step)?;
        Some((Arc::clone(&step.head), *step.progress.get(item as usize)?))
    }

    fn note_failed_run(&self, (step, item): Key) {
        let front = Arc::clone(&self.front);
        tokio::spawn(async move {
            let part = FailedPart::Run;
            let record = [LogRecord::Index(IndexRecord::Failed { step, item, part })];
            if let Err(error) = append_index(&front, &record).await {
                log::warn!(event = "failure_not_written", step = step.0, item, error:% = error; "");
            }
        });
    }

    /// Has a whole text scored and written.
    fn settle(&mut self, key: Key, head: &StepHead, partial: Partial, failed_rewards: u32) {
        let Some(data) = self
            .data
            .get(&key.0)
            .and_then(|data| data.get(key.1 as usize))
        else {
            return;
        };
        let (front, data) = (Arc::clone(&self.front), Arc::clone(data));
        let (ended, news) = (self.ended.clone(), self.news.clone());
        let item_id = head.items[key.1 as usize].id.clone();
        let task = tokio::spawn(async move {
            let score = match &data.scorer {
                None => Some(String::new()),
                Some(scorer) => reward::score(&front, key, scorer, failed_rewards).await,
            };
            let (step, item) = key;
            let outcome = match score {
                Some(score) => {
                    log::info!(
                        event = "item_scored", id = item_id, step = step.0, item,
                        versions:? = partial.versions; ""
                    );
                    let text = Bytes::from(partial.text);
                    Outcome::Text {
                        text,
                        versions: partial.versions,
                        score,
                    }
                }
                None => {
                    log::info!(event = "item_without_score", id = item_id, step = step.0, item; "");
                    Outcome::Error(ErrorCause::Reward)
                }
            };
            // The writer ends with the process only.
            let _ = ended
                .send(Ended {
                    step,
                    item,
                    outcome,
                })
                .await;
            let _ = news.send(News::Settled);
        });
        self.running.insert(
            key,
            Running {
                abort: task.abort_handle(),
            },
        );
    }

    /// Lists an item without a text.
    fn give_up(&mut self, key: Key, cause: ErrorCause) {
        let (step, item) = key;
        log::info!(event = "item_given_up", step = step.0, item, cause:? = cause; "");
        let ended = self.ended.clone();
        let task = tokio::spawn(async move {
            let outcome = Outcome::Error(cause);
            let _ = ended
                .send(Ended {
                    step,
                    item,
                    outcome,
                })
                .await;
        });
        self.running.insert(
            key,
            Running {
                abort: task.abort_handle(),
            },
        );
    }

    fn look(&mut self) {
        let now_ms = now_ms();
        self.stop_what_ended(now_ms);
        let index_age_ms = self.front.index_age_ms(now_ms);
        if !index_age_ms.is_some_and(|age_ms| age_ms < INDEX_AGE_MS_MAX) {
            return;
        }
        let candidates = self.candidates(now_ms);
        if !candidates.is_empty() {
            self.start(candidates, now_ms);
        }
    }

    /// Stops items that are listed, whose step was ended, or that belong to another front.
    fn stop_what_ended(&mut self, now_ms: u64) {
        let front = Arc::clone(&self.front);
        let index = front.index();
        let leaving = front.drain.is_leaving();
        let wanted = |key: &Key| {
            index.ledger.get(key.0).is_some_and(|step| {
                let mine = leaving || front.runs(&step.head.model, now_ms);
                let listed = step
                    .progress
                    .get(key.1 as usize)
                    .is_none_or(|item| item.listed);
                !step.ended && !listed && mine
            })
        };
        self.running.retain(|key, _| wanted(key));
        self.partials.retain(|key, _| wanted(key));
        self.failed_runs.retain(|key, _| wanted(key));
        self.data
            .retain(|step, _| index.ledger.get(*step).is_some_and(Step::is_open));
    }

    /// Waiting items of the steps that this front runs; asks for the data of those it lacks.
    fn candidates(&mut self, now_ms: u64) -> Vec<Candidate> {
        let front = Arc::clone(&self.front);
        let mut candidates = Vec::new();
        let mut missing = Vec::new();
        let mut too_late = Vec::new();
        {
            let index = front.index();
            let open = |step: &&Step| step.is_open() && front.runs(&step.head.model, now_ms);
            for step in index.ledger.steps().filter(open) {
                if !self.data.contains_key(&step.id) {
                    missing.push((step.id, Arc::clone(&step.head)));
                }
                let age_ms = now_ms - step.read_ms;
                let given_up_ms = step.head.retention_ms + GIVE_UP_SLACK_MS;
                for (item, progress) in step.progress.iter().enumerate() {
                    let key = (step.id, item as u32);
                    let finishing = now_ms < progress.finishing_until_ms;
                    if progress.listed || finishing || self.running.contains_key(&key) {
                        continue;
                    }
                    if step.head.retention_ms > 0 && age_ms > given_up_ms {
                        too_late.push(key);
                        continue;
                    }
                    if self.data.contains_key(&step.id) {
                        candidates.push(self.candidate(step, key, given_up_ms - age_ms));
                    }
                }
            }
        }
        for (step, head) in missing {
            self.ask_for_data(step, head);
        }
        for key in too_late {
            self.give_up(key, ErrorCause::GivenUp);
        }
        candidates
    }

    fn candidate(&self, step: &Step, key: Key, left_ms: u64) -> Candidate {
        let head: &ItemHead = &step.head.items[key.1 as usize];
        let partial = self.partials.get(&key);
        let versions = partial.map_or(&[][..], |(partial, _)| &partial.versions);
        let only_version = match step.head.single_version {
            true => versions.first().copied(),
            false => None,
        };
        let guess = match head.hint_tokens {
            0 => TOKENS_GUESS,
            hint => hint,
        };
        Candidate {
            key,
            head: Arc::clone(&step.head),
            left_ms,
            waiting: Waiting {
                step_rank: step.id.0,
                tokens_left: guess,
                min_version: step.head.min_version,
                only_version,
                prompt: step.id.0 << 16 | u64::from(head.group),
                avoid: None,
            },
        }
    }

    fn ask_for_data(&mut self, step: StepId, head: Arc<StepHead>) {
        if !self.asked.insert(step) {
            return;
        }
        let (front, news) = (Arc::clone(&self.front), self.news.clone());
        tokio::spawn(async move {
            let answer = match read_data(&front, &head).await {
                Some(data) => News::Data(step, data),
                None => {
                    tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
                    News::NoData(step)
                }
            };
            // The runner ends with the process only.
            let _ = news.send(answer);
        });
    }

    fn start(&mut self, mut candidates: Vec<Candidate>, now_ms: u64) {
        let routes = self.front.routes.load_full();
        let Some(routes) = routes else {
            return;
        };
        while let Some(first) = candidates.first() {
            let head = Arc::clone(&first.head);
            let same = |other: &Candidate| {
                other.head.host == head.host
                    && other.head.prefix == head.prefix
                    && other.head.model == head.model
            };
            let (now, later): (Vec<_>, Vec<_>) = candidates.into_iter().partition(same);
            candidates = later;
            match routes.exact(&head.host, &head.prefix) {
                Some(route) => self.start_on(route, &head, now, now_ms),
                None => now
                    .iter()
                    .for_each(|item| self.give_up(item.key, ErrorCause::GivenUp)),
            }
        }
    }

    fn start_on(&mut self, route: &Route, head: &StepHead, items: Vec<Candidate>, now_ms: u64) {
        let table = self.front.replicas.load_full();
        let services = route.backends.iter().filter(|backend| backend.weight > 0);
        let members: Vec<Member> = services
            .flat_map(|backend| table.of(&backend.service))
            .filter(|member| !member.replica.draining)
            .cloned()
            .collect();
        let mut engines = self.engines_for(&members, &head.model, now_ms);
        let waiting: Vec<Waiting> = items
            .iter()
            .map(|item| {
                let broke_at = self.partials.get(&item.key).and_then(|(_, at)| at.as_ref());
                let avoid = broke_at.and_then(|broke_at| {
                    members
                        .iter()
                        .position(|member| member.replica.id == *broke_at)
                });
                Waiting {
                    avoid,
                    ..item.waiting.clone()
                }
            })
            .collect();
        for Placed { item, engine } in place(&waiting, &mut engines) {
            self.start_one(&items[item], &members[engine]);
        }
        for (member, engine) in members.iter().zip(engines) {
            if let Some(state) = self.engines.get_mut(&member.replica.id) {
                state
                    .prompts
                    .insert(head.model.as_str().into(), (engine.version, engine.prompts));
            }
        }
    }

    fn engines_for(&mut self, members: &[Member], model: &str, now_ms: u64) -> Vec<Engine> {
        let listed: HashSet<&ReplicaId> = members.iter().map(|member| &member.replica.id).collect();
        self.engines
            .retain(|id, state| listed.contains(id) || state.running.load(Ordering::Relaxed) > 0);
        for member in members {
            let id = Arc::clone(&member.replica.id);
            self.engines.entry(id).or_insert_with(EngineState::new);
        }
        let mut paces: Vec<u64> = members
            .iter()
            .map(|member| self.engines[&member.replica.id].event_us)
            .filter(|event_us| *event_us > 0)
            .collect();
        paces.sort_unstable();
        let typical_us = paces.get(paces.len() / 2).copied().unwrap_or(0);
        members
            .iter()
            .map(|member| {
                let state = &self.engines[&member.replica.id];
                let running = state.running.load(Ordering::Relaxed);
                let version = member.replica.version_of(model).unwrap_or(0);
                let refused = state
                    .refused_until_ms
                    .get(model)
                    .is_some_and(|at| now_ms < *at);
                let prompts = match state.prompts.get(model) {
                    Some((held, prompts)) if *held == version => prompts.clone(),
                    _ => Vec::new(),
                };
                let free = member.replica.slots.saturating_sub(running);
                Engine {
                    version,
                    free: if refused { 0 } else { free },
                    running,
                    slowness: slowness(state.event_us, typical_us),
                    prompts,
                }
            })
            .collect()
    }

    fn start_one(&mut self, item: &Candidate, member: &Member) {
        let (step, number) = item.key;
        let Some(data) = self
            .data
            .get(&step)
            .and_then(|data| data.get(number as usize))
        else {
            return;
        };
        let replica = Arc::clone(&member.replica.id);
        let state = self
            .engines
            .entry(Arc::clone(&replica))
            .or_insert_with(EngineState::new);
        state.running.fetch_add(1, Ordering::Relaxed);
        let place = Place(Arc::clone(&state.running));
        let mut partial = self
            .partials
            .remove(&item.key)
            .map(|held| held.0)
            .unwrap_or_default();
        let spec = RunSpec {
            id: item.head.items[number as usize].id.clone(),
            host: item.head.host.clone(),
            data: Arc::clone(data),
            member: member.clone(),
            min_version: item.head.min_version,
            single_version: item.head.single_version,
            left_ms: item.left_ms,
        };
        log::debug!(
            event = "item_started", id = spec.id, step = step.0, item = number,
            replica = &*replica, from_event = partial.last_event; ""
        );
        let (key, news) = (item.key, self.news.clone());
        let task = tokio::spawn(async move {
            let ran = run_item::run(&spec, &mut partial).await;
            drop(place);
            // The runner ends with the process only.
            let _ = news.send(News::Ran(key, replica, partial, ran));
        });
        self.running.insert(
            key,
            Running {
                abort: task.abort_handle(),
            },
        );
    }
}

/// Pace against the middle one, in thousandths.
fn slowness(event_us: u64, typical_us: u64) -> u64 {
    match (event_us, typical_us) {
        (0, _) | (_, 0) => 1_000,
        (event_us, typical_us) => event_us * 1_000 / typical_us,
    }
}

async fn read_data(front: &Front, head: &StepHead) -> Option<Vec<Arc<ItemData>>> {
    let mut data = Vec::with_capacity(head.items.len());
    while data.len() < head.items.len() {
        let (partition, offset) = head.data_of(data.len())?;
        let within = Duration::from_millis(DATA_MS);
        let page = front
            .store
            .read(DATA_TOPIC, partition, offset, DATA_KB, 0, within)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                log::warn!(event = "items_not_read", id = head.id, error:% = error; "");
                return None;
            }
        };
        let before = data.len();
        for (at, record) in page.records.iter().enumerate() {
            // Records behind the end of a range are not of this step.
            if head.data_of(before + at) != Some((partition, offset + at as u64)) {
                break;
            }
            match decode_item(record) {
                Ok(item) => data.push(Arc::new(item)),
                Err(error) => {
                    log::error!(event = "item_data_odd", id = head.id, error:% = error; "");
                    return None;
                }
            }
        }
        if data.len() == before {
            log::warn!(event = "items_not_read", id = head.id, offset; "");
            return None;
        }
    }
    Some(data)
}
