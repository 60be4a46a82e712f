//! What waits, put together by the replicas that it waits for.

use super::*;

/// A waiting item with what is needed to start it.
pub(super) struct Candidate {
    pub(super) key: Key,
    pub(super) head: Arc<StepHead>,
    pub(super) waiting: WaitingItem,
    pub(super) left_ms: u64,
}

/// What of a step goes before its age when its items are placed.
#[derive(Clone, Copy)]
struct Precedence {
    /// Steps of the customer's model before it that have waiting items too.
    turn: u32,
    /// Rank of its customer and route.
    rank: WaitingRank,
}

/// Items that compete for the same replicas, of all models that share them.
pub(super) struct Contest {
    /// Services of the replicas.
    pub(super) services: Vec<Arc<str>>,
    /// Names of the models; items and engines name them by their numbers here.
    pub(super) models: Vec<Arc<str>>,
    /// Oldest version that may make an item, by model.
    min_versions: Vec<u64>,
    /// Shards that the pool is cut into, and those of them that this front runs.
    shards: u16,
    owned: BTreeSet<u16>,
    /// Steps with waiting items that were seen, by customer and model.
    turns: HashMap<(String, usize), u32>,
    pub(super) waiting: Vec<Candidate>,
}

impl Contest {
    fn new(services: Vec<Arc<str>>, shards: u16) -> Self {
        Self {
            services,
            models: Vec::new(),
            min_versions: Vec::new(),
            shards,
            owned: BTreeSet::new(),
            turns: HashMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Number of a model, if items of it were seen.
    pub(super) fn model(&self, name: &str) -> Option<usize> {
        self.models.iter().position(|known| **known == *name)
    }

    /// Steps of a customer's model before this one that have waiting items; steps come oldest
    /// first. Where nobody shows a key, all steps are nobody's and go by their age.
    fn turn(&mut self, customer: Option<&str>, model: usize) -> u32 {
        let Some(customer) = customer else { return 0 };
        let key = (customer.to_owned(), model);
        let seen = self.turns.entry(key).or_insert(0);
        let turn = *seen;
        *seen += 1;
        turn
    }

    fn number_model(&mut self, name: &str, min_version: u64) -> usize {
        match self.model(name) {
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

    /// Whether a replica has weights that may make some item.
    fn can_use(&self, replica: &Replica) -> bool {
        let mut models = self.models.iter().zip(&self.min_versions);
        models.any(|(model, min_version)| {
            let version = replica.version_of(model);
            version.is_some_and(|version| version >= *min_version)
        })
    }

    /// Replicas that may take work, and whether each belongs to another front's part first. Of
    /// thousands few have weights of use; `runs_at` names those to keep that have runs.
    pub(super) fn members(
        &self,
        table: &ReplicaTable,
        runs_at: impl Fn(&ReplicaId) -> bool,
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
            .filter(|(member, _)| self.can_use(&member.replica) || runs_at(&member.replica.id))
            .map(|(member, shard)| (member.clone(), !self.owned.contains(&shard)))
            .collect()
    }
}

/// What the steps that this front has a part of ask for.
#[derive(Default)]
pub(super) struct Found {
    pub(super) contests: Vec<Contest>,
    /// Whether a shard of an open step belongs to this front.
    owns_steps: bool,
    /// Steps whose data is missing.
    missing: Vec<(StepId, Arc<StepHead>)>,
    /// Items whose time is up, or whose route is gone.
    hopeless: Vec<Key>,
}

impl Found {
    fn contest(&mut self, route: &Route, shards: u16) -> &mut Contest {
        let mut services: Vec<Arc<str>> = route.services().cloned().collect();
        services.sort_unstable();
        let known = self
            .contests
            .iter()
            .position(|contest| contest.services == services && contest.shards == shards);
        let at = known.unwrap_or_else(|| {
            self.contests.push(Contest::new(services, shards));
            self.contests.len() - 1
        });
        &mut self.contests[at]
    }
}

impl Runner {
    /// Waiting items of the shards that this front runs; asks for the data of those it lacks.
    pub(super) fn contests(&mut self, routes: &Routes, now_ms: u64) -> Vec<Contest> {
        let front = Arc::clone(&self.front);
        let mut found = Found::default();
        {
            let index = front.index();
            for step in index.ledger.steps().filter(|step| step.is_open()) {
                let shards = 0..step.head.shards;
                let owned: BTreeSet<u16> = shards
                    .filter(|shard| front.owns_shard(&step.head, *shard, now_ms))
                    .collect();
                if !owned.is_empty() {
                    found.owns_steps = true;
                    self.look_at(step, owned, routes, &mut found, now_ms);
                }
            }
        }
        let active =
            found.owns_steps || !self.running.is_empty() || owns_pool(&front, routes, now_ms);
        front.demand.set_active(Activity::Items, active);
        for (step, head) in found.missing {
            self.ask_for_data(step, head);
        }
        for key in found.hopeless {
            self.give_up(key, ErrorCause::GivenUp);
        }
        found.contests
    }

    fn look_at(
        &self,
        step: &Step,
        owned: BTreeSet<u16>,
        routes: &Routes,
        found: &mut Found,
        now_ms: u64,
    ) {
        if !self.data.contains_key(&step.id) {
            found.missing.push((step.id, Arc::clone(&step.head)));
            return;
        }
        let waiting = self.waiting_of(step, &owned, now_ms);
        let Some(route) = routes.find_exact(&step.head.host, &step.head.prefix) else {
            found.hopeless.extend(waiting);
            return;
        };
        let left_ms = left_ms(step, now_ms);
        let Some(left_ms) = left_ms else {
            found.hopeless.extend(waiting);
            return;
        };
        let contest = found.contest(route, step.head.shards);
        contest.owned.extend(owned);
        let model = contest.number_model(&step.head.model, step.head.min_version);
        let turn = match waiting.is_empty() {
            true => 0,
            false => contest.turn(step.head.customer.as_deref(), model),
        };
        let customer = step.head.customer.as_deref();
        let customer = customer.and_then(|name| routes.customers.named(name));
        let rank = customer.map_or_else(WaitingRank::default, |known| route.waiting_rank(known));
        let precedence = Precedence { turn, rank };
        let candidates = waiting
            .into_iter()
            .map(|key| self.candidate(step, key, (model, precedence), left_ms));
        contest.waiting.extend(candidates);
    }

    fn waiting_of(&self, step: &Step, owned: &BTreeSet<u16>, now_ms: u64) -> Vec<Key> {
        let waits = |(item, progress): (usize, &steps::ItemProgress)| {
            let key = (step.id, item as u32);
            let mine = owned.contains(&step.shard(key.1)) && !step.is_reserved(key.1, now_ms);
            let waits = !progress.listed && !self.running.contains_key(&key);
            (mine && waits).then_some(key)
        };
        step.progress.iter().enumerate().filter_map(waits).collect()
    }

    fn candidate(
        &self,
        step: &Step,
        key: Key,
        (model, precedence): (usize, Precedence),
        left_ms: u64,
    ) -> Candidate {
        let head: &ItemHead = &step.head.items[key.1 as usize];
        let only_version = match step.head.single_version {
            true => self.started_under(step, key),
            false => None,
        };
        Candidate {
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
                    self.made_events(&key),
                    self.pause_us,
                ),
                min_version: step.head.min_version,
                only_version,
                avoid: None,
            },
        }
    }

    /// Events that this front has of an item's text.
    fn made_events(&self, key: &Key) -> u64 {
        let partial = self.partials.get(key);
        partial.map_or(0, |(partial, _)| lock(partial).last_event)
    }

    /// Version under which the text of an item began, here or as it is saved; none if what is
    /// saved is of no use.
    fn started_under(&self, step: &Step, key: Key) -> Option<u64> {
        if let Some((partial, _)) = self.partials.get(&key) {
            let partial = lock(partial);
            if partial.discarded || !partial.versions.is_empty() {
                return partial.versions.first().copied();
            }
        }
        step.pieces(key.1).last()?.versions.first().copied()
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
}

/// Whether this front runs the first shard of a pool, and so the items of the next step.
fn owns_pool(front: &Front, routes: &Routes, now_ms: u64) -> bool {
    let owned = front.ownership.load();
    let partitions = front.settings.store.partitions;
    let mut firsts = routes
        .step_pools()
        .map(|pool| shard_partition(pool, 0, partitions));
    firsts.any(|partition| owned.owns(partition, now_ms))
}

/// Time until the items of a step are given up, in milliseconds; none once it is up.
fn left_ms(step: &Step, now_ms: u64) -> Option<u64> {
    let age_ms = now_ms - step.read_ms;
    let given_up_ms = step.head.retention_ms + GIVE_UP_SLACK_MS;
    let too_late = step.head.retention_ms > 0 && age_ms > given_up_ms;
    (!too_late).then(|| given_up_ms.saturating_sub(age_ms))
}
