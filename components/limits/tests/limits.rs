//! Token buckets, customers' limits and retry budgets.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

use common::SplitMix64;
use limits::{BudgetSettings, Customer, CustomerLimits, RetryBudget, TokenBucket};
use tokio::sync::mpsc;
use types::{Cause, Class};

#[test]
fn a_bucket_allows_its_burst_then_its_rate() {
    let bucket = TokenBucket::new(10.0, 500);
    let times = [0, 0, 0, 0, 0, 0, 99, 100, 100, 10_000];
    let taken: Vec<Result<(), u64>> = times.iter().map(|&at| bucket.try_take(1, at)).collect();
    let ok = Ok(());
    assert_eq!(
        taken,
        [ok, ok, ok, ok, ok, Err(100), Err(1), ok, Err(100), ok]
    );
}

#[test]
fn a_cost_above_the_burst_waits_for_a_full_bucket() {
    let bucket = TokenBucket::new(10.0, 500);
    assert_eq!(bucket.try_take(20, 0), Ok(()));
    assert_eq!(bucket.try_take(20, 0), Err(2_000));
    assert_eq!(bucket.try_take(20, 2_000), Ok(()));
    bucket.refund(20);
    assert_eq!(bucket.try_take(5, 2_000), Ok(()));
}

#[test]
fn an_unlimited_bucket_never_refuses() {
    let bucket = TokenBucket::unlimited();
    assert!((0..1_000).all(|_| bucket.try_take(u32::MAX, 0).is_ok()));
}

fn limits() -> CustomerLimits {
    CustomerLimits {
        requests_per_s: Some(8),
        in_progress: Some(4),
        tokens_per_s: Some(1_000),
    }
}

#[test]
fn a_customer_is_refused_at_each_of_its_limits() {
    struct Case {
        name: &'static str,
        limits: CustomerLimits,
        share: f64,
        held: bool,
        admitted: usize,
    }
    let none = CustomerLimits::default();
    let by_requests = CustomerLimits {
        requests_per_s: Some(8),
        ..none
    };
    let by_tokens = CustomerLimits {
        tokens_per_s: Some(1_000),
        ..none
    };
    let case = |name, limits, share, held, admitted| Case {
        name,
        limits,
        share,
        held,
        admitted,
    };
    let cases = [
        case("is not refused without a limit", none, 1.0, false, 20),
        case("by requests per second", by_requests, 1.0, false, 8),
        case("by tokens per second", by_tokens, 1.0, false, 10),
        case("by requests in progress", limits(), 1.0, true, 4),
        case("by this entry's share", limits(), 0.5, true, 2),
        case("with at least one in progress", limits(), 0.01, true, 1),
    ];
    for case in cases {
        let customer = Arc::new(Customer::new(&case.limits, case.share));
        let mut held = Vec::new();
        let mut admitted = 0;
        for _ in 0..20 {
            match customer.admit(Class::Interactive, 100, 0, 0) {
                Ok(admitted) if case.held => held.push(admitted),
                Ok(_) => {}
                Err(failure) => {
                    assert_eq!(failure.cause, Cause::CustomerLimit);
                    assert!(failure.retry_after_ms.is_some());
                    continue;
                }
            }
            admitted += 1;
        }
        assert_eq!(admitted, case.admitted, "{}", case.name);
        assert_eq!(customer.take_offered().calls.requests, 20);
        drop(held);
        assert_eq!(customer.in_progress(), 0);
    }
}

#[test]
fn unused_tokens_are_refunded() {
    let customer = Arc::new(Customer::new(&limits(), 1.0));
    let mut admitted = customer.admit(Class::Interactive, 1_000, 0, 0).unwrap();
    assert!(customer.admit(Class::Interactive, 900, 0, 0).is_err());
    admitted.refund_unused(100);
    assert!(customer.admit(Class::Interactive, 900, 0, 0).is_ok());
}

