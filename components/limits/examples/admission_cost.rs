//! Prints how long admission takes for different numbers of customers. Run:
//! `cargo run --release -p limits --example admission_cost`.
//!
//! The times depend on the machine; compare only times of one run. To count instructions instead,
//! pass a number of customers and a number of calls, and run the program under an instruction
//! counter for two numbers of calls: `admission_cost 100 20000`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::env;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use common::customer;
use limits::{
    Admission, AdmissionSettings, Arrival, Capacity, Clock, Customer, CustomerLimits, Gate,
    Request, RetryBudget, Ticket,
};
use types::{Class, CustomerName};

const CALLS: u64 = 200_000;
const WAITING_EACH: u64 = 8;

fn main() {
    let arguments: Vec<u64> = env::args().skip(1).flat_map(|text| text.parse()).collect();
    if let [customers, calls] = arguments[..] {
        queue(customers, calls);
        return;
    }
    println!("# ns per decision, this machine, this run; one thread");
    println!("decision 10 100 1000");
    print!("customer-enter-and-leave");
    for customers in [10, 100, 1_000] {
        print!(" {:.0}", enter(customers));
    }
    print!("\nqueue-arrive-and-admit-with-8-waiting-each");
    for customers in [10, 100, 1_000] {
        print!(" {:.0}", queue(customers, CALLS));
    }
    println!("\ngate-admit-and-release-with-room {:.0}", gate());
    println!("retry-budget-first-try-and-spend {:.0}", budget());
}

fn names(count: u64) -> Vec<CustomerName> {
    (0..count)
        .map(|number| customer(&format!("c{number}")))
        .collect()
}

fn timed(work: impl FnOnce()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_nanos() as f64 / CALLS as f64
}

fn enter(customers: u64) -> f64 {
    let limits = CustomerLimits {
        requests_per_s: Some(1_000_000),
        in_progress: Some(1_000),
        tokens_per_s: Some(1_000_000_000),
    };
    let one = |_| Arc::new(Customer::new(&limits, 1.0));
    let all: Vec<Arc<Customer>> = (0..customers).map(one).collect();
    timed(|| {
        for (call, customer) in (0..CALLS).zip(all.iter().cycle()) {
            let _ = black_box(customer.admit(Class::Interactive, 700, call, call));
        }
    })
}

fn queue(customers: u64, calls: u64) -> f64 {
    let names = names(customers);
    let mut admission = Admission::new(AdmissionSettings::default());
    let capacity = Capacity {
        in_progress: 0,
        limit: 64,
        hold_ms: 1,
    };
    let arrival = |number: u64| Arrival {
        ticket: Ticket(number),
        customer: names[(number % customers) as usize].clone(),
        weight: 1,
        class: Class::ALL[(number % 3) as usize],
        cost: 1,
        deadline_ms: u64::MAX,
    };
    for number in 0..customers * WAITING_EACH {
        let _ = admission.enqueue(&arrival(number), capacity, 0, 0);
    }
    timed(|| {
        for number in 0..calls {
            let next = arrival(customers * WAITING_EACH + number);
            let _ = black_box(admission.enqueue(&next, capacity, 0, 0));
            black_box(admission.next_action(capacity, 0));
        }
    })
}

fn gate() -> f64 {
    let clock: Clock = Arc::new(|| 0);
    let (gate, _task) = Gate::new(AdmissionSettings::default(), 64, clock);
    let request = Request {
        customer: customer("a"),
        weight: 1,
        class: Class::Interactive,
        cost: 1,
        deadline_ms: u64::MAX,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let Ok(runtime) = runtime else {
        return f64::NAN;
    };
    timed(|| {
        runtime.block_on(async {
            for number in 0..CALLS {
                let _ = black_box(gate.admit(request.clone(), number).await);
            }
        });
    })
}

fn budget() -> f64 {
    let budget = RetryBudget::new(&limits::BudgetSettings::default());
    timed(|| {
        for now_ms in 0..CALLS {
            budget.record_first_attempt();
            black_box(budget.try_spend(now_ms));
        }
    })
}
