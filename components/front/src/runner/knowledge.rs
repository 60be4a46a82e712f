//! What the runner knows of its shards: taken over from the owner before, and kept for the next.
//!
//! When this front becomes the owner of a shard of an open step, a task reads the newest record of
//! the shard. The runner goes on meanwhile, and what it has learnt by itself counts more than what
//! it is told. Afterwards it hands its knowledge to a task that writes it.

use std::collections::BTreeMap;

use ::knowledge::{
    CurrentReplica, KNOWLEDGE_VERSION, ModelLengths, ReplicaKnowledge, RunKnowledge,
    ShardKnowledge, ShardTransfers, TransferNumber, restore,
};
use telemetry::Label;

use super::*;
use crate::shard_knowledge;

/// A shard: the name of its pool, and its number.
pub(super) type ShardKey = (String, u16);

/// Knowledge of the owner before, and when this process read its record.
pub(super) type PriorKnowledge = Option<(ShardKnowledge, u64)>;

/// Replicas of a shard's pool.
struct ShardPool {
    services: Vec<Arc<str>>,
    tokens_per_event: u32,
}

impl Runner {
    /// Begins the reads and writes that are due for the shards that this front owns.
    pub(super) fn keep_knowledge(&mut self, routes: &Routes, now_ms: u64) {
        let ownership = self.front.ownership.load_full();
        let partitions = self.front.settings.store.partitions;
        self.kept_shards.retain(|(pool, shard), _| {
            let partition = shard_partition(pool, *shard, partitions);
            ownership.partitions().contains(&partition)
        });
        let table = self.front.replicas.load_full();
        self.remove_gone(&table);
        let has_runs = !self.running.is_empty();
        for (key, pool) in self.owned_shards(routes, &table, now_ms) {
            let Some(kept) = self.kept_shards.get_mut(&key) else {
                self.request_knowledge(key);
                continue;
            };
            if has_runs {
                kept.mark_changed();
            }
            let number = TransferNumber(self.transfers_started + 1);
            if kept.begin_write(number, now_ms) {
                self.transfers_started += 1;
                let knowledge = self.knowledge_of(&key, &pool, &table, now_ms);
                self.write_knowledge(key, number, knowledge);
            }
        }
    }

    /// Shards of open steps that this front owns, of pools whose replicas report their start.
    fn owned_shards(
        &self,
        routes: &Routes,
        table: &ReplicaTable,
        now_ms: u64,
    ) -> BTreeMap<ShardKey, ShardPool> {
        let index = self.front.index();
        let mut shards: BTreeMap<ShardKey, ShardPool> = BTreeMap::new();
        for step in index.ledger.steps().filter(|step| step.is_open()) {
            let head = &step.head;
            let is_new = |shard: &u16| !shards.contains_key(&(head.pool.clone(), *shard));
            let is_owned = |shard: &u16| self.front.owns_shard(head, *shard, now_ms);
            let owned: Vec<u16> = (0..head.shards)
                .filter(|shard| is_owned(shard) && is_new(shard))
                .collect();
            if owned.is_empty() {
                continue;
            }
            let Some(route) = routes.find_exact(&head.host, &head.prefix) else {
                continue;
            };
            let members = route
                .services()
                .flat_map(|service| table.of(service).iter());
            if !most_report_start(members.map(|member| &*member.replica)) {
                continue;
            }
            for shard in owned {
                shards
                    .entry((head.pool.clone(), shard))
                    .or_insert_with(|| shard_pool(route, routes));
            }
        }
        shards
    }

    /// Reads the knowledge of the owner before in a new task.
    fn request_knowledge(&mut self, key: ShardKey) {
        self.transfers_started += 1;
        let number = TransferNumber(self.transfers_started);
        let kept = ShardTransfers::reading(number);
        self.kept_shards.insert(key.clone(), kept);
        let newest = self.front.index().shards.newest(&key.0, key.1).cloned();
        let (front, messages) = (Arc::clone(&self.front), self.messages.clone());
        tokio::spawn(async move {
            let read_ms = newest.as_ref().map_or(0, |newest| newest.read_ms);
            let read = shard_knowledge::read(&front, &key.0, key.1, newest).await;
            let prior = read.map(|knowledge| (knowledge, read_ms));
            // Fails only if the process ends, as the runner runs until then.
            let _ = messages.send(RunnerMessage::KnowledgeRead(key, number, prior));
        });
    }

    /// Writes knowledge in a new task.
    fn write_knowledge(&self, key: ShardKey, number: TransferNumber, knowledge: ShardKnowledge) {
        let (front, messages) = (Arc::clone(&self.front), self.messages.clone());
        tokio::spawn(async move {
            let is_written = shard_knowledge::write(&front, knowledge).await;
            // Fails only if the process ends, as the runner runs until then.
            let _ = messages.send(RunnerMessage::KnowledgeWritten(key, number, is_written));
        });
    }

    /// Notes the end of a write.
    pub(super) fn handle_knowledge_written(
        &mut self,
        key: &ShardKey,
        number: TransferNumber,
        is_written: bool,
    ) {
        if let Some(kept) = self.kept_shards.get_mut(key) {
            kept.finish_write(number, is_written);
        }
    }

    /// Takes over the knowledge of the owner before, except where this front has learnt by itself.
    pub(super) fn handle_knowledge_read(
        &mut self,
        key: &ShardKey,
        number: TransferNumber,
        prior: PriorKnowledge,
    ) {
        let kept = self.kept_shards.get_mut(key);
        if !kept.is_some_and(|kept| kept.finish_read(number)) {
            return;
        }
        if let (Some((knowledge, read_ms)), Some(routes)) = (prior, self.front.routes.load_full()) {
            self.restore_knowledge(key, &knowledge, read_ms, &routes);
        }
    }

