//! Reads one shard of claims and gives verdicts.

use std::collections::HashMap;
use std::time::Duration;

use adapters::{LogClient, LogPage};
use claims::{ClaimSettings, KeyDigest, RequestDigest, Shard, Verdict, stream_name};
use node::now_ms;
use tokio::sync::{mpsc, oneshot};
use types::CallId;

use super::waiting_ends::WaitingEnds;

/// Orders that wait at most.
const ORDERS_MAX: usize = 1_024;
/// Pages that were read and not taken in.
const PAGES_MAX: usize = 1;
const RECORDS_AT_ONCE: usize = 256;
/// Longest poll for a new record, in milliseconds. A connection that goes silent keeps
/// verdicts back for this time and the log's deadline, together less than the time that
/// a claim has.
const POLL_MS: u64 = 2_000;
/// Pause after a read that failed.
const PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks for keys whose lifetime is over, in milliseconds.
const EXPIRE_EVERY_MS: u64 = 60_000;

/// What a reader is asked.
pub enum ReadOrder {
    /// What a submission is to do whose key is held already.
    Peek {
        /// Its key.
        key: KeyDigest,
        /// What it asks for.
        request: RequestDigest,
        /// Takes the verdict; `None` when it may claim.
        answer: oneshot::Sender<Option<Verdict>>,
    },
    /// The same once the key's call no longer runs; `None` when it may be claimed anew.
    End {
        /// Its key.
        key: KeyDigest,
        /// What it asks for.
        request: RequestDigest,
        /// Takes the verdict.
        answer: oneshot::Sender<Option<Verdict>>,
    },
    /// The verdict on a claim, once it was read.
    Await {
        /// The claim.
        claim: CallId,
        /// Takes the verdict.
        answer: oneshot::Sender<Verdict>,
    },
}

/// Starts the reader of a shard.
pub fn start(shard: u16, log: LogClient, settings: ClaimSettings) -> mpsc::Sender<ReadOrder> {
    let (orders, inbox) = mpsc::channel(ORDERS_MAX);
    let (pages, read) = mpsc::channel(PAGES_MAX);
    tokio::spawn(pump(stream_name(shard), log, pages));
    tokio::spawn(own(inbox, read, settings));
    orders
}

async fn pump(stream: String, log: LogClient, pages: mpsc::Sender<LogPage>) {
    let mut from = 0;
    while !pages.is_closed() {
        match log.read(&stream, from, RECORDS_AT_ONCE, POLL_MS).await {
            Ok(page) => {
                from = page.next.max(from);
                if pages.send(page).await.is_err() {
                    return;
                }
            }
            // An outage; claims wait for their verdict and give up in time.
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn own(
    mut inbox: mpsc::Receiver<ReadOrder>,
    mut pages: mpsc::Receiver<LogPage>,
    settings: ClaimSettings,
) {
    let mut reader = Reader {
        shard: Shard::new(settings),
        waiting: HashMap::new(),
        ends: WaitingEnds::default(),
        expire_at_ms: now_ms() + EXPIRE_EVERY_MS,
    };
    loop {
        tokio::select! {
            Some(page) = pages.recv() => reader.take_page(&page),
            order = inbox.recv() => match order {
                Some(order) => reader.take_order(order),
                None => return,
            },
        }
    }
}

struct Reader {
    shard: Shard,
    waiting: HashMap<CallId, oneshot::Sender<Verdict>>,
    ends: WaitingEnds,
    expire_at_ms: u64,
}

impl Reader {
    fn take_page(&mut self, page: &LogPage) {
        let now_ms = now_ms();
        for record in &page.records {
            let placed = match self.shard.apply(record.offset, &record.data, now_ms) {
                Ok(placed) => placed,
                Err(reason) => {
                    log::warn!(event = "claims-unreadable", reason:% = reason; "");
                    continue;
                }
            };
            for placed in placed {
                if let Some(waiting) = self.waiting.remove(&placed.claim) {
                    // The holder may have given up.
                    let _ = waiting.send(placed.verdict);
                }
            }
        }
        self.ends.look(&self.shard, now_ms);
        if now_ms >= self.expire_at_ms {
            self.expire_at_ms = now_ms + EXPIRE_EVERY_MS;
            self.shard.expire(now_ms);
        }
    }

    fn take_order(&mut self, order: ReadOrder) {
        match order {
            ReadOrder::Peek {
                key,
                request,
                answer,
            } => {
                let _ = answer.send(self.shard.peek(key, request, now_ms()));
            }
            ReadOrder::End {
                key,
                request,
                answer,
            } => {
                self.ends.push(key, request, answer);
                self.ends.look(&self.shard, now_ms());
            }
            ReadOrder::Await { claim, answer } => {
                self.waiting.retain(|_, waiting| !waiting.is_closed());
                self.waiting.insert(claim, answer);
            }
        }
    }
}
