//! Calls from this entry to other entries. All of them are idempotent.

use std::net::SocketAddr;

use bytes::Bytes;
use link::CallEvent;
use node::now_ms;
use protocol::{Head, Open};
use types::{Cause, Class, CustomerName, Failure, RunState, ServiceName};

use crate::gateway::Gateway;

/// Maximum size of an entry's answer.
const ANSWER_BYTES_MAX: usize = 32 << 20;

/// A call to another entry.
pub struct PeerCall<'a> {
    /// Id of the caller's request that caused the call; empty if there is none.
    pub request_id: &'a str,
    /// Customer on whose behalf the call is made.
    pub customer: &'a CustomerName,
    /// Service of the customer that the call concerns.
    pub service: &'a ServiceName,
    pub path: &'a str,
    pub body: Bytes,
    /// Time limit of the call, in milliseconds.
    pub deadline_ms: u32,
}

impl Gateway {
    /// Calls another entry and records whether the entry was reachable.
    pub async fn call_peer(
        &self,
        to: SocketAddr,
        call: PeerCall<'_>,
    ) -> Result<(Head, Bytes), Failure> {
        let answered = self.send_peer_call(to, call).await;
        match answered {
            Err(failure) if failure.cause == Cause::LinkLost => {
                self.reachability.mark_unreachable(to, now_ms())
            }
            _ => self.reachability.mark_reachable(to),
        }
        answered
    }

    async fn send_peer_call(
        &self,
        to: SocketAddr,
        call: PeerCall<'_>,
    ) -> Result<(Head, Bytes), Failure> {
        let open = Open {
            id: self.quick_links.next_id(),
            request_id: call.request_id.to_owned(),
            customer: call.customer.clone(),
            owner: call.customer.clone(),
            service: call.service.clone(),
            class: Class::Interactive,
            idempotent: true,
            deadline_left_ms: call.deadline_ms,
            method: "POST".to_owned(),
            path: call.path.to_owned(),
            headers: Vec::new(),
            body: call.body,
        };
        let mut call = self.quick_links.call(to, open);
        let bad = || Failure::new(RunState::Unknown, Cause::Internal);
        let mut head = None;
        let mut body = Vec::new();
        loop {
            match call.next().await {
                CallEvent::Accepted | CallEvent::Started => {}
                CallEvent::Head(received) => head = Some(received),
                CallEvent::Chunk(bytes) if body.len() + bytes.len() > ANSWER_BYTES_MAX => {
                    return Err(bad());
                }
                CallEvent::Chunk(bytes) => body.extend_from_slice(&bytes),
                CallEvent::End => return Ok((head.ok_or_else(bad)?, Bytes::from(body))),
                CallEvent::Failed(failure) => return Err(failure),
            }
        }
    }
}
