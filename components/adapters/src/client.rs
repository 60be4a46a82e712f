//! JSON requests to one outside system, each with a deadline.

use std::net::SocketAddr;

use bytes::Bytes;
use derive::value;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::endpoint::{AnswerHead, Endpoint, EndpointSettings, Request};
use crate::error::{MalformedPart, PlatformError};

const MS_PER_S: u32 = 1_000;

/// Limits of the exchanges with one outside system.
#[value]
pub struct ClientSettings {
    /// Longest time to connect, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Deadline of one exchange, in milliseconds; a long poll adds its waiting time.
    pub deadline_ms: u64,
    /// Largest body of an answer, in bytes.
    pub body_bytes_max: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            deadline_ms: 2_000,
            body_bytes_max: 16 << 20,
        }
    }
}

/// HTTP client of one outside system; clones share its connections.
#[derive(Clone)]
pub(crate) struct Client {
    endpoint: Endpoint,
    deadline_ms: u64,
}

impl Client {
    pub(crate) fn new(address: SocketAddr, settings: &ClientSettings) -> Client {
        let endpoint_settings = EndpointSettings {
            connect_timeout_ms: settings.connect_timeout_ms,
            body_bytes_max: settings.body_bytes_max,
            ..EndpointSettings::default()
        };
        Client {
            endpoint: Endpoint::new(address, endpoint_settings),
            deadline_ms: settings.deadline_ms,
        }
    }

    /// Deadline of an exchange that isn't a long poll, in milliseconds.
    pub(crate) fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    /// Sends a GET request and returns the body of the answer.
    pub(crate) async fn get_bytes(
        &self,
        path: String,
        deadline_ms: u64,
    ) -> Result<Bytes, PlatformError> {
        self.exchange(Request::new("GET", path), deadline_ms).await
    }

    /// Sends a GET request and parses the answer as JSON.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: String,
        deadline_ms: u64,
    ) -> Result<T, PlatformError> {
        parse(&self.get_bytes(path, deadline_ms).await?)
    }

    /// Sends a JSON document by POST and returns the body of the answer.
    pub(crate) async fn post_for_bytes(
        &self,
        path: &str,
        document: &impl Serialize,
        deadline_ms: u64,
    ) -> Result<Bytes, PlatformError> {
        let body = serde_json::to_vec(document)
            .map_err(|_| PlatformError::Malformed(MalformedPart::Json))?;
        let request = Request {
            headers: vec![json_content_type()],
            body: Bytes::from(body),
            ..Request::new("POST", path)
        };
        self.exchange(request, deadline_ms).await
    }

    /// Sends a JSON document by POST and parses the answer as JSON.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        document: &impl Serialize,
        deadline_ms: u64,
    ) -> Result<T, PlatformError> {
        parse(&self.post_for_bytes(path, document, deadline_ms).await?)
    }

    /// Sends any request. A status outside 200 to 299 is returned as a refusal.
    pub(crate) async fn exchange(
        &self,
        request: Request,
        deadline_ms: u64,
    ) -> Result<Bytes, PlatformError> {
        let response = self.endpoint.send(request, deadline_ms).await?;
        if (200..300).contains(&response.head.status) {
            return response.body.read_to_end().await;
        }
        let refusal = refusal_of(&response.head);
        // The body is read only to make the connection reusable, so that errors don't matter.
        let _ = response.body.read_to_end().await;
        Err(refusal)
    }
}

/// Parses an answer's body as JSON.
pub(crate) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|_| PlatformError::Malformed(MalformedPart::Json))
}

fn json_content_type() -> (String, String) {
    ("content-type".to_owned(), "application/json".to_owned())
}

fn refusal_of(head: &AnswerHead) -> PlatformError {
    let retry_after_s = head
        .header("retry-after")
        .and_then(|text| text.trim().parse::<u32>().ok());
    PlatformError::Refused {
        status: head.status,
        retry_after_ms: retry_after_s.map(|s| s.saturating_mul(MS_PER_S)),
    }
}
