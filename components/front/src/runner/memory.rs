//! Limit on the items at a model replica by its KV memory.
//!
//! The limit is active where most replicas report their start time. It counts the runs of this
//! front only, so a replica that another front also uses may still refuse an item.

use dispatch::slots_within_memory;

use super::pool_queues::{PoolQueue, QueuedItem};
use super::*;

impl Runner {
    /// Reduces the free slots of the replicas in `engines`, which belong to `members`, to those
    /// that their memory allows.
    pub(super) fn limit_to_memory(
        &self,
        queue: &PoolQueue,
        members: &[(Member, bool)],
        engines: &mut [Engine],
    ) {
        let Some(routes) = self.front.routes.load_full() else {
            return;
        };
        let capacity_tokens = |member: &Member| {
            let service = routes.services.get(&member.replica.service)?;
            service.kv_capacity_tokens
        };
        let is_limited = members
            .iter()
            .any(|(member, _)| capacity_tokens(member).is_some());
        if !is_limited || !report_their_start(members) {
            return;
        }
        let running_tokens = self.running_tokens();
        let slots_max = engines.iter().map(|engine| engine.free_slots).max();
        let largest = largest_waiting(queue, slots_max.unwrap_or(0) as usize);
        for ((member, _), engine) in members.iter().zip(engines) {
            let Some(capacity_tokens) = capacity_tokens(member) else {
                continue;
            };
            let used_tokens = running_tokens.get(&member.replica.id).copied();
            let free_tokens = capacity_tokens.saturating_sub(used_tokens.unwrap_or(0));
            let (free_slots, running) = (engine.free_slots, engine.running);
            engine.free_slots = slots_within_memory(free_slots, running, free_tokens, &largest);
            for slots in &mut engine.model_slots {
                *slots = engine.free_slots.min(*slots);
            }
        }
    }

    /// Tokens of the items that this front runs, by replica.
    fn running_tokens(&self) -> HashMap<&ReplicaId, u64> {
        let index = self.front.index();
        let mut tokens = HashMap::new();
        for ((step, item), running) in &self.running {
            let head = index.ledger.get(*step).map(|step| &step.head);
            let item = head.and_then(|head| head.items.get(*item as usize));
            if let (Some(run), Some(item)) = (&running.replica_run, item) {
                *tokens.entry(&run.replica).or_insert(0) += u64::from(item.tokens);
            }
        }
        tokens
    }
}

/// Whether more than half of the replicas report their start time.
fn report_their_start(members: &[(Member, bool)]) -> bool {
    let reporting = members
        .iter()
        .filter(|(member, _)| member.replica.started_ms.is_some());
    reporting.count() * 2 > members.len()
}

/// Sizes of the `count` largest waiting items, in tokens and in descending order.
fn largest_waiting(queue: &PoolQueue, count: usize) -> Vec<u32> {
    let size = |item: &QueuedItem| item.head.items[item.key.1 as usize].tokens;
    let mut sizes: Vec<u32> = queue.waiting.iter().map(size).collect();
    sizes.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
    sizes.truncate(count);
    sizes
}
