//! Requests for completions and their answers over HTTP.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use types::WeightVersion;

use super::batch::{Emitted, FinishReason};
use crate::reply::{self, ChunkSender, ConnectionCut, Reply};

const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of a request for a completion.
#[derive(Deserialize)]
pub(super) struct CompletionRequest {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: Option<u32>,
    #[serde(default)]
    pub(super) stream: bool,
    pub(super) n: Option<u32>,
    #[serde(default)]
    pub(super) seed: u64,
    #[serde(default)]
    pub(super) priority: i64,
    pub(super) request_id: Option<String>,
    #[serde(default)]
    pub(super) resume_tokens: Vec<u32>,
}

impl CompletionRequest {
    /// Limit on the tokens of the completion, including the `resume_tokens`.
    pub(super) fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

#[derive(Serialize)]
struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    weight_version: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight_versions: Option<Vec<String>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    token_ids: &'a [u32],
    finish_reason: Option<&'static str>,
}

#[derive(Clone, Copy, Serialize)]
struct Usage {
    prompt_tokens: usize,
    completion_tokens: usize,
}

/// A completion in progress.
pub(super) struct Completion {
    pub(super) id: String,
    pub(super) prompt_tokens: usize,
    pub(super) emitted: mpsc::UnboundedReceiver<Emitted>,
}

impl Completion {
    /// Answers with a stream of server-sent events, one per token.
    pub(super) fn stream(self) -> Reply {
        let (chunks, reply) = reply::stream();
        tokio::spawn(self.send_events(chunks));
        reply
    }

    /// Answers with the complete text.
    pub(super) async fn collect(mut self) -> Reply {
        let mut text = String::new();
        let mut token_ids = Vec::new();
        let mut versions: Vec<WeightVersion> = Vec::new();
        let finish_reason = loop {
            let Some(emitted) = self.emitted.recv().await else {
                // The engine crashed, which also closes this connection.
                return std::future::pending().await;
            };
            text.push_str(&emitted.text);
            token_ids.extend(emitted.id);
            if emitted.id.is_some() && !versions.contains(&emitted.version) {
                versions.push(emitted.version);
            }
            if let Some(finish_reason) = emitted.finish_reason {
                break finish_reason;
            }
        };
        let versions = versions.iter().map(WeightVersion::to_string).collect();
        let answer = Answer {
            id: &self.id,
            object: "text_completion",
            choices: [choice(&text, &token_ids, Some(finish_reason))],
            weight_version: None,
            weight_versions: Some(versions),
            usage: Some(self.usage(token_ids.len())),
        };
        reply::json(200, &answer)
    }

    async fn send_events(mut self, chunks: ChunkSender) {
        let mut generated = 0;
        loop {
            // Returning drops the receiver, upon which the engine removes the sequence. This stops
            // the generation when the caller disconnects.
            let emitted = tokio::select! {
                emitted = self.emitted.recv() => emitted,
                _ = chunks.closed() => return,
            };
            let Some(emitted) = emitted else {
                let _ = chunks.send(Err(ConnectionCut::Simulated)).await;
                return;
            };
            generated += usize::from(emitted.id.is_some());
            let usage = emitted.finish_reason.map(|_| self.usage(generated));
            let _ = chunks.send(Ok(self.event(&emitted, usage))).await;
            if emitted.finish_reason.is_some() {
                let _ = chunks
                    .send(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
                    .await;
                return;
            }
        }
    }

    fn event(&self, emitted: &Emitted, usage: Option<Usage>) -> Bytes {
        let answer = Answer {
            id: &self.id,
            object: "text_completion",
            choices: [choice(
                &emitted.text,
                emitted.id.as_slice(),
                emitted.finish_reason,
            )],
            weight_version: emitted.id.map(|_| emitted.version.to_string()),
            weight_versions: None,
            usage,
        };
        let json = serde_json::to_string(&answer).unwrap_or_default();
        Bytes::from(format!("data: {json}\n\n"))
    }

    fn usage(&self, completion_tokens: usize) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens,
        }
    }
}

fn choice<'a>(
    text: &'a str,
    token_ids: &'a [u32],
    finish_reason: Option<FinishReason>,
) -> Choice<'a> {
    Choice {
        index: 0,
        text,
        token_ids,
        finish_reason: finish_reason.map(FinishReason::as_str),
    }
}
