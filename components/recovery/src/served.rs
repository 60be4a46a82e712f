//! Callee side of one call: its state, the parts of the answer that the caller has not
//! acknowledged, and its end.

use std::collections::VecDeque;

use bytes::Bytes;
use protocol::{Frame, Head, Open};
use types::{CallId, Cause, CustomerName, Failure, RunState};

/// Bytes that a part of an answer is counted for beside its own, so that many small parts
/// are bounded as well.
const PART_OVERHEAD_BYTES: usize = 64;

/// Bytes that a part with this many bytes takes of the caller's window and of the
/// callee's memory.
pub fn part_cost_bytes(size_bytes: usize) -> usize {
    size_bytes + PART_OVERHEAD_BYTES
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    Taken,
    Accepted,
    Started,
}

/// What becomes of a call whose caller stays away or gives it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wanted {
    /// The answer is kept for the caller.
    Yes,
    /// The caller stays away; the call must run on and its answer is kept within bounds.
    Unattended,
    /// Nobody wants it; parts are dropped.
    No,
}

#[derive(Debug)]
struct Part {
    frame: Frame,
    cost_bytes: usize,
}

/// One call, as its callee sees it.
#[derive(Debug)]
pub(crate) struct Served {
    pub id: CallId,
    /// Customer that pays for the call.
    pub customer: CustomerName,
    pub idempotent: bool,
    pub deadline_at_ms: u64,
    pub stage: Stage,
    pub wanted: Wanted,
    /// Connection that the answer goes to; `None` while the caller is away.
    pub connection: Option<u64>,
    pub lost_at_ms: Option<u64>,
    pub ended_at_ms: Option<u64>,
    request_bytes: usize,
    parts: VecDeque<Part>,
    /// Number of the first part in `parts`.
    first_kept: u32,
    next_part: u32,
    body_bytes: u64,
    kept_bytes: usize,
    /// Parts were dropped for want of memory; the answer cannot be given any more.
    spilled: bool,
    last: Option<Frame>,
}

impl Served {
    pub fn new(open: &Open, connection: u64, deadline_at_ms: u64) -> Self {
        Self {
            id: open.id,
            customer: open.customer.clone(),
            idempotent: open.idempotent,
            deadline_at_ms,
            stage: Stage::Taken,
            wanted: Wanted::Yes,
            connection: Some(connection),
            lost_at_ms: None,
            ended_at_ms: None,
            request_bytes: open.body.len(),
            parts: VecDeque::new(),
            first_kept: 0,
            next_part: 0,
            body_bytes: 0,
            kept_bytes: 0,
            spilled: false,
            last: None,
        }
    }

    /// Bytes of the request's body.
    pub fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// Bytes of memory that the call is counted for.
    pub fn held_bytes(&self) -> usize {
        self.request_bytes + self.kept_bytes
    }

    pub fn is_ended(&self) -> bool {
        self.last.is_some()
    }

    /// Raises the stage; gives the frame that says so.
    pub fn advance(&mut self, to: Stage) -> Option<Frame> {
        if self.stage >= to || self.is_ended() {
            return None;
        }
        self.stage = to;
        self.stage_frame()
    }

    pub fn head(&mut self, head: Head) -> Option<Frame> {
        if self.next_part > 0 || self.is_ended() {
            return None;
        }
        let id = self.id;
        self.keep(Frame::Head { id, head }, 0)
    }

    pub fn chunk(&mut self, bytes: Bytes) -> Option<Frame> {
        if self.next_part == 0 || self.is_ended() {
            return None;
        }
        let (id, part, size_bytes) = (self.id, self.next_part, bytes.len());
        self.body_bytes += size_bytes as u64;
        self.keep(Frame::Chunk { id, part, bytes }, size_bytes)
    }

    /// Ends the call with a whole answer.
    pub fn end(&mut self, now_ms: u64) -> Option<Frame> {
        if self.next_part == 0 {
            return self.fail(Failure::new(RunState::Failed, Cause::Internal), now_ms);
        }
        if self.spilled {
            return self.fail(Failure::new(RunState::Unknown, Cause::LinkLost), now_ms);
        }
        let (id, parts, body_bytes) = (self.id, self.next_part, self.body_bytes);
        self.finish(
            Frame::End {
                id,
                parts,
                body_bytes,
            },
            now_ms,
        )
    }

    /// Ends the call without a whole answer. "Not run" is not taken from anybody once the
    /// call was handed over.
    pub fn fail(&mut self, failure: Failure, now_ms: u64) -> Option<Frame> {
        let contradicts = failure.run == RunState::NotRun && self.stage >= Stage::Started;
        let run = if contradicts {
            RunState::Unknown
        } else {
            failure.run
        };
        let failure = Failure { run, ..failure };
        self.finish(
            Frame::Fail {
                id: self.id,
                failure,
            },
            now_ms,
        )
    }

    /// Ends a call whose handler went away without an end.
    pub fn abandon(&mut self, now_ms: u64) -> Option<Frame> {
        let run = match self.stage {
            Stage::Taken | Stage::Accepted => RunState::NotRun,
            Stage::Started if self.next_part == 0 => RunState::Unknown,
            Stage::Started => RunState::Failed,
        };
        self.fail(Failure::new(run, Cause::Internal), now_ms)
    }

    /// The caller has all parts before `next_part`: gives up their memory and tells by how
    /// much the window opens.
    pub fn acknowledge(&mut self, next_part: u32) -> usize {
        let mut opened_bytes = 0;
        while self.first_kept < next_part {
            let Some(part) = self.parts.pop_front() else {
                break;
            };
            self.first_kept += 1;
            self.kept_bytes -= part.cost_bytes;
            opened_bytes += part.cost_bytes;
        }
        opened_bytes
    }

    /// All that a caller needs who has the parts before `next_part`.
    pub fn resend(&self, next_part: u32) -> Vec<Frame> {
        let mut frames: Vec<Frame> = self.stage_frame().into_iter().collect();
        if next_part < self.first_kept || next_part > self.next_part || self.spilled {
            let failure = Failure::new(RunState::Unknown, Cause::LinkLost);
            frames.push(Frame::Fail {
                id: self.id,
                failure,
            });
            return frames;
        }
        let known = (next_part - self.first_kept) as usize;
        frames.extend(self.parts.iter().skip(known).map(|part| part.frame.clone()));
        frames.extend(self.last.clone());
        frames
    }

    /// Drops the parts that are kept, for want of memory or because nobody wants them.
    pub fn spill(&mut self) {
        self.spilled = true;
        self.parts.clear();
        self.first_kept = self.next_part;
        self.kept_bytes = 0;
    }

    fn stage_frame(&self) -> Option<Frame> {
        let id = self.id;
        match self.stage {
            Stage::Taken => None,
            Stage::Accepted => Some(Frame::Accepted { id }),
            Stage::Started => Some(Frame::Started { id }),
        }
    }

    fn keep(&mut self, frame: Frame, size_bytes: usize) -> Option<Frame> {
        self.next_part += 1;
        if self.spilled {
            self.first_kept = self.next_part;
            return None;
        }
        let cost_bytes = part_cost_bytes(size_bytes);
        self.kept_bytes += cost_bytes;
        self.parts.push_back(Part {
            frame: frame.clone(),
            cost_bytes,
        });
        Some(frame)
    }

    fn finish(&mut self, last: Frame, now_ms: u64) -> Option<Frame> {
        if self.is_ended() {
            return None;
        }
        // The request itself went to the handler, which is through with it.
        self.request_bytes = 0;
        self.ended_at_ms = Some(now_ms);
        self.last = Some(last.clone());
        Some(last)
    }
}