// Guards against sampling that uses up the customer's share at one entry. The runs of a training
// step all arrive there at once; without the reserve an interactive request of the same customer
// would be refused, although the customer is far below its limits.
#[test]
fn admits_interactive_requests_beside_the_customers_own_sampling() {
    struct Case {
        name: &'static str,
        limits: CustomerLimits,
        sampling: usize,
        background: usize,
        interactive: usize,
    }
    let none = CustomerLimits::default();
    let in_progress = CustomerLimits {
        in_progress: Some(10),
        ..none
    };
    let requests = CustomerLimits {
        requests_per_s: Some(10),
        ..none
    };
    let tokens = CustomerLimits {
        tokens_per_s: Some(1_000),
        ..none
    };
    let one = CustomerLimits {
        in_progress: Some(1),
        ..none
    };
    let case = |name, limits, [sampling, background, interactive]: [usize; 3]| Case {
        name,
        limits,
        sampling,
        background,
        interactive,
    };
    let cases = [
        case("in progress", in_progress, [7, 2, 1]),
        case("requests per second", requests, [7, 2, 1]),
        case("tokens per second", tokens, [7, 2, 1]),
        case("a limit of one excludes no class", one, [1, 0, 0]),
    ];
    for case in cases {
        let customer = Arc::new(Customer::new(&case.limits, 1.0));
        let mut held = Vec::new();
        let mut fill = |class| {
            let before = held.len();
            held.extend((0..20).filter_map(|_| customer.admit(class, 100, 0, 0).ok()));
            held.len() - before
        };
        let admitted = [Class::Sampling, Class::Background, Class::Interactive].map(&mut fill);
        let expected = [case.sampling, case.background, case.interactive];
        assert_eq!(admitted, expected, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn waiting_requests_are_admitted_in_order_of_arrival() {
    let limits = CustomerLimits {
        in_progress: Some(1),
        ..CustomerLimits::default()
    };
    let customer = Arc::new(Customer::new(&limits, 1.0));
    let (order, mut admitted) = mpsc::unbounded_channel();
    let first = customer.admit(Class::Sampling, 1, 0, 0).unwrap();
    for number in 0..3 {
        let (customer, order) = (Arc::clone(&customer), order.clone());
        tokio::spawn(async move {
            let place = customer.admit_in_turn(Class::Sampling, 1, || 0).await;
            let _ = order.send(number);
            drop(place);
        });
        tokio::task::yield_now().await;
    }
    assert!(admitted.try_recv().is_err());
    assert_eq!(customer.take_offered().sampling.in_progress, 4);
    assert_eq!(customer.waiting(), 3);
    drop(first);
    for number in 0..3 {
        assert_eq!(admitted.recv().await, Some(number));
    }
    assert_eq!(customer.waiting(), 0);
    assert_eq!(customer.in_progress(), 0);
}

// Guards against lost updates of the counter. Eight threads admit and end requests concurrently;
// a request that stays counted would cause refusals for good.
#[test]
fn threads_never_exceed_the_limit_or_leave_a_request_counted() {
    let limits = CustomerLimits {
        in_progress: Some(3),
        ..CustomerLimits::default()
    };
    let customer = Arc::new(Customer::new(&limits, 1.0));
    let peak = AtomicU32::new(0);
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..5_000 {
                    let admitted = customer.admit(Class::Interactive, 1, 0, 0);
                    peak.fetch_max(customer.in_progress(), Ordering::Relaxed);
                    drop(admitted);
                }
            });
        }
    });
    assert!(peak.into_inner() <= 3);
    assert_eq!(customer.in_progress(), 0);
}

// Guards against a retry storm. A whole service is down for a minute, every call fails, and each
// caller would retry four times. The budget allows a tenth of the first attempts plus ten retries
// in ten seconds.
#[test]
fn an_outage_multiplies_the_load_by_no_more_than_the_budget() {
    let settings = BudgetSettings::default();
    let budget = RetryBudget::new(&settings);
    let (mut first_tries, mut retries) = (0, 0);
    for now_ms in 0..60_000 {
        for _ in 0..2 {
            first_tries += 1;
            budget.record_first_attempt();
            retries += (0..4).take_while(|_| budget.try_spend(now_ms)).count();
        }
    }
    let factor = 1.0 + retries as f64 / f64::from(first_tries);
    println!(
        "outage: {first_tries} first tries, {retries} retries, load x{factor:.4}; with no budget x5"
    );
    let constant = 10 + 60;
    assert!(retries <= first_tries as usize / 10 + constant);
    assert!(retries >= first_tries as usize / 10);
}

checks::seeded! {
    fn a_bucket_never_allows_more_than_burst_and_rate(seed: u64, per_s: u16) -> bool {
        let per_s = f64::from(1 + per_s % 500);
        let bucket = TokenBucket::new(per_s, 1_000);
        let mut rng = SplitMix64(seed);
        let (mut now_ms, mut given) = (0, 0);
        for _ in 0..500 {
            now_ms += rng.below(20);
            let units = 1 + rng.below(3) as u32;
            given += bucket.try_take(units, now_ms).map_or(0, |()| units);
        }
        f64::from(given) <= per_s + per_s * now_ms as f64 / 1_000.0 + 3.0
    }

    fn retries_never_exceed_the_share_and_the_base(seed: u64) -> bool {
        let budget = RetryBudget::new(&BudgetSettings::default());
        let mut rng = SplitMix64(seed);
        let (mut tries, mut retries, mut now_ms) = (0, 0, 0);
        for _ in 0..2_000 {
            now_ms += rng.below(10);
            if rng.below(3) > 0 {
                budget.record_first_attempt();
                tries += 1;
            } else {
                retries += u64::from(budget.try_spend(now_ms));
            }
        }
        retries <= tries / 10 + 10 + now_ms / 1_000 + 1
    }
}
