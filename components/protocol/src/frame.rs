//! Frames of a connection between two processes.

use bytes::Bytes;
use derive::wire;
use types::{CallId, Class, CustomerName, Failure, FailureDomain, NodeId, ServiceName};

use crate::{Nonce, ProcessRole};

/// Content of the first frame in each direction of a connection.
#[wire]
pub struct Hello {
    /// Oldest protocol version that the sender supports.
    pub version_min: u16,
    /// Newest protocol version that the sender supports.
    pub version_max: u16,
    /// Address and incarnation of the sender.
    pub node: NodeId,
    /// Role of the sender.
    pub role: ProcessRole,
    /// Failure domain of the sender.
    pub failure_domain: FailureDomain,
    /// Random number of the sender for this connection. The session key is derived from the
    /// nonces of both sides.
    pub nonce: Nonce,
    /// Random number that the sender chose when its process started. A restarted callee does not
    /// know the calls of its predecessor. A newer connection with the same boot number of the
    /// caller replaces the older ones.
    pub boot: u64,
}

/// Request of a call.
#[wire]
pub struct Open {
    /// Id of this attempt; a retry of the same request has another id.
    pub id: CallId,
    /// Id of the client's request, the same in the log lines of all processes.
    pub request_id: String,
    /// Customer to which the call is charged.
    pub customer: CustomerName,
    /// Customer that owns the service; differs from `customer` for a shared service.
    pub owner: CustomerName,
    /// Name of the called service.
    pub service: ServiceName,
    /// Scheduling class of the call.
    pub class: Class,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time left until the caller's deadline, in milliseconds. A duration and not a time, because
    /// the clocks of the two processes may differ.
    pub deadline_left_ms: u32,
    /// HTTP method.
    pub method: String,
    /// HTTP path with query.
    pub path: String,
    /// HTTP headers that are forwarded to the endpoint.
    pub headers: Vec<(String, String)>,
    /// Complete body of the request.
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
    /// First frame of each direction.
    Hello(Hello),
    /// Sends the request of a call.
    Open(Box<Open>),
    /// Resumes a call after its connection was lost; requests the parts of the answer from
    /// `next_part` on.
    Attach {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
        /// First part that the caller does not have; 0 is the head.
        next_part: u32,
    },
    /// The callee has admitted the call and will refuse it or start it.
    Accepted {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
    },
    /// The callee sends the call to its endpoint; from now on the call may have run.
    Started {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
    },
    /// Part 0 of an answer.
    Head {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
        /// HTTP status and headers.
        head: Head,
    },
    /// A later part of an answer, numbered from 1.
    Chunk {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
        /// Number of this part.
        part: u32,
        /// Next bytes of the body.
        bytes: Bytes,
    },
    /// The answer is complete.
    End {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
        /// Number of parts including the head; equals the number after the last part.
        parts: u32,
        /// Bytes in all chunks.
        body_bytes: u64,
    },
    /// The call ended without a complete answer.
    Fail {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
        /// Run state and cause of the failure.
        failure: Failure,
    },
    /// The caller has consumed all parts before `next_part`; returns their bytes to the callee's
    /// send window.
    Received {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
        /// First part that the caller does not have.
        next_part: u32,
    },
    /// The caller has the complete answer; the callee may delete the call.
    Forget {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
    },
    /// The caller abandons the call; the callee cancels it at the endpoint.
    Cancel {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
    },
    /// Answers [`Frame::Attach`] for a call that this run of the callee does not know.
    Unattached {
        /// Id of the call, as in its `Open` frame.
        id: CallId,
    },
    /// Checks that the peer is alive; it answers with [`Frame::Pong`].
    Ping {
        /// Number that the answer repeats.
        number: u64,
    },
    /// Answers [`Frame::Ping`].
    Pong {
        /// Number of the ping.
        number: u64,
    },
}

impl Frame {
    /// Id of the call to which the frame belongs; `None` for frames of the connection itself.
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

    /// Whether the frame carries a request or a part of an answer. Used to count traffic.
    pub fn carries_call(&self) -> bool {
        matches!(
            self,
            Frame::Open(_) | Frame::Head { .. } | Frame::Chunk { .. }
        )
    }
}
