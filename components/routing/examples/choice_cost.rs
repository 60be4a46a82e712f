//! Prints how long a choice takes for different numbers of replicas. Run:
//! `cargo run --release -p routing --example choice_cost`.
//!
//! The times depend on the machine; compare only times of one run. To count instructions instead,
//! pass a number of replicas, a policy and a number of calls, and run the program under an
//! instruction counter with and without calls: `choice_cost 32 compute-memory 1000000`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::env;
use std::hint::black_box;
use std::time::Instant;

use common::{here, spread, table};
use routing::{
    Outcome, Policy, PrefixTracker, Requirements, Settings, SplitMix64, Table, Work, choose_replica,
};

const CALLS: u64 = 200_000;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [replicas, policy, calls] = &arguments[..] {
        let replicas = replicas.parse().unwrap_or(32);
        let policy = Policy::parse(policy).unwrap_or(Policy::TwoChoices);
        run(&built(replicas, policy), calls.parse().unwrap_or(CALLS));
        return;
    }
    println!("# ns per choice and its end, this machine, this run");
    println!("policy 8 32 128 600");
    for policy in Policy::ALL {
        print!("{}", policy.as_str());
        for replicas in [8, 32, 128, 600] {
            let table = built(replicas, policy);
            run(&table, CALLS / 10);
            print!(" {:.0}", timed(CALLS, || run(&table, CALLS)));
        }
        println!();
    }
    print!("table-rebuild-us");
    for replicas in [8, 32, 128, 600] {
        let table = built(replicas, Policy::ComputeMemory);
        let rebuilds = 200;
        let ns = timed(rebuilds, || {
            for now_ms in 0..rebuilds {
                black_box(table.rebuild((0..replicas).map(spread).collect(), &here(0), now_ms));
            }
        });
        print!(" {:.1}", ns / 1_000.0);
    }
    println!();
    let mut prefixes = PrefixTracker::new(1 << 16);
    prefixes.track(common::node(0));
    let blocks = prefixes.block_table();
    let prompt: Vec<u64> = (0..32).collect();
    let ns = timed(CALLS, || {
        for _ in 0..CALLS {
            black_box(blocks.holders(black_box(&prompt)));
        }
    });
    println!("prefix-lookup-unknown {ns:.0}");
}

fn built(replicas: u16, policy: Policy) -> Table {
    let settings = Settings {
        policy,
        ..Settings::default()
    };
    table(settings, (0..replicas).map(spread).collect())
}

fn run(table: &Table, calls: u64) {
    let mut rng = SplitMix64::new(1);
    let requirements = Requirements {
        work: Work {
            prompt_tokens: 500,
            max_new_tokens: 200,
        },
        ..Requirements::default()
    };
    for now_ms in 0..calls {
        if let Ok(choice) = choose_replica(black_box(table), &requirements, rng.next_u64(), now_ms)
        {
            choice.finish(table, Outcome::Answered, now_ms);
        }
    }
}

fn timed(count: u64, work: impl FnOnce()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_nanos() as f64 / count as f64
}
