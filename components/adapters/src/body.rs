//! Body of an answer, read to a checked end.

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

/// How the end of a body shows.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Stated,
    Unstated,
}

/// How far a body is read.
enum Progress {
    Reading(Connection),
    Whole,
    Lost(PlatformError),
}

/// Body of an answer. Dropped before its end, it closes the connection, by which the
/// endpoint sees that the call was given up.
pub struct Body {
    incoming: Incoming,
    progress: Progress,
    shared: Arc<Shared>,
    end: End,
    deadline: Instant,
    bytes_left: usize,
}

impl Body {
    /// The body of an answer whose head came over `connection`.
    pub(crate) fn new(
        head: &HeaderMap,
        incoming: Incoming,
        connection: Connection,
        shared: Arc<Shared>,
        deadline: Instant,
    ) -> Body {
        Body {
            end: end_of(head, &incoming),
            incoming,
            progress: Progress::Reading(connection),
            bytes_left: shared.settings.body_bytes_max,
            shared,
            deadline,
        }
    }

    /// The next bytes; `None` only at the stated end of a whole body. Once it has
    /// failed it gives the same error again.
    pub async fn next(&mut self) -> Result<Option<Bytes>, PlatformError> {
        match &self.progress {
            Progress::Reading(_) => {}
            Progress::Whole => return Ok(None),
            Progress::Lost(error) => return Err(error.clone()),
        }
        let read = self.read().await;
        if let Err(error) = &read {
            // Closes the connection.
            self.progress = Progress::Lost(error.clone());
        }
        read
    }

    /// The rest of the body, whole.
    pub async fn read_to_end(mut self) -> Result<Bytes, PlatformError> {
        let mut all = Vec::new();
        while let Some(bytes) = self.next().await? {
            all.extend_from_slice(&bytes);
        }
        Ok(Bytes::from(all))
    }

    async fn read(&mut self) -> Result<Option<Bytes>, PlatformError> {
        let silence = Duration::from_millis(self.shared.settings.read_timeout_ms);
        loop {
            let wait_until = self.deadline.min(Instant::now() + silence);
            let frame = match timeout_at(wait_until, self.incoming.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => {
                    return Err(PlatformError::OutcomeUnknown(AnswerLoss::ClosedMidAnswer));
                }
                Ok(None) => return self.ended(),
                Err(_) => return Err(self.late(wait_until)),
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

    fn ended(&mut self) -> Result<Option<Bytes>, PlatformError> {
        if self.end == End::Unstated {
            return Err(PlatformError::OutcomeUnknown(AnswerLoss::NoStatedEnd));
        }
        let progress = std::mem::replace(&mut self.progress, Progress::Whole);
        if let Progress::Reading(connection) = progress {
            self.shared.idle.keep(connection.now_idle());
        }
        Ok(None)
    }

    fn late(&self, wait_until: Instant) -> PlatformError {
        self.shared.idle.clear();
        let deadline_passed = wait_until == self.deadline;
        PlatformError::OutcomeUnknown(if deadline_passed {
            AnswerLoss::DeadlinePassed
        } else {
            AnswerLoss::Silent
        })
    }
}

fn end_of(headers: &HeaderMap, incoming: &Incoming) -> End {
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let stated = chunked || incoming.is_end_stream() || incoming.size_hint().exact().is_some();
    if stated { End::Stated } else { End::Unstated }
}
