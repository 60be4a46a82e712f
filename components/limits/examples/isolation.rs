//! Prints how a customer at ten times its share affects the waits of another customer, with and
//! without fair queueing. Run: `cargo run --release -p limits --example isolation`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::queue::{Order, Stream, Tally, run};
use types::Class;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const LENGTH_MS: u64 = 300_000;

fn main() {
    println!("# simulated time; each customer's share is half of 16 slots; means of 5 seeds");
    println!("case order b_p50_ms b_p99_ms b_admitted a_admitted factor_of_p99");
    for (name, class_a, class_b) in [
        ("same-class", Class::Interactive, Class::Interactive),
        (
            "sampling-beside-interactive",
            Class::Sampling,
            Class::Interactive,
        ),
        (
            "interactive-beside-sampling",
            Class::Interactive,
            Class::Sampling,
        ),
    ] {
        let streams = |load_a| [stream("a", class_a, load_a), stream("b", class_b, 0.4)];
        let quiet = mean(&streams(0.5), Order::Fair);
        line(name, "fair,a-at-share", &quiet, &quiet);
        line(
            name,
            "fair,a-at-10x",
            &mean(&streams(5.0), Order::Fair),
            &quiet,
        );
        let priority_only = mean(&streams(5.0), Order::PriorityOnly);
        line(name, "priority-only,a-at-10x", &priority_only, &quiet);
        line(
            name,
            "fifo,a-at-10x",
            &mean(&streams(5.0), Order::Fifo),
            &quiet,
        );
    }
}

fn stream(name: &'static str, class: Class, load: f64) -> Stream {
    Stream {
        name,
        class,
        load,
        deadline_ms: 10_000,
    }
}

/// p50 and p99 of B's waits in milliseconds, B's admitted share and A's admitted share; means over
/// the seeds.
fn mean(streams: &[Stream], order: Order) -> [f64; 4] {
    let mut sums = [0.0; 4];
    for seed in SEEDS {
        let tallies = run(streams, order, seed, LENGTH_MS);
        let [a, b] = [&tallies[0], &tallies[1]];
        let figures = [
            b.wait_ms(500) as f64,
            b.wait_ms(990) as f64,
            Tally::admitted_share(b),
            Tally::admitted_share(a),
        ];
        for (sum, figure) in sums.iter_mut().zip(figures) {
            *sum += figure / SEEDS.len() as f64;
        }
    }
    sums
}

fn line(case: &str, order: &str, [p50, p99, b, a]: &[f64; 4], quiet: &[f64; 4]) {
    println!(
        "{case} {order} {p50:.1} {p99:.1} {b:.3} {a:.3} {:.2}",
        p99 / quiet[1].max(1.0)
    );
}
