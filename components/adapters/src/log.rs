//! Client of the append-only log service.

use std::net::SocketAddr;

use bytes::Bytes;
use derive::wire;

use crate::client::{Client, ClientSettings, parse};
use crate::endpoint::Request;
use crate::error::PlatformError;

/// A record of a stream.
#[wire]
pub struct LogRecord {
    /// Position of the record in its stream.
    pub offset: u64,
    /// Content of the record.
    pub data: String,
}

/// Result of a read.
#[wire]
pub struct LogPage {
    /// Oldest offset that the log still keeps. If it is above the requested offset, this reader
    /// has lost the records in between.
    pub first: u64,
    /// Offset from which to read next.
    pub next: u64,
    /// The records, ordered by offset.
    pub records: Vec<LogRecord>,
}

#[wire]
struct AppendResponse {
    offset: u64,
}

/// Client of the log; clones share its connections.
#[derive(Clone)]
pub struct LogClient {
    client: Client,
}

impl LogClient {
    /// Creates a client of the log at `address`.
    pub fn new(address: SocketAddr, settings: &ClientSettings) -> LogClient {
        LogClient {
            client: Client::new(address, settings),
        }
    }

    /// Appends a record and returns its offset. After [`PlatformError::OutcomeUnknown`] the record
    /// may or may not be in the log; the caller has to read the log to find out.
    pub async fn append(&self, stream: &str, record: &str) -> Result<u64, PlatformError> {
        let path = format!("/streams/{stream}/records");
        let request = Request {
            body: Bytes::copy_from_slice(record.as_bytes()),
            ..Request::new("POST", path)
        };
        let deadline_ms = self.client.deadline_ms();
        let answer = self.client.exchange(request, deadline_ms).await?;
        let response: AppendResponse = parse(&answer)?;
        Ok(response.offset)
    }

    /// Reads up to `max` records from the offset `from` on. If there are none yet, waits up to
    /// `wait_ms` for the first one.
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
