//! Measures what the quarantine adds to a call: its digest, the permission to start and the record
//! of its answer. `cargo run --release -p quarantine --example call_cost`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use quarantine::{CallDigest, CopyPlacement, EndpointCrash, SuspectSettings, Suspects};

const CALLS: u32 = 100_000;
const BODY_BYTES: usize = 1_024;

struct Case {
    /// Calls that are in flight beside the measured one.
    in_flight: u32,
    /// Crashes that other processes reported, each with two calls.
    crashes: u32,
}

fn digest(number: u32) -> CallDigest {
    CallDigest::of_parts(&[number.to_be_bytes().as_slice()])
}

fn endpoints(count: usize) -> Vec<Arc<str>> {
    let name = |number| format!("replica-{number}").into();
    (0..count).map(name).collect()
}

fn suspects(case: &Case, endpoints: &[Arc<str>]) -> Suspects<Arc<str>> {
    let mut suspects = Suspects::new(SuspectSettings::default());
    for number in 0..case.in_flight {
        let endpoint = &endpoints[number as usize % endpoints.len()];
        suspects.try_start_owed(digest(number), endpoint, 0);
    }
    for number in 0..case.crashes {
        let crash = EndpointCrash {
            endpoint: format!("former-{number}").into(),
            in_flight: vec![digest(1_000_000 + number), digest(2_000_000 + number)],
        };
        suspects.record_peer_crash("other".into(), &crash, 0);
    }
    suspects
}

fn main() {
    let body = vec![7; BODY_BYTES];
    let began = Instant::now();
    for number in 0..CALLS {
        let parts: [&[u8]; 2] = [&number.to_be_bytes(), &body];
        black_box(CallDigest::of_parts(&parts));
    }
    let each_ns = began.elapsed().as_nanos() / u128::from(CALLS);
    println!("digest of {BODY_BYTES} bytes: {each_ns} ns");
    let endpoints = endpoints(600);
    let cases = [(8, 0), (64, 0), (64, 8), (64, 600), (512, 600)];
    for case in cases.map(|(in_flight, crashes)| Case { in_flight, crashes }) {
        let mut suspects = suspects(&case, &endpoints);
        let call = digest(u32::MAX);
        let began = Instant::now();
        for number in 0..CALLS {
            let endpoint = &endpoints[number as usize % endpoints.len()];
            let decision = suspects.try_start(call, endpoint, CopyPlacement::Unlimited, 0);
            if let quarantine::StartDecision::Start(attempt) = decision {
                suspects.record_success(attempt);
            }
        }
        let each_ns = began.elapsed().as_nanos() / u128::from(CALLS);
        let Case { in_flight, crashes } = case;
        println!("{in_flight} calls in flight, {crashes} crashes known: {each_ns} ns");
    }
}
