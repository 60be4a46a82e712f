//! A service that scores samples.
//!
//! Not wired: a scorer is a plain service of the configuration, and the entry calls it
//! through an agent as it does any other.
//! The client serves tests of a scorer at its own address.

use std::net::SocketAddr;

use crate::client::{Client, ClientSettings};
use crate::error::PlatformError;

#[derive(serde::Serialize)]
struct Question<'a> {
    prompt: &'a str,
    completion: &'a str,
}

#[derive(serde::Deserialize)]
struct Answer {
    score: f64,
}

/// Client of a scorer; a clone shares its connections.
#[derive(Clone)]
pub struct Scorer {
    client: Client,
}

impl Scorer {
    /// A client of the scorer at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> Scorer {
        Scorer {
            client: Client::new(address, settings),
        }
    }

    /// Score of a completion of this prompt.
    pub async fn score(&self, prompt: &str, completion: &str) -> Result<f64, PlatformError> {
        let question = Question { prompt, completion };
        let deadline_ms = self.client.deadline_ms();
        let answer: Answer = self.client.post("/score", &question, deadline_ms).await?;
        Ok(answer.score)
    }
}
