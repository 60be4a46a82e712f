//! Reads the bodies of requests and of replicas' answers into memory that is counted while they arrive.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use platform::BodyError;
use quick_error::quick_error;
use tokio::time::timeout;

use crate::held::HeldGuard;

/// Size of the segments in which a body without a declared length is gathered. Such a body takes at
/// most one segment more than its length while the segments are joined.
const SEGMENT_BYTES: usize = 64 * 1024;

quick_error! {
    /// Why the body of a request was not read.
    #[derive(Debug)]
    pub enum RequestBodyError {
        /// It is longer than the limit, or the client did not send the whole of it.
        Body(reason: BodyError) {
            source(reason)
            from()
            display("{}", reason)
        }
        /// The front holds too much data.
        Overfull {
            display("too much data is held")
        }
        /// The client did not send the whole of it before the front refuses requests because it leaves.
        Leaving {
            display("the body did not arrive before the front leaves")
        }
        /// The client did not send the whole of it before the deadline of the request.
        Late {
            display("the body did not arrive before the deadline")
        }
    }
}

/// Reads the body of a request of `declared_bytes`, which are counted in `held` already, or of a
/// length that is not known, which is counted as it arrives. Data that does not fit is left unread.
pub async fn read_request(
    body: Incoming,
    limit_bytes: usize,
    declared_bytes: Option<u64>,
    held: &HeldGuard,
    within: Duration,
) -> Result<Bytes, RequestBodyError> {
    let reading = read_frames(body, limit_bytes, declared_bytes, held, Sender::Client);
    let read = timeout(within, reading).await;
    read.unwrap_or(Err(RequestBodyError::Late))
}

/// Reads the body of a replica's answer and counts it in `held`. Waits until the front may hold it;
/// the caller limits the time.
pub async fn read_answer(
    body: Incoming,
    limit_bytes: usize,
    held: &HeldGuard,
) -> Result<Bytes, BodyError> {
    let declared_bytes = body.size_hint().exact();
    if declared_bytes.is_some_and(|bytes| bytes > limit_bytes as u64) {
        return Err(BodyError::TooLarge(limit_bytes));
    }
    if let Some(bytes) = declared_bytes {
        held.hold_answer(bytes).await;
    }
    let read = read_frames(body, limit_bytes, declared_bytes, held, Sender::Replica);
    read.await.map_err(|error| match error {
        RequestBodyError::Body(error) => error,
        other => BodyError::Interrupted(other.to_string()),
    })
}

/// Who sends a body.
#[derive(Clone, Copy)]
enum Sender {
    /// Its request is refused if the front holds too much.
    Client,
    /// Its answer waits until the front may hold it.
    Replica,
}

async fn read_frames(
    mut body: Incoming,
    limit_bytes: usize,
    declared_bytes: Option<u64>,
    held: &HeldGuard,
    sender: Sender,
) -> Result<Bytes, RequestBodyError> {
    let mut gathered = Segments::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|reason| BodyError::Interrupted(reason.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if gathered.bytes + data.len() > limit_bytes {
            return Err(BodyError::TooLarge(limit_bytes).into());
        }
        let bytes = (gathered.bytes + data.len()) as u64;
        let longest = limit_bytes as u64;
        match sender {
            _ if declared_bytes.is_some() => {}
            Sender::Client if held.hold_undeclared(bytes, longest).await => {}
            Sender::Client => return Err(RequestBodyError::Overfull),
            Sender::Replica => held.hold_undeclared_answer(bytes, longest).await,
        }
        if gathered.bytes == 0 && body.is_end_stream() {
            held.shrink_to(data.len() as u64);
            return Ok(data);
        }
        gathered.push(&data, declared_bytes);
    }
    held.shrink_to(gathered.bytes as u64);
    Ok(gathered.join().await)
}

/// A body that is read piece by piece.
#[derive(Default)]
struct Segments {
    segments: Vec<BytesMut>,
    bytes: usize,
}

impl Segments {
    fn push(&mut self, mut data: &[u8], declared_bytes: Option<u64>) {
        self.bytes += data.len();
        while !data.is_empty() {
            let full = |last: &BytesMut| last.len() == last.capacity();
            if self.segments.last().is_none_or(full) {
                let bytes = declared_bytes.map_or(SEGMENT_BYTES, |bytes| bytes as usize);
                self.segments.push(BytesMut::with_capacity(bytes));
            }
            if let Some(last) = self.segments.last_mut() {
                let room = last.capacity() - last.len();
                let (now, later) = data.split_at(room.min(data.len()));
                last.extend_from_slice(now);
                data = later;
            }
        }
    }

    /// Joins the segments. Other tasks go on meanwhile.
    async fn join(mut self) -> Bytes {
        if self.segments.len() < 2 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut joined = BytesMut::with_capacity(self.bytes);
        for segment in self.segments {
            joined.extend_from_slice(&segment);
            tokio::task::yield_now().await;
        }
        joined.freeze()
    }
}
