//! The gate, used by several tasks and threads.

#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use common::customer;
use limits::{AdmissionSettings, Clock, Gate, Request};
use tokio::task::JoinSet;
use tokio::time::{self, Instant};
use types::{Cause, Class, Failure};

fn clock() -> Clock {
    let start = Instant::now();
    Arc::new(move || start.elapsed().as_millis() as u64)
}

fn gate(limit: u32) -> Gate {
    let settings = AdmissionSettings {
        initial_hold_ms: 10,
        ..AdmissionSettings::default()
    };
    let (gate, task) = Gate::new(settings, limit, clock());
    tokio::spawn(task);
    gate
}

fn request(name: &str, class: Class, deadline_ms: u64) -> Request {
    Request {
        customer: customer(name),
        weight: 1,
        class,
        cost: 1,
        deadline_ms,
    }
}

fn usual() -> Request {
    request("a", Class::Interactive, 60_000)
}

#[tokio::test(start_paused = true)]
async fn a_dropped_permit_admits_the_next_request() {
    let gate = gate(1);
    let first = gate.admit(usual(), 0).await.unwrap();
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { gate.admit(usual(), 0).await }
    });
    time::sleep(Duration::from_millis(50)).await;
    assert_eq!((gate.capacity().in_progress, gate.waiting()), (1, 1));
    drop(first);
    let second = waiting.await.unwrap().unwrap();
    assert_eq!((gate.capacity().in_progress, gate.waiting()), (1, 0));
    drop(second);
    assert_eq!(gate.capacity().in_progress, 0);
}

#[tokio::test(start_paused = true)]
async fn errors_when_the_deadline_passes_in_the_queue() {
    let gate = gate(1);
    let _held = gate.admit(usual(), 0).await.unwrap();
    let late = gate.admit(request("a", Class::Interactive, 500), 0).await;
    let expected = Failure::not_run(Cause::DeadlinePassed);
    assert_eq!(late.err(), Some(expected));
    assert_eq!(gate.waiting(), 0);
}

// Guards against a lost slot. A caller disconnects while its request waits; the request must be
// removed from the queue, so that the next free slot goes to a request that still waits.
#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_holds_no_slot() {
    let gate = gate(1);
    let held = gate.admit(usual(), 0).await.unwrap();
    let gone = time::timeout(Duration::from_millis(20), gate.admit(usual(), 0)).await;
    assert!(gone.is_err());
    time::sleep(Duration::from_millis(20)).await;
    assert_eq!(gate.waiting(), 0);
    drop(held);
    let next = gate.admit(usual(), 0).await;
    assert!(next.is_ok());
}

#[tokio::test(start_paused = true)]
async fn more_slots_admit_waiting_requests() {
    let gate = gate(1);
    let _held = gate.admit(usual(), 0).await.unwrap();
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { gate.admit(usual(), 0).await.map(drop) }
    });
    time::sleep(Duration::from_millis(20)).await;
    gate.set_limit(2);
    assert_eq!(waiting.await.unwrap(), Ok(()));
}

// Guards against a lost wake-up. Four threads compete for three slots. If a permit is dropped while
// a request is being queued and the task is not woken, the request waits forever and the test
// times out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn threads_never_exceed_the_limit_or_lose_a_wake_up() {
    const TASKS: usize = 32;
    let gate = gate(3);
    let running = Arc::new(AtomicU32::new(0));
    let mut tasks = JoinSet::new();
    for task in 0..TASKS {
        let (gate, running) = (gate.clone(), Arc::clone(&running));
        tasks.spawn(async move {
            let class = Class::ALL[task % Class::ALL.len()];
            for _ in 0..500 {
                let name = ["a", "b"][task % 2];
                let permit = gate.admit(request(name, class, u64::MAX), 0).await.unwrap();
                assert!(running.fetch_add(1, Ordering::SeqCst) < 3);
                tokio::task::yield_now().await;
                running.fetch_sub(1, Ordering::SeqCst);
                drop(permit);
            }
        });
    }
    let all = time::timeout(Duration::from_secs(120), tasks.join_all()).await;
    assert!(all.is_ok(), "a request still waits: {gate:?}");
    assert_eq!((gate.capacity().in_progress, gate.waiting()), (0, 0));
}
