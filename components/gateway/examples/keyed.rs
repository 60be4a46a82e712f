//! Latency of calls with an idempotency key, through two entries and the in-process log:
//! one after the other, many at once, and repeats right after the first answer.
#![allow(clippy::unwrap_used)] // A measurement; it fails where a test would.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Site, SiteSettings, TestRequest};

const SANCTION: &str = "/v1/services/guichet/sanctions";
const CALLS: usize = 400;
/// Between two first submissions: a rate that the log is to carry without a wait.
const PAUSE: Duration = Duration::from_millis(20);
const CALLERS: usize = 40;
const CALLS_EACH: usize = 25;

fn keyed(key: &str) -> TestRequest {
    TestRequest::post(SANCTION, "{}").with_header("idempotency-key", key)
}

async fn timed_us(site: &Site, entry: usize, ask: &TestRequest) -> (u64, u16) {
    let began = Instant::now();
    let answer = site.send(entry, ask).await;
    let took_us = u64::try_from(began.elapsed().as_micros()).unwrap();
    (took_us, answer.status.as_u16())
}

fn row(name: &str, mut times_us: Vec<u64>, not_answered: usize) {
    times_us.sort_unstable();
    let at = |permille: usize| {
        let place = (times_us.len() * permille / 1_000).min(times_us.len() - 1);
        times_us[place] as f64 / 1_000.0
    };
    println!(
        "| {name} | {} | {not_answered} | {:.1} | {:.1} | {:.1} | {:.1} |",
        times_us.len(),
        at(500),
        at(900),
        at(990),
        at(1_000)
    );
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let site = Site::start(SiteSettings::default()).await;
    println!("| calls | count | not 200 | p50 ms | p90 ms | p99 ms | max ms |");
    println!("|---|---|---|---|---|---|---|");
    let (mut first, mut repeats, mut refused) = (Vec::new(), Vec::new(), 0);
    for call in 0..CALLS {
        let ask = keyed(&format!("one-{call}"));
        first.push(timed_us(&site, call % 2, &ask).await.0);
        let (took_us, status) = timed_us(&site, (call + 1) % 2, &ask).await;
        repeats.push(took_us);
        refused += usize::from(status != 200);
        tokio::time::sleep(PAUSE).await;
    }
    row("one after the other", first, 0);
    row("repeat right after, other entry", repeats, refused);
    let callers = (0..CALLERS).map(|caller| {
        let address = site.entries[caller % 2].address;
        tokio::spawn(async move {
            let mut times_us = Vec::new();
            for call in 0..CALLS_EACH {
                let began = Instant::now();
                let answer = keyed(&format!("many-{caller}-{call}")).send(address).await;
                assert_eq!(answer.status, 200);
                times_us.push(u64::try_from(began.elapsed().as_micros()).unwrap());
            }
            times_us
        })
    });
    let callers: Vec<_> = callers.collect();
    let (began, mut many) = (Instant::now(), Vec::new());
    for caller in callers {
        many.extend(caller.await.unwrap());
    }
    let per_s = many.len() as f64 / began.elapsed().as_secs_f64();
    row(&format!("{CALLERS} at once, {per_s:.0}/s"), many, 0);
}
