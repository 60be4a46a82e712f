//! Tails the stream `config` of the platform's log, if this process is one of those that tail it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapters::{LogClient, LogPage, PlatformError};
use membership::{Tail, TailAction, TailSettings};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;

use crate::feed::Shared;
use crate::feed_task::Event;
use crate::now_ms;

/// Stream of the platform's log that holds the configuration records.
pub(crate) const CONFIG_STREAM: &str = "config";
/// Most records in one read.
const PAGE_RECORDS_MAX: usize = 64;
/// Longest wait of a read at the end of the stream for new records.
const LONG_POLL_TIMEOUT_MS: u64 = 5_000;
/// Longest sleep; reads by peers are taken into account at least this often.
const SLEEP_MAX_MS: u64 = 1_000;

struct TailReader {
    shared: Arc<Shared>,
    log: LogClient,
    tail: Tail,
    next_offset: u64,
    /// Whether the last read reached the end of the stream.
    at_end: bool,
    /// Whether this process has read to the end of the stream at least once.
    has_read_end: bool,
}

/// Runs until the task that owns the ledger has ended.
pub(crate) async fn run(
    shared: Arc<Shared>,
    log: LogClient,
    settings: TailSettings,
    events: mpsc::WeakSender<Event>,
) {
    let mut rng = StdRng::seed_from_u64(rand::random());
    let mut reader = TailReader {
        shared,
        log,
        tail: Tail::new(settings, now_ms()),
        next_offset: 0,
        at_end: false,
        has_read_end: false,
    };
    loop {
        let is_tailer = reader.shared.is_tailer.load(Ordering::Acquire);
        reader.observe_peer_reads();
        // Every process reads once after its start, whatever its rank. If nothing was ever
        // published, there are no digests, and a process that only waited for digests would
        // never become initialized.
        let may_read = is_tailer || !reader.has_read_end;
        if let TailAction::WaitUntil { at_ms } = reader.tail.next_action(may_read, now_ms()) {
            reader.wait(at_ms).await;
            continue;
        }
        let read = reader.read(is_tailer).await;
        let Some(events) = events.upgrade() else {
            return;
        };
        match read {
            Ok(page) => reader.handle_page(page, &events).await,
            Err(error) => {
                log::warn!(event = "config-unread", reason:% = error; "");
                reader.tail.record_failure(is_tailer, now_ms(), &mut rng);
            }
        }
    }
}

impl TailReader {
    /// Passes the newest read by a peer to the state machine of the tail.
    fn observe_peer_reads(&mut self) {
        let newest_ms = self.shared.newest_read_ms.load(Ordering::Acquire);
        if newest_ms > 0 {
            let age_ms = now_ms().saturating_sub(newest_ms);
            let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
            self.tail.record_peer_read(age_ms, now_ms());
        }
    }

    async fn wait(&self, at_ms: u64) {
        let wait_ms = at_ms.saturating_sub(now_ms()).clamp(1, SLEEP_MAX_MS);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
            () = self.shared.tailer_changed.notified() => {}
        }
    }

    async fn read(&self, is_tailer: bool) -> Result<LogPage, PlatformError> {
        let wait_ms = if is_tailer && self.at_end {
            LONG_POLL_TIMEOUT_MS
        } else {
            0
        };
        let from = self.next_offset;
        self.log
            .read(CONFIG_STREAM, from, PAGE_RECORDS_MAX, wait_ms)
            .await
    }

    async fn handle_page(&mut self, page: LogPage, events: &mpsc::Sender<Event>) {
        let is_new = self.at_end;
        self.at_end = page.records.len() < PAGE_RECORDS_MAX;
        self.next_offset = page.next.max(self.next_offset);
        let at_end = self.at_end;
        // Waits while the queue is full, so that the log is not read faster than its records
        // are applied.
        let event = Event::Page {
            page,
            at_end,
            is_new,
        };
        let sent = events.send(event).await;
        if sent.is_ok() && at_end {
            self.has_read_end = true;
            let now_ms = now_ms();
            self.tail.record_read(now_ms);
            self.shared
                .newest_read_ms
                .fetch_max(now_ms, Ordering::AcqRel);
        }
    }
}
