//! Queues of waiting items, one for each pool of replicas.
//!
//! A pool is the set of replicas of a route's services. Steps of several models and customers share
//! a pool, so their waiting items are placed together.

use super::*;

/// A waiting item, as the placement sees it, with the data for starting a run.
pub(super) struct QueuedItem {
    pub(super) key: ItemKey,
    pub(super) head: Arc<StepHead>,
    pub(super) waiting: WaitingItem,
    /// Time until the item is abandoned.
    pub(super) left_ms: u64,
}

/// Criteria that order the items of a step before the age of the step does.
#[derive(Clone, Copy)]
pub(super) struct Precedence {
    /// Number of older steps of the same customer and model that have waiting items too.
    pub(super) turn: u32,
    /// Rank of the customer at the route.
    pub(super) rank: WaitingRank,
}

/// Services of a pool and the number of shards into which its replicas are divided.
pub(super) type PoolKey = (Vec<Arc<str>>, u16);

/// Waiting items of all models that compete for the replicas of one pool.
pub(super) struct PoolQueue {
    /// Services of the replicas, sorted.
    pub(super) services: Vec<Arc<str>>,
    /// Names of the models. A model's index is its number in items and engines.
    pub(super) models: Vec<Arc<str>>,
    /// Oldest version that any item of the model may use, by number of the model.
    min_versions: Vec<u64>,
    /// Number of shards of the pool.
    shards: u16,
    /// Shards that this front owns.
    owned: BTreeSet<u16>,
    /// Number of steps with waiting items that were added so far, by customer and model.
    turns: HashMap<(String, usize), u32>,
    pub(super) waiting: Vec<QueuedItem>,
    /// Steps of which this front owns a shard, in the order of their age.
    pub(super) steps: Vec<(StepId, Precedence)>,
}

