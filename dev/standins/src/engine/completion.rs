//! Completions as HTTP carries them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use types::WeightVersion;

use super::batch::{Emitted, Ending};
use crate::reply::{self, Chunks, Cut, Reply};

const MAX_TOKENS: u32 = 256;

/// A request for a completion.
#[derive(Deserialize)]
pub(super) struct Question {
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

impl Question {
    /// Limit of the whole completion's tokens, resumed ones included.
    pub(super) fn max_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(MAX_TOKENS)
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

/// The completion under way.
pub(super) struct Completion {
    pub(super) id: String,
    pub(super) prompt_tokens: usize,
    pub(super) emitted: mpsc::UnboundedReceiver<Emitted>,
}

impl Completion {
    /// Answers as a stream.
    pub(super) fn stream(self) -> Reply {
        let (chunks, reply) = reply::stream();
        tokio::spawn(self.send(chunks));
        reply
    }

    /// Answers in one piece.
    pub(super) async fn whole(mut self) -> Reply {
        let mut text = String::new();
        let mut token_ids = Vec::new();
        let mut versions: Vec<WeightVersion> = Vec::new();
        let ending = loop {
            let Some(emitted) = self.emitted.recv().await else {
                // The engine crashed; its connections are cut at the same moment.
                return std::future::pending().await;
            };
            text.push_str(&emitted.text);
            token_ids.extend(emitted.id);
            if emitted.id.is_some() && !versions.contains(&emitted.version) {
                versions.push(emitted.version);
            }
            if let Some(ending) = emitted.ending {
                break ending;
            }
        };
        let versions = versions.iter().map(WeightVersion::to_string).collect();
        let answer = Answer {
            id: &self.id,
            object: "text_completion",
            choices: [choice(&text, &token_ids, Some(ending))],
            weight_version: None,
            weight_versions: Some(versions),
            usage: Some(self.usage(token_ids.len())),
        };
        reply::json(200, &answer)
    }

    async fn send(mut self, chunks: Chunks) {
        let mut made = 0;
        loop {
            // The receiver is dropped, and with it the sequence, as soon as the
            // connection is gone.
            let emitted = tokio::select! {
                emitted = self.emitted.recv() => emitted,
                _ = chunks.closed() => return,
            };
            let Some(emitted) = emitted else {
                let _ = chunks.send(Err(Cut::OnPurpose)).await;
                return;
            };
            made += usize::from(emitted.id.is_some());
            let usage = emitted.ending.map(|_| self.usage(made));
            let _ = chunks.send(Ok(self.event(&emitted, usage))).await;
            if emitted.ending.is_some() {
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
            choices: [choice(&emitted.text, emitted.id.as_slice(), emitted.ending)],
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

fn choice<'a>(text: &'a str, token_ids: &'a [u32], ending: Option<Ending>) -> Choice<'a> {
    Choice {
        index: 0,
        text,
        token_ids,
        finish_reason: ending.map(Ending::as_str),
    }
}
