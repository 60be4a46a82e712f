//! Handles calls from other processes of the system: configuration texts for peers, claim records,
//! training calls for their home entry, and copies for the second home.

use std::sync::Arc;

use bytes::Bytes;
use link::{AnswerSender, IncomingCall};
use node::ConfigFeed;
use protocol::{Head, Open};
use types::{Cause, Failure};

use crate::gateway::Gateway;
use crate::{keyed, training};

const OK: u16 = 200;
/// Maximum size of a chunk of the answer.
const CHUNK_BYTES: usize = 64 * 1024;

/// Handles a call in a separate task; returns immediately.
pub fn handle_call(gateway: &Arc<Gateway>, incoming: IncomingCall) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let IncomingCall { open, answer, .. } = incoming;
        answer.mark_accepted();
        answer.mark_started();
        tokio::select! {
            answered = respond(&gateway, open) => send_answer(&answer, answered).await,
            () = answer.cancelled() => {}
        }
    });
}

async fn respond(gateway: &Arc<Gateway>, open: Open) -> Result<(Head, Bytes), Failure> {
    if ConfigFeed::is_text_call(&open) {
        return gateway.feed.serve_text(&open).await;
    }
    if keyed::is_inner_call(&open) {
        keyed::receive_record(gateway, &open).await?;
        return Ok((empty_head(), Bytes::new()));
    }
    if training::is_inner_call(&open) {
        return training::serve_inner(gateway, open).await;
    }
    Err(Failure::not_run(Cause::NotHosted))
}

fn empty_head() -> Head {
    Head {
        status: OK,
        headers: Vec::new(),
    }
}

async fn send_answer(answer: &AnswerSender, answered: Result<(Head, Bytes), Failure>) {
    let (head, mut body) = match answered {
        Ok(answered) => answered,
        Err(failure) => return answer.fail(failure),
    };
    answer.send_head(head).await;
    while !body.is_empty() {
        let part = body.split_to(body.len().min(CHUNK_BYTES));
        answer.send_chunk(part).await;
    }
    answer.finish();
}
