//! Completions by the model, as a stream of events and as one JSON body.

use std::time::Duration;

use super::{Check, Visit};
use crate::error::BenchError;
use crate::reply::{Ending, Reply};
use crate::requests::{self, CompletionCall};

const DEADLINE: Duration = Duration::from_secs(20);
const COMPLETION_TOKENS_MAX: u32 = 48;
const SERIES_CALLS: u64 = 8;

pub(super) async fn run(visit: &mut Visit) -> Result<(), BenchError> {
    for stream in [true, false] {
        let reply = send(visit, 0, 0, stream).await;
        let action = match stream {
            true => "completion, streamed",
            false => "completion, not streamed",
        };
        let holds = reply.ending == Ending::Whole && reply.versions.len() == 1;
        let check = Check::from_reply(action, &reply);
        visit
            .report
            .add(check.with_result("complete, one version", holds));
    }
    let mut complete = 0;
    let mut last = None;
    for repeat in 0..SERIES_CALLS {
        let reply = send(visit, repeat as usize, repeat + 1, true).await;
        visit
            .report
            .record_latency("interactive (completion)", reply.latency);
        visit
            .report
            .record_latency("interactive (first byte)", reply.first_byte);
        complete += u64::from(reply.ending == Ending::Whole);
        last = Some(reply);
    }
    if let Some(last) = last {
        let check = Check::from_reply(format!("  {SERIES_CALLS} more, both entries"), &last);
        let note = format!("all complete (seen: {complete})");
        visit
            .report
            .add(check.with_result(note, complete == SERIES_CALLS));
    }
    Ok(())
}

async fn send(visit: &Visit, turn: usize, number: u64, stream: bool) -> Reply {
    let site = &visit.settings.site;
    let prompt = format!("{} {}", site.prompt, visit.name(number));
    let call = CompletionCall {
        model: site.model,
        token: site.model_token,
        prompt: &prompt,
        max_tokens: COMPLETION_TOKENS_MAX,
        stream,
    };
    let request = requests::completion_request(&call, DEADLINE);
    visit.caller(turn).send(request).await
}
