//! Writes records of one shard to the log, several an append.

use std::time::Duration;

use adapters::LogClient;
use claims::{Batch, ClaimSettings, Record, stream_name};
use node::now_ms;
use protocol::Open;
use tokio::sync::{mpsc, oneshot};
use types::{Cause, Failure};

/// Path of the inner call that takes a record; the shard's number follows.
pub const CLAIMS_PATH: &str = "/claims/";
/// Orders that wait at most.
const ORDERS_MAX: usize = 1_024;
/// Pause after an append that failed.
const PAUSE_MS: u64 = 300;
/// Sleep when nothing waits for an append.
const IDLE_MS: u64 = 60_000;

/// Tells whether the log takes a record: an error says that the append was refused and
/// may be tried elsewhere.
pub type WriteAnswer = oneshot::Sender<Result<(), Failure>>;

/// A record to write.
pub struct WriteOrder {
    /// The record.
    pub record: Record,
    /// Takes what became of it.
    pub answer: WriteAnswer,
}

/// Whether an inner call brings a record.
pub fn is_inner_call(open: &Open) -> bool {
    open.path.starts_with(CLAIMS_PATH)
}

/// Starts the writer of a shard.
pub fn start(shard: u16, log: LogClient, settings: ClaimSettings) -> mpsc::Sender<WriteOrder> {
    let (orders, inbox) = mpsc::channel(ORDERS_MAX);
    let writer = Writer {
        stream: stream_name(shard),
        log,
        batch: Batch::new(settings),
        settings,
        waiting: Vec::new(),
        pause_until_ms: 0,
    };
    tokio::spawn(writer.run(inbox));
    orders
}

struct Writer {
    stream: String,
    log: LogClient,
    batch: Batch,
    settings: ClaimSettings,
    waiting: Vec<WriteAnswer>,
    pause_until_ms: u64,
}

impl Writer {
    async fn run(mut self, mut inbox: mpsc::Receiver<WriteOrder>) {
        loop {
            let due_ms = self.batch.next_flush_ms();
            let due_ms = due_ms.map(|due_ms| due_ms.max(self.pause_until_ms));
            let wait_ms = due_ms.map_or(IDLE_MS, |due_ms| due_ms.saturating_sub(now_ms()));
            tokio::select! {
                order = inbox.recv() => match order {
                    Some(order) => self.push(order),
                    None => return,
                },
                () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
            }
            while let Ok(order) = inbox.try_recv() {
                self.push(order);
            }
            if now_ms() >= self.pause_until_ms {
                self.flush().await;
            }
        }
    }

    fn push(&mut self, order: WriteOrder) {
        match self.batch.push(order.record, now_ms()) {
            Ok(()) => self.waiting.push(order.answer),
            Err(_) => refuse(order.answer),
        }
    }

    async fn flush(&mut self) {
        let text = match self.batch.flush(now_ms()) {
            Ok(Some(text)) => text,
            Ok(None) => return,
            Err(reason) => {
                log::error!(event = "claims-unwritable", reason:% = reason; "");
                self.batch = Batch::new(self.settings);
                return self.refuse_all();
            }
        };
        match self.log.append(&self.stream, &text).await {
            Ok(_) => {
                self.batch.confirm_append();
                for answer in self.waiting.drain(..) {
                    // The holder may have its verdict already.
                    let _ = answer.send(Ok(()));
                }
            }
            // It may be in the log, and its reader will tell. Whoever waits for the
            // answer waits on, and the same records go again.
            Err(reason) if reason.may_have_taken_effect() => self.failed(),
            Err(_) => {
                self.failed();
                self.refuse_all();
            }
        }
    }

    fn failed(&mut self) {
        self.batch.retry_append();
        self.pause_until_ms = now_ms() + PAUSE_MS;
    }

    fn refuse_all(&mut self) {
        self.waiting.drain(..).for_each(refuse);
    }
}

fn refuse(answer: WriteAnswer) {
    let _ = answer.send(Err(Failure::not_run(Cause::ClaimUnavailable)));
}
