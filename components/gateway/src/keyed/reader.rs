//! Reads one shard of claims from the log and answers queries about its keys.

use std::collections::HashMap;
use std::time::Duration;

use adapters::{LogClient, LogPage};
use claims::{ClaimSettings, KeyDigest, RequestDigest, Shard, Verdict, stream_name};
use node::now_ms;
use tokio::sync::{mpsc, oneshot};
use types::CallId;

use super::end_waiters::EndWaiters;

const QUEUED_COMMANDS_MAX: usize = 1_024;
/// Pages that are read ahead of the one being applied.
const QUEUED_PAGES_MAX: usize = 1;
const RECORDS_PER_READ: usize = 256;
/// Longest poll for new records. If the connection becomes unresponsive, verdicts are delayed by
/// this time plus the log client's timeout; together they must be shorter than the time within
/// which a claim must start.
const POLL_TIMEOUT_MS: u64 = 2_000;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which expired keys are removed.
const EXPIRE_INTERVAL_MS: u64 = 60_000;

/// A query to a reader.
pub enum ReadCommand {
    /// Asks whether the key is already claimed.
    Peek {
        key: KeyDigest,
        /// Digest of the request.
        request: RequestDigest,
        /// Receives the verdict; `None` if the key may be claimed.
        answer: oneshot::Sender<Option<Verdict>>,
    },
    /// Like `Peek`, but answered only when the key's call is no longer running.
    AwaitEnd {
        key: KeyDigest,
        /// Digest of the request.
        request: RequestDigest,
        /// Receives the verdict; `None` if the key may be claimed again.
        answer: oneshot::Sender<Option<Verdict>>,
    },
    /// Asks for the verdict on a claim once the claim has been read from the log.
    AwaitVerdict {
        /// Id of the claim.
        claim: CallId,
        answer: oneshot::Sender<Verdict>,
    },
}

/// Starts the reader of a shard.
pub fn start(shard: u16, log: LogClient, settings: ClaimSettings) -> mpsc::Sender<ReadCommand> {
    let (commands, inbox) = mpsc::channel(QUEUED_COMMANDS_MAX);
    let (pages, read) = mpsc::channel(QUEUED_PAGES_MAX);
    tokio::spawn(read_pages(stream_name(shard), log, pages));
    tokio::spawn(run_reader(inbox, read, settings));
    commands
}

async fn read_pages(stream: String, log: LogClient, pages: mpsc::Sender<LogPage>) {
    let mut from = 0;
    while !pages.is_closed() {
        match log
            .read(&stream, from, RECORDS_PER_READ, POLL_TIMEOUT_MS)
            .await
        {
            Ok(page) => {
                from = page.next.max(from);
                if pages.send(page).await.is_err() {
                    return;
                }
            }
            // During an outage of the log, claims wait for their verdict and are abandoned at their
            // timeout.
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn run_reader(
    mut inbox: mpsc::Receiver<ReadCommand>,
    mut pages: mpsc::Receiver<LogPage>,
    settings: ClaimSettings,
) {
    let mut reader = Reader {
        shard: Shard::new(settings),
        verdict_waiters: HashMap::new(),
        end_waiters: EndWaiters::default(),
        expire_at_ms: now_ms() + EXPIRE_INTERVAL_MS,
    };
    loop {
        tokio::select! {
            Some(page) = pages.recv() => reader.apply_page(&page),
            command = inbox.recv() => match command {
                Some(command) => reader.handle(command),
                None => return,
            },
        }
    }
}

struct Reader {
    shard: Shard,
    verdict_waiters: HashMap<CallId, oneshot::Sender<Verdict>>,
    end_waiters: EndWaiters,
    expire_at_ms: u64,
}

impl Reader {
    fn apply_page(&mut self, page: &LogPage) {
        let now_ms = now_ms();
        for record in &page.records {
            let verdicts = match self.shard.apply(record.offset, &record.data, now_ms) {
                Ok(verdicts) => verdicts,
                Err(reason) => {
                    log::warn!(event = "claims-unreadable", reason:% = reason; "");
                    continue;
                }
            };
            for decided in verdicts {
                if let Some(waiter) = self.verdict_waiters.remove(&decided.claim) {
                    // The submission may have abandoned its claim.
                    let _ = waiter.send(decided.verdict);
                }
            }
        }
        self.end_waiters.answer_ended(&self.shard, now_ms);
        if now_ms >= self.expire_at_ms {
            self.expire_at_ms = now_ms + EXPIRE_INTERVAL_MS;
            self.shard.expire(now_ms);
        }
    }

    fn handle(&mut self, command: ReadCommand) {
        match command {
            ReadCommand::Peek {
                key,
                request,
                answer,
            } => {
                let _ = answer.send(self.shard.peek(key, request, now_ms()));
            }
            ReadCommand::AwaitEnd {
                key,
                request,
                answer,
            } => {
                self.end_waiters.push(key, request, answer);
                self.end_waiters.answer_ended(&self.shard, now_ms());
            }
            ReadCommand::AwaitVerdict { claim, answer } => {
                self.verdict_waiters.retain(|_, waiter| !waiter.is_closed());
                self.verdict_waiters.insert(claim, answer);
            }
        }
    }
}
