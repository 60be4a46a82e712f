//! Callee side of one call: its state, the parts of the response that the caller has not
//! acknowledged, and its last frame.

use std::collections::VecDeque;

use bytes::Bytes;
use protocol::{Frame, Head, Open};
use types::{CallId, Cause, CustomerName, Failure, RunState};

/// Bytes added to the size of each part of a response when memory and window are counted, so
/// that many small parts are limited as well.
const PART_OVERHEAD_BYTES: usize = 64;

/// Bytes of the send window and of the callee's memory that a part of `size_bytes` is counted
/// for.
pub fn part_cost_bytes(size_bytes: usize) -> usize {
    size_bytes + PART_OVERHEAD_BYTES
}

/// Progress of a call on the callee's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    Received,
    /// The handler accepted the call.
    Accepted,
    /// The call was passed to the endpoint and may have run.
    Started,
}

/// How the parts of a response are stored until the caller acknowledges them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retention {
    /// Parts are stored for the caller.
    Keep,
    /// The caller did not reconnect within the grace period. The call is not idempotent and
    /// must run to its end; its parts are stored up to the table's memory limit.
    Bounded,
    /// The call was cancelled; its parts are discarded.
    Discard,
}

#[derive(Debug)]
struct Part {
    frame: Frame,
    cost_bytes: usize,
}

/// One call on the callee's side.
#[derive(Debug)]
pub(crate) struct ServedCall {
    pub id: CallId,
    /// Customer that pays for the call.
    pub customer: CustomerName,
    pub idempotent: bool,
    pub deadline_at_ms: u64,
    pub stage: Stage,
    pub retention: Retention,
    /// Connection on which the response is sent; `None` while the caller is disconnected.
    pub connection: Option<u64>,
    pub lost_at_ms: Option<u64>,
    pub ended_at_ms: Option<u64>,
    request_bytes: usize,
    parts: VecDeque<Part>,
    /// Number of the first part in `parts`.
    first_stored: u32,
    next_part: u32,
    body_bytes: u64,
    parts_bytes: usize,
    /// Parts that were not acknowledged have been discarded, so the response cannot be
    /// delivered completely any more.
    parts_discarded: bool,
    /// Frame that ended the call.
    last_frame: Option<Frame>,
}

impl ServedCall {
    pub fn new(open: &Open, connection: u64, deadline_at_ms: u64) -> Self {
        Self {
            id: open.id,
            customer: open.customer.clone(),
            idempotent: open.idempotent,
            deadline_at_ms,
            stage: Stage::Received,
            retention: Retention::Keep,
            connection: Some(connection),
            lost_at_ms: None,
            ended_at_ms: None,
            request_bytes: open.body.len(),
            parts: VecDeque::new(),
            first_stored: 0,
            next_part: 0,
            body_bytes: 0,
            parts_bytes: 0,
            parts_discarded: false,
            last_frame: None,
        }
    }

    /// Size of the request's body; 0 once the call has ended.
    pub fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// Memory that the call is counted for: the request's body and the stored parts.
    pub fn held_bytes(&self) -> usize {
        self.request_bytes + self.parts_bytes
    }

    pub fn is_ended(&self) -> bool {
        self.last_frame.is_some()
    }

    /// Raises the stage, and returns the frame that reports the new stage to the caller.
    pub fn advance(&mut self, to: Stage) -> Option<Frame> {
        if self.stage >= to || self.is_ended() {
            return None;
        }
        self.stage = to;
        self.stage_frame()
    }

    pub fn add_head(&mut self, head: Head) -> Option<Frame> {
        if self.next_part > 0 || self.is_ended() {
            return None;
        }
        let id = self.id;
        self.store_part(Frame::Head { id, head }, 0)
    }

    pub fn add_chunk(&mut self, bytes: Bytes) -> Option<Frame> {
        if self.next_part == 0 || self.is_ended() {
            return None;
        }
        let (id, part, size_bytes) = (self.id, self.next_part, bytes.len());
        self.body_bytes += size_bytes as u64;
        self.store_part(Frame::Chunk { id, part, bytes }, size_bytes)
    }

