//! The owner of the ledger: takes in records and peers' texts and publishes the view.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapters::{LogClient, LogPage, LogRecord};
use config::{Keeper, Ledger, Record, Verdict, View};
use protocol::ConfigDigest;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep};
use types::{CustomerName, rendezvous};

use crate::feed::{FeedSettings, Published, Shared};
use crate::feed_fetch::{Fetched, Fetcher, HeldVersion, Wanted};
use crate::feed_queue::FetchQueue;
use crate::feed_tail::CONFIG_STREAM;
use crate::now_ms;

/// Time between two looks for records that have to be appended again.
const KEEP_EVERY: Duration = Duration::from_secs(1);
/// Shortest time between two views, in milliseconds. A view is built of all texts, so one
/// for each of many texts in a row would cost their square.
const PUBLISH_EVERY_MS: u64 = 100;
/// Key of the list of customers in the ranking of those who append it again.
const LIST_KEY: &str = "customers";

/// What the owner of the ledger hears.
pub(crate) enum Event {
    /// Records of the log.
    Page {
        page: LogPage,
        /// The read came to the stream's end.
        at_end: bool,
        /// The read began at the stream's end, so that its records are new.
        is_new: bool,
    },
    /// A peer holds this.
    Heard {
        from: SocketAddr,
        digest: ConfigDigest,
    },
    /// A fetch ended.
    Fetched {
        from: SocketAddr,
        wanted: Wanted,
        fetched: Option<Fetched>,
    },
    /// A peer asks for a text.
    Text {
        wanted: Wanted,
        answer: oneshot::Sender<Option<String>>,
    },
}

/// Owner of the ledger and of what has to be done as it changes.
pub(crate) struct FeedTask {
    shared: Arc<Shared>,
    ledger: Ledger,
    fetches: FetchQueue,
    /// The ledger has more than the newest view.
    unpublished: bool,
    published_ms: Option<u64>,
    keeper: Keeper,
    /// Nothing is appended again before this time.
    keep_from_ms: u64,
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
            unpublished: false,
            published_ms: None,
            keeper: Keeper::new(settings.keep),
            keep_from_ms: now_ms() + settings.keep_delay_ms,
            log,
        }
    }

    /// Runs until every handle is gone.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Event>) {
        let mut ticks = keep_ticks();
        loop {
            let publish_in = Duration::from_millis(self.publish_in_ms());
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                () = sleep(publish_in), if self.unpublished => {}
            }
            if self.unpublished && self.publish_in_ms() == 0 {
                self.publish();
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Page {
                page,
                at_end,
                is_new,
            } => self.take_page(&page, at_end, is_new),
            Event::Heard { from, digest } => {
                self.fetches.on_digest(&self.ledger, from, &digest);
            }
            Event::Fetched {
                from,
                wanted,
                fetched,
            } => self.take_fetched(from, &wanted, fetched),
            Event::Text { wanted, answer } => {
                // Whoever asked may have given up meanwhile.
                let _ = answer.send(self.text(&wanted));
            }
        }
    }

    fn take_page(&mut self, page: &LogPage, at_end: bool, is_new: bool) {
        self.ledger.skip_to(page.first);
        for record in &page.records {
            self.take_record(record, is_new);
        }
        if at_end {
            self.keeper.on_end_read(now_ms());
            self.shared.initialized.store(true, Ordering::Release);
        }
        self.unpublished |= !page.records.is_empty();
    }

    fn take_record(&mut self, stored: &LogRecord, is_new: bool) {
        let record = Record::from_json(&stored.data);
        let verdict = match &record {
            Ok(record) => self.ledger.apply(stored.offset, record),
            Err(_) => self.ledger.apply_json(stored.offset, &stored.data),
        };
        note(stored.offset, &verdict);
        if let Ok(record) = &record {
            self.keeper
                .on_record(&self.ledger, record, is_new, now_ms());
        }
    }

    fn tick(&mut self) {
        self.fetches.ask_versions(&self.shared.tailers.load());
        self.keep();
    }

    /// Appends again what the log would forget, where it is this process's turn.
    fn keep(&mut self) {
        if now_ms() < self.keep_from_ms {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let rank = |customer: Option<&CustomerName>| keep_rank(&shared, customer);
        let due = self.keeper.due(&self.ledger, now_ms(), rank);
        if due.is_empty() {
            return;
        }
        let log = self.log.clone();
        tokio::spawn(async move {
            for record in due {
                append(&log, &record).await;
            }
        });
    }

    fn take_fetched(&mut self, from: SocketAddr, wanted: &Wanted, fetched: Option<Fetched>) {
        self.fetches.on_end(wanted);
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
        note(self.ledger.next_offset(), &verdict);
        if matches!(verdict, Verdict::Learned { .. }) {
            self.shared.initialized.store(true, Ordering::Release);
            self.unpublished = true;
        }
    }

    fn text(&self, wanted: &Wanted) -> Option<String> {
        let record = match wanted {
            Wanted::Text(customer) => Record::Keep(self.ledger.keep_record(customer)?),
            Wanted::Customers => Record::Customers(self.ledger.customers_record()?),
            Wanted::Versions => return serde_json::to_string(&self.versions()).ok(),
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

    /// How long to wait before the next view may be built.
    fn publish_in_ms(&self) -> u64 {
        let next_ms = self
            .published_ms
            .map_or(0, |at_ms| at_ms + PUBLISH_EVERY_MS);
        next_ms.saturating_sub(now_ms())
    }

    fn publish(&mut self) {
        self.unpublished = false;
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
        note_versions(&digests);
        self.shared.view.store(Arc::new(View::of(&self.ledger)));
        self.shared
            .published
            .store(Arc::new(Published { accepted, digests }));
        self.shared.changes.send_modify(|changes| *changes += 1);
    }
}

fn keep_ticks() -> Interval {
    let mut ticks = interval(KEEP_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Rank of this process among those that tail the log, for one customer or the list.
fn keep_rank(shared: &Shared, customer: Option<&CustomerName>) -> Option<u32> {
    let tailers = shared.tailers.load();
    if !tailers.listed {
        return None;
    }
    let key = customer.map_or(LIST_KEY, CustomerName::as_str);
    let ranked = rendezvous::ranked(key.as_bytes(), tailers.all.iter().copied());
    let rank = ranked.iter().position(|&address| address == tailers.own)?;
    u32::try_from(rank).ok()
}

async fn append(log: &LogClient, record: &Record) {
    let Ok(text) = record.to_json() else {
        return;
    };
    // Whatever became of it, the reader sees whether the record is there, and the
    // keeper's time decides when the next process tries.
    if let Err(error) = log.append(CONFIG_STREAM, &text).await {
        log::warn!(event = "config-unkept", reason:% = error; "");
    }
}

fn note_versions(digests: &[ConfigDigest]) {
    let versions: BTreeMap<&str, u64> = digests
        .iter()
        .map(|digest| (digest.customer.as_str(), digest.version))
        .collect();
    log::info!(event = "config-in-force", versions:? = versions; "");
}

fn note(offset: u64, verdict: &Verdict) {
    match verdict {
        Verdict::Conflict { .. } | Verdict::RulesTooNew { .. } => {
            log::error!(event = "config-conflict", offset, verdict:? = verdict; "");
        }
        Verdict::Refused(_) => log::info!(event = "config-refused", offset; ""),
        _ => log::debug!(event = "config-verdict", offset, verdict:? = verdict; ""),
    }
}
