//! Frames on a connection between two processes.

use bytes::Bytes;
use derive::wire;
use types::{CallId, Class, CustomerName, Failure, FailureDomain, NodeId, ServiceName};

use crate::{Nonce, ProcessRole};

/// First frame in each direction of a connection.
#[wire]
pub struct Hello {
    /// Oldest protocol version that the sender speaks.
    pub version_min: u16,
    /// Newest protocol version that the sender speaks.
    pub version_max: u16,
    /// The sender.
    pub node: NodeId,
    /// What the sender is.
    pub role: ProcessRole,
    /// Failure domain of the sender.
    pub failure_domain: FailureDomain,
    /// Random number of the sender for this connection; both go into its key.
    pub nonce: Nonce,
    /// Random number of this life of the sender. Calls are known to one life of the
    /// callee only, and a caller's newer connection takes the place of its older ones.
    pub boot: u64,
}

/// A call as it leaves the caller's process.
#[wire]
pub struct Open {
    /// Identity of the call; of this attempt, not of the caller's request.
    pub id: CallId,
    /// Identity of the caller's request, the same in every process's log lines.
    pub request_id: String,
    /// Customer that pays for the call.
    pub customer: CustomerName,
    /// Customer that owns the service; another one than `customer` for a shared service.
    pub owner: CustomerName,
    /// Service that is called.
    pub service: ServiceName,
    /// Class of the call.
    pub class: Class,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time left until the caller's deadline, in milliseconds. Clocks are not compared.
    pub deadline_left_ms: u32,
    /// HTTP method.
    pub method: String,
    /// HTTP path with query.
    pub path: String,
    /// HTTP headers that go to the endpoint.
    pub headers: Vec<(String, String)>,
    /// Whole body of the request.
    pub body: Bytes,
}

/// Status line and headers of an endpoint's answer.
#[wire]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers of the answer.
    pub headers: Vec<(String, String)>,
}

/// One frame.
#[wire]
pub enum Frame {
    /// Opens the connection.
    Hello(Hello),
    /// Starts a call.
    Open(Box<Open>),
    /// Takes up a call again after a lost connection; the answer's parts from
    /// `next_part` on are wanted.
    Attach {
        /// The call.
        id: CallId,
        /// First part that the caller does not have; 0 is the head.
        next_part: u32,
    },
    /// The callee has taken the call in and will refuse or hand it over.
    Accepted {
        /// The call.
        id: CallId,
    },
    /// The callee hands the call to its endpoint now: from here on it may have run.
    Started {
        /// The call.
        id: CallId,
    },
    /// Part 0 of an answer.
    Head {
        /// The call.
        id: CallId,
        /// Status and headers.
        head: Head,
    },
    /// A later part of an answer, numbered from 1.
    Chunk {
        /// The call.
        id: CallId,
        /// Number of the part.
        part: u32,
        /// The bytes.
        bytes: Bytes,
    },
    /// The answer is whole.
    End {
        /// The call.
        id: CallId,
        /// Number of parts with the head, and so the number after the last part.
        parts: u32,
        /// Bytes in all chunks.
        body_bytes: u64,
    },
    /// The call ends without a whole answer.
    Fail {
        /// The call.
        id: CallId,
        /// What became of it.
        failure: Failure,
    },
    /// The caller holds all parts before `next_part`; opens the callee's send window.
    Received {
        /// The call.
        id: CallId,
        /// First part that the caller does not have.
        next_part: u32,
    },
    /// The caller holds the final answer; the callee may forget the call.
    Forget {
        /// The call.
        id: CallId,
    },
    /// The caller gives the call up; the callee cancels it at the endpoint.
    Cancel {
        /// The call.
        id: CallId,
    },
    /// Answer to [`Frame::Attach`] for a call that this life of the callee never had.
    Unattached {
        /// The call.
        id: CallId,
    },
    /// Asks for a sign of life.
    Ping {
        /// Comes back in the answer.
        number: u64,
    },
    /// Answers [`Frame::Ping`].
    Pong {
        /// Number of the ping.
        number: u64,
    },
}

impl Frame {
    /// The call that the frame belongs to, if it belongs to one.
    pub fn id(&self) -> Option<CallId> {
        match self {
            Frame::Hello(_) | Frame::Ping { .. } | Frame::Pong { .. } => None,
            Frame::Open(open) => Some(open.id),
            Frame::Attach { id, .. }
            | Frame::Accepted { id }
            | Frame::Started { id }
            | Frame::Head { id, .. }
            | Frame::Chunk { id, .. }
            | Frame::End { id, .. }
            | Frame::Fail { id, .. }
            | Frame::Received { id, .. }
            | Frame::Forget { id }
            | Frame::Cancel { id }
            | Frame::Unattached { id } => Some(*id),
        }
    }

    /// Whether the frame carries a request or part of an answer, and not control only.
    pub fn carries_call(&self) -> bool {
        matches!(
            self,
            Frame::Open(_) | Frame::Head { .. } | Frame::Chunk { .. }
        )
    }
}
