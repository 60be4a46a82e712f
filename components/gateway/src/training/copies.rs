//! Sends copies of a step to its other home.
//!
//! Losing a copy costs an additional run if the sending home is lost later, but never a sample that
//! the trainer has received. Therefore nothing waits for a copy to be delivered, and copies are
//! dropped while the queue is full.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use samples::{CopyMessage, StepKey, split_batches};
use tokio::sync::mpsc;

use crate::gateway::Gateway;
use crate::peer::PeerCall;

/// Path of the inner call that sends copies.
pub const COPIES_PATH: &str = "/copies";

const QUEUED_COPIES_MAX: usize = 8_192;
/// Maximum number of copies in one call.
const BATCH_COPIES_MAX: usize = 256;
/// Maximum size of the texts in one call. The size of calls between entries is limited, and one
/// byte of text can take six bytes in JSON. A call over the limit would be refused as a whole.
const BATCH_BYTES_MAX: usize = 2 << 20;
const TIMEOUT_MS: u32 = 5_000;
/// Delay after a failed call, which avoids a busy loop while a home is unreachable.
const RETRY_DELAY: Duration = Duration::from_millis(200);

struct AddressedCopy {
    to: SocketAddr,
    key: StepKey,
    copy: CopyMessage,
}

impl AddressedCopy {
    fn is_post(&self) -> bool {
        matches!(self.copy, CopyMessage::Post { .. })
    }
}

/// Queues copies for sending; clones share one queue.
#[derive(Clone)]
pub struct Copier {
    queue: mpsc::Sender<AddressedCopy>,
}

impl Copier {
    /// Starts the task that sends the queued copies.
    pub fn start(gateway: Arc<Gateway>) -> Copier {
        let (queue, copies) = mpsc::channel(QUEUED_COPIES_MAX);
        tokio::spawn(send_queued(copies, gateway));
        Copier { queue }
    }

    /// Queues a copy. Returns false if the queue is full.
    pub fn send(&self, to: SocketAddr, key: &StepKey, copy: CopyMessage) -> bool {
        let addressed = AddressedCopy {
            to,
            key: key.clone(),
            copy,
        };
        let queued = self.queue.try_send(addressed).is_ok();
        if !queued {
            log::warn!(event = "copy-dropped", step = key.step; "");
        }
        queued
    }
}

async fn send_queued(mut copies: mpsc::Receiver<AddressedCopy>, gateway: Arc<Gateway>) {
    let mut batch = Vec::new();
    while copies.recv_many(&mut batch, BATCH_COPIES_MAX).await > 0 {
        let mut by_home: BTreeMap<SocketAddr, Vec<AddressedCopy>> = BTreeMap::new();
        for copy in batch.drain(..) {
            by_home.entry(copy.to).or_default().push(copy);
        }
        for (to, copies) in by_home {
            let bytes_of = |copy: &AddressedCopy| copy.copy.text_bytes();
            for copies in split_batches(copies, bytes_of, BATCH_BYTES_MAX) {
                send_to_home(&gateway, to, &copies).await;
            }
        }
    }
}

async fn send_to_home(gateway: &Gateway, to: SocketAddr, copies: &[AddressedCopy]) {
    let delivered = send_batch(gateway, to, copies).await;
    for posted in copies.iter().filter(|copy| copy.is_post()) {
        let key = posted.key.clone();
        gateway
            .training
            .report_copy_result(key, to, delivered)
            .await;
    }
    if !delivered {
        log::warn!(event = "copies-lost", to = to.to_string(), copies = copies.len(); "");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn send_batch(gateway: &Gateway, to: SocketAddr, copies: &[AddressedCopy]) -> bool {
    let Some(first) = copies.first() else {
        return true;
    };
    let list: Vec<&CopyMessage> = copies.iter().map(|addressed| &addressed.copy).collect();
    let Ok(body) = serde_json::to_vec(&list) else {
        return false;
    };
    let call = PeerCall {
        request_id: "",
        customer: &first.key.customer,
        service: &first.key.service,
        path: COPIES_PATH,
        body: Bytes::from(body),
        deadline_ms: TIMEOUT_MS,
    };
    gateway.call_peer(to, call).await.is_ok()
}

/// Parses the body of a call that sends copies.
pub fn parse(body: &[u8]) -> Option<Vec<CopyMessage>> {
    serde_json::from_slice(body).ok()
}

/// For each step, the other homes to which all copies have been sent.
#[derive(Default)]
pub struct CopiedHomes {
    homes: BTreeMap<StepKey, Vec<SocketAddr>>,
}

impl CopiedHomes {
    /// Records the current other homes of a step. Returns those to which it has not been copied.
    pub fn update(&mut self, key: &StepKey, homes: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let recorded = self.homes.entry(key.clone()).or_default();
        let missing = homes.iter().filter(|home| !recorded.contains(home));
        let missing = missing.copied().collect();
        *recorded = homes;
        missing
    }

    /// Records that a copy did not reach a home, so that the step is copied there again.
    pub fn mark_lost(&mut self, key: &StepKey, home: SocketAddr) {
        if let Some(recorded) = self.homes.get_mut(key) {
            recorded.retain(|&other| other != home);
        }
    }

    /// Removes the steps for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&StepKey) -> bool) {
        self.homes.retain(|key, _| keep(key));
    }
}

/// Copy message of a post that was received just now.
pub fn post_copy(
    step: &Arc<samples::Step>,
    cursor: Option<String>,
    trainer_version: types::WeightVersion,
) -> CopyMessage {
    CopyMessage::Post {
        step: Arc::clone(step),
        cursor,
        trainer_version,
        unused_ms: 0,
    }
}
