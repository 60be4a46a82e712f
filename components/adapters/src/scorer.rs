//! Client of a service that scores samples.
//!
//! Only tests use the client, to reach a scorer at its own address. In operation a scorer is a
//! plain service of the configuration, which entries call through an agent like any other.

use std::net::SocketAddr;

use crate::client::{Client, ClientSettings};
use crate::error::PlatformError;

#[derive(serde::Serialize)]
struct ScoreRequest<'a> {
    prompt: &'a str,
    completion: &'a str,
}

#[derive(serde::Deserialize)]
struct ScoreResponse {
    score: f64,
}

/// Client of a scorer; clones share its connections.
#[derive(Clone)]
pub struct Scorer {
    client: Client,
}

impl Scorer {
    /// Creates a client of the scorer at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> Scorer {
        Scorer {
            client: Client::new(address, settings),
        }
    }

    /// Returns the score of a completion of this prompt.
    pub async fn score(&self, prompt: &str, completion: &str) -> Result<f64, PlatformError> {
        let request = ScoreRequest { prompt, completion };
        let deadline_ms = self.client.deadline_ms();
        let response: ScoreResponse = self.client.post("/score", &request, deadline_ms).await?;
        Ok(response.score)
    }
}
