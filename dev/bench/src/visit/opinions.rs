//! Completions of the model, streamed and in one piece.

use std::time::Duration;

use super::{Line, Visit};
use crate::ask::{self, Opinion};
use crate::error::BenchError;
use crate::reply::{Ending, Reply};

const DEADLINE: Duration = Duration::from_secs(20);
const MAX_TOKENS: u32 = 48;
const REPEATS: u64 = 8;

pub(super) async fn run(visit: &mut Visit) -> Result<(), BenchError> {
    for stream in [true, false] {
        let reply = send(visit, 0, 0, stream).await;
        let what = match stream {
            true => "completion, streamed",
            false => "completion, in one piece",
        };
        let holds = reply.ending == Ending::Whole && reply.versions.len() == 1;
        let line = Line::of(what, &reply);
        visit.report.add(line.must("whole, one version", holds));
    }
    let mut whole = 0;
    let mut last = None;
    for repeat in 0..REPEATS {
        let reply = send(visit, repeat as usize, repeat + 1, true).await;
        visit
            .report
            .latency("interactive (completion)", reply.latency);
        visit
            .report
            .latency("interactive (first byte)", reply.first_byte);
        whole += u64::from(reply.ending == Ending::Whole);
        last = Some(reply);
    }
    if let Some(last) = last {
        let line = Line::of(format!("  {REPEATS} more, both entries"), &last);
        let note = format!("all whole (seen: {whole})");
        visit.report.add(line.must(note, whole == REPEATS));
    }
    Ok(())
}

async fn send(visit: &Visit, turn: usize, number: u64, stream: bool) -> Reply {
    let site = &visit.settings.site;
    let prompt = format!("{} {}", site.prompt, visit.name(number));
    let opinion = Opinion {
        model: site.model,
        token: site.model_token,
        prompt: &prompt,
        max_tokens: MAX_TOKENS,
        stream,
    };
    let ask = ask::opinion(&opinion, DEADLINE);
    visit.caller(turn).ask(ask).await
}
