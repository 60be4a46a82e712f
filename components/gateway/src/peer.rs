//! Calls of this entry to other entries. Each may be made twice.

use std::net::SocketAddr;

use bytes::Bytes;
use link::CallEvent;
use node::now_ms;
use protocol::{Head, Open};
use types::{Cause, Class, CustomerName, Failure, RunState, ServiceName};

use crate::gateway::Gateway;

/// Largest answer of an entry.
const ANSWER_BYTES_MAX: usize = 32 << 20;

/// A call to another entry.
pub struct PeerCall<'a> {
    /// Identity of the caller's request, if it is made for one.
    pub request_id: &'a str,
    /// Customer that it is made for.
    pub customer: &'a CustomerName,
    /// Service of that customer that it is about.
    pub service: &'a ServiceName,
    /// What is asked.
    pub path: &'a str,
    /// Its content.
    pub body: Bytes,
    /// Time until nobody wants the answer, in milliseconds.
    pub deadline_ms: u32,
}

impl Gateway {
    /// Asks another entry, and notes whether it could be reached.
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
