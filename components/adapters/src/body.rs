//! Body of an answer, read with a check of its completeness.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::connection::Connection;
use crate::endpoint::Shared;
use crate::error::{AnswerLoss, PlatformError};

/// How the HTTP message marks the end of its body.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    Delimited,
    ConnectionClose,
}

/// How much of a body has been read.
enum ReadState {
    Reading(Connection),
    Complete,
    Lost(PlatformError),
}

/// Body of an answer. If it is dropped before its end, the connection is closed, which tells the
/// endpoint that the caller has abandoned the call.
pub struct Body {
    incoming: Incoming,
    state: ReadState,
    shared: Arc<Shared>,
    end: BodyEnd,
    deadline: Instant,
    bytes_left: usize,
}

impl Body {
    /// Creates the body of an answer whose head arrived over `connection`.
    pub(crate) fn new(
        head: &HeaderMap,
        incoming: Incoming,
        connection: Connection,
        shared: Arc<Shared>,
        deadline: Instant,
    ) -> Body {
        Body {
            end: end_marker(head, &incoming),
            incoming,
            state: ReadState::Reading(connection),
            bytes_left: shared.settings.body_bytes_max,
            shared,
            deadline,
        }
    }

    /// Returns the next bytes, or `None` at the end of a complete body. After an error, every
    /// further call returns the same error.
    pub async fn next(&mut self) -> Result<Option<Bytes>, PlatformError> {
        match &self.state {
            ReadState::Reading(_) => {}
            ReadState::Complete => return Ok(None),
            ReadState::Lost(error) => return Err(error.clone()),
        }
        let read = self.read().await;
        if let Err(error) = &read {
            // Drops the connection, which closes it.
            self.state = ReadState::Lost(error.clone());
        }
        read
    }

    /// Reads the rest of the body. Returns an error if it is incomplete.
    pub async fn read_to_end(mut self) -> Result<Bytes, PlatformError> {
        let mut all = Vec::new();
        while let Some(bytes) = self.next().await? {
            all.extend_from_slice(&bytes);
        }
        Ok(Bytes::from(all))
    }

    async fn read(&mut self) -> Result<Option<Bytes>, PlatformError> {
        let read_timeout = Duration::from_millis(self.shared.settings.read_timeout_ms);
        loop {
            let wait_until = self.deadline.min(Instant::now() + read_timeout);
            let frame = match timeout_at(wait_until, self.incoming.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => {
                    return Err(PlatformError::OutcomeUnknown(AnswerLoss::ClosedMidAnswer));
                }
                Ok(None) => return self.finish(),
                Err(_) => return Err(self.timeout_error(wait_until)),
            };
            if let Ok(bytes) = frame.into_data() {
                return self.within_limit(bytes).map(Some);
            }
        }
    }

    fn within_limit(&mut self, bytes: Bytes) -> Result<Bytes, PlatformError> {
        let limit_bytes = self.shared.settings.body_bytes_max;
        let left = self.bytes_left.checked_sub(bytes.len());
        self.bytes_left = left.ok_or(PlatformError::TooLarge(limit_bytes))?;
        Ok(bytes)
    }

    fn finish(&mut self) -> Result<Option<Bytes>, PlatformError> {
        if self.end == BodyEnd::ConnectionClose {
            return Err(PlatformError::OutcomeUnknown(AnswerLoss::NoStatedEnd));
        }
        let state = std::mem::replace(&mut self.state, ReadState::Complete);
        if let ReadState::Reading(connection) = state {
            self.shared.idle.put(connection.into_idle());
        }
        Ok(None)
    }

    fn timeout_error(&self, wait_until: Instant) -> PlatformError {
        self.shared.idle.clear();
        let deadline_passed = wait_until == self.deadline;
        PlatformError::OutcomeUnknown(if deadline_passed {
            AnswerLoss::DeadlinePassed
        } else {
            AnswerLoss::Silent
        })
    }
}

fn end_marker(headers: &HeaderMap, incoming: &Incoming) -> BodyEnd {
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let delimited = chunked || incoming.is_end_stream() || incoming.size_hint().exact().is_some();
    if delimited {
        BodyEnd::Delimited
    } else {
        BodyEnd::ConnectionClose
    }
}
