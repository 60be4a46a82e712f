//! Measures what the limits and the queue add to a call that finds a replica with room, beside the
//! choice of the replica: `cargo run --release -p concurrency --example call_cost`.

use std::hint::black_box;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use concurrency::{ConcurrencyLimit, ReplicaUse, ServiceQueue, has_room, usable};
use dispatch::{Candidate, ReplicaLoad, choose_replica};
use types::Class;

const CALLS: u64 = 200_000;
const SLOTS: u32 = 6;

struct Replica {
    load: Arc<ReplicaLoad>,
    limit: Mutex<ConcurrencyLimit>,
}

fn choose<'a>(replicas: impl Iterator<Item = &'a Replica>, now_ms: u64) -> Option<usize> {
    let candidates: Vec<Candidate<'_>> = replicas
        .map(|replica| Candidate {
            load: &replica.load,
            same_domain: true,
            connected: true,
        })
        .collect();
    choose_replica(&candidates, 25_000, now_ms, now_ms)
}

fn uses(replicas: &[Replica], now_ms: u64) -> Vec<ReplicaUse> {
    let replica_use = |replica: &Replica| {
        let limit = replica.limit.lock().unwrap_or_else(PoisonError::into_inner);
        ReplicaUse {
            limit: limit.calls(SLOTS, now_ms),
            paused: limit.is_paused(now_ms),
            calls: replica.load.calls(),
            background: replica.load.background(),
            ejected: replica.load.is_ejected(now_ms),
        }
    };
    replicas.iter().map(replica_use).collect()
}

/// A call with the limits and the queue: admission, choice, answer, release.
fn queued_call(replicas: &[Replica], queue: &Mutex<ServiceQueue>, now_ms: u64) {
    let class = Class::Interactive;
    let now_uses = uses(replicas, now_ms);
    let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
    queue.record_first_attempt();
    if queue.is_free(class, &now_uses) {
        let open = usable(&now_uses).filter(|(_, replica)| has_room(replica, class));
        let open: Vec<usize> = open.map(|(at, _)| at).collect();
        black_box(choose(open.iter().map(|at| &replicas[*at]), now_ms));
    }
    let answered = &replicas[now_ms as usize % replicas.len()];
    let mut limit = answered
        .limit
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    limit.record_answer("quotes", 25_000, SLOTS, now_ms, now_ms + 25);
    drop(limit);
    queue.record_hold(25_000);
    black_box(queue.next(&[], now_ms, 0));
}

fn per_call_ns(call: impl Fn(u64)) -> u128 {
    let began = Instant::now();
    (1..=CALLS).for_each(call);
    began.elapsed().as_nanos() / u128::from(CALLS)
}

fn main() {
    for count in [7, 44, 200] {
        let replica = |_| Replica {
            load: Arc::default(),
            limit: Mutex::default(),
        };
        let replicas: Vec<Replica> = (0..count).map(replica).collect();
        let queue = Mutex::new(ServiceQueue::default());
        let before_ns = per_call_ns(|now_ms| {
            black_box(choose(replicas.iter(), now_ms));
        });
        let after_ns = per_call_ns(|now_ms| queued_call(&replicas, &queue, now_ms));
        println!("replicas={count} choice_ns={before_ns} with_queue_ns={after_ns}");
    }
}
