//! JSON exchanges with one outside system, each with its deadline.

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
    /// Longest time to connect.
    pub connect_timeout_ms: u64,
    /// Deadline of one exchange; a long poll adds its own wait.
    pub deadline_ms: u64,
    /// Largest answer.
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

/// Connections to one outside system.
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

    /// Deadline of an exchange that answers at once.
    pub(crate) fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    /// GET, answered by bytes.
    pub(crate) async fn get_bytes(
        &self,
        path: String,
        deadline_ms: u64,
    ) -> Result<Bytes, PlatformError> {
        self.exchange(Request::new("GET", path), deadline_ms).await
    }

    /// GET, answered by JSON.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: String,
        deadline_ms: u64,
    ) -> Result<T, PlatformError> {
        parse(&self.get_bytes(path, deadline_ms).await?)
    }

    /// POST of a JSON document; the answer's body does not matter.
    pub(crate) async fn order(
        &self,
        path: &str,
        document: &impl Serialize,
        deadline_ms: u64,
    ) -> Result<Bytes, PlatformError> {
        let body = serde_json::to_vec(document)
            .map_err(|_| PlatformError::Malformed(MalformedPart::Json))?;
        let request = Request {
            headers: vec![json_content()],
            body: Bytes::from(body),
            ..Request::new("POST", path)
        };
        self.exchange(request, deadline_ms).await
    }

    /// POST of a JSON document, answered by JSON.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        document: &impl Serialize,
        deadline_ms: u64,
    ) -> Result<T, PlatformError> {
        parse(&self.order(path, document, deadline_ms).await?)
    }

    /// Any request; a status that is no success is a refusal.
    pub(crate) async fn exchange(
        &self,
        request: Request,
        deadline_ms: u64,
    ) -> Result<Bytes, PlatformError> {
        let response = self.endpoint.send(request, deadline_ms).await?;
        if (200..300).contains(&response.head.status) {
            return response.body.read_to_end().await;
        }
        let refusal = refused(&response.head);
        // Reading the rest only lets the connection be used again.
        let _ = response.body.read_to_end().await;
        Err(refusal)
    }
}

/// JSON from an answer's body.
pub(crate) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|_| PlatformError::Malformed(MalformedPart::Json))
}

fn json_content() -> (String, String) {
    ("content-type".to_owned(), "application/json".to_owned())
}

fn refused(head: &AnswerHead) -> PlatformError {
    let retry_after_s = head
        .header("retry-after")
        .and_then(|text| text.trim().parse::<u32>().ok());
    PlatformError::Refused {
        status: head.status,
        retry_after_ms: retry_after_s.map(|s| s.saturating_mul(MS_PER_S)),
    }
}