    fn restore_knowledge(
        &mut self,
        (pool, shard): &ShardKey,
        knowledge: &ShardKnowledge,
        read_ms: u64,
        routes: &Routes,
    ) {
        let now_ms = now_ms();
        let age_ms = now_ms.saturating_sub(read_ms);
        let table = self.front.replicas.load_full();
        self.remove_gone(&table);
        let current: Vec<CurrentReplica> = table
            .iter()
            .map(|member| CurrentReplica {
                id: &member.replica.id,
                started_ms: member.replica.started_ms,
            })
            .collect();
        let owned = self.owned_shards(routes, &table, now_ms);
        let tokens_per_event = owned
            .get(&(pool.clone(), *shard))
            .map(|pool| pool.tokens_per_event);
        let restored = restore(knowledge, age_ms, now_ms, &current, |_| tokens_per_event);
        let started: HashMap<&str, Option<u64>> = current
            .iter()
            .map(|replica| (replica.id, replica.started_ms))
            .collect();
        let mut replicas = 0_u64;
        for replica in restored.replicas {
            let started_ms = started.get(replica.id.as_str()).copied().flatten();
            let state = self
                .engines
                .entry(replica.id.as_str().into())
                .or_insert_with(EngineState::new);
            state.started_ms = started_ms;
            replicas += u64::from(state.pace.restore(replica.pace));
            for model in replica.refused_models {
                state.restore_refusal(&model, now_ms);
            }
        }
        let mut models = 0_u64;
        for (model, lengths) in restored.lengths {
            let tokens_per_event = tokens_per_event.unwrap_or(1);
            models += u64::from(self.lengths.restore(&model, tokens_per_event, lengths));
        }
        log::info!(
            event = "shard-knowledge-restored", pool, shard, node = knowledge.node, age_ms,
            replicas, models; ""
        );
        let counts = [
            ("front_shard_knowledge_restored_total", 1),
            ("front_shard_replicas_restored_total", replicas),
            ("front_shard_models_restored_total", models),
        ];
        for (name, count) in counts {
            self.front.metrics.count(name, Label::default(), count);
        }
    }

    fn knowledge_of(
        &self,
        (pool, shard): &ShardKey,
        of: &ShardPool,
        table: &ReplicaTable,
        now_ms: u64,
    ) -> ShardKnowledge {
        let members = of.services.iter().flat_map(|service| table.of(service));
        let replicas: Vec<ReplicaKnowledge> = members
            .filter_map(|member| {
                let state = self.engines.get(&member.replica.id)?;
                state.knowledge(&member.replica, now_ms)
            })
            .collect();
        let lengths = self.lengths.snapshots(of.tokens_per_event);
        let lengths = lengths.map(|(model, lengths)| ModelLengths { model, lengths });
        ShardKnowledge {
            version: KNOWLEDGE_VERSION,
            pool: pool.clone(),
            shard: *shard,
            node: self.front.settings.node.clone(),
            runs: self.run_knowledge(pool, *shard, &replicas),
            replicas,
            lengths: lengths.collect(),
        }
    }

    /// Runs of a shard's items at these replicas.
    fn run_knowledge(
        &self,
        pool: &str,
        shard: u16,
        replicas: &[ReplicaKnowledge],
    ) -> Vec<RunKnowledge> {
        let numbers: HashMap<&str, u16> = (0..)
            .zip(replicas)
            .map(|(number, replica)| (replica.id.as_str(), number))
            .collect();
        let index = self.front.index();
        let run = |(key, running): (&ItemKey, &RunningItem)| {
            let step = index.ledger.get(key.0)?;
            let is_of_shard = step.head.pool == pool && step.shard(key.1) == shard;
            let replica = &running.replica_run.as_ref()?.replica;
            let replica = *numbers.get(&**replica)?;
            is_of_shard.then(|| RunKnowledge {
                step: key.0,
                item: key.1,
                replica,
                events: self.generated_events(key),
            })
        };
        self.running.iter().filter_map(run).collect()
    }
}

fn shard_pool(route: &Route, routes: &Routes) -> ShardPool {
    let mut services: Vec<Arc<str>> = route.services().cloned().collect();
    services.sort_unstable();
    let mut known = services.iter();
    let known = known.find_map(|service| routes.services.get(service));
    ShardPool {
        tokens_per_event: known.map_or(1, |service| service.tokens_per_event),
        services,
    }
}

impl EngineState {
    /// What is known of the replica in its present life; `None` if nothing is.
    fn knowledge(&self, replica: &Replica, now_ms: u64) -> Option<ReplicaKnowledge> {
        let started_ms = self
            .started_ms
            .filter(|started_ms| replica.started_ms == Some(*started_ms))?;
        let pace = self.pace.state().replica.snapshot(now_ms);
        let refused = self
            .admissions
            .iter()
            .filter(|(_, known)| known.is_refusing());
        let refused_models: Vec<String> = refused.map(|(model, _)| model.to_string()).collect();
        let is_known = pace.steady.is_some() || !refused_models.is_empty();
        is_known.then(|| ReplicaKnowledge {
            id: replica.id.to_string(),
            started_ms,
            pace,
            refused_models,
        })
    }

    /// Notes that the replica refused items of a model, unless this front knows by itself.
    fn restore_refusal(&mut self, model: &str, now_ms: u64) {
        if !self.admissions.contains_key(model) {
            let admission = Admission::default();
            admission.record_refusal(now_ms);
            self.admissions.insert(model.into(), Arc::new(admission));
        }
    }
}
