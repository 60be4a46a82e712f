//! Calls of the plain service: each kind once, told in full, then many of them for the
//! latencies; the ones that may run once are sent again through the other entry.

use std::time::Duration;

use tokio::time::sleep;

use super::{Line, Visit};
use crate::ask::{self, Plain};
use crate::error::BenchError;
use crate::reply::{Ending, Reply};
use crate::site::Act;
use crate::status;

const DEADLINE: Duration = Duration::from_secs(5);
const REPEATS: u64 = 30;
const CLAIM_TAKEN: &str = "claim-taken";
const SENT_MAX: u32 = 4;

pub(super) async fn run(visit: &mut Visit) -> Result<(), BenchError> {
    for (number, act) in visit.settings.site.acts.clone().iter().enumerate() {
        let name = visit.name(number as u64);
        if act.once {
            once(visit, act, &name).await?;
        } else {
            single(visit, act, &name).await;
        }
        many(visit, act, number).await?;
    }
    Ok(())
}

async fn send(visit: &Visit, turn: usize, act: &Act, name: &str) -> Reply {
    let plain = Plain {
        service: visit.settings.site.desk,
        token: act.token,
        act,
        name,
    };
    let ask = ask::plain(&plain, DEADLINE);
    visit.caller(turn).ask(ask).await
}

fn names_the_call(reply: &Reply, name: &str) -> bool {
    reply.ending == Ending::Whole && String::from_utf8_lossy(&reply.body).contains(name)
}

async fn single(visit: &mut Visit, act: &Act, name: &str) {
    let reply = send(visit, 0, act, name).await;
    let holds = names_the_call(&reply, name);
    let line = Line::of(format!("{} {name}", act.title), &reply);
    visit
        .report
        .add(line.must("whole answer to its own request", holds));
}

/// A call that may run once, and the same again through the other entry.
async fn once(visit: &mut Visit, act: &Act, name: &str) -> Result<(), BenchError> {
    let first = send(visit, 0, act, name).await;
    let holds = names_the_call(&first, name);
    let line = Line::of(format!("{} {name}", act.title), &first);
    visit
        .report
        .add(line.must("whole answer to its own request", holds));
    let (again, sent) = send_again(visit, act, name).await;
    let runs = runs_of(visit, name).await?;
    let same = again.ending == Ending::Whole && again.body == first.body;
    let note = format!("same answer, 1 run (seen: {runs}; sent {sent} times)");
    let line = Line::of("  again through the other entry", &again);
    visit.report.add(line.must(note, same && runs == 1));
    Ok(())
}

/// The same call through the other entry. While its first submission's answer is not yet
/// read from the log, the entry says `claim-taken` and when to come back; this caller does.
async fn send_again(visit: &Visit, act: &Act, name: &str) -> (Reply, u32) {
    let mut sent = 1;
    loop {
        let reply = send(visit, 1, act, name).await;
        let come_back = reply.retry_after_s.filter(|_| reply.cause == CLAIM_TAKEN);
        match come_back {
            Some(wait_s) if sent < SENT_MAX => sleep(Duration::from_secs(wait_s)).await,
            _ => return (reply, sent),
        }
        sent += 1;
    }
}

async fn runs_of(visit: &Visit, name: &str) -> Result<u64, BenchError> {
    let runs = status::runs(&visit.settings.services).await?;
    Ok(runs.get(name).copied().unwrap_or(0))
}

async fn many(visit: &mut Visit, act: &Act, kind: usize) -> Result<(), BenchError> {
    let mut whole = 0;
    let mut last = None;
    let names: Vec<String> = (0..REPEATS)
        .map(|repeat| visit.name(1_000 * (kind as u64 + 1) + repeat))
        .collect();
    for (turn, name) in names.iter().enumerate() {
        let reply = send(visit, turn, act, name).await;
        let class = format!("{} ({})", act.class, act.title);
        visit.report.latency(&class, reply.latency);
        whole += u64::from(names_the_call(&reply, name));
        last = Some(reply);
    }
    let runs = status::runs(&visit.settings.services).await?;
    let run_twice = names.iter().filter(|name| runs.get(*name) > Some(&1));
    let twice = run_twice.count();
    let holds = whole == REPEATS && (!act.once || twice == 0);
    if let Some(last) = last {
        let line = Line::of(format!("  {REPEATS} more, both entries"), &last);
        let note = format!("all whole (seen: {whole}), none run twice (seen: {twice})");
        visit.report.add(line.must(note, holds));
    }
    Ok(())
}
