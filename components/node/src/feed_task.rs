//! The task that owns the ledger: it applies records of the log and texts of peers and publishes
//! the view.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapters::{LogClient, LogPage, LogRecord};
use config::{KeepScheduler, Ledger, Record, Verdict, View};
use protocol::ConfigDigest;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep};
use types::{CustomerName, rendezvous};

use crate::feed::{FeedSettings, Published, Shared};
use crate::feed_fetch::{FetchTarget, Fetched, Fetcher, HeldVersion};
use crate::feed_queue::FetchQueue;
use crate::feed_tail::CONFIG_STREAM;
use crate::now_ms;

/// Time between two checks for records that must be appended again.
const KEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two views. A view is built from all texts, so building one for each of
/// many consecutive texts would take quadratic time.
const PUBLISH_INTERVAL_MS: u64 = 100;
/// Key of the list of customers in the ranking of the processes that append it again.
const LIST_KEY: &str = "customers";

/// An event for the task that owns the ledger.
pub(crate) enum Event {
    /// A page of records was read from the log.
    Page {
        page: LogPage,
        /// The read reached the end of the stream.
        at_end: bool,
        /// The read began at the end of the stream, so its records were appended just now.
        is_new: bool,
    },
    /// A peer gossiped the digest of a newer version.
    PeerDigest {
        from: SocketAddr,
        digest: ConfigDigest,
    },
    /// A fetch ended; `fetched` is `None` if it failed.
    Fetched {
        from: SocketAddr,
        target: FetchTarget,
        fetched: Option<Fetched>,
    },
    /// A peer requests a text.
    TextRequest {
        target: FetchTarget,
        answer: oneshot::Sender<Option<String>>,
    },
}

/// State of the task that owns the ledger.
pub(crate) struct FeedTask {
    shared: Arc<Shared>,
    ledger: Ledger,
    fetches: FetchQueue,
    /// Whether the ledger has changed since the last view was built.
    has_unpublished: bool,
    /// Whether the ledger has the log up to an end that was read.
    has_read_log: bool,
    /// The same, or whether it has the text of a peer.
    is_initialized: bool,
    published_ms: Option<u64>,
    keep_scheduler: KeepScheduler,
    /// No record is appended again before this time.
    append_from_ms: u64,
    log: LogClient,
}

impl FeedTask {
    pub(crate) fn new(
        shared: Arc<Shared>,
        ledger: Ledger,
        fetcher: Fetcher,
        log: LogClient,
        settings: &FeedSettings,
    ) -> Self {
        let own = shared.tailers.load().own;
        Self {
            shared,
            ledger,
            fetches: FetchQueue::new(fetcher, own),
            has_unpublished: false,
            has_read_log: false,
            is_initialized: false,
            published_ms: None,
            keep_scheduler: KeepScheduler::new(settings.keep),
            append_from_ms: now_ms() + settings.keep_delay_ms,
            log,
        }
    }