impl PoolQueue {
    fn new(services: Vec<Arc<str>>, shards: u16) -> Self {
        Self {
            services,
            models: Vec::new(),
            min_versions: Vec::new(),
            shards,
            owned: BTreeSet::new(),
            turns: HashMap::new(),
            waiting: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// What tells the queue from the others.
    pub(super) fn key(&self) -> PoolKey {
        (self.services.clone(), self.shards)
    }

    /// Whether this front owns a shard of the pool.
    pub(super) fn owns(&self, shard: u16) -> bool {
        self.owned.contains(&shard)
    }

    /// Whether most replicas of the pool report their start.
    pub(super) fn reports_start(&self, table: &ReplicaTable) -> bool {
        let of_service = |service: &Arc<str>| table.of(service).iter();
        let members = self.services.iter().flat_map(of_service);
        most_report_start(members.map(|member| &*member.replica))
    }

    /// Number of a model; `None` if no step of it was added.
    pub(super) fn model_number(&self, name: &str) -> Option<usize> {
        self.models.iter().position(|known| **known == *name)
    }

    /// Counts a step with waiting items and returns its turn. Called with the oldest step first.
    /// Steps without a customer, of fronts that require no key, all get turn 0 and are ordered by
    /// their age.
    fn next_turn(&mut self, customer: Option<&str>, model: usize) -> u32 {
        let Some(customer) = customer else { return 0 };
        let key = (customer.to_owned(), model);
        let added = self.turns.entry(key).or_insert(0);
        let turn = *added;
        *added += 1;
        turn
    }

    /// Adds a model if it is new; returns its number.
    fn add_model(&mut self, name: &str, min_version: u64) -> usize {
        match self.model_number(name) {
            Some(model) => {
                let known = &mut self.min_versions[model];
                *known = min_version.min(*known);
                model
            }
            None => {
                self.models.push(name.into());
                self.min_versions.push(min_version);
                self.models.len() - 1
            }
        }
    }

    /// Whether a replica has weights that some step in the queue may use.
    fn has_usable_version(&self, replica: &Replica) -> bool {
        let mut models = self.models.iter().zip(&self.min_versions);
        models.any(|(model, min_version)| {
            let version = replica.version_of(model);
            version.is_some_and(|version| version >= *min_version)
        })
    }

    /// Replicas of the pool that are not draining, each with a flag: true for a replica of a shard
    /// that another front owns. Of thousands of replicas few have usable weights; the others are
    /// left out, unless this front has runs there.
    pub(super) fn members(
        &self,
        table: &ReplicaTable,
        has_runs_at: impl Fn(&ReplicaId) -> bool,
    ) -> Vec<(Member, bool)> {
        let of_service = |service: &Arc<str>| table.of(service).iter();
        let members = self.services.iter().flat_map(of_service);
        let members: Vec<&Member> = members.filter(|member| !member.replica.draining).collect();
        let shards = match self.shards {
            0 | 1 => vec![0; members.len()],
            shards => replica_shards(members.iter().map(|member| &*member.replica.id), shards),
        };
        members
            .into_iter()
            .zip(shards)
            .filter(|(member, _)| {
                self.has_usable_version(&member.replica) || has_runs_at(&member.replica.id)
            })
            .map(|(member, shard)| (member.clone(), !self.owned.contains(&shard)))
            .collect()
    }
}

/// Result of a pass over the open steps of which this front owns a shard.
#[derive(Default)]
pub(super) struct StepScan {
    /// The configuration has what the store had accepted at this time.
    routes_as_of_ms: u64,
    pub(super) queues: Vec<PoolQueue>,
    /// Whether this front owns a shard of any open step.
    owns_steps: bool,
    /// Steps whose items' data this front has not read yet.
    missing_data: Vec<(StepId, Arc<StepHead>)>,
    /// Steps without a route in this front's configuration, which may be older than the step.
    unrouted: Vec<StepId>,
    /// Items whose time is up, or whose route is no longer configured.
    abandoned: Vec<ItemKey>,
}

impl StepScan {
    /// The queue of a route's pool. Steps with different numbers of shards get separate queues,
    /// because they split the replicas differently.
    fn queue_for(&mut self, route: &Route, shards: u16) -> &mut PoolQueue {
        let mut services: Vec<Arc<str>> = route.services().cloned().collect();
        services.sort_unstable();
        let known = self
            .queues
            .iter()
            .position(|queue| queue.services == services && queue.shards == shards);
        let index = known.unwrap_or_else(|| {
            self.queues.push(PoolQueue::new(services, shards));
            self.queues.len() - 1
        });
        &mut self.queues[index]
    }
}

impl Runner {
    /// Collects the waiting items of the shards that this front owns. Requests the data of steps
    /// that has not been read yet, and fails items whose time is up or whose route is gone.
    /// `routes` has what the store had accepted at `routes_as_of_ms`.
    pub(super) fn pool_queues(
        &mut self,
        routes: &Routes,
        routes_as_of_ms: u64,
        now_ms: u64,
    ) -> Vec<PoolQueue> {
        let front = Arc::clone(&self.front);
        let mut scan = StepScan {
            routes_as_of_ms,
            ..StepScan::default()
        };
        {
            let index = front.index();
            for step in index.ledger.steps().filter(|step| step.is_open()) {
                let shards = 0..step.head.shards;
                let owned: BTreeSet<u16> = shards
                    .filter(|shard| front.owns_shard(&step.head, *shard, now_ms))
                    .collect();
                if !owned.is_empty() {
                    scan.owns_steps = true;
                    self.scan_step(step, owned, routes, &mut scan, now_ms);
                }
            }
        }
        let active =
            scan.owns_steps || !self.running.is_empty() || owns_first_shard(&front, routes, now_ms);
        front.demand.set_active(Activity::Items, active);
        for (step, head) in scan.missing_data {
            self.request_data(step, head);
        }
        self.note_unrouted(scan.unrouted, routes);
        for key in scan.abandoned {
            self.fail_item(key, ErrorCause::GivenUp);
        }
        scan.queues
    }

    /// Adds the waiting items of a step to the queue of its pool, or notes that the step's data is
    /// missing or that its items are abandoned.
    fn scan_step(
        &self,
        step: &Step,
        owned: BTreeSet<u16>,
        routes: &Routes,
        scan: &mut StepScan,
        now_ms: u64,
    ) {
        if !self.data.contains_key(&step.id) {
            scan.missing_data.push((step.id, Arc::clone(&step.head)));
            return;
        }
        let waiting = self.waiting_keys(step, &owned, now_ms);
        let Some(left_ms) = left_ms(step, now_ms) else {
            self.log_abandoned(step, &waiting, "retention time over", routes, scan, now_ms);
            scan.abandoned.extend(waiting);
            return;
        };
        let Some(route) = routes.find_exact(&step.head.host, &step.head.prefix) else {
            if may_lack_route(step, scan.routes_as_of_ms) {
                scan.unrouted.push(step.id);
                return;
            }
            self.log_abandoned(step, &waiting, "route not configured", routes, scan, now_ms);
            scan.abandoned.extend(waiting);
            return;
        };
        let queue = scan.queue_for(route, step.head.shards);
        queue.owned.extend(owned);
        let model = queue.add_model(&step.head.model, step.head.min_version);
        let turn = match waiting.is_empty() {
            true => 0,
            false => queue.next_turn(step.head.customer.as_deref(), model),
        };
        let customer = step.head.customer.as_deref();
        let customer = customer.and_then(|name| routes.customers.named(name));
        let rank = customer.map_or_else(WaitingRank::default, |known| route.waiting_rank(known));
        let precedence = Precedence { turn, rank };
        queue.steps.push((step.id, precedence));
        let items = waiting
            .into_iter()
            .map(|key| self.queued_item(step, key, (model, precedence), left_ms));
        queue.waiting.extend(items);
    }

    /// Logs the steps that began to wait for their route, each once.
    fn note_unrouted(&mut self, steps: Vec<StepId>, routes: &Routes) {
        for step in steps.iter().filter(|step| !self.unrouted.contains(step)) {
            log::info!(event = "step-unrouted", step = step.0, routes_version = routes.version; "");
        }
        self.unrouted = steps;
    }

    /// Logs why items of a step are abandoned, with the configuration that decided it.
    fn log_abandoned(
        &self,
        step: &Step,
        items: &[ItemKey],
        why: &str,
        routes: &Routes,
        scan: &StepScan,
        now_ms: u64,
    ) {
        if items.is_empty() {
            return;
        }
        log::warn!(
            event = "step-abandoned", id = step.head.id, step = step.id.0, items = items.len(), why,
            prefix = step.head.prefix, routes_version = routes.version,
            routes_age_ms = now_ms.saturating_sub(scan.routes_as_of_ms),
            step_age_ms = now_ms.saturating_sub(step.read_ms); ""
        );
    }

    /// Items of the owned shards that are not listed, do not run here and are not reserved by
    /// another front.
    fn waiting_keys(&self, step: &Step, owned: &BTreeSet<u16>, now_ms: u64) -> Vec<ItemKey> {
        let key_if_waiting = |(item, progress): (usize, &steps::ItemProgress)| {
            let key = (step.id, item as u32);
            let may_run = owned.contains(&step.shard(key.1)) && !step.is_reserved(key.1, now_ms);
            let is_waiting = !progress.listed && !self.running.contains_key(&key);
            (may_run && is_waiting).then_some(key)
        };
        step.progress
            .iter()
            .enumerate()
            .filter_map(key_if_waiting)
            .collect()
    }

    fn queued_item(
        &self,
        step: &Step,
        key: ItemKey,
        (model, precedence): (usize, Precedence),
        left_ms: u64,
    ) -> QueuedItem {
        let head: &ItemHead = &step.head.items[key.1 as usize];
        let only_version = match step.head.single_version {
            true => self.initial_version(step, key),
            false => None,
        };
        QueuedItem {
            key,
            head: Arc::clone(&step.head),
            left_ms,
            waiting: WaitingItem {
                model,
                turn: precedence.turn,
                rank: precedence.rank,
                step_rank: step.id.0,
                left_ms: text_left_ms(
                    head.expected_tokens(),
                    self.generated_events(&key),
                    self.typical_interval_us,
                ),
                min_version: step.head.min_version,
                only_version,
                avoid: None,
            },
        }
    }

    /// Number of events of an item's text that this front has.
    pub(super) fn generated_events(&self, key: &ItemKey) -> u64 {
        let partial = self.partials.get(key);
        partial.map_or(0, |(partial, _)| lock(partial).last_event)
    }

    /// Version of the weights that generated the beginning of an item's text, whether this front
    /// has the text or only its saved pieces do. `None` if there is no text or it was discarded.
    fn initial_version(&self, step: &Step, key: ItemKey) -> Option<u64> {
        if let Some((partial, _)) = self.partials.get(&key) {
            let partial = lock(partial);
            if partial.discarded || !partial.versions.is_empty() {
                return partial.versions.first().copied();
            }
        }
        step.pieces(key.1).last()?.versions.first().copied()
    }

    /// Reads the data of a step's items in a new task, unless that is in progress already.
    fn request_data(&mut self, step: StepId, head: Arc<StepHead>) {
        if !self.requested_data.insert(step) {
            return;
        }
        let (front, messages) = (Arc::clone(&self.front), self.messages.clone());
        tokio::spawn(async move {
            let message = match read_data(&front, &head).await {
                Some(data) => RunnerMessage::DataRead(step, data),
                None => {
                    tokio::time::sleep(Duration::from_millis(RECONCILE_INTERVAL_MS)).await;
                    RunnerMessage::DataUnavailable(step)
                }
            };
            // Fails only if the process ends, as the runner runs until then.
            let _ = messages.send(message);
        });
    }
}

/// Whether this front owns the first shard of any pool. Every step has a first shard, so its owner
/// will run items of the pool's next step.
fn owns_first_shard(front: &Front, routes: &Routes, now_ms: u64) -> bool {
    let owned = front.ownership.load();
    let partitions = front.settings.store.partitions;
    let mut first_shards = routes
        .step_pools()
        .map(|pool| shard_partition(pool, 0, partitions));
    first_shards.any(|partition| owned.owns(partition, now_ms))
}

/// Time until the items of a step are abandoned; `None` once they are. Items of a step without a
/// retention time (0) are never abandoned.
fn left_ms(step: &Step, now_ms: u64) -> Option<u64> {
    let age_ms = now_ms - step.read_ms;
    let abandon_after_ms = step.head.retention_ms + ABANDON_SLACK_MS;
    let is_abandoned = step.head.retention_ms > 0 && age_ms > abandon_after_ms;
    (!is_abandoned).then(|| abandon_after_ms.saturating_sub(age_ms))
}

/// Whether a step may have been accepted under a newer configuration than this front's, which has
/// what the store had accepted at `routes_as_of_ms`. The index and the operator's records are read
/// independently, but the accepting front had read the route before it wrote the step, so a read of
/// the operator's records that was sent after the step was read brings the route or its removal.
fn may_lack_route(step: &Step, routes_as_of_ms: u64) -> bool {
    routes_as_of_ms <= step.read_ms
}
