//! Copies of a step for its other home.
//!
//! A copy that is lost costs a run after the loss of the home, never a sample that the
//! trainer has, so nothing waits for one and a full queue drops them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use samples::{CopyMessage, StepKey, split_batches};
use tokio::sync::mpsc;

use crate::gateway::Gateway;
use crate::peer::PeerCall;

/// Path of the inner call that takes copies.
pub const COPIES_PATH: &str = "/copies";

/// Copies that wait at most.
const QUEUED_MAX: usize = 8_192;
/// Copies of one call at most.
const BATCH_MAX: usize = 256;
/// Texts of one call at most, in bytes. A call between entries is bounded, and a byte of
/// text may take six in JSON; a call that is too large would be refused whole.
const BATCH_BYTES_MAX: usize = 2 << 20;
const DEADLINE_MS: u32 = 5_000;
/// Pause after a call that failed, so that a home that is gone is not called in a loop.
const PAUSE: Duration = Duration::from_millis(200);

struct Addressed {
    to: SocketAddr,
    key: StepKey,
    copy: CopyMessage,
}

impl Addressed {
    fn is_post(&self) -> bool {
        matches!(self.copy, CopyMessage::Post { .. })
    }
}

/// Sends copies; clones share one queue.
#[derive(Clone)]
pub struct Copier {
    queue: mpsc::Sender<Addressed>,
}

impl Copier {
    /// Starts the sending task.
    pub fn start(gateway: Arc<Gateway>) -> Copier {
        let (queue, copies) = mpsc::channel(QUEUED_MAX);
        tokio::spawn(send(copies, gateway));
        Copier { queue }
    }

    /// Queues a copy; false if there is no place for it.
    pub fn send(&self, to: SocketAddr, key: &StepKey, copy: CopyMessage) -> bool {
        let addressed = Addressed {
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

async fn send(mut copies: mpsc::Receiver<Addressed>, gateway: Arc<Gateway>) {
    let mut batch = Vec::new();
    while copies.recv_many(&mut batch, BATCH_MAX).await > 0 {
        let mut by_home: BTreeMap<SocketAddr, Vec<Addressed>> = BTreeMap::new();
        for copy in batch.drain(..) {
            by_home.entry(copy.to).or_default().push(copy);
        }
        for (to, copies) in by_home {
            let bytes_of = |copy: &Addressed| copy.copy.text_bytes();
            for copies in split_batches(copies, bytes_of, BATCH_BYTES_MAX) {
                send_to(&gateway, to, &copies).await;
            }
        }
    }
}

async fn send_to(gateway: &Gateway, to: SocketAddr, copies: &[Addressed]) {
    let taken = send_batch(gateway, to, copies).await;
    for posted in copies.iter().filter(|copy| copy.is_post()) {
        let key = posted.key.clone();
        gateway.training.told(key, to, taken).await;
    }
    if !taken {
        log::warn!(event = "copies-lost", to = to.to_string(), copies = copies.len(); "");
        tokio::time::sleep(PAUSE).await;
    }
}

async fn send_batch(gateway: &Gateway, to: SocketAddr, copies: &[Addressed]) -> bool {
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
        deadline_ms: DEADLINE_MS,
    };
    gateway.call_peer(to, call).await.is_ok()
}

/// Reads the body of a call that brings copies.
pub fn parse(body: &[u8]) -> Option<Vec<CopyMessage>> {
    serde_json::from_slice(body).ok()
}

/// The homes of a step that were sent everything.
#[derive(Default)]
pub struct Told {
    homes: BTreeMap<StepKey, Vec<SocketAddr>>,
}

impl Told {
    /// Notes the present other homes of a step; gives those that are new.
    pub fn update(&mut self, key: &StepKey, homes: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let known = self.homes.entry(key.clone()).or_default();
        let new = homes.iter().filter(|home| !known.contains(home));
        let new = new.copied().collect();
        *known = homes;
        new
    }

    /// A home did not get what it was sent.
    pub fn lost(&mut self, key: &StepKey, home: SocketAddr) {
        if let Some(known) = self.homes.get_mut(key) {
            known.retain(|&other| other != home);
        }
    }

    /// Forgets the steps that are not kept.
    pub fn retain(&mut self, keep: impl Fn(&StepKey) -> bool) {
        self.homes.retain(|key, _| keep(key));
    }
}

/// A shared step as one copy, for a home that holds nothing of it.
pub fn post(
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
