//! The append-only log service.

use std::net::SocketAddr;

use bytes::Bytes;
use derive::wire;

use crate::client::{Client, ClientSettings, parse};
use crate::endpoint::Request;
use crate::error::PlatformError;

/// One record.
#[wire]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: u64,
    /// Its text.
    pub data: String,
}

/// What a read gives.
#[wire]
pub struct LogPage {
    /// Oldest offset that the log still keeps. Above the offset that was asked for,
    /// it says that records in between are lost to this reader.
    pub first: u64,
    /// Offset to read from next.
    pub next: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<LogRecord>,
}

#[wire]
struct Appended {
    offset: u64,
}

/// Client of the log; a clone shares its connections.
#[derive(Clone)]
pub struct LogClient {
    client: Client,
}

impl LogClient {
    /// A client of the log at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> LogClient {
        LogClient {
            client: Client::new(address, settings),
        }
    }

    /// Appends a record and gives its offset. After [`PlatformError::OutcomeUnknown`] the
    /// record may or may not be in the log; read it back before relying on either.
    pub async fn append(&self, stream: &str, record: &str) -> Result<u64, PlatformError> {
        let path = format!("/streams/{stream}/records");
        let request = Request {
            body: Bytes::copy_from_slice(record.as_bytes()),
            ..Request::new("POST", path)
        };
        let deadline_ms = self.client.deadline_ms();
        let answer = self.client.exchange(request, deadline_ms).await?;
        let appended: Appended = parse(&answer)?;
        Ok(appended.offset)
    }

    /// Reads up to `max` records from the offset `from` on, and waits up to `wait_ms`
    /// for the first one.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait_ms: u64,
    ) -> Result<LogPage, PlatformError> {
        let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let deadline_ms = self.client.deadline_ms() + wait_ms;
        self.client.get(path, deadline_ms).await
    }
}