    /// Runs until every handle is dropped.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        let mut ticks = keep_ticks();
        loop {
            let publish_delay = Duration::from_millis(self.publish_delay_ms());
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                () = sleep(publish_delay), if self.has_unpublished => {}
            }
            if self.has_unpublished && self.publish_delay_ms() == 0 {
                self.publish();
                self.announce();
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Page {
                page,
                at_end,
                is_new,
            } => self.apply_page(&page, at_end, is_new),
            Event::PeerDigest { from, digest } => {
                self.fetches.on_digest(&self.ledger, from, &digest);
            }
            Event::Fetched {
                from,
                target,
                fetched,
            } => self.handle_fetched(from, &target, fetched),
            Event::TextRequest { target, answer } => {
                // Sending fails if the requester has abandoned its request.
                let _ = answer.send(self.requested_text(&target));
            }
        }
    }

    fn apply_page(&mut self, page: &LogPage, at_end: bool, is_new: bool) {
        self.ledger.skip_to(page.first);
        for record in &page.records {
            self.apply_record(record, is_new);
        }
        if at_end {
            self.keep_scheduler.on_end_read(now_ms());
            self.has_read_log = true;
            self.is_initialized = true;
        }
        self.has_unpublished |= !page.records.is_empty();
        if !self.has_unpublished {
            self.announce();
        }
    }

    /// Tells readers of the view what it contains. A view that lacks what was read must not count as
    /// complete: requests would be refused for good by it.
    fn announce(&self) {
        let shared = &self.shared;
        shared
            .initialized
            .store(self.is_initialized, Ordering::Release);
        shared
            .has_read_log
            .store(self.has_read_log, Ordering::Release);
    }

    fn apply_record(&mut self, stored: &LogRecord, is_new: bool) {
        let record = Record::from_json(&stored.data);
        let verdict = match &record {
            Ok(record) => self.ledger.apply(stored.offset, record),
            Err(_) => self.ledger.apply_json(stored.offset, &stored.data),
        };
        log_verdict(stored.offset, &verdict);
        if let Ok(record) = &record {
            self.keep_scheduler
                .on_record(&self.ledger, record, is_new, now_ms());
        }
    }

    fn tick(&mut self) {
        self.fetches.request_versions(&self.shared.tailers.load());
        self.append_due_records();
    }

    /// Appends records again before the log drops them, if the rank of this process makes it
    /// responsible for them.
    fn append_due_records(&mut self) {
        if now_ms() < self.append_from_ms {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let rank = |customer: Option<&CustomerName>| keep_rank(&shared, customer);
        let records = self
            .keep_scheduler
            .due_records(&self.ledger, now_ms(), rank);
        if records.is_empty() {
            return;
        }
        let log = self.log.clone();
        tokio::spawn(async move {
            for record in records {
                append_record(&log, &record).await;
            }
        });
    }

    fn handle_fetched(&mut self, from: SocketAddr, target: &FetchTarget, fetched: Option<Fetched>) {
        self.fetches.on_fetch_end(target);
        if let Some(fetched) = fetched {
            self.adopt(from, fetched);
        }
        self.fetches.start_waiting(&self.ledger);
    }

    fn adopt(&mut self, from: SocketAddr, fetched: Fetched) {
        let verdict = match fetched {
            Fetched::Text(keep) => self.ledger.adopt(&keep),
            Fetched::Customers(customers) => self.ledger.adopt_customers(&customers),
            Fetched::Versions(versions) => {
                return self.fetches.on_versions(&self.ledger, from, versions);
            }
        };
        log_verdict(self.ledger.next_offset(), &verdict);
        if matches!(verdict, Verdict::Learned { .. }) {
            self.is_initialized = true;
            self.has_unpublished = true;
        }
    }

    fn requested_text(&self, target: &FetchTarget) -> Option<String> {
        let record = match target {
            FetchTarget::Text(customer) => Record::Keep(self.ledger.keep_record(customer)?),
            FetchTarget::Customers => Record::Customers(self.ledger.customers_record()?),
            FetchTarget::Versions => return serde_json::to_string(&self.versions()).ok(),
        };
        record.to_json().ok()
    }

    fn versions(&self) -> Vec<HeldVersion> {
        let accepted = self.ledger.all();
        accepted
            .map(|accepted| HeldVersion {
                customer: accepted.customer.clone(),
                version: accepted.version,
            })
            .collect()
    }

    /// Time until the next view may be built, in milliseconds.
    fn publish_delay_ms(&self) -> u64 {
        let next_ms = self
            .published_ms
            .map_or(0, |at_ms| at_ms + PUBLISH_INTERVAL_MS);
        next_ms.saturating_sub(now_ms())
    }

    fn publish(&mut self) {
        self.has_unpublished = false;
        self.published_ms = Some(now_ms());
        let accepted: Vec<_> = self.ledger.all().cloned().collect();
        let digests = accepted.iter().map(|accepted| ConfigDigest {
            customer: accepted.customer.clone(),
            version: accepted.version,
            digest: accepted.digest(),
        });
        let digests: Arc<Vec<_>> = Arc::new(digests.collect());
        if *digests == *self.shared.published.load().digests {
            return;
        }
        log_versions(&digests);
        self.shared.view.store(Arc::new(View::of(&self.ledger)));
        self.shared
            .published
            .store(Arc::new(Published { accepted, digests }));
        self.shared.changes.send_modify(|changes| *changes += 1);
    }
}

fn keep_ticks() -> Interval {
    let mut ticks = interval(KEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Rank of this process among those that tail the log, for one customer's record or, with `None`,
/// for the list of customers.
fn keep_rank(shared: &Shared, customer: Option<&CustomerName>) -> Option<u32> {
    let tailers = shared.tailers.load();
    if !tailers.has_vm_list {
        return None;
    }
    let key = customer.map_or(LIST_KEY, CustomerName::as_str);
    let ranked = rendezvous::ranked(key.as_bytes(), tailers.all.iter().copied());
    let rank = ranked.iter().position(|&address| address == tailers.own)?;
    u32::try_from(rank).ok()
}

async fn append_record(log: &LogClient, record: &Record) {
    let Ok(text) = record.to_json() else {
        return;
    };
    // The outcome need not be handled: the reader sees whether the record was appended, and if
    // not, the process of the next rank appends it after its own delay.
    if let Err(error) = log.append(CONFIG_STREAM, &text).await {
        log::warn!(event = "config-unkept", reason:% = error; "");
    }
}

fn log_versions(digests: &[ConfigDigest]) {
    let versions: BTreeMap<&str, u64> = digests
        .iter()
        .map(|digest| (digest.customer.as_str(), digest.version))
        .collect();
    log::info!(event = "config-in-force", versions:? = versions; "");
}

fn log_verdict(offset: u64, verdict: &Verdict) {
    match verdict {
        Verdict::Conflict { .. } | Verdict::RulesTooNew { .. } => {
            log::error!(event = "config-conflict", offset, verdict:? = verdict; "");
        }
        Verdict::Refused(_) => log::info!(event = "config-refused", offset; ""),
        _ => log::debug!(event = "config-verdict", offset, verdict:? = verdict; ""),
    }
}
