//! Calls of the plain service. Each kind of call is checked with a single call, then with a series
//! that also measures the latencies. A call with an idempotency key is sent again through another
//! entry to check that it is not run a second time.

use std::time::Duration;

use tokio::time::sleep;

use super::{Check, Visit};
use crate::error::BenchError;
use crate::reply::{Ending, Reply};
use crate::requests::{self, ServiceCall};
use crate::site::CallKind;
use crate::status;

const DEADLINE: Duration = Duration::from_secs(5);
const SERIES_CALLS: u64 = 30;
const CLAIM_TAKEN: &str = "claim-taken";
const ATTEMPTS_MAX: u32 = 4;

pub(super) async fn run(visit: &mut Visit) -> Result<(), BenchError> {
    for (number, kind) in visit.settings.site.call_kinds.clone().iter().enumerate() {
        let name = visit.name(number as u64);
        if kind.at_most_once {
            check_at_most_once(visit, kind, &name).await?;
        } else {
            check_single(visit, kind, &name).await;
        }
        check_series(visit, kind, number).await?;
    }
    Ok(())
}

async fn send(visit: &Visit, turn: usize, kind: &CallKind, name: &str) -> Reply {
    let call = ServiceCall {
        service: visit.settings.site.plain_service,
        token: kind.token,
        kind,
        name,
    };
    let request = requests::service_request(&call, DEADLINE);
    visit.caller(turn).send(request).await
}

/// Whether the answer is complete and belongs to this call: its body repeats the call's name.
fn answers_call(reply: &Reply, name: &str) -> bool {
    reply.ending == Ending::Whole && String::from_utf8_lossy(&reply.body).contains(name)
}

async fn check_single(visit: &mut Visit, kind: &CallKind, name: &str) {
    let reply = send(visit, 0, kind, name).await;
    let holds = answers_call(&reply, name);
    let check = Check::from_reply(format!("{} {name}", kind.title), &reply);
    visit
        .report
        .add(check.with_result("complete answer to its own request", holds));
}

/// Sends a call that may run at most once, then repeats it through another entry. The repetition
/// must get the same answer without a second run.
async fn check_at_most_once(
    visit: &mut Visit,
    kind: &CallKind,
    name: &str,
) -> Result<(), BenchError> {
    let first = send(visit, 0, kind, name).await;
    let holds = answers_call(&first, name);
    let check = Check::from_reply(format!("{} {name}", kind.title), &first);
    visit
        .report
        .add(check.with_result("complete answer to its own request", holds));
    let (again, attempts) = send_again(visit, kind, name).await;
    let runs = run_count(visit, name).await?;
    let same = again.ending == Ending::Whole && again.body == first.body;
    let note = format!("same answer, 1 run (seen: {runs}; sent {attempts} times)");
    let check = Check::from_reply("  repeated through the other entry", &again);
    visit.report.add(check.with_result(note, same && runs == 1));
    Ok(())
}

/// Repeats a call through another entry. Until that entry has read the answer to the first request
/// from the log, it answers `claim-taken` with a `retry-after`; the caller then retries after this
/// time. Also returns the number of attempts.
async fn send_again(visit: &Visit, kind: &CallKind, name: &str) -> (Reply, u32) {
    let mut attempts = 1;
    loop {
        let reply = send(visit, 1, kind, name).await;
        let retry_after_s = reply.retry_after_s.filter(|_| reply.cause == CLAIM_TAKEN);
        match retry_after_s {
            Some(wait_s) if attempts < ATTEMPTS_MAX => sleep(Duration::from_secs(wait_s)).await,
            _ => return (reply, attempts),
        }
        attempts += 1;
    }
}

async fn run_count(visit: &Visit, name: &str) -> Result<u64, BenchError> {
    let runs = status::run_counts(&visit.settings.services).await?;
    Ok(runs.get(name).copied().unwrap_or(0))
}

async fn check_series(
    visit: &mut Visit,
    kind: &CallKind,
    kind_number: usize,
) -> Result<(), BenchError> {
    let mut complete = 0;
    let mut last = None;
    let names: Vec<String> = (0..SERIES_CALLS)
        .map(|repeat| visit.name(1_000 * (kind_number as u64 + 1) + repeat))
        .collect();
    for (turn, name) in names.iter().enumerate() {
        let reply = send(visit, turn, kind, name).await;
        let class = format!("{} ({})", kind.class, kind.title);
        visit.report.record_latency(&class, reply.latency);
        complete += u64::from(answers_call(&reply, name));
        last = Some(reply);
    }
    let runs = status::run_counts(&visit.settings.services).await?;
    let ran_twice = names.iter().filter(|name| runs.get(*name) > Some(&1));
    let twice = ran_twice.count();
    let holds = complete == SERIES_CALLS && (!kind.at_most_once || twice == 0);
    if let Some(last) = last {
        let check = Check::from_reply(format!("  {SERIES_CALLS} more, both entries"), &last);
        let note = format!("all complete (seen: {complete}), none run twice (seen: {twice})");
        visit.report.add(check.with_result(note, holds));
    }
    Ok(())
}
