//! Simulates replicas that load a version from a rate-limited store. Compares three policies: all
//! load at once, each waits according to its rank, or each waits for a part of a window that it
//! computes by itself.
//!
//! `cargo run --release -p weights --example turns`

use std::error::Error;
use std::net::SocketAddr;

use types::WeightVersion;
use weights::{
    EngineState, LoadDelays, ModelKey, Order, OrderKind, OrderOutcome, ReconcileSettings,
    Reconciler, Target, preload_delay_ms,
};

const STEP_MS: u64 = 10;
const LOAD_MS: u64 = 400;
const SECOND_MS: u64 = 1_000;
const RUN_MS_MAX: u64 = 3_600_000;
const OLD: WeightVersion = WeightVersion {
    epoch: 0,
    version: 1,
};

#[derive(Clone, Copy)]
enum LoadPolicy {
    AtOnce,
    Rank,
    Share { window_percent: u64 },
}

struct Replica {
    agent: Reconciler,
    engine: EngineState,
    /// Load in progress: the order, the time when it ends, and its outcome.
    loading: Option<(Order, u64, OrderOutcome)>,
}

struct Store {
    per_s: u64,
    window_ms: u64,
    requests: u64,
    refused: u64,
}

impl Store {
    fn request(&mut self, now_ms: u64) -> OrderOutcome {
        if now_ms >= self.window_ms + SECOND_MS {
            self.window_ms = now_ms;
            self.requests = 0;
        }
        self.requests += 1;
        if self.requests <= self.per_s {
            return OrderOutcome::Done;
        }
        self.refused += 1;
        OrderOutcome::StoreBusy {
            retry_after_ms: Some(SECOND_MS),
        }
    }
}

struct Random(u64);

impl Random {
    fn permille(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % 1_000
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("replicas store_per_s way mean_ms worst_ms over_store refused_per_replica");
    let policies = [
        LoadPolicy::AtOnce,
        LoadPolicy::Rank,
        LoadPolicy::Share {
            window_percent: 100,
        },
        LoadPolicy::Share {
            window_percent: 150,
        },
        LoadPolicy::Share {
            window_percent: 200,
        },
    ];
    for (replicas, per_s) in [(24, 4), (600, 10), (600, 100)] {
        for policy in policies {
            report(replicas, per_s, policy)?;
        }
    }
    Ok(())
}

fn report(replicas: u64, per_s: u64, policy: LoadPolicy) -> Result<(), Box<dyn Error>> {
    const RUNS: u64 = 20;
    let (mut sum_ms, mut worst_ms, mut refused) = (0, 0, 0);
    for run in 1..=RUNS {
        let (all_ms, refusals) = simulate(replicas, per_s, policy, run)?;
        sum_ms += all_ms;
        worst_ms = worst_ms.max(all_ms);
        refused += refusals;
    }
    let mean_ms = sum_ms / RUNS;
    let store_ms = replicas * SECOND_MS / per_s;
    let over = mean_ms as f64 / store_ms as f64;
    let each = refused as f64 / (RUNS * replicas) as f64;
    let name = match policy {
        LoadPolicy::AtOnce => "at-once".to_owned(),
        LoadPolicy::Rank => "rank".to_owned(),
        LoadPolicy::Share { window_percent } => format!("share-of-{window_percent}%"),
    };
    println!("{replicas} {per_s} {name} {mean_ms} {worst_ms} {over:.2} {each:.2}");
    Ok(())
}

/// Runs one simulation. Returns the time until all replicas hold the version, and the number of
/// loads that the store refused.
fn simulate(
    count: u64,
    per_s: u64,
    policy: LoadPolicy,
    run: u64,
) -> Result<(u64, u64), Box<dyn Error>> {
    let model = ModelKey {
        customer: "office".parse()?,
        service: "redacteurs".parse()?,
    };
    let load = WeightVersion {
        epoch: 0,
        version: 1 + run,
    };
    let mut random = Random(run.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut store = Store {
        per_s,
        window_ms: 0,
        requests: 0,
        refused: 0,
    };
    let store_ms = count * SECOND_MS / per_s;
    let mut replicas: Vec<Replica> = (0..count).map(|_| replica()).collect();
    for (rank, replica) in (0..).zip(&mut replicas) {
        let port = u16::try_from(7_000 + rank)?;
        let own = SocketAddr::from(([10, 0, 0, 1], port));
        let preload_ms = match policy {
            LoadPolicy::AtOnce => 0,
            LoadPolicy::Rank => rank * SECOND_MS / per_s,
            LoadPolicy::Share { window_percent } => {
                preload_delay_ms(own, &model, load, store_ms * window_percent / 100)
            }
        };
        let delays = LoadDelays {
            serve_ms: 0,
            preload_ms,
        };
        replica
            .agent
            .set_target(Target { serve: OLD, load }, delays, 0);
    }
    let mut now_ms = 0;
    while replicas.iter().any(|replica| !replica.engine.holds(load)) {
        now_ms += STEP_MS;
        if now_ms > RUN_MS_MAX {
            return Err("some replicas did not load the version within an hour".into());
        }
        for replica in &mut replicas {
            replica.step(&mut store, &mut random, now_ms);
        }
    }
    Ok((now_ms, store.refused))
}

fn replica() -> Replica {
    Replica {
        agent: Reconciler::new(ReconcileSettings::default()),
        engine: EngineState {
            life: 1,
            version: Some(OLD),
            loaded: [OLD].into(),
        },
        loading: None,
    }
}

impl Replica {
    fn step(&mut self, store: &mut Store, random: &mut Random, now_ms: u64) {
        if let Some((order, _, outcome)) = self.loading.take_if(|(_, end_ms, _)| *end_ms <= now_ms)
        {
            if let (OrderOutcome::Done, OrderKind::Load(version)) = (&outcome, order.kind) {
                self.engine.loaded.insert(version);
            }
            self.agent
                .finish_order(order.id, outcome, now_ms, random.permille());
        }
        while let Some(order) = self.agent.poll(now_ms, random.permille()) {
            let outcome = match order.kind {
                OrderKind::Load(_) => {
                    let outcome = store.request(now_ms);
                    let takes_ms = if outcome == OrderOutcome::Done {
                        LOAD_MS
                    } else {
                        0
                    };
                    self.loading = Some((order, now_ms + takes_ms, outcome));
                    return;
                }
                OrderKind::Read => OrderOutcome::State(self.engine.clone()),
                OrderKind::CancelEarlier | OrderKind::Switch(_) => OrderOutcome::Done,
            };
            self.agent
                .finish_order(order.id, outcome, now_ms, random.permille());
        }
    }
}
