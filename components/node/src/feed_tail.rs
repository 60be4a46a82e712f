//! Tails the stream `config` of the platform's log, as far as it is this process's turn.

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

/// Stream of configuration records.
pub(crate) const CONFIG_STREAM: &str = "config";
/// Records in one read.
const PAGE_MAX: usize = 64;
/// Wait of a read at the end of the stream.
const LONG_POLL_MS: u64 = 5_000;
/// Longest sleep; what peers read is taken up this often.
const SLEEP_MAX_MS: u64 = 1_000;

struct Reader {
    shared: Arc<Shared>,
    log: LogClient,
    tail: Tail,
    next_offset: u64,
    at_end: bool,
    /// The stream's end was read once.
    has_read: bool,
}

/// Runs until the owner of the ledger is gone.
pub(crate) async fn run(
    shared: Arc<Shared>,
    log: LogClient,
    settings: TailSettings,
    events: mpsc::WeakSender<Event>,
) {
    let mut rng = StdRng::seed_from_u64(rand::random());
    let mut reader = Reader {
        shared,
        log,
        tail: Tail::new(settings, now_ms()),
        next_offset: 0,
        at_end: false,
        has_read: false,
    };
    loop {
        let ranks = reader.shared.ranks.load(Ordering::Acquire);
        reader.hear_peers();
        // Everybody reads once at the start, whatever its rank: where nothing was ever
        // published there are no digests, and a process that only waited for them would
        // never know that there is nothing to know.
        let in_turn = ranks || !reader.has_read;
        if let TailAction::WaitUntil { at_ms } = reader.tail.next_action(in_turn, now_ms()) {
            reader.wait(at_ms).await;
            continue;
        }
        let read = reader.read(ranks).await;
        let Some(events) = events.upgrade() else {
            return;
        };
        match read {
            Ok(page) => reader.take(page, &events).await,
            Err(error) => {
                log::warn!(event = "config-unread", reason:% = error; "");
                reader.tail.record_failure(ranks, now_ms(), &mut rng);
            }
        }
    }
}

impl Reader {
    /// Takes up what peers say of their reads.
    fn hear_peers(&mut self) {
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
            () = self.shared.rank_changed.notified() => {}
        }
    }

    async fn read(&self, ranks: bool) -> Result<LogPage, PlatformError> {
        let wait_ms = if ranks && self.at_end {
            LONG_POLL_MS
        } else {
            0
        };
        let from = self.next_offset;
        self.log.read(CONFIG_STREAM, from, PAGE_MAX, wait_ms).await
    }

    async fn take(&mut self, page: LogPage, events: &mpsc::Sender<Event>) {
        let is_new = self.at_end;
        self.at_end = page.records.len() < PAGE_MAX;
        self.next_offset = page.next.max(self.next_offset);
        let at_end = self.at_end;
        // Waits for room, so that the log is not read faster than it is judged.
        let event = Event::Page {
            page,
            at_end,
            is_new,
        };
        let sent = events.send(event).await;
        if sent.is_ok() && at_end {
            self.has_read = true;
            let now_ms = now_ms();
            self.tail.record_read(now_ms);
            self.shared
                .newest_read_ms
                .fetch_max(now_ms, Ordering::AcqRel);
        }
    }
}