    /// Ends the call with a complete response.
    pub fn finish(&mut self, now_ms: u64) -> Option<Frame> {
        if self.next_part == 0 {
            return self.fail(Failure::new(RunState::Failed, Cause::Internal), now_ms);
        }
        if self.parts_discarded {
            return self.fail(Failure::new(RunState::Unknown, Cause::LinkLost), now_ms);
        }
        let (id, parts, body_bytes) = (self.id, self.next_part, self.body_bytes);
        self.end_with(
            Frame::End {
                id,
                parts,
                body_bytes,
            },
            now_ms,
        )
    }

    /// Ends the call without a complete response. Once the call was passed to the endpoint,
    /// `NotRun` is replaced by `Unknown`.
    pub fn fail(&mut self, failure: Failure, now_ms: u64) -> Option<Frame> {
        let contradicts_start = failure.run == RunState::NotRun && self.stage >= Stage::Started;
        let run = if contradicts_start {
            RunState::Unknown
        } else {
            failure.run
        };
        let failure = Failure { run, ..failure };
        self.end_with(
            Frame::Fail {
                id: self.id,
                failure,
            },
            now_ms,
        )
    }

    /// Ends a call whose handler was dropped before it ended the call.
    pub fn abandon(&mut self, now_ms: u64) -> Option<Frame> {
        let run = match self.stage {
            Stage::Received | Stage::Accepted => RunState::NotRun,
            Stage::Started if self.next_part == 0 => RunState::Unknown,
            Stage::Started => RunState::Failed,
        };
        self.fail(Failure::new(run, Cause::Internal), now_ms)
    }

    /// Frees the parts before `next_part`, which the caller has received. Returns the bytes by
    /// which the send window grows.
    pub fn acknowledge(&mut self, next_part: u32) -> usize {
        let mut freed_bytes = 0;
        while self.first_stored < next_part {
            let Some(part) = self.parts.pop_front() else {
                break;
            };
            self.first_stored += 1;
            self.parts_bytes -= part.cost_bytes;
            freed_bytes += part.cost_bytes;
        }
        freed_bytes
    }

    /// Frames that a caller who has received the parts before `next_part` is missing.
    pub fn resend(&self, next_part: u32) -> Vec<Frame> {
        let mut frames: Vec<Frame> = self.stage_frame().into_iter().collect();
        if next_part < self.first_stored || next_part > self.next_part || self.parts_discarded {
            let failure = Failure::new(RunState::Unknown, Cause::LinkLost);
            frames.push(Frame::Fail {
                id: self.id,
                failure,
            });
            return frames;
        }
        let received_parts = (next_part - self.first_stored) as usize;
        frames.extend(
            self.parts
                .iter()
                .skip(received_parts)
                .map(|part| part.frame.clone()),
        );
        frames.extend(self.last_frame.clone());
        frames
    }

    /// Discards the stored parts, because memory is short or the call was cancelled.
    pub fn discard_parts(&mut self) {
        self.parts_discarded = true;
        self.parts.clear();
        self.first_stored = self.next_part;
        self.parts_bytes = 0;
    }

    fn stage_frame(&self) -> Option<Frame> {
        let id = self.id;
        match self.stage {
            Stage::Received => None,
            Stage::Accepted => Some(Frame::Accepted { id }),
            Stage::Started => Some(Frame::Started { id }),
        }
    }

    fn store_part(&mut self, frame: Frame, size_bytes: usize) -> Option<Frame> {
        self.next_part += 1;
        if self.parts_discarded {
            self.first_stored = self.next_part;
            return None;
        }
        let cost_bytes = part_cost_bytes(size_bytes);
        self.parts_bytes += cost_bytes;
        self.parts.push_back(Part {
            frame: frame.clone(),
            cost_bytes,
        });
        Some(frame)
    }

    fn end_with(&mut self, last_frame: Frame, now_ms: u64) -> Option<Frame> {
        if self.is_ended() {
            return None;
        }
        // The handler has processed the request, so its body is not held any more.
        self.request_bytes = 0;
        self.ended_at_ms = Some(now_ms);
        self.last_frame = Some(last_frame.clone());
        Some(last_frame)
    }
}
