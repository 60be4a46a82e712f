//! CPU time of merging targets and of reconciliation, and the rate that the store must provide.
//!
//! `cargo run --release -p weights --example cost`

use std::error::Error;
use std::hint::black_box;
use std::time::Instant;

use types::WeightVersion;
use weights::{
    Authority, EngineState, LoadDelays, ModelKey, OrderKind, OrderOutcome, ReconcileSettings,
    Reconciler, Target, store_rate_needed_bytes_per_s,
};

const MODELS: [u32; 3] = [10, 100, 1_000];
const ROUNDS: u64 = 100_000;
const GB: u64 = 1_000_000_000;
/// Times for the announcement to reach every agent and for an engine's switch. Both are part of
/// the 6 s that are allowed for a version change.
const SPREAD_MS: u64 = 1_500;
const SWITCH_MS: u64 = 1_500;

fn main() -> Result<(), Box<dyn Error>> {
    measure_merges()?;
    measure_reconciliation();
    print_store_rates();
    Ok(())
}

fn measure_merges() -> Result<(), Box<dyn Error>> {
    println!("models merge_ns");
    for models in MODELS {
        let keys: Vec<ModelKey> = (0..models).map(model).collect::<Result<_, _>>()?;
        let mut authority = Authority::new();
        let started = Instant::now();
        for round in 0..ROUNDS {
            let key = &keys[round as usize % keys.len()];
            black_box(authority.merge(key, Target::serve(version(round))));
        }
        println!("{models} {}", started.elapsed().as_nanos() as u64 / ROUNDS);
    }
    Ok(())
}

fn model(number: u32) -> Result<ModelKey, Box<dyn Error>> {
    Ok(ModelKey {
        customer: "office".parse()?,
        service: format!("model-{number}").parse()?,
    })
}

/// Measures one version change (load, read, switch, read) and counts its orders.
fn measure_reconciliation() {
    let mut agent = Reconciler::new(ReconcileSettings::default());
    let mut state = EngineState {
        life: 1,
        version: None,
        loaded: [].into(),
    };
    let mut orders = 0;
    let mut now_ms = 0;
    let started = Instant::now();
    for round in 1..=ROUNDS {
        agent.set_target(Target::serve(version(round)), LoadDelays::default(), now_ms);
        while state.version != Some(version(round)) {
            now_ms = agent.next_due_ms(now_ms);
            let Some(order) = agent.poll(now_ms, 500) else {
                continue;
            };
            orders += 1;
            let outcome = execute(&mut state, order.kind);
            agent.finish_order(order.id, outcome, now_ms, 500);
        }
    }
    let swap_ns = started.elapsed().as_nanos() as u64 / ROUNDS;
    println!("swaps orders_per_swap swap_ns");
    println!(
        "{ROUNDS} {:.2} {swap_ns}",
        f64::from(orders) / ROUNDS as f64
    );
}

fn execute(state: &mut EngineState, kind: OrderKind) -> OrderOutcome {
    match kind {
        OrderKind::CancelEarlier => {}
        OrderKind::Read => return OrderOutcome::State(state.clone()),
        OrderKind::Load(version) => state.loaded = [version].into(),
        OrderKind::Switch(version) => state.version = Some(version),
    }
    OrderOutcome::Done
}

/// Prints the required store rate for 600 replicas and example sizes of weights.
fn print_store_rates() {
    println!("replicas weights_gb window_ms store_gb_per_s");
    for (weights_gb, window_ms) in [(2, 6_000), (16, 6_000), (16, 60_000), (16, 480_000)] {
        let weights_bytes = weights_gb * GB;
        let needed =
            store_rate_needed_bytes_per_s(600, weights_bytes, window_ms, SPREAD_MS, SWITCH_MS);
        let Some(bytes_per_s) = needed else {
            continue;
        };
        let needed_gb = bytes_per_s as f64 / GB as f64;
        println!("600 {weights_gb} {window_ms} {needed_gb:.1}");
    }
}

fn version(version: u64) -> WeightVersion {
    WeightVersion { epoch: 1, version }
}
